"""The client of the metadata store against a stand-in with its faults."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from lentilroad.clock import SystemClock
from lentilroad.platform.metadata import (
    HistoryLostError,
    Listing,
    MetadataClient,
    MetadataError,
    StoredItem,
    WriteConflictError,
    follow_prefix,
)


class StoreStandIn:
    """Metadata store in memory.

    Attributes
    ----------
    forgotten : int
        Revision before which the history is gone.
    refusing : bool
        Whether all calls get 503.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.forgotten = 0
        self.refusing = False
        self.changed = asyncio.Condition()
        self.address = ""

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
        await self._tell(item)

    async def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        await self._tell({"Key": key, "Revision": self.revision, "Removed": True})

    async def _tell(self, event: dict) -> None:
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
        """Answer as soon as there are changes."""
        if self.refusing:
            return web.Response(status=503)
        after = int(request.query["after"])
        if after < self.forgotten:
            return web.Response(status=410)
        prefix = request.query["Prefix"]

        def found() -> list[dict]:
            return [
                event
                for event in self.events
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]

        async with self.changed:
            await asyncio.wait_for(self.changed.wait_for(found), 5.0)
        return web.json_response({"events": found(), "CurrentRev": self.revision})

    async def transact(self, request: web.Request) -> web.Response:
        """Write under conditions."""
        asked = await request.json()
        for row in asked["Expected"]:
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return web.json_response({"items": []}, status=412)
        for row in asked["Writes"]:
            await self.put(row["Key"], base64.b64decode(row["Value"]))
        return web.json_response({"Revision": self.revision})


@asynccontextmanager
async def _store() -> AsyncIterator[tuple[StoreStandIn, MetadataClient]]:
    store = StoreStandIn()
    app = web.Application()
    app.router.add_get("/kv-range", store.range)
    app.router.add_get("/kv-watch", store.watch)
    app.router.add_post("/kv-txn", store.transact)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    client = MetadataClient(address=f"{host}:{port}", clock=SystemClock())
    yield store, client
    client.close()
    await runner.cleanup()


async def test_all_pages_are_read() -> None:
    """Guard against instances that are missing because a page was left out."""
    async with _store() as (store, client):
        for number in range(5):
            await store.put(f"servers/{number}", b"x")
        listing = await client.read_prefix("servers/")
        assert [item.key for item in listing.items] == [
            f"servers/{number}" for number in range(5)
        ]
        assert listing.items[0].content() == b"x"


async def test_conditional_write_reports_a_conflict() -> None:
    """Guard against a list of members that overwrites a newer one."""
    async with _store() as (store, client):
        revision = await client.write("k", b"1", expected_revision=0)
        assert revision == store.revision
        with pytest.raises(WriteConflictError):
            await client.write("k", b"2", expected_revision=0)


async def test_lost_history_and_refusals_are_told_apart() -> None:
    """Guard against a watch that goes on without the changes that it missed."""
    async with _store() as (store, client):
        store.forgotten = 100
        with pytest.raises(HistoryLostError):
            await client.watch("op/", 1)
        store.refusing = True
        with pytest.raises(MetadataError):
            await client.watch("op/", 1)


async def test_view_survives_lost_history_and_an_outage() -> None:
    """Guard against a view that stays old after the store forgot or was away."""
    async with _store() as (store, client):
        seen: dict[str, bytes] = {}
        changed = asyncio.Event()

        def on_listing(listing: Listing) -> None:
            seen.clear()
            for item in listing.items:
                on_change(item)
            changed.set()

        def on_change(item: StoredItem) -> None:
            if item.removed:
                seen.pop(item.key, None)
            else:
                seen[item.key] = item.content()
            changed.set()

        async def expect(wanted: dict[str, bytes]) -> None:
            async with asyncio.timeout(5.0):
                while seen != wanted:
                    changed.clear()
                    await changed.wait()

        await store.put("op/config", b"1")
        task = asyncio.create_task(
            follow_prefix(
                client,
                "op/",
                clock=SystemClock(),
                on_listing=on_listing,
                on_change=on_change,
            )
        )
        await expect({"op/config": b"1"})
        await store.put("op/config", b"2")
        await expect({"op/config": b"2"})
        store.refusing = True
        await store.put("op/config", b"3")
        store.forgotten = store.revision
        store.events.clear()
        store.refusing = False
        await store.put("op/other", b"4")
        await expect({"op/config": b"3", "op/other": b"4"})
        await store.remove("op/other")
        await expect({"op/config": b"3"})
        task.cancel()
