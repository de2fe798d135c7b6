"""Client of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from lentilroad.clock import Clock
from lentilroad.connection.http_exchange import ExchangeBrokenError
from lentilroad.connection.http_pool import HttpPool
from lentilroad.errors import LentilroadError
from lentilroad.membership.list_messages import ListItem
from lentilroad.process.events import log_event
from lentilroad.wire.untrusted import (
    Revision,
    UnreadableError,
    decode_json,
    decode_json_items,
)

T = TypeVar("T")

# The store responds in 4 ms; a call that times out is repeated on a new connection.
CALL_TIMEOUT_S = 1.5
# A value has at most one megabyte. A response has about as much, and more only when
# it delivers the changes of a longer gap between two watches.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# A page has about 500 items; lentilroad's lists have a few pages. The limit ends a
# listing whose pages never end.
MAX_PAGES = 400


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


class _StoredItem(msgspec.Struct, kw_only=True):
    key: str = msgspec.field(name="Key")
    value: str = msgspec.field(name="Value", default="")
    revision: Revision = msgspec.field(name="Revision", default=0)
    removed: bool = msgspec.field(name="Removed", default=False)


class _ItemsPage(msgspec.Struct, kw_only=True):
    items: list[msgspec.Raw] = []
    more: bool = msgspec.field(name="MorePages", default=False)
    revision: Revision = msgspec.field(name="CurrentRev", default=0)


class _WatchResponse(msgspec.Struct, kw_only=True):
    events: list[msgspec.Raw] = []
    revision: Revision = msgspec.field(name="CurrentRev", default=0)


class _WriteResponse(msgspec.Struct, kw_only=True):
    revision: Revision = msgspec.field(name="Revision", default=0)


@dataclass(slots=True, kw_only=True, frozen=True)
class Listing:
    """Items with a common prefix and the revision after which to watch."""

    items: list[ListItem]
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
        items: list[ListItem] = []
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
            page_items = _decode_items(page.items)
            items.extend(page_items)
            # The pages are not one snapshot; the watch starts at the first page's
            # revision and so receives the changes made between two pages.
            revision = page.revision if revision is None else revision
            if not page.more or not page.items:
                return Listing(items=items, revision=revision)
            if not page_items:
                raise MetadataError(
                    f"no item of a page of {prefix} can be read; the list is read again"
                )
            after = page_items[-1].key
        raise MetadataError(
            f"the list of {prefix} has more than {MAX_PAGES} pages; it is read again"
        )

    async def read_key(self, key: str) -> ListItem | None:
        """Read one key; None when it does not exist."""
        status, body = await self._call(
            "GET", f"/kv-key?Key={quote(key, safe='')}", b""
        )
        if status == 404:
            return None
        if status != 200:
            raise MetadataError(f"reading {key} failed with status {status}")
        return _to_list_item(_decode(body, _StoredItem))

    async def watch(
        self, prefix: str, after_revision: int, *, wait_s: float, grace_s: float
    ) -> tuple[list[ListItem], int]:
        """Wait for changes of keys with `prefix` after a revision (long poll).

        Parameters
        ----------
        prefix : str
            Prefix of the keys; empty for all keys.
        after_revision : int
            Revision after which changes are returned.
        wait_s : float
            Seconds for which the store waits for the first change.
        grace_s : float
            Seconds to wait for the response after that time.

        Returns
        -------
        tuple of (list of ListItem, int)
            Changes, possibly none, and the revision after which to watch next.

        Raises
        ------
        HistoryLostError
            The store has discarded changes after `after_revision`.
        MetadataError
            The call failed.
        """
        path = (
            f"/kv-watch?Prefix={quote(prefix, safe='')}&after={after_revision}"
            f"&WaitMs={int(wait_s * 1000)}"
        )
        status, body = await self._call("GET", path, b"", timeout_s=wait_s + grace_s)
        if status == 410:
            raise HistoryLostError(
                f"the store discarded changes of {prefix}; read the whole list again"
            )
        if status != 200:
            raise MetadataError(f"watching {prefix} failed with status {status}")
        changes = _decode(body, _WatchResponse)
        return _decode_items(changes.events), max(after_revision, changes.revision)

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
            # Idle connections may have become unresponsive at the same time.
            self._pool.close()
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
        return decode_json(body, expected)
    except UnreadableError as error:
        raise MetadataError(f"the store sent an invalid response ({error})") from error


def _decode_items(encoded_items: list[msgspec.Raw]) -> list[ListItem]:
    stored = decode_json_items(
        encoded_items, _StoredItem, event="metadata_item_unreadable"
    )
    return [_to_list_item(item) for item in stored]


def _to_list_item(item: _StoredItem) -> ListItem:
    content = b""
    try:
        content = base64.b64decode(item.value, validate=True)
    except ValueError as error:
        log_event("metadata_item_unreadable", key=item.key, error=str(error))
    return ListItem(
        key=item.key,
        revision=item.revision,
        content=content,
        removed=item.removed,
    )
