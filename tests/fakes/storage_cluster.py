"""In-memory storage members in virtual time, with fault injection."""

from __future__ import annotations

import asyncio
import enum
import random
from collections.abc import AsyncGenerator, Callable, Iterator
from typing import Any

from lentilroad.clock import Clock, LoopClock
from lentilroad.conversation.client import Location, StorageClient
from lentilroad.conversation.const import (
    LIFETIME_EXCHANGE_INTERVAL_S,
    SWEEP_INTERVAL_S,
)
from lentilroad.conversation.errors import DiskRefusedError
from lentilroad.conversation.joining import MemberMapStore, StorageMembership
from lentilroad.conversation.lifetimes import LifetimeExchange, LifetimeTable
from lentilroad.conversation.members import (
    Member,
    MemberList,
    MemberMap,
    encode_members,
)
from lentilroad.conversation.messages import (
    ANNOUNCE,
    EXTEND_LIFETIMES,
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

IN_REGION_LATENCY_S = 0.001
CROSS_REGION_LATENCY_S = 0.012
SYNC_DURATION_S = 0.001
# A write that is done late takes effect after the writer has read the list again.
LATE_WRITE_S = 0.2


class MemoryJournal:
    """Journal whose records survive the replica that wrote them.

    Attributes
    ----------
    stalled : bool
        Whether the disk delays all writes.
    full : bool
        Whether the disk refuses all writes.
    segment_records : int
        Number of records after which the next segment starts.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.records: list[bytes] = []
        self.stalled = False
        self.full = False
        self.segment_records = 10**9
        self._removed = 0
        self.refused_since_s: float | None = None
        self._clock = clock

    def read(self) -> Iterator[tuple[int, bytes]]:
        """Return all synced records."""
        return (
            (self._segment(self._removed + index), record)
            for index, record in enumerate(self.records)
        )

    def _segment(self, position: int) -> int:
        return 1 + position // self.segment_records

    async def append(self, payload: bytes) -> int:
        """Sync one record."""
        await self._clock.sleep(SYNC_DURATION_S)
        while self.stalled:
            await self._clock.sleep(SYNC_DURATION_S)
        if self.full:
            self.refused_since_s = self.refused_since_s or self._clock.monotonic_s()
            raise DiskRefusedError("the disk is full; free space on it")
        self.refused_since_s = None
        self.records.append(payload)
        return self.current_segment()

    def remove_before(self, number: int) -> int:
        """Remove the records of the segments before `number` and return their count."""
        removed = 0
        while self.records and self._segment(self._removed) < number:
            del self.records[0]
            self._removed += 1
            removed += 1
        return removed

    def current_segment(self) -> int:
        """Return the number of the newest segment."""
        return self._segment(self._removed + max(0, len(self.records) - 1))

    def size_bytes(self) -> int:
        """Return the size of all records."""
        return sum(len(record) for record in self.records)

    def pending_write_s(self) -> float:
        """Return a time above `DISK_STALL_S` while the disk is stalled."""
        return 10.0 if self.stalled else 0.0


class WriteOutcome(enum.Enum):
    """What happens to one write: its effect and its answer may both be missing."""

    ANSWERED = "answered"
    UNANSWERED = "done, without an answer"
    LATE = "done after the caller has given up"


class MemoryMemberStore:
    """Member list in a metadata store.

    Attributes
    ----------
    member_map : MemberMap
        Newest member list and its version.
    unavailable : bool
        Whether all reads and writes fail.
    write_attempts : int
        Number of writes that were attempted, including refused ones.
    notify_delay_s : float
        Delay after which watchers are notified of a change.
    write_outcome : callable
        Returns for a written list what happens to the write; see `WriteOutcome`.
    """

    def __init__(self) -> None:
        self.member_map = MemberMap(version=0, member_list=MemberList())
        self.unavailable = False
        self.write_attempts = 0
        self.notify_delay_s = 0.0
        self.write_outcome: Callable[[MemberList], WriteOutcome] = lambda member_list: (
            WriteOutcome.ANSWERED
        )
        self.watchers: list[Any] = []

    async def read(self) -> MemberMap:
        """Return the newest member list."""
        await asyncio.sleep(0.004)
        if self.unavailable:
            raise UnavailableError("the metadata store is unavailable; retry later")
        return self.member_map

    async def write(self, member_list: MemberList, version: int) -> int:
        """Write the member list if `version` is the stored version."""
        self.write_attempts += 1
        await asyncio.sleep(0.004)
        if self.unavailable:
            raise UnavailableError("the metadata store is unavailable; retry later")
        outcome = self.write_outcome(member_list)
        if outcome is WriteOutcome.LATE:
            asyncio.get_running_loop().call_later(
                LATE_WRITE_S, self._replace_if_unchanged, member_list, version
            )
            raise UnavailableError("the metadata store does not answer; retry later")
        if not self._replace_if_unchanged(member_list, version):
            raise ConflictError(
                "the member list was changed concurrently; read it again"
            )
        if outcome is WriteOutcome.UNANSWERED:
            raise UnavailableError("the metadata store does not answer; retry later")
        return self.member_map.version

    def _replace_if_unchanged(self, member_list: MemberList, version: int) -> bool:
        if version != self.member_map.version:
            return False
        self.member_map = MemberMap(version=version + 1, member_list=member_list)
        for watcher in self.watchers:
            if self.notify_delay_s:
                asyncio.get_running_loop().call_later(
                    self.notify_delay_s, watcher, self.member_map
                )
            else:
                watcher(self.member_map)
        return True


class StorageNode:
    """Storage member with an in-memory disk."""

    def __init__(self, *, cluster: StorageCluster, name: str, region: str) -> None:
        self.cluster = cluster
        self.name = name
        self.region = region
        self.address = name
        self.disk_count = 0
        self.running = False
        self.replica: Replica
        self.entries: EntryRegistry
        self.lifetimes: LifetimeExchange
        self.membership: StorageMembership
        self.journal: MemoryJournal
        self._member_map = MemberMap(version=0, member_list=MemberList())
        self._tasks: list[asyncio.Task[None]] = []
        self._resumed = asyncio.Event()
        self._resumed.set()
        self.new_disk()

    def new_disk(self) -> None:
        """Replace the disk with an empty disk."""
        self.disk_count += 1
        self.journal = MemoryJournal(clock=self.cluster.clock)

    def start(self, *, first_start: bool = False) -> None:
        """Start the process on its disk."""
        disk_id = f"disk-{self.name}-{self.disk_count}"
        table = LifetimeTable()
        self.replica = Replica(
            journal=self.journal,
            disk_id=disk_id,
            clock=self.cluster.clock,
            disk_bytes=10**8,
            member_disks=lambda: {
                m.disk_id for m in self._member_map.member_list.members
            },
            map_version=lambda: self._member_map.version,
            members=lambda: (
                self._member_map.version,
                encode_members(self._member_map.member_list),
            ),
            update_members=lambda version, members: self.membership.update_encoded_map(
                version, members
            ),
            lifetimes=table,
            confirmed_until_s=lambda: self.lifetimes.confirmed_until_s(),
        )
        self.lifetimes = LifetimeExchange(
            table=table,
            disk_id=disk_id,
            copied_assignment=lambda: self.replica.copied_assignment,
            member_map=lambda: self._member_map,
            call=self.cluster.caller(self.region, self.name),
            clock=self.cluster.clock,
            losses_tolerated=self.cluster.losses_tolerated,
        )
        self._member_map = MemberMap(version=0, member_list=MemberList())
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
                read=self.cluster.member_store.read,
                write=self.cluster.member_store.write,
            ),
            call=self.cluster.caller(self.region, self.name),
            stream=self.cluster.streamer(self.region, self.name),
            clock=self.cluster.clock,
            on_map=self._update_map,
            losses_tolerated=self.cluster.losses_tolerated,
            random_share=random.Random(self.name).random,
        )
        self.cluster.member_store.watchers.append(self.membership.update_map)
        self.entries = EntryRegistry(clock=self.cluster.clock)
        self.running = True
        self._tasks = [
            asyncio.create_task(self.membership.run()),
            asyncio.create_task(self._maintain_lifetimes()),
        ]

    async def _maintain_lifetimes(self) -> None:
        """Drop expired records and exchange lifetimes, as the storage process does."""
        clock = self.cluster.clock
        steps = round(LIFETIME_EXCHANGE_INTERVAL_S / SWEEP_INTERVAL_S)
        while True:
            for _ in range(steps):
                await clock.sleep(SWEEP_INTERVAL_S)
                await self.replica.maintain()
            await self.lifetimes.send()

    def kill(self) -> None:
        """Kill the process and retain its disk."""
        self.running = False
        for task in self._tasks:
            task.cancel()
        if self.membership.update_map in self.cluster.member_store.watchers:
            self.cluster.member_store.watchers.remove(self.membership.update_map)

    def pause(self) -> None:
        """Hold back all calls from and to the process."""
        self._resumed.clear()

    def resume(self) -> None:
        """Let the held back calls go on."""
        self._resumed.set()

    def is_paused(self) -> bool:
        """Return whether the process is paused."""
        return not self._resumed.is_set()

    async def wait_resumed(self) -> None:
        """Wait while the process is paused."""
        await self._resumed.wait()

    def wipe(self) -> None:
        """Kill the process and replace its disk with an empty disk."""
        self.kill()
        self.new_disk()

    def assignment(self) -> int:
        """Return the assignment of the disk in the stored member list."""
        member = self.cluster.member_store.member_map.member_list.find(
            self.replica.disk_id
        )
        assert member is not None
        return member.assignment

    def stores(self, turn_id: str) -> bool:
        """Return whether the disk stores a turn."""
        return any(record.turn_id == turn_id for record in self.replica.turns())

    def _update_map(self, member_map: MemberMap) -> None:
        self._member_map = member_map


class StorageCluster:
    """Storage members that call each other in memory.

    Parameters
    ----------
    regions : list of str
        Region of each member.
    losses_tolerated : int
        Number of disks that may fail simultaneously without data loss.

    Attributes
    ----------
    cut_links : set of tuple of str
        Pairs of a caller's name and a member's address that cannot communicate.
    link_delays_s : dict of tuple of str to float
        Additional delay of calls between such pairs.
    """

    def __init__(self, *, regions: list[str], losses_tolerated: int = 1) -> None:
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.losses_tolerated = losses_tolerated
        self.member_store = MemoryMemberStore()
        self.cut_links: set[tuple[str, str]] = set()
        self.link_delays_s: dict[tuple[str, str], float] = {}
        self.nodes: dict[str, StorageNode] = {}
        for index, region in enumerate(regions):
            self.add(f"store-{index}", region)

    def add(self, name: str, region: str) -> StorageNode:
        """Add a member without starting it."""
        self.nodes[name] = StorageNode(cluster=self, name=name, region=region)
        return self.nodes[name]

    async def form(self) -> None:
        """Start all members for the first time and wait until they have joined."""
        for node in self.nodes.values():
            node.start(first_start=True)
        await self.clock.sleep(5.0)

    def heal(self) -> None:
        """Resume all processes and end the faults of all links."""
        self.cut_links.clear()
        self.link_delays_s.clear()
        for node in self.nodes.values():
            node.resume()

    def client(self, region: str, name: str = "entry") -> StorageClient:
        """Return the client of an entry in a region; it watches the member list."""
        client = StorageClient(
            call=self.caller(region, name),
            clock=self.clock,
            location=Location(availability_zone=f"{region}-a", region=region),
            losses_tolerated=self.losses_tolerated,
        )
        client.update_map(self.member_store.member_map)
        self.member_store.watchers.append(client.update_map)
        return client

    def caller(self, region: str, name: str) -> Any:
        """Return a function that calls members from the given entry or member."""

        async def call(address: str, method: Any, request: Any, timeout_s: float):
            async with asyncio.timeout(timeout_s):
                node = await self._reach(region, name, address)
                replica = node.replica
                handlers = {
                    PUT_TURNS: node.replica.put_turns,
                    READ_CHAIN: node.replica.read_chain,
                    RESERVE: node.replica.reserve,
                    PUT_LEDGERS: node.replica.put_ledgers,
                    WHICH_TURNS: node.replica.which_turns,
                    PROBE: node.replica.probe,
                    EXTEND_LIFETIMES: node.lifetimes.receive,
                    ANNOUNCE: node.entries.announce,
                }
                reply = await handlers[method](request)
                await node.wait_resumed()
                if node.replica is not replica:
                    # The process that ran the call was ended; nobody replies.
                    await asyncio.Event().wait()
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
                replica = node.replica
                async for batch in replica.pull(request):
                    await node.wait_resumed()
                    if node.replica is not replica:
                        await asyncio.Event().wait()
                    yield batch

        return stream

    async def _reach(self, region: str, name: str, address: str) -> StorageNode:
        if name in self.nodes:
            await self.nodes[name].wait_resumed()
        node = self.nodes[address]
        same_region = node.region == region
        await self.clock.sleep(
            IN_REGION_LATENCY_S if same_region else CROSS_REGION_LATENCY_S
        )
        await self.clock.sleep(self.link_delays_s.get((name, address), 0.0))
        await node.wait_resumed()
        if not node.running or (name, address) in self.cut_links:
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
