"""Entries and sidecars with the real parts, connected in memory."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Coroutine
from random import Random
from typing import Any

from lentilroad.errors import OverloadedError
from lentilroad.faults.history import History
from lentilroad.faults.key_value import MemoryKeyValue
from lentilroad.faults.network import Network, Process, ProcessClock
from lentilroad.faults.upstreams import RecordingEngine, RecordingService
from lentilroad.membership.members import EntryMembership
from lentilroad.membership.program_id import shard_of
from lentilroad.membership.shards import ShardTable
from lentilroad.program.owner import ProgramOwner
from lentilroad.program.preparation import CallPolicy
from lentilroad.program.standby import ProgramStandby
from lentilroad.upstream.calls import CallRunner
from lentilroad.upstream.fifo import FifoQueue
from lentilroad.wire import services
from lentilroad.wire.messages import (
    DispatchEvent,
    DispatchRequest,
    PeerRecord,
    Queued,
    RunTurnRequest,
    SidecarRecord,
)

REGION = "r"
ZONES = 3
SHARD_COUNT = 2
HOLD_PRICE_MICRO = 10
# A sidecar's death, drain and return reach all entries within this time.
DIRECTORY_DEATH_LAG_S = 1.5
DIRECTORY_LAG_S = 0.5
HAND_OVER_POLLS = 300
DRAIN_LIMIT_S = 20.0
LINGER_S = 2.0
READY_POLLS = 300


def policy_of(request: RunTurnRequest) -> CallPolicy:
    """Return the policy: a hold costs money and may not be repeated."""
    if request.kind == "chat":
        return CallPolicy(idempotent=True)
    if request.operation == "lookup":
        return CallPolicy(idempotent=True)
    return CallPolicy(price_micro=HOLD_PRICE_MICRO)


class EntryNode:
    """One entry process; `start` replaces a dead one at the same address."""

    def __init__(self, *, world: World, number: int) -> None:
        self.world = world
        self.address = f"10.0.0.{number}:7000"
        self.zone = f"z{number % ZONES}"
        self.is_draining = False
        self.start()

    def start(self) -> None:
        """Start a process."""
        world = self.world
        self.process = Process(address=self.address)
        clock = ProcessClock(process=self.process)
        world.network.add(self.process)
        self.is_draining = False
        started_ms = int(clock.time_s() * 1000) + 1
        call = world.network.caller(self.process)
        self.members = EntryMembership(
            record=PeerRecord(
                address=self.address,
                region=REGION,
                availability_zone=self.zone,
                incarnation=started_ms,
                started_ms=started_ms,
            ),
            seeds=[f"10.0.0.{number}:7000" for number in range(2)],
            call=call,
            clock=clock,
            random=Random(world.random.random()),
        )
        self.table = ShardTable(
            address=self.address,
            region=REGION,
            started_ms=started_ms,
            members=self.members,
            key_value=world.key_value,
            call=call,
            clock=clock,
            random=Random(world.random.random()),
            on_gained=lambda shard, record: self.owner.on_gained(shard, record),
            on_lost=lambda shard: self.owner.on_lost(shard),
            on_changed=lambda shard, record: self.owner.on_changed(shard, record),
            copy_shard=lambda shard, record, final: self.owner.copy_shard(
                shard, record, final
            ),
            shard_count=SHARD_COUNT,
        )
        self.standby = ProgramStandby(
            address=self.address,
            shard_table=self.table,
            clock=clock,
            started_ms=started_ms,
        )
        self.owner = ProgramOwner(
            address=self.address,
            shard_table=self.table,
            standby=self.standby,
            call=call,
            stream=world.network.streamer(self.process),
            choose_upstream=world.choose_upstream,
            shard_of=shard_of,
            clock=clock,
            random=Random(world.random.random()),
            policy_of=policy_of,
        )
        self.process.handlers = {
            services.PING: self.members.ping,
            services.GRANT: self.table.grant,
            services.PAIR_HEARTBEAT: self.table.pair_heartbeat,
            services.PULL_SHARD_MAP: self.table.pull_shard_map,
            services.REPLICATE: self.standby.replicate,
            services.OPEN_PROGRAM: self.owner.open_program,
            services.END_PROGRAM: self.owner.end_program,
            services.READ_PROGRAM: self.owner.read_program,
            services.RUN_TURN: self.owner.run_turn,
        }
        self.tasks = [
            world.start(coroutine)
            for coroutine in (self.members.run(), self.table.run(), self.owner.run())
        ]

    def kill(self) -> None:
        """End the process at once."""
        self.process.kill()
        for task in self.tasks:
            task.cancel()

    async def drain(self) -> None:
        """Hand all shards over, then stop."""
        process = self.process
        self.is_draining = True
        self.members.drain()
        for _ in range(HAND_OVER_POLLS):
            if process.is_dead or not self.owner.shards_held():
                break
            await asyncio.sleep(0.1)
        else:
            self.world.history.note("not_handed_over", entry=self.address)
        await asyncio.sleep(0.5)
        if self.process is process:
            self.kill()


class SidecarNode:
    """One sidecar with its upstream; `start` replaces a dead process."""

    def __init__(
        self,
        *,
        world: World,
        address: str,
        upstream: RecordingEngine | RecordingService,
    ) -> None:
        self.world = world
        self.address = address
        # The last part of the address, so that a zone has one of each kind at most.
        self.zone = f"z{int(address.split('.')[3].split(':')[0]) % ZONES}"
        self.upstream = upstream
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        """Start a process."""
        world = self.world
        self.incarnation += 1
        world.history.note("returned", upstream=self.address)
        self.process = Process(address=self.address)
        world.network.add(self.process)
        self.upstream.process = self.process
        clock = ProcessClock(process=self.process)
        is_engine = isinstance(self.upstream, RecordingEngine)
        self.record = SidecarRecord(
            address=self.address,
            upstream_id=self.address,
            kind="engine" if is_engine else "service",
            names=["model" if is_engine else "booking"],
            region=REGION,
            availability_zone=self.zone,
            incarnation=self.incarnation,
        )
        self.runner = CallRunner(
            record=self.record,
            clock=clock,
            queue=FifoQueue(clock=clock),
            limit=lambda: 8,
            engine=self.upstream if is_engine else None,  # type: ignore[arg-type]
            service=None if is_engine else self.upstream,  # type: ignore[arg-type]
        )
        handlers = dict(self.runner.handlers())
        handlers[services.DISPATCH] = self._dispatch
        self.process.handlers = handlers
        self.runner.start()
        world.later(DIRECTORY_LAG_S, self._show)

    def _show(self) -> None:
        if not self.process.is_dead and self.record.state == "serving":
            self.world.directory[self.address] = self.record

    async def _dispatch(
        self, request: DispatchRequest
    ) -> AsyncGenerator[DispatchEvent, None]:
        is_new = self.runner.ledger.get(request.call_id) is None
        async for event in self.runner.dispatch(request):
            if is_new and isinstance(event.event, Queued):
                self.world.history.note(
                    "accepted", upstream=self.address, call_id=request.call_id
                )
            yield event

    def kill(self) -> None:
        """End the process at once; the upstream goes on."""
        self.process.kill()
        self.world.later(DIRECTORY_DEATH_LAG_S, self._hide, self.process)

    def _hide(self, process: Process) -> None:
        if self.process is process:
            self.world.directory.pop(self.address, None)

    async def drain(self) -> None:
        """Refuse new calls, finish the accepted ones, stop."""
        self.world.history.note("leaving", upstream=self.address)
        self.runner.start_draining()
        self.world.later(DIRECTORY_LAG_S, self.world.directory.pop, self.address, None)
        process = self.process
        drained = asyncio.create_task(self.runner.drained())
        # A process that is killed in its drain never finishes it.
        # Owners that chose it just before still get an answer.
        await asyncio.sleep(LINGER_S)
        await asyncio.wait({drained}, timeout=DRAIN_LIMIT_S)
        self.world.history.note("left", upstream=self.address)
        process.kill()


class World:
    """All processes of one schedule.

    Parameters
    ----------
    random : Random
        Source of all choices.
    entries, engines, services : int
        Number of processes of each kind.
    """

    def __init__(
        self, *, random: Random, entries: int = 4, engines: int = 2, services: int = 2
    ) -> None:
        self.random = random
        self.history = History()
        self.network = Network()
        self.key_value = MemoryKeyValue()
        self.directory: dict[str, SidecarRecord] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self.failures: list[BaseException] = []
        self.sidecars: dict[str, SidecarNode] = {}
        for number in range(engines):
            engine = RecordingEngine(
                name=f"engine{number}",
                history=self.history,
                random=Random(random.random()),
            )
            self._add_sidecar(f"10.0.1.{number}:7100", engine)
        for number in range(services):
            service = RecordingService(
                name=f"service{number}",
                history=self.history,
                random=Random(random.random()),
            )
            self._add_sidecar(f"10.0.2.{number}:7100", service)
        self.entries = [
            EntryNode(world=self, number=number) for number in range(entries)
        ]

    def _add_sidecar(
        self, address: str, upstream: RecordingEngine | RecordingService
    ) -> None:
        self.sidecars[address] = SidecarNode(
            world=self, address=address, upstream=upstream
        )

    def choose_upstream(
        self, *, kind: str, excluded: frozenset[str], **_: Any
    ) -> SidecarRecord:
        """Choose a random sidecar of the kind from the lagging directory."""
        wanted = "engine" if kind == "chat" else "service"
        candidates = [
            record
            for record in self.directory.values()
            if record.kind == wanted and record.address not in excluded
        ]
        if not candidates:
            raise OverloadedError("no upstream can take the call", retry_after_ms=300)
        # A copy, because the sidecar changes its record when it drains.
        return self.random.choice(candidates)

    async def ready(self) -> None:
        """Wait until every shard has an owner, a standby and an arbiter."""
        for _ in range(READY_POLLS):
            if all(self._is_assigned(entry) for entry in self.entries):
                return
            await asyncio.sleep(0.1)
        self.history.note("internal_error", reason="shards were not assigned")

    @staticmethod
    def _is_assigned(entry: EntryNode) -> bool:
        shards = entry.table.shards(REGION)
        records = [entry.table.record(shard) for shard in shards]
        return bool(records) and all(record.arbiter for record in records)

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task whose unexpected failure fails the schedule."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    def later(self, delay_s: float, function: Any, *arguments: Any) -> None:
        """Call a function after a delay."""
        asyncio.get_running_loop().call_later(delay_s, function, *arguments)

    def _finished(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(task.exception())  # type: ignore[arg-type]
