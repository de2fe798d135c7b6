"""Waiting of requests for room in the memory of their entry."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.clock import Clock, SystemClock
from lentilroad.connection.byte_budget import STALL_S
from lentilroad.errors import OverloadedError
from lentilroad.process.telemetry import Telemetry
from lentilroad.request.caller_memory import CallerMemory
from tests.fakes.clock import ManualClock

MIB = 2**20


def _memory(clock: Clock | None = None) -> CallerMemory:
    """Return budgets that admit one body of 4 MiB, and one answer."""
    return CallerMemory(
        clock=clock or SystemClock(),
        telemetry=Telemetry(),
        bodies_bytes=6 * MIB,
        answers_bytes=6 * MIB,
    )


def _do_not_evict() -> None:
    pass


async def test_body_waits_until_another_request_ends() -> None:
    """Guard against refusing a body that would get room within a moment."""
    memory = _memory()
    first = await memory.hold_body(4 * MIB, on_evict=_do_not_evict, timeout_s=1.0)
    waiting = asyncio.create_task(
        memory.hold_body(4 * MIB, on_evict=_do_not_evict, timeout_s=5.0)
    )
    await asyncio.sleep(0)
    memory.bodies.release(first)
    second = await waiting
    assert memory.held_bytes() == second.size_bytes


async def test_body_without_room_is_refused_as_not_run() -> None:
    """Guard against an unknown outcome of a request whose body was never read."""
    memory = _memory()
    await memory.hold_body(4 * MIB, on_evict=_do_not_evict, timeout_s=1.0)
    with pytest.raises(OverloadedError) as failure:
        await memory.hold_body(4 * MIB, on_evict=_do_not_evict, timeout_s=0.0)
    assert failure.value.outcome == "not_run"
    assert failure.value.retry_after_ms is not None
    assert not memory.bodies.has_waiting()


async def test_caller_that_leaves_while_it_waits_holds_nothing() -> None:
    """Guard against room that is granted to a request that no longer exists."""
    memory = _memory()
    first = await memory.hold_answer(4 * MIB, on_evict=_do_not_evict)
    waiting = asyncio.create_task(memory.hold_answer(4 * MIB, on_evict=_do_not_evict))
    await asyncio.sleep(0)
    # Grants the room to the waiting task before it is cancelled.
    memory.answers.release(first)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert memory.held_bytes() == 0


async def test_stalled_caller_is_evicted_for_one_that_waits() -> None:
    """Guard against bodies that stop before their end and keep others out."""
    clock = ManualClock()
    memory = _memory(clock)
    evicted = asyncio.Event()
    stalled = await memory.hold_body(4 * MIB, on_evict=evicted.set, timeout_s=1.0)
    memory.begin_transfer(stalled)
    waiting = asyncio.create_task(
        memory.hold_body(4 * MIB, on_evict=_do_not_evict, timeout_s=20.0)
    )
    clock.now_s = STALL_S
    async with asyncio.timeout(20.0):
        await evicted.wait()
    memory.bodies.release(stalled)
    assert (await waiting).size_bytes == 4 * MIB
