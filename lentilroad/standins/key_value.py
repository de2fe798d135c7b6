"""Stand-in for the key-value service: the etcd v3 JSON protocol with faults."""

from __future__ import annotations

import asyncio
import base64
import itertools
from collections import Counter, deque
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import web

from lentilroad.clock import Clock, SystemClock

_HISTORY_EVENTS = 10_000
VALUE_LIMIT_BYTES = 1_000_000


@dataclass(slots=True, kw_only=True)
class KeyValueFaults:
    """Faults that tests and the admin endpoint inject."""

    # Refuse every call before it has an effect.
    down: bool = False
    # Delay every call by this time before it is processed.
    delay_s: float = 0.0
    # Number of next writes that take effect but whose connection closes without
    # a reply.
    lose_answers: int = 0


@dataclass(slots=True, kw_only=True)
class _Pair:
    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(slots=True, kw_only=True)
class _RateWindow:
    """Call counts of the current one-second rate window."""

    started_s: float = 0.0
    reads: int = 0
    writes: int = 0


class KeyValueStandIn:
    """Key-value store in memory with rate limits, leases and watches.

    Parameters
    ----------
    clock : Clock, optional
        Source of time.
    reads_per_s, writes_per_s : int, optional
        Calls beyond these rates are refused with status 429.

    Attributes
    ----------
    faults : KeyValueFaults
        Injected faults.
    counts : Counter
        Calls by path.
    peak_reads_per_s, peak_writes_per_s : int
        Largest number of calls within one second.
    """

    def __init__(
        self,
        *,
        clock: Clock | None = None,
        reads_per_s: int = 2000,
        writes_per_s: int = 300,
    ) -> None:
        self.faults = KeyValueFaults()
        self.counts: Counter[str] = Counter()
        self.peak_reads_per_s = 0
        self.peak_writes_per_s = 0
        self.open_watches = 0
        self._clock = clock or SystemClock()
        self._reads_per_s = reads_per_s
        self._writes_per_s = writes_per_s
        self._window = _RateWindow()
        self._revision = 1
        self._compacted_revision = 0
        self._pairs: dict[bytes, _Pair] = {}
        self._events: deque[tuple[int, bytes, dict[str, Any]]] = deque()
        self._changed = asyncio.Event()
        self._leases: dict[int, tuple[int, float]] = {}
        self._lease_ids = itertools.count(1)

    def build_application(self) -> web.Application:
        """Build the HTTP application of the protocol and the ``/admin`` endpoints."""
        application = web.Application(client_max_size=4 * VALUE_LIMIT_BYTES)
        application.add_routes(
            [
                web.post("/v3/kv/range", self._handler(self._range)),
                web.post("/v3/kv/txn", self._handler(self._txn, write=True)),
                web.post("/v3/kv/put", self._handler(self._handle_put, write=True)),
                web.post("/v3/kv/deleterange", self._handler(self._delete, write=True)),
                web.post("/v3/lease/grant", self._handler(self._grant, write=True)),
                web.post(
                    "/v3/lease/keepalive", self._handler(self._keep_alive, write=True)
                ),
                web.post("/v3/watch", self._watch),
                web.post("/admin/faults", self._set_faults),
                web.get("/admin/counts", self._read_counts),
            ]
        )
        return application

    def _handler(self, handle: Any, *, write: bool = False) -> Any:
        async def serve(request: web.Request) -> web.StreamResponse:
            refusal = await self._check_admission(request, write=write)
            if refusal is not None:
                return refusal
            reply = handle(msgspec.json.decode(await request.read()))
            if write and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                if request.transport is not None:
                    request.transport.abort()
            if isinstance(reply, web.Response):
                return reply
            return web.json_response(reply)

        return serve

    async def _check_admission(
        self, request: web.Request, *, write: bool
    ) -> web.StreamResponse | None:
        self.counts[request.path] += 1
        if self.faults.delay_s > 0:
            await self._clock.sleep(self.faults.delay_s)
        if self.faults.down:
            return _error(503, 14, "etcdserver: no leader")
        if not self._within_rate(write=write):
            return _error(429, 8, "etcdserver: too many requests")
        return None

    def _within_rate(self, *, write: bool) -> bool:
        now_s = self._clock.monotonic_s()
        window = self._window
        if now_s - window.started_s >= 1.0:
            window.started_s, window.reads, window.writes = now_s, 0, 0
        if write:
            window.writes += 1
            self.peak_writes_per_s = max(self.peak_writes_per_s, window.writes)
            return window.writes <= self._writes_per_s
        window.reads += 1
        reads = window.reads + self.open_watches
        self.peak_reads_per_s = max(self.peak_reads_per_s, reads)
        return reads <= self._reads_per_s

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._revision)}

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        pairs = [
            _describe(key, self._pairs[key], keys_only=body.get("keys_only", False))
            for key in self._select(body)
        ]
        reply: dict[str, Any] = {"header": self._header(), "count": str(len(pairs))}
        if pairs:
            reply["kvs"] = pairs
        return reply

    def _select(self, body: dict[str, Any]) -> list[bytes]:
        key = base64.b64decode(body["key"])
        if "range_end" not in body:
            return [key] if key in self._pairs else []
        end = base64.b64decode(body["range_end"])
        return sorted(
            candidate
            for candidate in self._pairs
            if candidate >= key and (end == b"\x00" or candidate < end)
        )

    def _txn(self, body: dict[str, Any]) -> dict[str, Any] | web.Response:
        succeeded = all(self._compare(entry) for entry in body.get("compare", ()))
        operations = body.get("success" if succeeded else "failure", ())
        responses = []
        for operation in operations:
            put = operation.get("request_put") or operation.get("requestPut")
            if put is not None and len(put["value"]) * 3 // 4 > VALUE_LIMIT_BYTES:
                return _error(400, 3, "etcdserver: request is too large")
            if put is not None:
                self._put(put)
                responses.append({"response_put": {"header": self._header()}})
                continue
            range_request = operation.get("request_range") or operation.get(
                "requestRange"
            )
            if range_request is not None:
                responses.append({"response_range": self._range(range_request)})
        reply: dict[str, Any] = {"header": self._header(), "responses": responses}
        if succeeded:
            reply["succeeded"] = True
        return reply

    def _compare(self, compare: dict[str, Any]) -> bool:
        pair = self._pairs.get(base64.b64decode(compare["key"]))
        if compare.get("target") == "CREATE":
            actual = pair.create_revision if pair else 0
            return actual == int(compare.get("create_revision", 0))
        actual = pair.mod_revision if pair else 0
        return actual == int(compare.get("mod_revision", 0))

    def _handle_put(self, body: dict[str, Any]) -> dict[str, Any]:
        self._put(body)
        return {"header": self._header()}

    def _put(self, body: dict[str, Any]) -> None:
        key = base64.b64decode(body["key"])
        self._revision += 1
        old = self._pairs.get(key)
        pair = _Pair(
            value=body.get("value", ""),
            create_revision=old.create_revision if old else self._revision,
            mod_revision=self._revision,
            version=old.version + 1 if old else 1,
            lease=int(body.get("lease", 0)),
        )
        self._pairs[key] = pair
        self._record_event(key, {"kv": _describe(key, pair)})

    def _delete(self, body: dict[str, Any]) -> dict[str, Any]:
        selected = self._select(body)
        for key in selected:
            self._remove(key)
        return {"header": self._header(), "deleted": str(len(selected))}

    def _remove(self, key: bytes) -> None:
        self._revision += 1
        del self._pairs[key]
        described = {
            "key": base64.b64encode(key).decode(),
            "mod_revision": str(self._revision),
        }
        self._record_event(key, {"type": "DELETE", "kv": described})

    def _record_event(self, key: bytes, event: dict[str, Any]) -> None:
        self._events.append((self._revision, key, event))
        while len(self._events) > _HISTORY_EVENTS:
            self._compacted_revision = self._events.popleft()[0]
        self._changed.set()
        self._changed = asyncio.Event()

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        lease_id = int(body.get("ID", 0)) or next(self._lease_ids)
        ttl_s = int(body["TTL"])
        self._leases[lease_id] = (ttl_s, self._clock.monotonic_s() + ttl_s)
        return {"header": self._header(), "ID": str(lease_id), "TTL": str(ttl_s)}

    def _keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        self._expire_leases()
        lease_id = int(body["ID"])
        lease = self._leases.get(lease_id)
        result: dict[str, Any] = {"header": self._header(), "ID": str(lease_id)}
        if lease is not None:
            ttl_s = lease[0]
            self._leases[lease_id] = (ttl_s, self._clock.monotonic_s() + ttl_s)
            result["TTL"] = str(ttl_s)
        return {"result": result}

    def _expire_leases(self) -> None:
        now_s = self._clock.monotonic_s()
        expired = {id_ for id_, lease in self._leases.items() if lease[1] <= now_s}
        for lease_id in expired:
            del self._leases[lease_id]
        for key in [k for k, pair in self._pairs.items() if pair.lease in expired]:
            self._remove(key)

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        refusal = await self._check_admission(request, write=False)
        if refusal is not None:
            return refusal
        create = msgspec.json.decode(await request.read())["create_request"]
        key = base64.b64decode(create["key"])
        next_revision = int(create.get("start_revision", 0)) or self._revision + 1
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        await _send(response, {"header": self._header(), "created": True})
        if next_revision <= self._compacted_revision:
            canceled = {
                "canceled": True,
                "compact_revision": str(self._compacted_revision + 1),
            }
            await _send(response, {"header": self._header(), **canceled})
            return response
        self.open_watches += 1
        try:
            await self._send_events(response, key, next_revision)
        except (ConnectionError, asyncio.CancelledError):
            return response
        finally:
            self.open_watches -= 1
        return response

    async def _send_events(
        self, response: web.StreamResponse, key: bytes, next_revision: int
    ) -> None:
        while not self.faults.down:
            changed = self._changed
            events = [
                event
                for revision, event_key, event in self._events
                if revision >= next_revision and event_key == key
            ]
            next_revision = max(next_revision, self._revision + 1)
            if events:
                await _send(response, {"header": self._header(), "events": events})
            else:
                await changed.wait()

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            if name not in KeyValueFaults.__slots__:
                return _error(400, 3, f"unknown fault {name}")
            setattr(self.faults, name, value)
        # Wake open watches, so that they end when the service is down.
        self._changed.set()
        self._changed = asyncio.Event()
        return web.json_response({})

    async def _read_counts(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "calls": dict(self.counts),
                "open_watches": self.open_watches,
                "peak_reads_per_s": self.peak_reads_per_s,
                "peak_writes_per_s": self.peak_writes_per_s,
            }
        )


def build_application(state: KeyValueStandIn | None = None) -> web.Application:
    """Build the HTTP application; `state` defaults to a new key-value store."""
    return (state or KeyValueStandIn()).build_application()


def _describe(key: bytes, pair: _Pair, *, keys_only: bool = False) -> dict[str, str]:
    described = {
        "key": base64.b64encode(key).decode(),
        "create_revision": str(pair.create_revision),
        "mod_revision": str(pair.mod_revision),
        "version": str(pair.version),
    }
    if not keys_only:
        described["value"] = pair.value
    return described


def _error(status: int, code: int, message: str) -> web.Response:
    return web.json_response({"error": message, "code": code}, status=status)


async def _send(response: web.StreamResponse, result: dict[str, Any]) -> None:
    await response.write(msgspec.json.encode({"result": result}) + b"\n")
