"""Stand-in for the platform's metadata store, with injectable faults."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web


class MetadataStoreStandIn:
    """Metadata store in memory, served over HTTP.

    Attributes
    ----------
    compacted_revision : int
        Revision before which the history is compacted; watches from an earlier
        revision get status 410.
    refusing : bool
        Whether all calls get status 503.
    loses_write_replies : bool
        Whether writes take effect but their connection closes without a reply.
    silent : bool
        Whether all replies are lost. A connection on which a reply was lost returns
        nothing further; connections opened later work.
    delay_s : float
        Seconds by which each reply is late.
    hides_changes : bool
        Whether watches do not reply; see `discard_history`.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.compacted_revision = 0
        self.refusing = False
        self.loses_write_replies = False
        self.silent = False
        self.delay_s = 0.0
        self.hides_changes = False
        self.changed = asyncio.Condition()
        self.address = ""
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on a port; 0 selects a free port."""
        app = web.Application(middlewares=[self._lose_replies])
        app.router.add_get("/kv-key", self.key)
        app.router.add_get("/kv-range", self.range)
        app.router.add_get("/kv-watch", self.watch)
        app.router.add_post("/kv-txn", self.transact)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        bound_host, bound_port = self._runner.addresses[0][:2]
        self.address = f"{bound_host}:{bound_port}"

    @web.middleware
    async def _lose_replies(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        response = await handler(request)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.silent:
            # aiohttp answers the requests of one connection in order.
            await asyncio.Event().wait()
        return response

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def key(self, request: web.Request) -> web.Response:
        """Return one item."""
        if self.refusing:
            return web.Response(status=503)
        item = self.items.get(request.query["Key"])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, "CurrentRev": self.revision})

    async def put(self, key: str, value: bytes) -> None:
        """Write a key directly, as an operator does."""
        self.revision += 1
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "CreatedRev": self.revision,
            "Lease": 0,
        }
        self.items[key] = item
        await self._publish(item)

    async def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        await self._publish({"Key": key, "Revision": self.revision, "Removed": True})

    async def _publish(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def discard_history(self) -> None:
        """Forget all changes so far; watches that waited for them get status 410."""
        self.hides_changes = False
        self.compacted_revision = self.revision
        self.events.clear()
        async with self.changed:
            self.changed.notify_all()

    async def range(self, request: web.Request) -> web.Response:
        """Return one page of the items under a prefix."""
        if self.refusing:
            return web.Response(status=503)
        prefix = request.query["Prefix"]
        after = request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:2]]
        return web.json_response(
            {
                "items": page,
                "MorePages": len(keys) > 2,
                "CurrentRev": self.revision,
            }
        )

    async def watch(self, request: web.Request) -> web.Response:
        """Return changes as soon as there are any, or an empty list on timeout."""
        if self.refusing:
            return web.Response(status=503)
        after = int(request.query["after"])
        prefix = request.query["Prefix"]

        def matching_events() -> list[dict[str, Any]]:
            return [
                event
                for event in self.events
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]

        def has_reply() -> bool:
            if self.hides_changes:
                return False
            return after < self.compacted_revision or bool(matching_events())

        wait_s = int(request.query["WaitMs"]) / 1000
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(has_reply)
        except TimeoutError:
            async with self.changed:
                await self.changed.wait_for(lambda: not self.hides_changes)
        if after < self.compacted_revision:
            return web.Response(status=410)
        return web.json_response(
            {"events": matching_events(), "CurrentRev": self.revision}
        )

    async def transact(self, request: web.Request) -> web.Response:
        """Apply writes if all expected revisions match."""
        if self.refusing:
            return web.Response(status=503)
        transaction = await request.json()
        for row in transaction["Expected"]:
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return web.json_response({"items": []}, status=412)
        for row in transaction["Writes"]:
            await self.put(row["Key"], base64.b64decode(row["Value"]))
        if self.loses_write_replies and request.transport is not None:
            request.transport.abort()
        return web.json_response({"Revision": self.revision})
