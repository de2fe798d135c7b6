"""Entries and sidecars connected in memory for the tests of this package."""

from __future__ import annotations

import asyncio
from random import Random

from lentilroad.errors import OverloadedError
from lentilroad.faults.network import Network, Process, ProcessClock
from lentilroad.program.owner import ProgramOwner
from lentilroad.program.standby import ProgramStandby
from lentilroad.wire.messages import (
    Budget,
    ChatMessage,
    EndProgramRequest,
    OpenProgramRequest,
    ReadProgramRequest,
    RunTurnRequest,
    ShardRecord,
    SidecarRecord,
)
from lentilroad.wire.services import REPLICATE
from tests.fakes.shards import FakeShardTable
from tests.program.sidecar import StandinSidecar

SHARD = "r/0001"


class Entry:
    """One entry with owner and standby."""

    def __init__(self, address, network, choose_upstream, settings):
        self.process = Process(address=address)
        network.add(self.process)
        clock = ProcessClock(process=self.process)
        self.clock = clock
        self.table = FakeShardTable(address)
        self.standby = ProgramStandby(
            address=address, shard_table=self.table, clock=clock
        )
        self.owner = ProgramOwner(
            address=address,
            shard_table=self.table,
            standby=self.standby,
            call=network.caller(self.process),
            stream=network.streamer(self.process),
            choose_upstream=choose_upstream,
            shard_of=lambda program_id: SHARD,
            clock=clock,
            random=Random(1),
            **settings,
        )
        self.table.on_gained = self.owner.on_gained
        self.table.on_lost = self.owner.on_lost
        self.table.on_changed = self.owner.on_changed
        self.process.handlers = {REPLICATE: self.standby.replicate}
        self.upkeep = asyncio.create_task(self.owner.run())


class Cluster:
    """Three entries a, b, c and sidecars m1, m2 (model) and s1 (service)."""

    def __init__(self, **settings):
        self.network = Network()
        self.runs = []
        self.sidecars = {
            "m1": self._sidecar("m1", "engine", "model"),
            "m2": self._sidecar("m2", "engine", "model"),
            "s1": self._sidecar("s1", "service", "booking"),
        }
        self.entries = {
            name: Entry(name, self.network, self._choose, settings) for name in "abc"
        }
        self.set_record(ShardRecord(epoch=1, owner="a", standby="b", arbiter="c"))

    def _sidecar(self, address, kind, name):
        process = Process(address=address)
        self.network.add(process)
        record = SidecarRecord(
            address=address,
            upstream_id=address,
            kind=kind,
            names=[name],
            region="r",
            availability_zone="z",
            incarnation=7,
        )
        return StandinSidecar(process=process, record=record, on_run=self.runs.append)

    def _choose(self, *, kind, name, excluded, **_):
        for sidecar in self.sidecars.values():
            if name in sidecar.record.names and sidecar.record.address not in excluded:
                return sidecar.record
        raise OverloadedError("no upstream is left", retry_after_ms=200)

    def set_record(self, record, entries="abc"):
        """Publish a shard record to entries."""
        for name in entries:
            self.entries[name].table.set_record(SHARD, record)

    def take_over(self):
        """Kill entry a and let b own the shard with c as standby."""
        self.entries["a"].process.kill()
        self.set_record(ShardRecord(epoch=2, owner="b", standby="c"), entries="bc")


def chat(key, text="hello", program_id="p", **fields):
    """Return a chat request."""
    fields.setdefault("messages", [ChatMessage(role="user", content=text)])
    fields.setdefault("caller_id", "alice")
    fields.setdefault("max_tokens", 100)
    return RunTurnRequest(
        program_id=program_id,
        idempotency_key=key,
        kind="chat",
        model="model",
        **fields,
    )


def booking(key, payload=b"booth", program_id="p", **fields):
    """Return a non-idempotent service request."""
    return RunTurnRequest(
        caller_id="alice",
        program_id=program_id,
        idempotency_key=key,
        kind="service",
        service="booking",
        operation="hold",
        payload=payload,
        **fields,
    )


async def open_program(entry, program_id="p", **fields):
    """Open a program and return the error code or None."""
    fields.setdefault("caller_id", "alice")
    reply = await entry.owner.open_program(
        OpenProgramRequest(program_id=program_id, **fields)
    )
    return reply.error.code if reply.error else None


async def end_program(entry, program_id="p", **fields):
    """End a program and return the error code or None."""
    reply = await entry.owner.end_program(
        EndProgramRequest(caller_id="alice", program_id=program_id, **fields)
    )
    return reply.error.code if reply.error else None


async def read_program(entry, program_id="p"):
    """Read a program with its history."""
    return await entry.owner.read_program(
        ReadProgramRequest(caller_id="alice", program_id=program_id, with_history=True)
    )


async def run_turn(entry, request):
    """Run a turn and return its events."""
    return [event.event async for event in entry.owner.run_turn(request)]


async def final(entry, request):
    """Run a turn and return its final event."""
    return (await run_turn(entry, request))[-1]


def tokens(limit):
    """Return a budget of tokens."""
    return Budget(tokens=limit)
