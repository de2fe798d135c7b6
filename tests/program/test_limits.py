"""Bounds on programs that never stop by themselves."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.program import const
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.wire.messages import Committed
from tests.program.cluster import Cluster, chat, final, open_program


@pytest.mark.parametrize("limit", ["MAX_TURNS", "MAX_CALLS"])
def test_program_that_loops_is_stopped(monkeypatch, limit):
    """A program in an endless loop must not use upstreams for good."""
    monkeypatch.setattr(const, limit, 2)

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        events = [await final(a, chat(f"k{number}")) for number in range(3)]
        assert isinstance(events[1], Committed)
        assert (events[2].error.code, events[2].error.outcome) == (
            "rate_limited",
            "not_run",
        )
        assert len(cluster.runs) == 2

    run_virtual(main())


def test_program_is_stopped_after_its_longest_time(monkeypatch):
    """A program that is kept alive must end some day."""
    monkeypatch.setattr(const, "MAX_PROGRAM_TIME_S", 5.0)

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        assert isinstance(await final(a, chat("k1")), Committed)
        await asyncio.sleep(6)
        assert (await final(a, chat("k2"))).error.code == "rate_limited"

    run_virtual(main())


def test_turns_that_wait_are_bounded(monkeypatch):
    """A caller must not fill the owner's memory with waiting turns."""
    monkeypatch.setattr(const, "MAX_QUEUED_TURNS", 3)

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        events = await asyncio.gather(
            *(final(a, chat(f"k{number}")) for number in range(5))
        )
        refused = [event for event in events if not isinstance(event, Committed)]
        assert [event.error.code for event in refused] == ["rate_limited"] * 2
        assert all(event.error.retry_after_ms for event in refused)

    run_virtual(main())


def test_sub_agents_of_a_tree_are_bounded(monkeypatch):
    """A program must not multiply without end."""
    monkeypatch.setattr(const, "MAX_SUB_AGENTS", 2)

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        assert await open_program(a, "q0", parent_program_id="p") is None
        assert await open_program(a, "q1", parent_program_id="q0") is None
        code = await open_program(a, "q2", parent_program_id="q1")
        assert code == "rate_limited"

    run_virtual(main())


def test_retries_stop_when_the_retry_budget_is_used_up():
    """Failing calls must not multiply the load on upstreams."""
    allowed = [True, False]

    async def main():
        cluster = Cluster(may_retry=lambda: allowed.pop(0))
        for name in ("m3", "m4"):
            cluster.sidecars[name] = cluster._sidecar(name, "engine", "model")
        for sidecar in cluster.sidecars.values():
            sidecar.refuses = True
        a = cluster.entries["a"]
        await open_program(a)
        event = await final(a, chat("k"))
        assert (event.error.code, event.error.outcome) == ("overloaded", "not_run")
        assert event.error.retry_after_ms == 50
        assert allowed == []

    run_virtual(main())


def test_deadline_of_the_program_bounds_its_turns():
    """A turn must not outlive the program's own deadline."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a, deadline_time_s=a.clock.time_s() + 1)
        cluster.sidecars["m1"].hangs = True
        event = await final(a, chat("k", deadline_time_s=a.clock.time_s() + 60))
        assert event.error.code == "deadline_exceeded"
        assert a.clock.monotonic_s() < 2

    run_virtual(main())
