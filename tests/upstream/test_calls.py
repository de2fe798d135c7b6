"""At-most-once execution of calls, with complete output and correct outcomes."""

from __future__ import annotations

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from lentilroad.standins.engine import EngineCosts, expected_text
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.upstream.ledger import Ledger
from lentilroad.wire import messages as m
from tests.fakes.sidecar import INCARNATION, SidecarFake


def expected_answer(request):
    """Return the complete answer expected for the request."""
    return expected_text("model", request.messages, max_tokens=request.max_tokens)


def virtual(test):
    """Run an asynchronous test in virtual time."""

    def run():
        run_virtual(test())

    run.__doc__ = test.__doc__
    run.__name__ = test.__name__
    return run


@virtual
async def test_call_returns_the_complete_answer():
    """Guards against lost or repeated text between engine, chunks and result."""
    sidecar = SidecarFake()
    request = sidecar.request()
    task = sidecar.start(request)
    chunks = await sidecar.attach("call-1")
    events = await task
    assert [type(event).__name__ for event in events] == [
        "Queued",
        "Started",
        "Finished",
    ]
    assert events[-1].text == expected_answer(request)
    assert "".join(chunk.text for chunk in chunks) == events[-1].text
    assert chunks[-1].finished
    assert events[-1].usage.completion_tokens == 20


@virtual
async def test_repeated_dispatch_follows_the_call():
    """Guards against a second execution by a repeated Dispatch."""
    sidecar = SidecarFake()
    request = sidecar.request()
    first = sidecar.start(request)
    await asyncio.sleep(0.1)
    second = await sidecar.dispatch(request)
    third = await sidecar.dispatch(request)
    assert (await first)[-1] == second[-1] == third[-1]
    assert sidecar.engine.executions == {"call-1": 1}


@virtual
async def test_dispatch_after_release_does_not_run():
    """Guards against a second execution by a Dispatch that arrives very late."""
    sidecar = SidecarFake()
    request = sidecar.request()
    await sidecar.dispatch(request)
    await sidecar.release("call-1")
    await asyncio.sleep(500)
    late = (await sidecar.dispatch(request))[-1]
    assert late.error.outcome == "unknown"
    assert sidecar.engine.executions == {"call-1": 1}
    await asyncio.sleep(200)
    assert len(sidecar.runner.ledger) == 0


@virtual
async def test_resolve_blocks_a_call_that_was_never_seen():
    """Guards against a call that runs after `never_seen` was reported to its owner."""
    sidecar = SidecarFake(kind="service")
    reply = await sidecar.resolve("call-1")
    assert reply.state == "never_seen"
    late = (await sidecar.dispatch(sidecar.request()))[-1]
    assert late.error.outcome == "not_run"
    assert not sidecar.service.executions


@virtual
async def test_resolve_of_another_incarnation_is_unknown():
    """Guards against `never_seen` for a call that the earlier process ran."""
    sidecar = SidecarFake(kind="service")
    assert (await sidecar.resolve("call-1", incarnation=3)).state == "unknown"
    assert (await sidecar.resolve("call-2", incarnation=0)).state == "unknown"
    request = sidecar.request("call-3", incarnation=3)
    assert (await sidecar.dispatch(request))[-1].error.outcome == "unknown"
    for call_id in ("call-1", "call-2", "call-3"):
        await sidecar.dispatch(sidecar.request(call_id))
    assert not sidecar.service.executions


@virtual
async def test_resolve_reports_running_and_done():
    """Guards against a takeover that cannot find the call of the old owner."""
    sidecar = SidecarFake()
    request = sidecar.request()
    task = sidecar.start(request)
    await asyncio.sleep(0.1)
    assert (await sidecar.resolve("call-1", epoch=2)).state == "running"
    finished = (await task)[-1]
    reply = await sidecar.resolve("call-1", epoch=2)
    assert reply.state == "done"
    assert reply.finished == finished


@virtual
async def test_lower_epoch_is_refused_everywhere():
    """Guards against a paused owner that continues after a takeover."""
    sidecar = SidecarFake()
    await sidecar.resolve("other", epoch=5)
    assert (await sidecar.dispatch(sidecar.request()))[-1].error.code == "stale_epoch"
    for acknowledged in (
        await sidecar.cancel("call-1"),
        await sidecar.release("call-1"),
        await sidecar.forget(),
        await sidecar.confirm("program-1"),
        await sidecar.resolve("call-1"),
    ):
        assert acknowledged.error.code == "stale_epoch"
    assert not sidecar.engine.executions
    accepted = await sidecar.dispatch(sidecar.request(epoch=5))
    assert isinstance(accepted[-1], m.Finished)


@virtual
async def test_refused_call_stays_refused():
    """Guards against a delayed repeat that runs after `not_run` was reported."""
    sidecar = SidecarFake(limit=1, queue_limit=1)
    running = [sidecar.start(sidecar.request(f"call-{n}")) for n in range(2)]
    await asyncio.sleep(0.01)
    refusal = (await sidecar.dispatch(sidecar.request("late")))[-1]
    assert refusal.error.outcome == "not_run"
    assert refusal.error.retry_after_ms
    await asyncio.gather(*running)
    assert (await sidecar.dispatch(sidecar.request("late")))[-1] == refusal
    assert "late" not in sidecar.engine.executions


@virtual
async def test_cancel_ends_the_call_at_once_and_frees_memory():
    """Guards against engine memory held by a cancelled call."""
    sidecar = SidecarFake()
    task = sidecar.start(sidecar.request(tokens=1000))
    await asyncio.sleep(1.0)
    cancelled_s = sidecar.clock.monotonic_s()
    await sidecar.cancel("call-1")
    last = (await task)[-1]
    assert sidecar.clock.monotonic_s() == cancelled_s
    assert last.error.outcome == "ran"
    assert expected_answer(sidecar.request(tokens=1000)).startswith(last.text)
    assert last.text
    await sidecar.forget()
    await asyncio.sleep(2.0)
    assert sidecar.engine.cancelled == ["call-1"]
    assert sidecar.engine.cache.used_tokens == 0
    assert sidecar.runner.report().load.running == 0


@virtual
async def test_cancel_before_dispatch_prevents_the_call():
    """Guards against a call that runs when its Cancel arrives before its Dispatch."""
    sidecar = SidecarFake()
    await sidecar.cancel("call-1")
    assert (await sidecar.dispatch(sidecar.request()))[-1].error.outcome == "not_run"
    assert not sidecar.engine.executions


@virtual
async def test_call_stopped_before_its_first_step_returns_its_slot():
    """Guards against a slot lost by cancelling a task before its first step."""
    sidecar = SidecarFake(limit=1)
    events = sidecar.runner.dispatch(sidecar.request())
    await anext(events)
    await sidecar.cancel("call-1")
    await events.aclose()
    after = (await sidecar.dispatch(sidecar.request("call-2")))[-1]
    assert isinstance(after, m.Finished)


@virtual
async def test_deadline_stops_queued_and_running_calls_at_once():
    """Guards against a call that is held past its deadline."""
    sidecar = SidecarFake(limit=1)
    start_s = sidecar.clock.time_s()
    running = sidecar.start(
        sidecar.request("running", tokens=1000, deadline_time_s=start_s + 3)
    )
    queued = sidecar.start(sidecar.request("queued", deadline_time_s=start_s + 2))
    late = sidecar.request("late", deadline_time_s=start_s - 1)
    assert (await sidecar.dispatch(late))[-1].error.outcome == "not_run"
    last = (await queued)[-1]
    assert (last.error.code, last.error.outcome) == ("deadline_exceeded", "not_run")
    assert sidecar.clock.time_s() == start_s + 2
    last = (await running)[-1]
    assert (last.error.code, last.error.outcome) == ("deadline_exceeded", "ran")
    assert sidecar.clock.time_s() == start_s + 3
    assert "queued" not in sidecar.engine.executions


@virtual
async def test_call_at_a_hanging_engine_is_stopped_and_cleaned_up_later():
    """Guards against calls that hang with their engine, and memory leaked there."""
    sidecar = SidecarFake()
    task = sidecar.start(sidecar.request(tokens=1000))
    await asyncio.sleep(1.0)
    sidecar.engine.hanging = True
    last = (await task)[-1]
    assert (last.error.code, last.error.outcome) == ("upstream_error", "ran")
    assert sidecar.clock.monotonic_s() <= 1.0 + 10.0 + 0.5
    assert last.text
    sidecar.engine.hanging = False
    await sidecar.forget()
    await asyncio.sleep(2.0)
    assert sidecar.engine.cache.used_tokens == 0


@virtual
async def test_broken_stream_is_resumed_without_a_second_execution():
    """Guards against text that is lost or repeated when a connection breaks."""
    sidecar = SidecarFake()
    sidecar.engine.break_after_tokens = 9
    request = sidecar.request()
    last = (await sidecar.dispatch(request))[-1]
    assert last.text == expected_answer(request)
    assert sidecar.engine.executions == {"call-1": 1}


@virtual
async def test_answer_continues_on_another_engine():
    """Guards against an answer that changes when its engine dies."""
    first, second = SidecarFake(), SidecarFake()
    request = first.request(tokens=100)
    task = first.start(request)
    await asyncio.sleep(0.5)
    first.engine.crash()
    last = (await task)[-1]
    assert last.error.outcome == "ran"
    continued = second.request("call-1.2", forced_prefix=last.text)
    continued.messages = request.messages
    continued.max_tokens = request.max_tokens
    finished = (await second.dispatch(continued))[-1]
    assert finished.text == expected_answer(request)
    chunks = await second.attach("call-1.2", offset=len(last.text))
    assert last.text + "".join(chunk.text for chunk in chunks) == finished.text


@virtual
async def test_abandoned_model_call_is_cancelled_after_a_minute():
    """Guards against model calls that run on after their owner has failed."""
    sidecar = SidecarFake()
    task = sidecar.start(sidecar.request(tokens=100_000))
    await asyncio.sleep(1.0)
    task.cancel()
    await asyncio.sleep(59.0)
    assert (await sidecar.resolve("call-1", epoch=2)).state == "running"
    await asyncio.sleep(59.0)
    assert not sidecar.engine.cancelled
    await asyncio.sleep(3.0)
    assert sidecar.engine.cancelled == ["call-1"]


@virtual
async def test_drain_completes_accepted_calls_and_refuses_new_ones():
    """Guards against a planned stop that interrupts a request."""
    sidecar = SidecarFake(limit=1)
    tasks = [sidecar.start(sidecar.request(f"call-{n}")) for n in range(3)]
    await asyncio.sleep(0.05)
    sidecar.runner.start_draining()
    assert sidecar.runner.report().record.state == "draining"
    refusal = (await sidecar.dispatch(sidecar.request("late")))[-1]
    assert refusal.error.outcome == "not_run"
    drained = asyncio.ensure_future(sidecar.runner.drained())
    for number, task in enumerate(tasks):
        last = (await task)[-1]
        assert last.text == expected_answer(sidecar.request(f"call-{number}"))
        assert not drained.done()
        await sidecar.release(f"call-{number}")
    await drained


@virtual
async def test_full_ledger_refuses_new_calls():
    """Guards against at-most-once records that are evicted under load."""
    sidecar = SidecarFake(ledger=Ledger(limit=2))
    for number in range(2):
        await sidecar.dispatch(sidecar.request(f"call-{number}"))
        await sidecar.release(f"call-{number}")
    refusal = (await sidecar.dispatch(sidecar.request("call-3")))[-1]
    assert (refusal.error.code, refusal.error.outcome) == ("overloaded", "not_run")
    await sidecar.dispatch(sidecar.request("call-0"))
    assert sidecar.engine.executions == {"call-0": 1, "call-1": 1}


@virtual
async def test_retained_output_is_bounded():
    """Guards against memory exhausted by results that no owner releases."""
    sidecar = SidecarFake(ledger=Ledger(retained_limit_bytes=2000))
    for number in range(10):
        await sidecar.dispatch(sidecar.request(f"call-{number}", tokens=100))
    await asyncio.sleep(1.0)
    retained = sidecar.runner.ledger.records.values()
    assert 0 < sum(record.output.length for record in retained) <= 2000
    assert (await sidecar.resolve("call-0")).state == "unknown"
    assert (await sidecar.resolve("call-9")).state == "done"


@virtual
async def test_service_call_is_unknown_after_a_lost_answer():
    """Guards against a second charge after the answer to the first was lost."""
    sidecar = SidecarFake(kind="service")
    sidecar.service.lose_answers = 1
    request = sidecar.request()
    assert (await sidecar.dispatch(request))[-1].error.outcome == "unknown"
    assert (await sidecar.dispatch(request))[-1].error.outcome == "unknown"
    assert (await sidecar.resolve("call-1", epoch=2)).state == "unknown"
    assert sidecar.service.executions == {"call-1": 1}


@virtual
async def test_service_refusal_and_hang_have_correct_outcomes():
    """Guards against `not_run` for a call that may have run, and the reverse."""
    sidecar = SidecarFake(kind="service")
    sidecar.service.refusing = True
    refusal = (await sidecar.dispatch(sidecar.request("refused")))[-1]
    assert refusal.error.outcome == "not_run"
    sidecar.service.refusing = False
    sidecar.service.hanging = True
    hanging = (await sidecar.dispatch(sidecar.request("hanging")))[-1]
    assert hanging.error.outcome == "unknown"
    assert sidecar.service.executions == {"hanging": 1}


@virtual
async def test_started_service_call_is_not_cancelled():
    """Guards against an unknown outcome caused by a needless cancel."""
    sidecar = SidecarFake(kind="service")
    sidecar.service.slow_s = 5.0
    task = sidecar.start(sidecar.request())
    await asyncio.sleep(1.0)
    await sidecar.cancel("call-1")
    last = (await task)[-1]
    assert isinstance(last, m.Finished)
    assert last.payload_status == 200


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["dispatch", "cancel", "resolve", "release", "lose", "refuse", "wait"]
        ),
        st.integers(0, 2),
        st.integers(1, 2),
    ),
    max_size=25,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS)
def test_no_schedule_runs_a_call_twice_or_after_not_run(steps):
    """Guards against message orders that break at-most-once or `not_run`."""

    async def run():
        sidecar = SidecarFake(kind="service", limit=1, queue_limit=1)
        tasks = []
        not_run = set()

        async def follow(request):
            last = (await sidecar.dispatch(request))[-1]
            if isinstance(last, m.Refused) and last.error.outcome == "not_run":
                assert not sidecar.service.executions[request.call_id]
                if last.error.code != "stale_epoch":
                    not_run.add(request.call_id)

        for step, number, epoch in steps:
            call_id = f"call-{number}"
            if step == "dispatch":
                request = sidecar.request(call_id, epoch=epoch)
                tasks.append(asyncio.ensure_future(follow(request)))
            elif step == "cancel":
                await sidecar.cancel(call_id, epoch=epoch)
            elif step == "release":
                await sidecar.release(call_id, epoch=epoch)
            elif step == "resolve":
                reply = await sidecar.resolve(call_id, epoch=epoch)
                if reply.state == "never_seen":
                    not_run.add(call_id)
            elif step == "lose":
                sidecar.service.lose_answers = 1
            elif step == "refuse":
                sidecar.service.refusing = not sidecar.service.refusing
            await asyncio.sleep(0.01 * epoch if step != "wait" else 1.0)
        await asyncio.gather(*tasks)
        assert all(count <= 1 for count in sidecar.service.executions.values())
        assert not not_run & set(sidecar.service.executions)

    run_virtual(run())


@virtual
async def test_load_report_follows_the_engine():
    """Guards against a load report that routing cannot use."""
    sidecar = SidecarFake(costs=EngineCosts(step_s=0.05))
    await sidecar.dispatch(sidecar.request(tokens=200))
    await asyncio.sleep(2.0)
    load = await sidecar.runner.heartbeat(m.PairHeartbeat(sender="", incarnation=1))
    report = load.load
    assert load.record.incarnation == INCARNATION
    assert report.limit == 32
    assert report.prefill_tokens_per_s == 8000.0
    assert report.cache_capacity_tokens == 200_000
    assert report.cached_tokens > 200
    assert 0.0 < report.time_per_token_s <= 0.06
