"""Stand-in of the platform's metadata store, with its faults."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

from aiohttp import web


class MetadataStoreStandIn:
    """Metadata store in memory.

    Attributes
    ----------
    compacted_revision : int
        Revision before which the history is gone.
    refusing : bool
        Whether all calls get 503.
    loses_write_replies : bool
        Whether writes are done and not answered.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.compacted_revision = 0
        self.refusing = False
        self.loses_write_replies = False
        self.changed = asyncio.Condition()
        self.address = ""
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen; port 0 takes a free one."""
        app = web.Application()
        app.router.add_get("/kv-key", self.key)
        app.router.add_get("/kv-range", self.range)
        app.router.add_get("/kv-watch", self.watch)
        app.router.add_post("/kv-txn", self.transact)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        found_host, found_port = self._runner.addresses[0][:2]
        self.address = f"{found_host}:{found_port}"

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def key(self, request: web.Request) -> web.Response:
        """Answer one item."""
        if self.refusing:
            return web.Response(status=503)
        item = self.items.get(request.query["Key"])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, "CurrentRev": self.revision})

    async def put(self, key: str, value: bytes) -> None:
        """Write a key as the operator does."""
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

    async def range(self, request: web.Request) -> web.Response:
        """Answer one page of a prefix."""
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
        """Answer as soon as there are changes, or without any after the wait."""
        if self.refusing:
            return web.Response(status=503)
        after = int(request.query["after"])
        if after < self.compacted_revision:
            return web.Response(status=410)
        prefix = request.query["Prefix"]

        def found() -> list[dict[str, Any]]:
            return [
                event
                for event in self.events
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]

        wait_s = int(request.query["WaitMs"]) / 1000
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(found)
        except TimeoutError:
            return web.json_response({"events": [], "CurrentRev": self.revision})
        return web.json_response({"events": found(), "CurrentRev": self.revision})

    async def transact(self, request: web.Request) -> web.Response:
        """Write under conditions."""
        if self.refusing:
            return web.Response(status=503)
        asked = await request.json()
        for row in asked["Expected"]:
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return web.json_response({"items": []}, status=412)
        for row in asked["Writes"]:
            await self.put(row["Key"], base64.b64decode(row["Value"]))
        if self.loses_write_replies and request.transport is not None:
            request.transport.abort()
        return web.json_response({"Revision": self.revision})
