"""Client of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from lentilroad.clock import Clock
from lentilroad.connection.http_exchange import ExchangeBrokenError
from lentilroad.connection.http_pool import HttpPool
from lentilroad.errors import LentilroadError
from lentilroad.process.events import log_event

T = TypeVar("T")

# The store responds in 4 ms; a call that times out is repeated on a new connection.
CALL_TIMEOUT_S = 1.5
WATCH_WAIT_S = 29.0
WATCH_GRACE_S = 2.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# A value has at most one megabyte. A response has about as much, and more only when
# it delivers the changes of a longer gap between two watches.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# A page has about 500 items; lentilroad's lists have a few pages. The limit ends a
# listing whose pages never end.
MAX_PAGES = 400
# Leases last several seconds; none expires during a shorter outage.
MIN_REPORTED_OUTAGE_S = 1.0


class MetadataError(LentilroadError):
    """The store is unreachable, refused a call, or sent an invalid response."""

    code = "metadata_unavailable"
    http_status = 503
    default_outcome = "unknown"


class HistoryLostError(LentilroadError):
    """The store has discarded changes after the given revision."""

    code = "metadata_history_lost"
    http_status = 410


class WriteConflictError(LentilroadError):
    """A key of a conditional write does not have the expected revision."""

    code = "metadata_conflict"
    http_status = 412


class StoredItem(msgspec.Struct, kw_only=True):
    """State of one key, or its removal, at a revision."""

    key: str = msgspec.field(name="Key")
    value: str = msgspec.field(name="Value", default="")
    revision: int = msgspec.field(name="Revision", default=0)
    removed: bool = msgspec.field(name="Removed", default=False)

    def content(self) -> bytes:
        """Return the value, decoded from base64."""
        return base64.b64decode(self.value)


class _ItemsPage(msgspec.Struct, kw_only=True):
    items: list[StoredItem] = []
    more: bool = msgspec.field(name="MorePages", default=False)
    revision: int = msgspec.field(name="CurrentRev", default=0)


class _WatchResponse(msgspec.Struct, kw_only=True):
    events: list[StoredItem] = []
    revision: int = msgspec.field(name="CurrentRev", default=0)


class _WriteResponse(msgspec.Struct, kw_only=True):
    revision: int = msgspec.field(name="Revision", default=0)


@dataclass(slots=True, kw_only=True, frozen=True)
class Listing:
    """Items with a common prefix and the revision after which to watch."""

    items: list[StoredItem]
    revision: int


class MetadataClient:
    """Client of the metadata store with a pool of persistent connections.

    Parameters
    ----------
    address : str
        Address of the store, "ip:port".
    clock : Clock
        Source of time.
    """

    def __init__(self, *, address: str, clock: Clock) -> None:
        self._address = address
        self._pool = HttpPool(address=address, clock=clock)
        self.calls = 0

    async def read_prefix(self, prefix: str) -> Listing:
        """Read all items whose keys begin with `prefix`."""
        items: list[StoredItem] = []
        revision: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            query = f"Prefix={quote(prefix, safe='')}"
            if after:
                query += f"&after={quote(after, safe='')}"
            status, body = await self._call("GET", f"/kv-range?{query}", b"")
            if status != 200:
                raise MetadataError(f"listing {prefix} failed with status {status}")
            page = _decode(body, _ItemsPage)
            items.extend(page.items)
            # The pages are not one snapshot; the watch starts at the first page's
            # revision and so receives the changes made between two pages.
            revision = page.revision if revision is None else revision
            if not page.more or not page.items:
                return Listing(items=items, revision=revision)
            after = page.items[-1].key
        raise MetadataError(
            f"the list of {prefix} has more than {MAX_PAGES} pages; it is read again"
        )

    async def read_key(self, key: str) -> StoredItem | None:
        """Read one key; None when it does not exist."""
        status, body = await self._call(
            "GET", f"/kv-key?Key={quote(key, safe='')}", b""
        )
        if status == 404:
            return None
        if status != 200:
            raise MetadataError(f"reading {key} failed with status {status}")
        return _decode(body, StoredItem)

    async def watch(
        self, prefix: str, after_revision: int
    ) -> tuple[list[StoredItem], int]:
        """Wait for changes of keys with `prefix` after a revision (long poll).

        Returns
        -------
        tuple of (list of StoredItem, int)
            Changes, possibly none, and the revision after which to watch next.

        Raises
        ------
        HistoryLostError
            The store has discarded changes after `after_revision`.
        MetadataError
            The call failed.
        """
        wait_ms = int(WATCH_WAIT_S * 1000)
        path = (
            f"/kv-watch?Prefix={quote(prefix, safe='')}&after={after_revision}"
            f"&WaitMs={wait_ms}"
        )
        status, body = await self._call(
            "GET", path, b"", timeout_s=WATCH_WAIT_S + WATCH_GRACE_S
        )
        if status == 410:
            raise HistoryLostError(
                f"the store discarded changes of {prefix}; read the whole list again"
            )
        if status != 200:
            raise MetadataError(f"watching {prefix} failed with status {status}")
        changes = _decode(body, _WatchResponse)
        return changes.events, max(after_revision, changes.revision)

    async def write(self, key: str, value: bytes, *, expected_revision: int) -> int:
        """Write one key if it has the expected revision; return the new one.

        Parameters
        ----------
        key : str
            Key to write.
        value : bytes
            New value.
        expected_revision : int
            Revision that the key must have; 0 if it must not exist.

        Raises
        ------
        WriteConflictError
            The key has another revision.
        MetadataError
            The call failed; the write may still be executed.
        """
        body = msgspec.json.encode(
            {
                "Expected": [{"Key": key, "Revision": expected_revision}],
                "Writes": [
                    {"Key": key, "Value": base64.b64encode(value).decode("ascii")}
                ],
                "Remove": [],
            }
        )
        status, response = await self._call("POST", "/kv-txn", body)
        if status == 412:
            raise WriteConflictError(
                f"{key} no longer has revision {expected_revision}; read it again"
            )
        if status != 200:
            raise MetadataError(f"writing {key} failed with status {status}")
        return _decode(response, _WriteResponse).revision

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _call(
        self, method: str, path: str, body: bytes, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> tuple[int, bytes]:
        self.calls += 1
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n"
        if body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._pool.connection() as connection,
            ):
                response = await connection.exchange(
                    head.encode("ascii") + b"\r\n", body
                )
                self._pool.record_keep_alive(connection, response)
                content = bytearray()
                while chunk := await connection.next_chunk():
                    content += chunk
                    if len(content) > MAX_RESPONSE_BYTES:
                        raise MetadataError(
                            f"the response to {path} exceeds {MAX_RESPONSE_BYTES} "
                            "bytes; the call is repeated"
                        )
        except TimeoutError as error:
            raise MetadataError(
                f"no response to {path} within {timeout_s} s; the call is repeated"
            ) from error
        except ExchangeBrokenError as error:
            raise MetadataError(
                f"no response to {path} ({error}); the call is repeated",
                outcome=error.outcome,
            ) from error
        return response.status, bytes(content)


def _decode(body: bytes, expected: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=expected)
    except msgspec.MsgspecError as error:
        raise MetadataError(f"the store sent an invalid response ({error})") from error


async def watch_prefix(
    client: MetadataClient,
    prefix: str,
    *,
    clock: Clock,
    on_listing: Callable[[Listing], None],
    on_change: Callable[[StoredItem], None],
    on_outage_end: Callable[[], None] | None = None,
    before_changes: Callable[[list[StoredItem]], None] | None = None,
    pause_s: float = 0.0,
) -> None:
    """List the keys with `prefix`, then watch their changes; never returns.

    Parameters
    ----------
    client : MetadataClient
        Client of the store.
    prefix : str
        Prefix of the keys.
    clock : Clock
        Source of time.
    on_listing : callable
        Receives all items, at the start and whenever changes may have been missed.
    on_change : callable
        Receives each later change.
    on_outage_end : callable, optional
        Called when the store responds after an outage in which leases may have
        expired, before the items or changes of that response are delivered.
    before_changes : callable, optional
        Receives all changes of one response before each is passed to `on_change`.
    pause_s : float
        Seconds between a response with changes and the next watch, so that changes in
        quick succession take one call.
    """
    revision: int | None = None
    backoff_s = INITIAL_BACKOFF_S
    outage_started_s: float | None = None

    def on_response() -> None:
        nonlocal outage_started_s
        if outage_started_s is None:
            return
        outage_s = clock.monotonic_s() - outage_started_s
        log_event("metadata_regained", prefix=prefix, away_s=round(outage_s, 3))
        outage_started_s = None
        if on_outage_end is not None and outage_s >= MIN_REPORTED_OUTAGE_S:
            on_outage_end()

    while True:
        try:
            if revision is None:
                listing = await client.read_prefix(prefix)
                on_response()
                revision = listing.revision
                on_listing(listing)
            changes, revision = await client.watch(prefix, revision)
            on_response()
            backoff_s = INITIAL_BACKOFF_S
            if before_changes is not None:
                before_changes(changes)
            for change in changes:
                on_change(change)
            if changes:
                await clock.sleep(pause_s)
        except HistoryLostError:
            on_response()
            log_event("metadata_history_lost", prefix=prefix, revision=revision)
            revision = None
        except MetadataError as error:
            if outage_started_s is None:
                outage_started_s = clock.monotonic_s()
                log_event("metadata_lost", prefix=prefix, error=str(error))
            await clock.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
