"""Engine memory is released when programs end."""

from __future__ import annotations

import asyncio

from lentilroad.adapters.engine import CacheEvent, CacheEvents
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.upstream.programs import ProgramTable
from tests.fakes.sidecar import SidecarFake


def test_forget_releases_a_program():
    """Guards against memory held by a program that has ended."""

    async def run():
        sidecar = SidecarFake()
        await sidecar.dispatch(sidecar.request())
        assert sidecar.engine.cache.program_tokens["program-1"] > 20
        await sidecar.forget()
        await asyncio.sleep(0.1)
        assert sidecar.engine.cache.used_tokens == 0

    run_virtual(run())


def test_forget_cancels_running_calls_and_releases_the_program():
    """Guards against a running call that fills the memory after Forget."""

    async def run():
        sidecar = SidecarFake()
        task = sidecar.start(sidecar.request(tokens=5000))
        await asyncio.sleep(1.0)
        await sidecar.forget()
        await task
        await asyncio.sleep(3.0)
        assert sidecar.engine.cache.used_tokens == 0
        assert not sidecar.runner.programs.programs

    run_virtual(run())


def test_release_is_retried_until_the_engine_acknowledges():
    """Guards against a release that is lost while the engine is unreachable."""

    async def run():
        sidecar = SidecarFake()
        await sidecar.dispatch(sidecar.request())
        sidecar.engine.dead = True
        await sidecar.forget()
        await asyncio.sleep(5.0)
        assert sidecar.engine.cache.used_tokens > 0
        sidecar.engine.dead = False
        await asyncio.sleep(2.0)
        assert sidecar.engine.cache.used_tokens == 0

    run_virtual(run())


def test_unconfirmed_programs_are_released_after_a_minute():
    """Guards against memory held by programs whose owner has failed."""

    async def run():
        sidecar = SidecarFake()
        for name in ("kept", "lost"):
            request = sidecar.request(f"call-{name}", program_id=name)
            await sidecar.dispatch(request)
        for _ in range(4):
            await asyncio.sleep(20.0)
            await sidecar.confirm("kept")
        assert set(sidecar.engine.cache.program_tokens) == {"kept"}

    run_virtual(run())


def test_programs_of_an_earlier_process_are_found_and_released():
    """Guards against memory that a restarted sidecar has no record of."""

    async def run():
        sidecar = SidecarFake()
        await sidecar.dispatch(sidecar.request())
        await sidecar.runner.close()
        restarted = SidecarFake()
        restarted.engine = sidecar.engine
        restarted.runner.maintenance._engine = sidecar.engine
        await asyncio.sleep(50.0)
        assert sidecar.engine.cache.used_tokens > 0
        await asyncio.sleep(20.0)
        assert sidecar.engine.cache.used_tokens == 0

    run_virtual(run())


def test_cache_events_with_gaps_never_remove_a_program():
    """Guards against a program that is lost from the table by a lost event."""
    table = ProgramTable()
    table.started("program-1", now_s=0.0)
    table.ended("program-1", tokens=50, now_s=1.0)
    events = [
        CacheEvent(sequence=2, kind="evicted", program_id="program-1", tokens=0),
        CacheEvent(sequence=5, kind="stored", program_id="program-2", tokens=30),
    ]
    table.apply_events(CacheEvents(events=events, last_sequence=5), now_s=2.0)
    assert table.programs["program-1"].tokens == 0
    assert table.programs["program-2"].tokens == 30
    assert table.lost_events == 3
    assert table.forget_unconfirmed(now_s=61.5) == ["program-1"]
    assert table.releasing == {"program-1"}
