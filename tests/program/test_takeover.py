"""Failures of owners, standbys and sidecars in the middle of turns."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.program.preparation import CallPolicy
from lentilroad.program.records import CopyReset, Record, encode_record
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.wire.messages import (
    Committed,
    Moved,
    ReplicateRequest,
    ShardRecord,
)
from tests.program.cluster import (
    SHARD,
    Cluster,
    booking,
    chat,
    final,
    open_program,
    read_program,
    run_turn,
)


@pytest.mark.parametrize("delay_s", [0.0005, 0.0015, 0.0025, 0.0035, 0.1, 0.42])
@pytest.mark.parametrize("make", [chat, booking])
def test_turn_survives_the_death_of_its_owner(make, delay_s):
    """A repeat at the new owner must find the first run, wherever it had got to."""

    async def main():
        cluster = Cluster()
        a, b = cluster.entries["a"], cluster.entries["b"]
        await open_program(a)
        await final(a, chat("k0", "first"))
        lost = asyncio.create_task(final(a, make("k")))
        await asyncio.sleep(delay_s)
        cluster.take_over()
        event = await final(b, make("k"))
        lost.cancel()
        assert isinstance(event, Committed)
        again = await final(b, make("k"))
        assert again == event
        history = (await read_program(b)).history
        assert [message.role for message in history[:2]] == ["user", "assistant"]
        assert len(history) == (4 if make is chat else 2)
        ids = [run.call_id for run in cluster.runs if run.kind == "service"]
        assert len(ids) == (1 if make is booking else 0)

    run_virtual(main())


def test_new_owner_copies_programs_to_its_standby():
    """A second death must not lose what survived the first one."""

    async def main():
        cluster = Cluster()
        a, b, c = (cluster.entries[name] for name in "abc")
        await open_program(a)
        await final(a, chat("k1"))
        cluster.take_over()
        await asyncio.sleep(1)
        assert c.standby.program_count() == 1
        b.process.kill()
        cluster.set_record(ShardRecord(epoch=3, owner="c"), entries="c")
        assert (await read_program(c)).turn_no == 1

    run_virtual(main())


def test_nothing_is_dispatched_before_the_standby_has_the_intent():
    """A call must not run while its intent exists only once."""

    async def main():
        cluster = Cluster()
        a, b = cluster.entries["a"], cluster.entries["b"]
        await open_program(a)
        b.process.kill()
        running = asyncio.create_task(final(a, booking("k")))
        await asyncio.sleep(1)
        assert cluster.runs == []
        cluster.set_record(ShardRecord(epoch=2, owner="a", standby="c"), entries="ac")
        assert isinstance(await running, Committed)
        assert cluster.entries["c"].standby.program_count() == 1

    run_virtual(main())


def test_deadline_while_the_standby_is_silent_is_not_run():
    """A caller must get its answer in time although no copy can be written."""

    async def main():
        cluster = Cluster()
        a, b = cluster.entries["a"], cluster.entries["b"]
        await open_program(a)
        b.process.kill()
        request = booking("k", deadline_time_s=a.clock.time_s() + 0.5)
        event = await final(a, request)
        assert (event.error.code, event.error.outcome) == (
            "deadline_exceeded",
            "not_run",
        )
        cluster.set_record(ShardRecord(epoch=2, owner="a", standby="c"), entries="ac")
        await asyncio.sleep(1)
        assert cluster.runs == []
        assert isinstance(await final(a, booking("k2")), Committed)

    run_virtual(main())


def test_resumed_owner_commits_nothing_and_drops_the_shard():
    """An owner that was paused past its replacement must not write any more."""

    async def main():
        cluster = Cluster()
        a, b = cluster.entries["a"], cluster.entries["b"]
        await open_program(a)
        await final(a, chat("k1"))
        a.process.pause()
        cluster.set_record(ShardRecord(epoch=2, owner="b", standby="c"), entries="bc")
        await final(b, chat("k2"))
        a.process.resume()
        event = await final(a, chat("k3"))
        assert (event.error.code, event.error.outcome) == ("not_owner", "not_run")
        assert (await read_program(a)).error.code == "not_owner"
        assert len(cluster.runs) == 2

    run_virtual(main())


def test_outdated_copy_does_not_become_an_owned_program():
    """A standby that was out of the pair must not bring old history back."""

    async def main():
        cluster = Cluster()
        a, b = cluster.entries["a"], cluster.entries["b"]
        await open_program(a)
        b.process.pause()
        cluster.set_record(ShardRecord(epoch=2, owner="a", standby="c"), entries="ac")
        await final(a, chat("k1"))
        b.process.resume()
        cluster.set_record(ShardRecord(epoch=4, owner="b", standby="c"), entries="b")
        assert (await read_program(b)).error.code == "not_found"

    run_virtual(main())


def test_standby_refuses_a_lower_epoch_and_another_owner():
    """A replaced owner must learn the higher epoch from the refusal."""

    async def main():
        cluster = Cluster()
        b = cluster.entries["b"]
        cluster.set_record(ShardRecord(epoch=5, owner="c", standby="b"), entries="b")
        for epoch in (4, 5):
            request = ReplicateRequest(shard=SHARD, epoch=epoch, owner="a", records=[])
            reply = await b.standby.replicate(request)
            assert not reply.accepted
            assert reply.highest_epoch == 5

    run_virtual(main())


def test_silent_standby_connection_does_not_lose_or_repeat_a_record():
    """A lost acknowledgement must not leave a gap or a duplicate in the copy."""

    async def main():
        cluster = Cluster()
        a, b = cluster.entries["a"], cluster.entries["b"]
        await open_program(a)
        running = asyncio.create_task(final(a, chat("k1")))
        await asyncio.sleep(0.0015)
        cluster.network.silence("a", "b")
        await asyncio.sleep(1.2)
        cluster.network.restore("a", "b")
        assert isinstance(await running, Committed)
        cluster.take_over()
        reply = await read_program(b)
        assert reply.turn_no == 1
        assert len(reply.history) == 2

    run_virtual(main())


def test_chat_moves_with_the_text_of_the_failed_engine():
    """An engine failure must not end a chat call or change what was emitted."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        cluster.sidecars["m1"].fails_after = 3
        events = await run_turn(a, chat("k"))
        assert isinstance(events[1], Moved)
        assert events[1].sidecar_address == "m2"
        prefix = cluster.runs[1].forced_prefix
        assert events[1].offset == len(prefix) > 0
        assert events[-1].text.startswith(prefix)

    run_virtual(main())


def test_chat_goes_on_after_its_sidecar_died_with_what_the_front_relayed():
    """The text that a caller has seen must be the beginning of the answer."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        running = asyncio.create_task(run_turn(a, chat("k")))
        await asyncio.sleep(0.2)
        cluster.sidecars["m1"].process.kill()
        repeat = await run_turn(a, chat("k", emitted_text="hello#1:0"))
        assert await running == repeat
        assert cluster.runs[1].forced_prefix == "hello#1:0"
        assert isinstance(repeat[-1], Committed)

    run_virtual(main())


def test_booking_at_a_restarted_sidecar_is_unknown_and_never_repeated():
    """A sidecar without its records must not make a booking run again."""

    async def main():
        cluster = Cluster()
        a, b = cluster.entries["a"], cluster.entries["b"]
        await open_program(a)
        lost = asyncio.create_task(final(a, booking("k")))
        await asyncio.sleep(0.02)
        cluster.sidecars["s1"] = cluster._sidecar("s1", "service", "booking")
        cluster.sidecars["s1"].record.incarnation = 8
        cluster.take_over()
        event = await final(b, booking("k"))
        lost.cancel()
        assert (event.error.code, event.error.outcome) == (
            "outcome_unknown",
            "unknown",
        )
        assert len(cluster.runs) == 1
        assert isinstance(await final(b, booking("k2")), Committed)

    run_virtual(main())


def test_silent_connection_to_a_sidecar_is_replaced_without_a_second_run():
    """A call on a silent connection must be joined and not sent anew."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        running = asyncio.create_task(final(a, booking("k")))
        await asyncio.sleep(0.02)
        cluster.network.silence("a", "s1")
        await asyncio.sleep(1.9)
        cluster.network.restore("a", "s1")
        assert isinstance(await running, Committed)
        assert len(cluster.runs) == 1

    run_virtual(main())


def test_repeatable_service_call_goes_to_another_upstream():
    """A call that may be repeated must not fail with its sidecar."""

    async def main():
        cluster = Cluster(policy_of=lambda request: CallPolicy(idempotent=True))
        cluster.sidecars["s2"] = cluster._sidecar("s2", "service", "booking")
        a = cluster.entries["a"]
        await open_program(a)
        running = asyncio.create_task(final(a, booking("k")))
        await asyncio.sleep(0.02)
        cluster.sidecars["s1"].process.kill()
        assert isinstance(await running, Committed)
        assert len(cluster.runs) == 2

    run_virtual(main())


def test_drain_finishes_running_turns_and_completes_the_copy():
    """A planned stop must interrupt no turn and lose no program."""

    async def main():
        cluster = Cluster()
        a, b = cluster.entries["a"], cluster.entries["b"]
        await open_program(a)
        running = asyncio.create_task(final(a, chat("k1")))
        await asyncio.sleep(0.1)

        async def hand_over(shard):
            record = ShardRecord(epoch=2, owner="b", standby="c")
            cluster.set_record(record)

        draining = asyncio.create_task(a.owner.drain(hand_over=hand_over))
        await asyncio.sleep(0.01)
        refused = await final(a, chat("k2"))
        assert (refused.error.code, refused.error.outcome) == ("not_owner", "not_run")
        await draining
        assert isinstance(await running, Committed)
        assert isinstance(await final(b, chat("k2")), Committed)
        assert (await read_program(b)).turn_no == 2

    run_virtual(main())


def test_records_of_concurrent_programs_share_calls_to_the_standby():
    """Replication must cost less than one call for each record under load."""

    async def main():
        cluster = Cluster()
        a, b = cluster.entries["a"], cluster.entries["b"]
        sizes = []
        replicate = b.standby.replicate

        async def counting(request):
            sizes.append(len(request.records))
            return await replicate(request)

        method = next(iter(b.process.handlers))
        b.process.handlers = {method: counting}
        names = [f"p{number}" for number in range(50)]
        await asyncio.gather(*(open_program(a, name) for name in names))
        await asyncio.gather(*(final(a, chat("k", program_id=name)) for name in names))
        assert sum(sizes) >= 150
        assert len(sizes) <= 10

    run_virtual(main())


def test_planned_move_copies_to_the_next_owner_in_advance():
    """A moved shard must be complete at an entry that was not its standby."""

    async def main():
        cluster = Cluster()
        a, c = cluster.entries["a"], cluster.entries["c"]
        await open_program(a)
        await final(a, chat("k1"))
        planned = ShardRecord(epoch=2, owner="c", standby="b")
        assert await a.owner.copy_shard(SHARD, planned, False)
        await final(a, chat("k2"))
        assert await a.owner.copy_shard(SHARD, planned, True)
        cluster.set_record(planned)
        assert (await read_program(c)).turn_no == 2
        assert isinstance(await final(c, chat("k3")), Committed)

    run_virtual(main())


def test_copy_of_a_move_that_was_given_up_is_not_used():
    """Another record under the planned epoch must not bring old state back."""

    async def main():
        cluster = Cluster()
        a, c = cluster.entries["a"], cluster.entries["c"]
        await open_program(a)
        planned = ShardRecord(epoch=2, owner="c", standby="b")
        assert await a.owner.copy_shard(SHARD, planned, False)
        await final(a, chat("k1"))
        other = ShardRecord(epoch=2, owner="c", standby="a")
        cluster.set_record(other, entries="c")
        assert (await read_program(c)).error.code == "not_found"

    run_virtual(main())


def test_recovery_by_the_standby_keeps_its_copies():
    """The loss of owner and arbiter together must not lose the standby's copy."""

    async def main():
        cluster = Cluster()
        a, b = cluster.entries["a"], cluster.entries["b"]
        await open_program(a)
        await final(a, chat("k1"))
        a.process.kill()
        cluster.set_record(ShardRecord(epoch=1002, owner="b"), entries="b")
        assert (await read_program(b)).turn_no == 1

    run_virtual(main())


def test_turn_waits_for_a_planned_move_that_is_given_up():
    """A commit that meets a frozen shard must neither fail nor get lost."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a)
        running = asyncio.create_task(final(a, chat("k1")))
        await asyncio.sleep(0.1)
        a.table.frozen = True
        await asyncio.sleep(1)
        assert not running.done()
        a.table.frozen = False
        assert isinstance(await running, Committed)
        assert (await read_program(a)).turn_no == 1

    run_virtual(main())


def test_former_owner_keeps_the_programs_of_a_moved_shard_as_standby():
    """The new owner may die before it has copied anything back."""

    async def main():
        cluster = Cluster()
        a, c = cluster.entries["a"], cluster.entries["c"]
        await open_program(a)
        await final(a, chat("k1"))
        planned = ShardRecord(epoch=2, owner="c", standby="a")
        assert await a.owner.copy_shard(SHARD, planned, False)
        assert await a.owner.copy_shard(SHARD, planned, True)
        c.process.kill()
        cluster.set_record(planned, entries="a")
        cluster.set_record(ShardRecord(epoch=3, owner="a"), entries="a")
        assert (await read_program(a)).turn_no == 1

    run_virtual(main())


def test_planned_copy_for_an_earlier_process_is_refused():
    """A restarted entry must not be made the owner under its former start."""

    async def main():
        cluster = Cluster()
        a, c = cluster.entries["a"], cluster.entries["c"]
        c.standby._started_ms = 2_000
        await open_program(a)
        planned = ShardRecord(epoch=2, owner="c", standby="b", owner_started_ms=1_000)
        assert not await a.owner.copy_shard(SHARD, planned, False)
        planned.owner_started_ms = 2_000
        assert await a.owner.copy_shard(SHARD, planned, False)

    run_virtual(main())


def test_owner_that_lags_behind_its_own_record_keeps_its_programs():
    """A lost answer to a CAS must not make the owner drop its shard."""

    async def main():
        cluster = Cluster()
        a, b = cluster.entries["a"], cluster.entries["b"]
        await open_program(a)
        newer = ShardRecord(epoch=2, owner="a", standby="b")
        cluster.set_record(newer, entries="b")
        running = asyncio.create_task(final(a, chat("k1")))
        await asyncio.sleep(0.5)
        assert not running.done()
        cluster.set_record(newer, entries="a")
        assert isinstance(await running, Committed)
        assert b.standby.program_count() == 1

    run_virtual(main())


def test_owner_that_missed_another_owner_takes_over_its_copy():
    """Programs of before a pause must not replace what was committed since."""

    async def main():
        cluster = Cluster()
        a, b = cluster.entries["a"], cluster.entries["b"]
        await open_program(a)
        second = ShardRecord(epoch=2, owner="b", standby="c")
        cluster.set_record(second, entries="bc")
        await final(b, chat("k1"))
        third = ShardRecord(epoch=3, owner="a", standby="b")
        assert await b.owner.copy_shard(SHARD, third, False)
        assert await b.owner.copy_shard(SHARD, third, True)
        cluster.set_record(third)
        assert (await read_program(a)).turn_no == 1

    run_virtual(main())


def test_booking_moves_on_when_no_connection_came_about():
    """A call that was certainly not sent must not end as unknown."""

    async def main():
        cluster = Cluster()
        cluster.sidecars["s2"] = cluster._sidecar("s2", "service", "booking")
        a = cluster.entries["a"]
        await open_program(a)
        cluster.sidecars["s1"].process.kill()
        assert isinstance(await final(a, booking("k")), Committed)
        assert len(cluster.runs) == 1

    run_virtual(main())


def test_second_copy_does_not_make_a_complete_one_incomplete():
    """The new owner may die while it copies to a standby that has everything."""

    async def main():
        cluster = Cluster()
        a, c = cluster.entries["a"], cluster.entries["c"]
        for number in range(30):
            await open_program(a, f"p{number}")
        planned = ShardRecord(epoch=2, owner="c", standby="a")
        assert await a.owner.copy_shard(SHARD, planned, False)
        assert await a.owner.copy_shard(SHARD, planned, True)
        cluster.set_record(planned)
        request = ReplicateRequest(
            shard=SHARD,
            epoch=2,
            owner="c",
            records=[
                encode_record(
                    Record(program_id="", sequence=0, time_s=0.0, body=CopyReset())
                )
            ],
        )
        assert (await a.standby.replicate(request)).accepted
        c.process.kill()
        cluster.set_record(ShardRecord(epoch=3, owner="a"), entries="a")
        assert (await read_program(a, "p29")).state == "open"

    run_virtual(main())
