"""Storage processes in memory, in virtual time, with switchable faults."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncGenerator, Iterator
from typing import Any

from lentilroad.clock import Clock, LoopClock
from lentilroad.conversation.client import Location, StorageClient
from lentilroad.conversation.errors import DiskRefusedError
from lentilroad.conversation.joining import MemberMapStore, StorageMembership
from lentilroad.conversation.members import (
    Member,
    MemberList,
    MemberMap,
    encode_members,
)
from lentilroad.conversation.messages import (
    ANNOUNCE,
    PROBE,
    PULL,
    PUT_LEDGERS,
    PUT_TURNS,
    READ_CHAIN,
    RESERVE,
    WHICH_TURNS,
    TurnRecord,
)
from lentilroad.conversation.relay import EntryRegistry
from lentilroad.conversation.replica import Replica
from lentilroad.errors import ConflictError, UnavailableError

IN_REGION_S = 0.001
OTHER_REGION_S = 0.012
SYNC_S = 0.001


class MemoryJournal:
    """Journal whose records survive the replica that wrote them.

    Attributes
    ----------
    stalled : bool
        Whether the disk holds up all writes.
    full : bool
        Whether the disk refuses all writes.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.records: list[bytes] = []
        self.stalled = False
        self.full = False
        self.refused_since_s: float | None = None
        self._clock = clock

    def read(self) -> Iterator[tuple[int, bytes]]:
        """Return all synced records."""
        return ((1, record) for record in self.records)

    async def append(self, payload: bytes) -> int:
        """Sync one record."""
        await self._clock.sleep(SYNC_S)
        while self.stalled:
            await self._clock.sleep(SYNC_S)
        if self.full:
            self.refused_since_s = self.refused_since_s or self._clock.monotonic_s()
            raise DiskRefusedError("the disk is full; free space on it")
        self.refused_since_s = None
        self.records.append(payload)
        return 1

    def remove_before(self, number: int) -> int:
        """Keep everything."""
        return 0

    def current_segment(self) -> int:
        """Return the only segment."""
        return 1

    def size_bytes(self) -> int:
        """Return the size of all records."""
        return sum(len(record) for record in self.records)

    def pending_write_s(self) -> float:
        """Return a long wait while the disk is stalled."""
        return 10.0 if self.stalled else 0.0


class StoredMap:
    """The list of members in a metadata store."""

    def __init__(self) -> None:
        self.known = MemberMap(version=0, member_list=MemberList())
        self.away = False
        self.tries = 0
        # Delay with which watchers are notified of a change.
        self.delay_s = 0.0
        self.watchers: list[Any] = []

    async def read(self) -> MemberMap:
        """Return the newest list."""
        await asyncio.sleep(0.004)
        if self.away:
            raise UnavailableError("the store is away")
        return self.known

    async def write(self, member_list: MemberList, version: int) -> int:
        """Write the list if `version` is the stored version."""
        self.tries += 1
        await asyncio.sleep(0.004)
        if self.away:
            raise UnavailableError("the store is away")
        if version != self.known.version:
            raise ConflictError("the list was changed meanwhile")
        self.known = MemberMap(version=version + 1, member_list=member_list)
        for watcher in self.watchers:
            if self.delay_s:
                asyncio.get_running_loop().call_later(self.delay_s, watcher, self.known)
            else:
                watcher(self.known)
        return self.known.version


class StorageNode:
    """Storage member with an in-memory disk."""

    def __init__(self, *, cluster: StorageCluster, name: str, region: str) -> None:
        self.cluster = cluster
        self.name = name
        self.region = region
        self.address = name
        self.disks = 0
        self.running = False
        self.replica: Replica
        self.entries: EntryRegistry
        self.membership: StorageMembership
        self.journal: MemoryJournal
        self._known = MemberMap(version=0, member_list=MemberList())
        self._task: asyncio.Task[None] | None = None
        self.new_disk()

    def new_disk(self) -> None:
        """Replace the disk by an empty one."""
        self.disks += 1
        self.journal = MemoryJournal(clock=self.cluster.clock)

    def start(self, *, first_start: bool = False) -> None:
        """Start the process on its disk."""
        disk_id = f"disk-{self.name}-{self.disks}"
        self.replica = Replica(
            journal=self.journal,
            disk_id=disk_id,
            clock=self.cluster.clock,
            disk_bytes=10**8,
            member_disks=lambda: {m.disk_id for m in self._known.member_list.members},
            members=lambda: (
                self._known.version,
                encode_members(self._known.member_list),
            ),
            update_members=lambda version, members: self.membership.update_encoded_map(
                version, members
            ),
        )
        self.replica.recover()
        self.membership = StorageMembership(
            member=Member(
                node=self.name,
                disk_id=disk_id,
                address=self.address,
                availability_zone=f"{self.region}-a",
                region=self.region,
            ),
            new_disk=not self.journal.records,
            first_start=first_start,
            replica=self.replica,
            map_store=MemberMapStore(
                read=self.cluster.stored.read, write=self.cluster.stored.write
            ),
            call=self.cluster.caller(self.region, self.name),
            stream=self.cluster.streamer(self.region, self.name),
            clock=self.cluster.clock,
            on_map=self._update_map,
            losses_tolerated=self.cluster.losses_tolerated,
            random_share=random.Random(self.name).random,
        )
        self.cluster.stored.watchers.append(self.membership.update_map)
        self.entries = EntryRegistry(clock=self.cluster.clock)
        self.running = True
        self._task = asyncio.create_task(self.membership.run())

    def kill(self) -> None:
        """Kill the process and retain its disk."""
        self.running = False
        if self._task is not None:
            self._task.cancel()
        if self.membership.update_map in self.cluster.stored.watchers:
            self.cluster.stored.watchers.remove(self.membership.update_map)

    def wipe(self) -> None:
        """Kill the process and lose its disk."""
        self.kill()
        self.new_disk()

    def holds(self, turn_id: str) -> bool:
        """Return whether the disk holds a turn."""
        return any(record.turn_id == turn_id for record in self.replica.turns())

    def _update_map(self, known: MemberMap) -> None:
        self._known = known


class StorageCluster:
    """Storage processes that call each other in memory.

    Parameters
    ----------
    regions : list of str
        Region of each instance.
    losses_tolerated : int
        Number of disks that may fail simultaneously without data loss.
    """

    def __init__(self, *, regions: list[str], losses_tolerated: int = 1) -> None:
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.losses_tolerated = losses_tolerated
        self.stored = StoredMap()
        self.cut: set[tuple[str, str]] = set()
        self.nodes: dict[str, StorageNode] = {}
        for number, region in enumerate(regions):
            self.add(f"store-{number}", region)

    def add(self, name: str, region: str) -> StorageNode:
        """Add an instance that is not started."""
        self.nodes[name] = StorageNode(cluster=self, name=name, region=region)
        return self.nodes[name]

    async def form(self) -> None:
        """Start all instances for the first time."""
        for node in self.nodes.values():
            node.start(first_start=True)
        await self.clock.sleep(5.0)

    def client(self, region: str, name: str = "entry") -> StorageClient:
        """Return the client of an entry in a region; it follows the list."""
        client = StorageClient(
            call=self.caller(region, name),
            clock=self.clock,
            location=Location(availability_zone=f"{region}-a", region=region),
            losses_tolerated=self.losses_tolerated,
        )
        client.update_map(self.stored.known)
        self.stored.watchers.append(client.update_map)
        return client

    def caller(self, region: str, name: str) -> Any:
        """Return a function that calls members from the given entry or member."""

        async def call(address: str, method: Any, request: Any, timeout_s: float):
            async with asyncio.timeout(timeout_s):
                node = await self._reach(region, name, address)
                handlers = {
                    PUT_TURNS: node.replica.put_turns,
                    READ_CHAIN: node.replica.read_chain,
                    RESERVE: node.replica.reserve,
                    PUT_LEDGERS: node.replica.put_ledgers,
                    WHICH_TURNS: node.replica.which_turns,
                    PROBE: node.replica.probe,
                    ANNOUNCE: node.entries.announce,
                }
                reply = await handlers[method](request)
                await self._reach(region, name, address)
                return reply

        return call

    def streamer(self, region: str, name: str) -> Any:
        """Return a function that streams from members to the given member."""

        async def stream(
            address: str, method: Any, request: Any, timeout_s: float
        ) -> AsyncGenerator[Any, None]:
            assert method is PULL
            async with asyncio.timeout(timeout_s):
                node = await self._reach(region, name, address)
                async for batch in node.replica.pull(request):
                    yield batch

        return stream

    async def _reach(self, region: str, name: str, address: str) -> StorageNode:
        node = self.nodes[address]
        near = node.region == region
        await self.clock.sleep(IN_REGION_S if near else OTHER_REGION_S)
        if not node.running or (name, address) in self.cut:
            # No reply is sent; the call ends at its timeout.
            await asyncio.Event().wait()
        return node


def turn(turn_id: str, previous_id: str = "", **fields: Any) -> TurnRecord:
    """Return a short record of a turn."""
    values = {
        "input": f"in-{turn_id}\n".encode(),
        "output": f"out-{turn_id}\n".encode(),
        "instance_id": "i-1",
        "holders": [],
        "retention_s": 60.0,
        **fields,
    }
    return TurnRecord(turn_id=turn_id, previous_id=previous_id, **values)
