"""Measurements at several sizes, of the code that runs in entries and sidecars."""

from __future__ import annotations

import asyncio
import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any

import uvloop

from lentilroad.capacity.fit import Slope, fit_slope
from lentilroad.clock import SystemClock
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import start_server
from lentilroad.membership.program_id import shard_name
from lentilroad.membership.shard_state import ShardRecords
from lentilroad.membership.sidecars import SidecarDirectory
from lentilroad.program.history import append_history, pack_history
from lentilroad.program.records import ProgramState
from lentilroad.standins.engine_text import WORDS
from lentilroad.upstream.programs import ProgramTable
from lentilroad.wire import messages as m
from lentilroad.wire.codec import MessagePackCodec
from lentilroad.wire.services import PAIR_HEARTBEAT, SIDECAR_HEARTBEAT, Method

REGION = "region-1"


def _heap_bytes(build: Callable[[int], Any], size: int) -> float:
    """Return the memory that an object of a size keeps."""
    gc.collect()
    tracemalloc.start()
    kept = build(size)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(used)


def memory_slope(name: str, build: Callable[[int], Any], sizes: Sequence[int]) -> Slope:
    """Measure the memory of an object at several sizes."""
    build(sizes[0])
    values = [_heap_bytes(build, size) for size in sizes]
    return fit_slope(name, "B", sizes, values)


def _text(tokens: int, source: random.Random) -> str:
    return " ".join(source.choice(WORDS) for _ in range(tokens))


def _program(number: int, history_tokens: int) -> ProgramState:
    source = random.Random(number)
    state = ProgramState(
        program_id=f"p-{REGION}-0001-{number:020x}",
        caller_id="caller",
        shard=shard_name(REGION, 1),
        started_time_s=0.0,
    )
    for _ in range(8):
        message = m.ChatMessage(
            role="user", content=_text(max(1, history_tokens // 8), source)
        )
        append_history(state.history, [message])
    pack_history(state.history)
    return state


def program_memory(sizes: Sequence[int] = (100, 200, 400, 800)) -> Slope:
    """Measure idle programs without history beyond a few words."""
    return memory_slope(
        "program, without history",
        lambda size: {number: _program(number, 8) for number in range(size)},
        sizes,
    )


def history_memory(
    sizes: Sequence[int] = (10_000, 20_000, 40_000, 80_000),
) -> Slope:
    """Measure the compressed history of one idle program by its tokens."""
    return memory_slope(
        "history token, compressed", lambda size: _program(1, size), sizes
    )


def sidecar_record(number: int) -> m.SidecarRecord:
    """Return a directory entry as at the target size."""
    return m.SidecarRecord(
        address=f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:7400",
        upstream_id=f"model-{number % 13}-{number}",
        kind="engine",
        names=[f"model-{number % 13}"],
        region=f"region-{number % 3}",
        availability_zone=f"region-{number % 3}-{number % 9}",
        incarnation=1_700_000_000_000 + number,
    )


def _directory(size: int) -> SidecarDirectory:
    directory = SidecarDirectory(
        clock=SystemClock(),
        address="10.0.0.1:7400",
        region="region-0",
        incarnation=1,
        alive_entries=lambda region: ["10.0.0.1:7400"],
    )
    directory.merge(sidecar_record(number) for number in range(size))
    return directory


def directory_memory(sizes: Sequence[int] = (500, 1000, 2000, 4000)) -> Slope:
    """Measure the directory of sidecars."""
    return memory_slope("sidecar in the directory", _directory, sizes)


def _shards(size: int) -> ShardRecords:
    records = ShardRecords(
        address="10.0.0.1:7400",
        started_ms=1,
        clock=SystemClock(),
        on_gained=lambda shard, record: None,
        on_lost=lambda shard: None,
        on_changed=lambda shard, record: None,
        process_ended=lambda address, started_ms: False,
    )
    for index in range(size):
        record = m.ShardRecord(
            epoch=1,
            owner=f"10.0.1.{index % 140}:7400",
            standby=f"10.0.2.{index % 140}:7400",
            arbiter=f"10.0.3.{index % 140}:7400",
        )
        records.merge(shard_name(REGION, index), record)
    return records


def shard_memory(sizes: Sequence[int] = (256, 512, 1024, 2048)) -> Slope:
    """Measure the shard map."""
    return memory_slope("shard in the map", _shards, sizes)


def _held_programs(size: int) -> ProgramTable:
    table = ProgramTable()
    for number in range(size):
        program_id = f"p-{REGION}-0001-{number:020x}"
        table.started(program_id, now_s=0.0)
        table.ended(program_id, tokens=1000, now_s=0.0)
    return table


def held_program_memory(sizes: Sequence[int] = (200, 400, 800, 1600)) -> Slope:
    """Measure the sidecar's table of programs that hold cache."""
    return memory_slope("program in a sidecar's table", _held_programs, sizes)


def heartbeat() -> m.SidecarHeartbeat:
    """Return a sidecar's heartbeat; 19 of 20 leave the record out."""
    record = sidecar_record(1)
    return m.SidecarHeartbeat(
        address=record.address,
        incarnation=record.incarnation,
        sequence=record.sequence,
        load=m.LoadReport(running=30, queued=4, limit=32, cached_tokens=150_000),
        config_version=1000,
    )


def pair_heartbeat() -> m.PairHeartbeat:
    """Return a heartbeat between entries that share four shards."""
    epochs = {shard_name(REGION, index): 7 for index in range(4)}
    return m.PairHeartbeat(sender="10.0.0.1:7400", incarnation=1, epochs=epochs)


def encoded_bytes(message: m.Message) -> int:
    """Return the size of a message on the wire, without headers."""
    return len(MessagePackCodec().encode(message, type(message)))


async def _call_cost_s(method: Method, request: m.Message, count: int) -> float:
    async def answer(received: Any) -> Any:
        return m.SidecarHeartbeatReply(entry_incarnation=1, config_version=1000)

    async def echo(received: Any) -> Any:
        return received

    handler = answer if method is SIDECAR_HEARTBEAT else echo
    server = await start_server({method: handler}, "127.0.0.1", 0)
    peers = PeerConnections(clock=SystemClock())
    await peers.call(server.address, method, request, 5.0)
    started_s = time.process_time()
    for _ in range(count):
        await peers.call(server.address, method, request, 5.0)
    used_s = time.process_time() - started_s
    await peers.close()
    await server.close()
    return used_s


def call_cost(
    method: Method, request: m.Message, sizes: Sequence[int] = (400, 800, 1600, 3200)
) -> Slope:
    """Measure one request and reply over loopback, both ends together."""

    async def measure() -> list[float]:
        await _call_cost_s(method, request, sizes[0])
        return [await _call_cost_s(method, request, size) * 1e6 for size in sizes]

    name = f"{method.path.rpartition('/')[2]}, both ends"
    return fit_slope(name, "us", sizes, uvloop.run(measure()))


def heartbeat_costs() -> tuple[Slope, Slope]:
    """Measure a sidecar's heartbeat and a heartbeat between entries."""
    return (
        call_cost(SIDECAR_HEARTBEAT, heartbeat()),
        call_cost(PAIR_HEARTBEAT, pair_heartbeat()),
    )


def run_slope(
    name: str, run: Callable[[int], Any], sizes: Sequence[int], unit: str = "us"
) -> Slope:
    """Measure the processor time of a coroutine function at several sizes."""
    asyncio.run(run(sizes[0]))
    values = []
    for size in sizes:
        started_s = time.process_time()
        asyncio.run(run(size))
        values.append((time.process_time() - started_s) * 1e6)
    return fit_slope(name, unit, sizes, values)
