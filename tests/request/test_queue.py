"""Guard against a queue that starves calls, misorders them or refuses them late."""

from __future__ import annotations

import pytest

from lentilroad.errors import OverloadedError
from lentilroad.request.concurrency import ConcurrencyLimit
from lentilroad.request.queue import CallQueue, CallSize, QueueSettings
from lentilroad.wire.messages import Priority
from tests.fakes.clock import ManualClock


def make_queue(*, limit=1, **settings):
    """Return a clock and a queue with a fixed concurrency limit."""
    clock = ManualClock()
    concurrency = ConcurrencyLimit(
        clock=clock, initial=limit, minimum=limit, maximum=limit
    )
    queue = CallQueue(
        clock=clock, concurrency=concurrency, settings=QueueSettings(**settings)
    )
    return clock, queue


def priority(caller="a", under_way=True, **fields):
    """Return a priority, by default of a program under way."""
    return Priority(caller_id=caller, under_way=under_way, **fields)


def drain(clock, queue, service_s=1.0):
    """Run the waiting calls one after another; return them in their order."""
    order = []
    while (call := queue.pop_ready()) is not None:
        order.append(call)
        clock.now_s += service_s
        queue.finished(call, service_s=service_s)
    return order


def test_slots_are_bounded_by_the_limit():
    """The number of running calls must never exceed the concurrency limit."""
    _, queue = make_queue(limit=2)
    for name in ("x", "y", "z"):
        queue.push(name, priority=priority())
    assert queue.pop_ready() == "x"
    assert queue.pop_ready() == "y"
    assert queue.pop_ready() is None
    queue.finished("x", service_s=1.0)
    assert queue.pop_ready() == "z"


def test_program_under_way_runs_before_new_program():
    """A program under way must not wait for a new program that arrived earlier."""
    clock, queue = make_queue()
    queue.push("new", priority=priority(under_way=False))
    queue.push("old", priority=priority())
    assert drain(clock, queue) == ["old", "new"]


def test_waiting_call_ages_past_later_arrivals():
    """Unbounded attained service would starve a long program behind short ones."""
    clock, queue = make_queue()
    queue.push("long", priority=priority(attained_service_s=10_000.0))
    started = []
    for number in range(40):
        queue.push(f"short{number}", priority=priority())
        call = queue.pop_ready()
        started.append(call)
        clock.now_s += 1.0
        queue.finished(call, service_s=1.0)
    assert "long" in started


def test_earlier_deadline_runs_first():
    """A call with a close deadline must overtake an earlier call without deadline."""
    clock, queue = make_queue()
    queue.push("loose", priority=priority(attained_service_s=30.0))
    clock.now_s = 1.0
    queue.push("tight", priority=priority(attained_service_s=30.0), deadline_s=3.5)
    assert drain(clock, queue)[0] == "tight"


def test_call_that_cannot_meet_its_deadline_is_refused_at_once():
    """The caller of a call that cannot finish must learn it before the deadline."""
    _, queue = make_queue()
    for number in range(10):
        queue.push(f"call{number}", priority=priority())
    with pytest.raises(OverloadedError) as refused:
        queue.push("late", priority=priority(), deadline_s=3.0)
    assert refused.value.outcome == "not_run"
    assert refused.value.retry_after_ms > 0


def test_call_on_an_idle_upstream_runs_despite_a_short_deadline():
    """After slow calls, the mean service time must not refuse all shorter calls."""
    clock, queue = make_queue()
    queue.push("slow", priority=priority())
    queue.pop_ready()
    queue.finished("slow", service_s=100.0)
    queue.push("quick", priority=priority(), deadline_s=clock.now_s + 2.0)
    assert queue.pop_ready() == "quick"


def test_waiting_call_is_refused_once_it_cannot_meet_its_deadline():
    """A call whose expected wait grows must be refused before its deadline."""
    clock, queue = make_queue()
    queue.push("running", priority=priority())
    queue.pop_ready()
    queue.push("waiting", priority=priority(), deadline_s=6.0)
    clock.now_s = 5.5
    [(call, error)] = queue.take_refused()
    assert call == "waiting"
    assert error.outcome == "not_run"
    assert len(queue) == 0


def test_new_programs_are_refused_before_programs_under_way():
    """Under overload, new programs must be refused first."""
    _, queue = make_queue(calls_max=8, new_program_wait_max_s=1e9)
    for number in range(2):
        queue.push(f"n{number}", priority=priority(under_way=False))
    with pytest.raises(OverloadedError):
        queue.push("n2", priority=priority(under_way=False))
    for number in range(6):
        queue.push(f"u{number}", priority=priority())
    queue.push("u6", priority=priority())
    [(call, _)] = queue.take_refused()
    assert call == "n1"


def test_callers_share_the_upstream():
    """A caller with many calls must not delay the few calls of another caller."""
    clock, queue = make_queue(fairness_slack_s=1.0)
    for number in range(50):
        queue.push(f"many{number}", priority=priority("big"))
    for number in range(3):
        queue.push(f"few{number}", priority=priority("small"))
    order = drain(clock, queue)
    assert max(order.index(f"few{number}") for number in range(3)) < 10


def test_cancelled_call_is_not_popped():
    """A cancelled call must not reach the upstream."""
    clock, queue = make_queue()
    queue.push("x", priority=priority())
    queue.push("y", priority=priority())
    assert queue.remove("x")
    assert not queue.remove("x")
    assert drain(clock, queue) == ["y"]


def test_hang_refuses_every_waiting_call():
    """Calls that wait for a hung upstream must be refused at once."""
    _, queue = make_queue()
    queue.push("x", priority=priority())
    queue.push("y", priority=priority("b"))
    queue.refuse_all("the upstream hangs")
    assert {call for call, _ in queue.take_refused()} == {"x", "y"}


def test_every_caller_is_served_within_a_bounded_time():
    """Neither its rank nor the load of another caller may starve a call."""
    clock, queue = make_queue(limit=1)
    queue.push(
        "victim", priority=priority("small", under_way=False, attained_service_s=1e9)
    )
    for number in range(60):
        urgent = priority("big", interactive=True, remaining_depth=9)
        queue.push(f"big{number}", priority=urgent)
        call = queue.pop_ready()
        if call == "victim":
            break
        clock.now_s += 1.0
        queue.finished(call, service_s=1.0)
    assert call == "victim"
    assert clock.now_s <= 20.0


def test_large_prompts_do_not_fill_the_engine():
    """The engine's own queue ignores priorities, so it must stay short."""
    _, queue = make_queue(limit=9, prefill_tokens_max=1000)
    for number in range(3):
        size = CallSize(prefill_tokens=800)
        queue.push(f"call{number}", priority=priority(), size=size)
    first, second = queue.pop_ready(), queue.pop_ready()
    assert (first, second) == ("call0", "call1")
    assert queue.pop_ready() is None
    queue.first_token(first)
    assert queue.pop_ready() == "call2"


def test_running_calls_fit_the_memory():
    """Calls beyond the memory would make the engine evict cached prefixes."""
    _, queue = make_queue(limit=9, running_memory_share=0.5)
    queue.set_upstream(memory_tokens=1000)
    for number in range(2):
        size = CallSize(memory_tokens=400)
        queue.push(f"call{number}", priority=priority(), size=size)
    assert queue.pop_ready() == "call0"
    assert queue.pop_ready() is None
    queue.finished("call0", service_s=1.0)
    assert queue.pop_ready() == "call1"


def test_call_larger_than_the_memory_still_runs():
    """A call that exceeds the limits on tokens must run alone, not wait forever."""
    _, queue = make_queue()
    queue.set_upstream(memory_tokens=1000)
    size = CallSize(prefill_tokens=99_999, memory_tokens=99_999)
    queue.push("huge", priority=priority(), size=size)
    assert queue.pop_ready() == "huge"


def test_full_memory_refuses_only_new_programs():
    """Programs under way must continue when their caches fill the memory."""
    _, queue = make_queue()
    queue.set_upstream(memory_tokens=1000, under_way_tokens=990)
    queue.push("old", priority=priority())
    with pytest.raises(OverloadedError):
        queue.push("new", priority=priority(under_way=False))


def test_wait_for_memory_counts_against_the_deadline():
    """The expected wait must include the wait for memory while slots are free."""
    _, queue = make_queue(limit=9, running_memory_share=1.0)
    queue.set_upstream(memory_tokens=1000)
    size = CallSize(memory_tokens=900)
    queue.push("running", priority=priority(), size=size)
    assert queue.pop_ready() == "running"
    for number in range(5):
        queue.push(f"call{number}", priority=priority(), size=size)
    with pytest.raises(OverloadedError):
        queue.push("late", priority=priority(), size=size, deadline_s=4.0)
