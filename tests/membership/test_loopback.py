"""Membership over real connections, with the key-value client and stand-in."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from random import Random

from aiohttp.test_utils import TestServer

from lentilroad.adapters.etcd import EtcdKeyValueStore
from lentilroad.clock import SystemClock
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import start_server
from lentilroad.membership.members import EntryMembership
from lentilroad.membership.shards import ShardTable
from lentilroad.membership.sidecars import SidecarDirectory
from lentilroad.standins.key_value import KeyValueStandIn
from lentilroad.wire.messages import (
    LoadReport,
    PeerRecord,
    SidecarHeartbeat,
    SidecarRecord,
)
from lentilroad.wire.services import (
    GRANT,
    PAIR_HEARTBEAT,
    PING,
    PULL_SHARD_MAP,
    SIDECAR_HEARTBEAT,
)

SHARDS = 6


class Entry:
    """One entry on the loopback interface."""

    def __init__(self, number, endpoint):
        self.number = number
        self.clock = SystemClock()
        self.peers = PeerConnections(clock=self.clock)
        self.key_value = EtcdKeyValueStore(clock=self.clock, endpoints=[endpoint])
        self.tasks = []

    async def start(self, seeds):
        """Start the server and join the group."""
        handlers = {
            PING: lambda request: self.members.ping(request),
            GRANT: lambda request: self.table.grant(request),
            PAIR_HEARTBEAT: lambda request: self.table.pair_heartbeat(request),
            PULL_SHARD_MAP: lambda request: self.table.pull_shard_map(request),
            SIDECAR_HEARTBEAT: lambda request: self.sidecars.heartbeat(request),
        }
        self.server = await start_server(handlers, "127.0.0.1", 0)
        started_ms = int(self.clock.time_s() * 1000)
        common = {"call": self.peers.call, "clock": self.clock}
        self.members = EntryMembership(
            record=PeerRecord(
                address=self.server.address,
                region="r1",
                availability_zone=f"z{self.number}",
                incarnation=started_ms,
                started_ms=started_ms,
            ),
            seeds=seeds,
            random=Random(self.number),
            **common,
        )
        self.sidecars = SidecarDirectory(
            clock=self.clock,
            address=self.server.address,
            region="r1",
            incarnation=started_ms,
            alive_entries=self.members.alive_entries,
        )
        self.members.add_piggyback(self.sidecars.fill_probe, self.sidecars.read_probe)
        self.table = ShardTable(
            address=self.server.address,
            region="r1",
            started_ms=started_ms,
            members=self.members,
            key_value=self.key_value,
            random=Random(self.number),
            shard_count=SHARDS,
            **common,
        )
        running = (self.members.run(), self.table.run(), self.sidecars.run())
        self.tasks = [asyncio.create_task(coroutine) for coroutine in running]

    async def stop(self):
        """Stop the entry without a drain."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.server.close(grace_s=0)
        await self.peers.close()
        await self.key_value.close()


async def wait_until(condition):
    """Wait until a condition holds; a generous limit ends a hanging test."""
    for _ in range(1200):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("condition does not hold")


async def test_shards_are_taken_over_and_sidecar_records_are_gossiped():
    """Guard against shards without exactly one owner before and after a death."""
    async with AsyncExitStack() as stack:
        state = KeyValueStandIn()
        server = TestServer(state.build_application())
        await server.start_server()
        stack.push_async_callback(server.close)
        entries = [Entry(number, str(server.make_url(""))) for number in range(3)]
        seeds = []
        for entry in entries:
            await entry.start(seeds)
            stack.push_async_callback(entry.stop)
            seeds = [entries[0].server.address]

        def served(by):
            owned = [shard for entry in by for shard in entry.table.shards_owned()]
            return len(owned) == len(set(owned)) == SHARDS

        await wait_until(lambda: served(entries))
        await wait_until(
            lambda: all(
                entry.table.record(shard).arbiter
                for entry in entries
                for shard in entry.table.shards("r1")
            )
        )
        record = SidecarRecord(
            address="127.0.0.1:1",
            upstream_id="engine-1",
            kind="engine",
            names=["small"],
            region="r1",
            availability_zone="z1",
            incarnation=1,
        )
        await entries[2].peers.call(
            entries[1].server.address,
            SIDECAR_HEARTBEAT,
            SidecarHeartbeat(record=record, load=LoadReport()),
            5.0,
        )
        await wait_until(lambda: entries[0].sidecars.serving("small", "r1"))
        state.faults.down = True
        await entries[2].stop()
        await wait_until(lambda: served(entries[:2]))
