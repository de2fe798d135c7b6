"""Turns without failures: order, repeats, callers, deadlines, ends."""

from __future__ import annotations

import asyncio

from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.wire.messages import Admitted, ChatMessage, Committed, Failed
from tests.program.cluster import (
    Cluster,
    booking,
    chat,
    end_program,
    final,
    open_program,
    read_program,
    run_turn,
)


def test_turn_is_admitted_committed_and_kept_by_both_copies():
    """A committed turn must be in the history and at the standby."""

    async def main():
        cluster = Cluster()
        a, b = cluster.entries["a"], cluster.entries["b"]
        assert await open_program(a) is None
        events = await run_turn(a, chat("k1"))
        assert [type(event) for event in events] == [Admitted, Committed]
        reply = await read_program(a)
        assert reply.turn_no == 1
        assert [message.role for message in reply.history] == ["user", "assistant"]
        assert reply.history[1].content == events[1].text
        assert b.standby.program_count() == 1

    run_virtual(main())


def test_turns_of_one_program_run_one_after_the_other():
    """A second turn must see the answer of the first one."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        results = await asyncio.gather(
            *(final(a, chat(f"k{number}", f"m{number}")) for number in range(4))
        )
        assert [event.turn_no for event in results] == [1, 2, 3, 4]
        assert [len(run.messages) for run in cluster.runs] == [1, 3, 5, 7]

    run_virtual(main())


def test_repeat_joins_the_running_turn_or_gets_its_result():
    """A repeated key must not run the call a second time."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        first, second = await asyncio.gather(
            final(a, booking("k")), final(a, booking("k"))
        )
        third = await final(a, booking("k"))
        assert first == second == third
        assert len(cluster.runs) == 1

    run_virtual(main())


def test_key_with_another_request_is_a_conflict():
    """A reused key must not return the answer to a different request."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        await final(a, booking("k", b"one"))
        event = await final(a, booking("k", b"two"))
        assert event.error.code == "conflict"

    run_virtual(main())


def test_foreign_caller_does_not_find_the_program():
    """One caller must not reach the conversation of another."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        event = await final(a, chat("k", caller_id="bob"))
        assert event.error.code == "not_found"
        assert await open_program(a, caller_id="bob") == "not_found"

    run_virtual(main())


def test_full_history_appends_only_what_is_new():
    """A client that sends the whole conversation must not duplicate it."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        await final(a, chat("k1"))
        history = (await read_program(a)).history
        following = [*history, ChatMessage(role="user", content="next")]
        event = await final(a, chat("k2", messages=following, full_history=True))
        assert isinstance(event, Committed)
        assert len((await read_program(a)).history) == 4
        event = await final(a, chat("k3", messages=following, full_history=True))
        assert event.error.code == "conflict"

    run_virtual(main())


def test_single_turn_program_opens_and_ends_by_itself():
    """A single request must leave neither a program nor engine memory behind."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        event = await final(a, chat("k", single_turn=True))
        assert isinstance(event, Committed)
        assert (await read_program(a)).state == "ended"
        await asyncio.sleep(1)
        assert cluster.sidecars["m1"].cached == set()
        assert await final(a, chat("k", single_turn=True)) == event

    run_virtual(main())


def test_hanging_upstream_ends_at_the_deadline_and_is_cancelled():
    """A hanging engine must not hold the caller beyond its deadline."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        cluster.sidecars["m1"].hangs = True
        event = await final(a, chat("k", deadline_time_s=a.clock.time_s() + 2))
        assert event.error.code == "deadline_exceeded"
        assert event.error.outcome == "unknown"
        assert a.clock.monotonic_s() < 3
        await asyncio.sleep(1)
        assert cluster.sidecars["m1"].cancelled == ["p/1.1"]

    run_virtual(main())


def test_deadline_before_the_start_is_not_run():
    """A turn that waits behind another one must be refused in time."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        slow = asyncio.create_task(final(a, chat("k1")))
        await asyncio.sleep(0.01)
        event = await final(a, chat("k2", deadline_time_s=a.clock.time_s() + 0.1))
        assert (event.error.code, event.error.outcome) == (
            "deadline_exceeded",
            "not_run",
        )
        assert isinstance(await slow, Committed)
        assert len(cluster.runs) == 1

    run_virtual(main())


def test_refusal_of_all_upstreams_is_final_at_once_and_not_run():
    """Overload must be answered early, with a time to come back."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        for sidecar in cluster.sidecars.values():
            sidecar.refuses = True
        event = await final(a, chat("k"))
        assert (event.error.code, event.error.outcome) == ("overloaded", "not_run")
        assert event.error.retry_after_ms == 200
        assert a.clock.monotonic_s() < 1
        assert cluster.runs == []
        for sidecar in cluster.sidecars.values():
            sidecar.refuses = False
        assert isinstance(await final(a, chat("k")), Committed)

    run_virtual(main())


def test_end_cancels_turns_of_the_tree_and_frees_engine_memory():
    """Ending a program must end its sub-agents and release their cache."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        await open_program(a, "q", parent_program_id="p")
        await final(a, chat("k0"))
        child = asyncio.create_task(final(a, chat("k1", program_id="q")))
        await asyncio.sleep(0.1)
        assert await end_program(a, reason="cancelled") is None
        event = await child
        assert isinstance(event, Failed)
        assert event.error.code == "program_ended"
        await asyncio.sleep(1)
        assert cluster.sidecars["m1"].cached == set()
        assert (await read_program(a, "q")).state == "cancelled"
        assert (await final(a, chat("k2"))).error.code == "program_ended"

    run_virtual(main())


def test_idle_program_is_abandoned_and_ended_one_is_dropped():
    """Programs that nobody ends must not hold memory for good."""

    async def main():
        cluster = Cluster(idle_limit_s=60.0)
        a, b = cluster.entries["a"], cluster.entries["b"]
        await open_program(a)
        await final(a, chat("k"))
        await asyncio.sleep(45)
        assert "p" in cluster.sidecars["m1"].confirmed
        await asyncio.sleep(45)
        assert (await read_program(a)).state == "abandoned"
        assert cluster.sidecars["m1"].cached == set()
        await asyncio.sleep(700)
        assert (await read_program(a)).error.code == "not_found"
        assert b.standby.program_count() == 0

    run_virtual(main())


def test_refusal_of_a_repeat_does_not_hide_that_the_first_run_reached_an_engine():
    """A repeat under the same key must not claim that nothing ran."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        cluster.sidecars["m1"].hangs = True
        request = chat("k", deadline_time_s=a.clock.time_s() + 1)
        first = await final(a, request)
        again = await final(a, request)
        assert first.error.outcome == again.error.outcome == "unknown"
        assert len(cluster.runs) == 1

    run_virtual(main())
