"""Entries on an in-memory network in virtual time, with injectable faults."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from contextlib import asynccontextmanager, suppress
from random import Random

from lentilroad.errors import LentilroadError, UnavailableError
from lentilroad.membership.members import EntryMembership
from lentilroad.membership.shards import ShardTable
from lentilroad.wire.codec import MessagePackCodec
from lentilroad.wire.messages import PeerRecord, ReplicateReply, ReplicateRequest
from lentilroad.wire.services import (
    GRANT,
    PAIR_HEARTBEAT,
    PING,
    PULL_SHARD_MAP,
    REPLICATE,
)
from tests.fakes.key_value import FakeKeyValueStore

LATENCY_S = (0.0005, 0.002)
COMMIT_INTERVAL_S = 0.1


class NodeClock:
    """Clock of one entry: loop time, with sleeps that do not end during a pause."""

    def __init__(self, node):
        self._node = node

    def monotonic_s(self):
        """Return loop time."""
        return asyncio.get_running_loop().time()

    def time_s(self):
        """Return loop time as Unix time."""
        return 1.7e9 + self.monotonic_s()

    async def sleep(self, delay_s):
        """Sleep, and return only while the entry is not paused."""
        await asyncio.sleep(delay_s)
        await self._node.running.wait()


class Node:
    """One entry, as successive processes at one address."""

    def __init__(self, group, address, zone, region="r1"):
        self.group = group
        self.address = address
        self.zone = zone
        self.region = region
        self.running = asyncio.Event()
        self.alive = False
        self.started_ms = 0
        self.gained = []
        self.lost = []
        self.commits = 0
        self._tasks = []

    def start(self):
        """Start a new process at this address."""
        group = self.group
        clock = NodeClock(self)
        self.alive = True
        self.running.set()
        self.started_ms = int(clock.time_s() * 1000) + 1
        self.gained, self.lost = [], []
        record = PeerRecord(
            address=self.address,
            region=self.region,
            availability_zone=self.zone,
            incarnation=self.started_ms,
            started_ms=self.started_ms,
        )
        self.members = EntryMembership(
            record=record,
            seeds=group.seeds,
            call=self.call,
            clock=clock,
            random=Random(group.random.random()),
        )
        self.table = ShardTable(
            address=self.address,
            region=self.region,
            started_ms=self.started_ms,
            members=self.members,
            key_value=group.key_value,
            call=self.call,
            clock=clock,
            random=Random(group.random.random()),
            shard_count=group.shard_count,
            on_gained=lambda shard, record: self.gained.append((shard, record)),
            on_lost=self.lost.append,
            copy_shard=self._copy,
        )
        self.handlers = {
            PING.path: self.members.ping,
            GRANT.path: self.table.grant,
            PAIR_HEARTBEAT.path: self.table.pair_heartbeat,
            PULL_SHARD_MAP.path: self.table.pull_shard_map,
            REPLICATE.path: self._replicate,
        }
        coroutines = [self.members.run(), self.table.run(), self._commit_loop(clock)]
        self._tasks = [asyncio.create_task(c) for c in coroutines]

    async def kill(self):
        """Kill the process."""
        self.alive = False
        self.running.set()
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with suppress(asyncio.CancelledError):
                await task
        self._tasks = []

    def pause(self):
        """Suspend the process; messages to it wait."""
        self.running.clear()

    def resume(self):
        """Resume the suspended process."""
        self.running.set()

    def failed_task(self):
        """Return the exception of a task that failed, if any."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception():
                return task.exception()
        return None

    async def call(self, address, method, request, timeout_s):
        """Send a request as this process."""
        started_ms = self.started_ms
        try:
            return await self.group.deliver(self, address, method, request, timeout_s)
        finally:
            await self.running.wait()
            if started_ms != self.started_ms:
                raise asyncio.CancelledError

    async def _copy(self, shard, record, final):
        await asyncio.sleep(0.01)
        await self.running.wait()
        return True

    async def _replicate(self, request):
        accepted = self.table.accepts(request.shard, request.epoch, request.owner)
        if accepted:
            self.group.record_accepted(request)
        return ReplicateReply(
            accepted=accepted, highest_epoch=self.table.highest_epoch(request.shard)
        )

    async def _commit_loop(self, clock):
        while True:
            await clock.sleep(self.group.commit_interval_s)
            for shard in self.table.shards_owned():
                await self._commit(shard)

    async def _commit(self, shard):
        epoch = self.table.owned_epoch(shard)
        if epoch is None:
            return
        record = self.table.record(shard)
        commit = f"{self.address}@{self.started_ms}/{self.commits}"
        self.commits += 1
        request = ReplicateRequest(
            shard=shard, epoch=epoch, owner=self.address, records=[commit.encode()]
        )
        if not record.standby:
            self.group.record_accepted(request)
            self.group.record_acknowledged(request)
            return
        try:
            reply = await self.call(record.standby, REPLICATE, request, 0.5)
        except LentilroadError:
            return
        if reply.accepted and self.table.owned_epoch(shard) == epoch:
            self.group.record_acknowledged(request)


class Group:
    """Entries of one region, their network and the key-value service."""

    def __init__(self, *, seed, entries, shard_count=4, zones=3):
        self.random = Random(seed)
        self.shard_count = shard_count
        self.key_value = FakeKeyValueStore()
        self.seeds = [f"10.0.0.{n}:7000" for n in range(min(entries, 2))]
        self.nodes = {}
        # Pairs of sender and receiver whose messages are dropped.
        self.dropped_links = set()
        self.latency_s = LATENCY_S
        self.commit_interval_s = COMMIT_INTERVAL_S
        self.counts = defaultdict(int)
        self._accepted = []
        self._acknowledged = set()
        self._codec = MessagePackCodec()
        for number in range(entries):
            address = f"10.0.0.{number}:7000"
            self.nodes[address] = Node(self, address, f"z{number % zones}")

    async def deliver(self, sender, address, method, request, timeout_s):
        """Deliver one request and its reply."""
        self.counts[method.path] += 1
        try:
            async with asyncio.timeout(timeout_s):
                return await self._deliver(sender, address, method, request)
        except TimeoutError:
            raise UnavailableError("no answer in time", outcome="unknown") from None

    async def _deliver(self, sender, address, method, request):
        await asyncio.sleep(self.random.uniform(*self.latency_s))
        node = self.nodes.get(address)
        if (sender.address, address) in self.dropped_links:
            await asyncio.sleep(3600)
        if node is None or not node.alive:
            raise UnavailableError("connection refused", outcome="not_run")
        encoded = self._codec.encode(request, method.request_type)
        # The peer handles a request even after the sender has timed out.
        handling = asyncio.ensure_future(self._handle(node, method, encoded))
        reply = await asyncio.shield(handling)
        await asyncio.sleep(self.random.uniform(*self.latency_s))
        if (address, sender.address) in self.dropped_links:
            await asyncio.sleep(3600)
        if reply is None:
            raise UnavailableError("connection lost", outcome="unknown")
        return self._codec.decode(reply, method.reply_type)

    async def _handle(self, node, method, encoded):
        started_ms = node.started_ms
        await node.running.wait()
        if not node.alive or node.started_ms != started_ms:
            return None
        request = self._codec.decode(encoded, method.request_type)
        reply = await node.handlers[method.path](request)
        if not node.alive:
            return None
        return self._codec.encode(reply, method.reply_type)

    def record_accepted(self, request):
        """Record a commit that all required entries have stored."""
        self._accepted.append(
            (request.shard, request.epoch, request.owner, request.records[0])
        )

    def record_acknowledged(self, request):
        """Record a commit that the owner considers complete."""
        self._acknowledged.add(request.records[0])

    def commits(self):
        """Return acknowledged commits (shard, epoch, owner) in order."""
        return [
            (shard, epoch, owner, commit.decode().split("/")[0])
            for shard, epoch, owner, commit in self._accepted
            if commit in self._acknowledged
        ]

    def assert_single_owner(self):
        """Assert one owner process per epoch, and epochs that never decrease."""
        owners = {}
        highest = defaultdict(int)
        for shard, epoch, _, process in self.commits():
            known = owners.setdefault((shard, epoch), process)
            assert known == process, f"{shard} epoch {epoch}: {known} and {process}"
            assert epoch >= highest[shard], f"{shard}: epoch {epoch} after a later one"
            highest[shard] = epoch
        for node in self.nodes.values():
            assert node.failed_task() is None, repr(node.failed_task())

    def committed_since(self, index):
        """Return the shards with an acknowledged commit accepted after `index`."""
        return {
            shard
            for shard, _, _, commit in self._accepted[index:]
            if commit in self._acknowledged
        }

    def commit_position(self):
        """Return the current position for `committed_since`."""
        return len(self._accepted)

    def shards(self):
        """Return all shard names."""
        return {f"r1/{index:04x}" for index in range(self.shard_count)}

    async def wait_until_served(self, limit_s):
        """Wait until every shard has a new commit; return the elapsed seconds."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        position = self.commit_position()
        while self.committed_since(position) != self.shards():
            missing = self.shards() - self.committed_since(position)
            assert loop.time() - started_s < limit_s, f"{missing} without an owner"
            await asyncio.sleep(0.05)
        return loop.time() - started_s


@asynccontextmanager
async def running_group(**options):
    """Start a group, wait until all shards are served, and kill it at the end."""
    group = Group(**options)
    for node in group.nodes.values():
        node.start()
    try:
        await group.wait_until_served(30)
        # Waits for the first heartbeats and the rebalancing after the join.
        await asyncio.sleep(8)
        yield group
    finally:
        for node in group.nodes.values():
            await node.kill()
