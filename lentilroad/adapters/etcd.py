"""Client of the key-value service over the etcd v3 JSON protocol."""

from __future__ import annotations

import base64
import ssl
from collections.abc import AsyncGenerator, Sequence
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from lentilroad.adapters.call_budget import CallRateLimiter
from lentilroad.adapters.const import (
    KEY_VALUE_CALL_BURST,
    KEY_VALUE_CALLS_PER_S,
    KEY_VALUE_TIMEOUT_S,
    MAX_KEY_VALUE_WATCHES,
)
from lentilroad.adapters.key_value import KeyValueItem
from lentilroad.clock import Clock
from lentilroad.errors import ConflictError, Outcome, UnavailableError
from lentilroad.wire.untrusted import DECODING_ERRORS

_TOO_MANY_REQUESTS = 429


@dataclass(slots=True, kw_only=True)
class CallCounts:
    """Number of calls that a client made, by kind; a watch counts as one call."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    leases: int = 0
    failures: int = 0
    open_watches: int = 0


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode("ascii")


def _decode_item(pair: dict[str, str]) -> KeyValueItem:
    return KeyValueItem(
        key=base64.b64decode(pair["key"]).decode(),
        value=base64.b64decode(pair.get("value", "")),
        revision=int(pair["mod_revision"]),
    )


def _range_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with the prefix."""
    trimmed = prefix.rstrip(b"\xff")
    if not trimmed:
        return b"\x00"
    return trimmed[:-1] + bytes([trimmed[-1] + 1])


class EtcdKeyValueStore:
    """`KeyValueStore` over HTTP with a rate limit and a limit on open watches.

    Parameters
    ----------
    clock : Clock
        Source of time.
    endpoints : Sequence[str]
        Base addresses, "http://ip:port"; a failure switches to the next address.
    timeout_s : float, optional
        Timeout of one call.
    calls_per_s : float, optional
        Average rate of calls of this process.
    burst : int, optional
        Largest number of consecutive calls without a wait.
    max_watches : int, optional
        Largest number of open watches.
    ssl_context : ssl.SSLContext, optional
        Client context for HTTPS endpoints.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        endpoints: Sequence[str],
        timeout_s: float = KEY_VALUE_TIMEOUT_S,
        calls_per_s: float = KEY_VALUE_CALLS_PER_S,
        burst: int = KEY_VALUE_CALL_BURST,
        max_watches: int = MAX_KEY_VALUE_WATCHES,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        self.counts = CallCounts()
        self._endpoints = [endpoint.rstrip("/") for endpoint in endpoints]
        self._endpoint_index = 0
        self._timeout_s = timeout_s
        self._max_watches = max_watches
        self._ssl = ssl_context
        self._rate_limiter = CallRateLimiter(
            clock=clock, calls_per_s=calls_per_s, burst=burst
        )
        self._session: aiohttp.ClientSession | None = None

    async def read(self, *, key: str) -> KeyValueItem | None:
        """Return the item, or None when the key does not exist."""
        self.counts.reads += 1
        reply = await self._post(
            "/v3/kv/range", {"key": _encode(key.encode())}, outcome="not_run"
        )
        pairs = reply.get("kvs", ())
        return _decode_item(pairs[0]) if pairs else None

    async def compare_and_swap(
        self, *, key: str, value: bytes, expected_revision: int
    ) -> int:
        """Write if the revision matches; see `KeyValueStore`."""
        self.counts.writes += 1
        encoded = _encode(key.encode())
        compare = {
            "result": "EQUAL",
            "target": "MOD",
            "key": encoded,
            "mod_revision": str(expected_revision),
        }
        put = {"request_put": {"key": encoded, "value": _encode(value)}}
        reply = await self._post(
            "/v3/kv/txn", {"compare": [compare], "success": [put]}, outcome="unknown"
        )
        if not reply.get("succeeded", False):
            raise ConflictError(f"{key} has changed; read it again")
        return int(reply["header"]["revision"])

    async def watch(
        self, *, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueItem | None:
        """Wait for a newer revision; return None when `timeout_s` passes."""
        if self.counts.open_watches >= self._max_watches:
            raise UnavailableError(
                f"{self._max_watches} watches are open; close a watch first",
                outcome="not_run",
            )
        self.counts.watches += 1
        self.counts.open_watches += 1
        try:
            item = await self._watch(key, after_revision, timeout_s)
        finally:
            self.counts.open_watches -= 1
        if item is not None and item.revision == 0:
            item = await self.read(key=key)
            return item if item and item.revision > after_revision else None
        return item

    async def delete(self, *, key: str) -> None:
        """Delete a key."""
        self.counts.writes += 1
        body = {"key": _encode(key.encode())}
        await self._post("/v3/kv/deleterange", body, outcome="unknown")

    async def list_keys(self, *, prefix: str) -> list[str]:
        """Return the keys that start with `prefix`, sorted."""
        self.counts.reads += 1
        encoded = prefix.encode()
        body = {
            "key": _encode(encoded or b"\x00"),
            "range_end": _encode(_range_end(encoded)),
            "keys_only": True,
        }
        reply = await self._post("/v3/kv/range", body, outcome="not_run")
        return sorted(_decode_item(pair).key for pair in reply.get("kvs", ()))

    async def grant_lease(self, *, ttl_s: int) -> int:
        """Create a lease and return its id."""
        self.counts.leases += 1
        body = {"TTL": str(ttl_s), "ID": "0"}
        reply = await self._post("/v3/lease/grant", body, outcome="unknown")
        return int(reply["ID"])

    async def renew_lease(self, *, lease_id: int) -> int:
        """Renew a lease and return its remaining seconds; 0 means that it expired."""
        self.counts.leases += 1
        body = {"ID": str(lease_id)}
        reply = await self._post("/v3/lease/keepalive", body, outcome="unknown")
        return int(reply["result"].get("TTL", "0"))

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _post(
        self, path: str, body: dict[str, Any], *, outcome: Outcome
    ) -> dict[str, Any]:
        """Send one call; `outcome` applies when the answer is lost."""
        await self._rate_limiter.acquire(timeout_s=self._timeout_s)
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        endpoint = self._endpoints[self._endpoint_index]
        try:
            async with self._get_session().post(
                endpoint + path, json=body, timeout=timeout, ssl=self._ssl or True
            ) as response:
                data = await response.read()
                self._check_status(response.status, data, outcome=outcome)
        except aiohttp.ClientConnectorError as error:
            raise self._unavailable_error(error, outcome="not_run") from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise self._unavailable_error(error, outcome=outcome) from error
        return self._decode_object(data, outcome=outcome)

    def _decode_object(self, data: bytes, *, outcome: Outcome) -> dict[str, Any]:
        try:
            return msgspec.json.decode(data, type=dict[str, Any])
        except DECODING_ERRORS as error:
            raise self._unavailable_error(error, outcome=outcome) from error

    async def _watch(
        self, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueItem | None:
        """Return the newest item, None on timeout, revision 0 after a compaction."""
        await self._rate_limiter.acquire(timeout_s=timeout_s)
        body = {
            "create_request": {
                "key": _encode(key.encode()),
                "start_revision": str(after_revision + 1),
            }
        }
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=min(timeout_s, self._timeout_s)
        )
        endpoint = self._endpoints[self._endpoint_index]
        created = False
        try:
            async with (
                self._get_session().post(
                    endpoint + "/v3/watch",
                    json=body,
                    timeout=timeout,
                    ssl=self._ssl or True,
                ) as response,
                aclosing(_read_lines(response)) as lines,
            ):
                if response.status != 200:
                    self._check_status(
                        response.status, await response.read(), outcome="not_run"
                    )
                async for line in lines:
                    message = self._decode_object(line, outcome="not_run")
                    result = message.get("result", {})
                    created = created or result.get("created", False)
                    if result.get("canceled", False):
                        return KeyValueItem(key=key, value=b"", revision=0)
                    item = _last_put(result)
                    if item is not None:
                        return item
        except TimeoutError as error:
            if created:
                return None
            raise self._unavailable_error(error, outcome="not_run") from error
        except (aiohttp.ClientError, OSError) as error:
            raise self._unavailable_error(error, outcome="not_run") from error
        raise self._unavailable_error(
            ConnectionError("the watch stream ended"), outcome="not_run"
        )

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session

    def _check_status(self, status: int, data: bytes, *, outcome: Outcome) -> None:
        if status == 200:
            return
        # After any other error status a write may still take effect.
        if status == _TOO_MANY_REQUESTS:
            outcome = "not_run"
        answer = data[:200].decode(errors="replace")
        raise self._unavailable_error(
            ConnectionError(f"{status}: {answer}"), outcome=outcome
        )

    def _unavailable_error(
        self, error: BaseException, *, outcome: Outcome
    ) -> UnavailableError:
        self.counts.failures += 1
        self._endpoint_index = (self._endpoint_index + 1) % len(self._endpoints)
        return UnavailableError(
            f"key-value service did not answer ({type(error).__name__}: {error}); "
            "check its address in the settings and that it runs",
            outcome=outcome,
        )


async def _read_lines(response: aiohttp.ClientResponse) -> AsyncGenerator[bytes, None]:
    """Yield the lines of a body; a line may exceed aiohttp's limit for `readline`."""
    buffer = b""
    async for chunk in response.content.iter_any():
        *lines, buffer = (buffer + chunk).split(b"\n")
        for line in lines:
            if line.strip():
                yield line
    if buffer.strip():
        yield buffer


def _last_put(result: dict[str, Any]) -> KeyValueItem | None:
    puts = [
        event["kv"]
        for event in result.get("events", ())
        if event.get("type", "PUT") != "DELETE"
    ]
    return _decode_item(puts[-1]) if puts else None
