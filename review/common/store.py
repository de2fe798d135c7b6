"""Stand-in for the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
from typing import Any

from aiohttp import web

PAGE_ITEMS = 500


class Store:
    """Metadata store in memory.

    Each machine reaches it at a port of its own, so that the store knows which machine
    made a call. A call whose answer is lost is executed, and its connection returns
    nothing further.

    Attributes
    ----------
    on_write : callable
        Called with the name of the machine after each write that it made.
    loses_answer : callable
        Called with the name of the machine and the number of its write; returns
        whether the answer to the write is lost.
    delay_s : float
        Time by which each answer is late.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.on_write: Callable[[str], None] = lambda machine: None
        self.loses_answer: Callable[[str], bool] = lambda machine: False
        self.delay_s = 0.0
        self.on_range: Callable[[str, str], None] = lambda machine, after: None
        self._changed = asyncio.Condition()
        self._runners: list[web.AppRunner] = []

    async def open_port(self, machine: str) -> str:
        """Listen on a free port for one machine and return the address."""
        app = web.Application(client_max_size=2**24)
        app["machine"] = machine
        app.router.add_get("/kv-key", self._key)
        app.router.add_get("/kv-range", self._range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._transact)
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, handler_cancellation=True
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self._runners.append(runner)
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening."""
        for runner in self._runners:
            await runner.cleanup()

    async def put(self, key: str, value: bytes) -> None:
        """Write a key, as the operator and the workers do."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "CreatedRev": known["CreatedRev"] if known else self.revision,
            "Lease": 0,
        }
        self.items[key] = item
        await self._publish(item)

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, or None."""
        item = self.items.get(key)
        return base64.b64decode(item["Value"]) if item else None

    async def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        await self._publish({"Key": key, "Revision": self.revision, "Removed": True})

    async def _publish(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _delay(self) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)

    async def _key(self, request: web.Request) -> web.Response:
        item = self.items.get(request.query["Key"])
        revision = self.revision
        await self._delay()
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, "CurrentRev": revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query["Prefix"]
        after = request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        answer = {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "MorePages": len(keys) > PAGE_ITEMS,
            "CurrentRev": self.revision,
        }
        self.on_range(request.app["machine"], after)
        await self._delay()
        return web.json_response(answer)

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        prefix = request.query["Prefix"]

        def matching() -> list[dict[str, Any]]:
            return [
                event
                for event in self.events
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]

        try:
            async with (
                asyncio.timeout(int(request.query["WaitMs"]) / 1000),
                self._changed,
            ):
                await self._changed.wait_for(matching)
        except TimeoutError:
            pass
        answer = {"events": matching(), "CurrentRev": self.revision}
        await self._delay()
        return web.json_response(answer)

    async def _transact(self, request: web.Request) -> web.Response:
        machine = request.app["machine"]
        transaction = await request.json()
        for row in transaction["Expected"]:
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                known = [
                    self.items[other["Key"]]
                    for other in transaction["Expected"]
                    if other["Key"] in self.items
                ]
                return web.json_response({"items": known}, status=412)
        for row in transaction["Writes"]:
            await self.put(row["Key"], base64.b64decode(row["Value"]))
        for key in transaction.get("Remove", ()):
            await self.remove(key)
        revision = self.revision
        self.on_write(machine)
        if self.loses_answer(machine):
            # aiohttp cancels the handler when the machine closes the connection.
            await asyncio.Event().wait()
        await self._delay()
        return web.json_response({"Revision": revision})
