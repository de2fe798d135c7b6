"""Guard against lost calls and exceeded limits in any order of operations."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from lentilroad.errors import OverloadedError
from lentilroad.request.concurrency import ConcurrencyLimit
from lentilroad.request.queue import CallQueue, CallSize, QueueSettings
from lentilroad.wire.messages import Priority
from tests.fakes.clock import ManualClock

PUSHES = st.tuples(
    st.just("push"),
    st.sampled_from("abc"),
    st.booleans(),
    st.floats(0.0, 100.0),
    st.none() | st.floats(0.1, 30.0),
    st.integers(0, 3000),
)
STEPS = st.lists(
    PUSHES
    | st.tuples(st.sampled_from(["pop", "finish", "remove", "refuse", "first"]))
    | st.tuples(st.just("wait"), st.floats(0.01, 5.0)),
    max_size=80,
)


@given(steps=STEPS)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_every_call_has_exactly_one_fate(steps):
    """No call may be lost, answered twice, or run beyond the bounds."""
    clock = ManualClock()
    queue = CallQueue(
        clock=clock,
        concurrency=ConcurrencyLimit(clock=clock, initial=3, minimum=3, maximum=3),
        settings=QueueSettings(calls_max=12, prefill_tokens_max=2000),
    )
    queue.set_upstream(memory_tokens=10_000)
    waiting, running = {}, {}
    for number, step in enumerate(steps):
        if step[0] == "push":
            _, caller, under_way, attained_s, wait_s, tokens = step
            call = f"call{number}"
            deadline_s = None if wait_s is None else clock.now_s + wait_s
            try:
                queue.push(
                    call,
                    priority=Priority(
                        caller_id=caller,
                        under_way=under_way,
                        attained_service_s=attained_s,
                    ),
                    deadline_s=deadline_s,
                    size=CallSize(prefill_tokens=tokens, memory_tokens=tokens),
                )
            except OverloadedError as error:
                assert error.outcome == "not_run"
                assert error.retry_after_ms > 0
                continue
            finally:
                for refused, _ in queue.take_refused():
                    waiting.pop(refused)
            waiting[call] = call
        elif step[0] == "pop":
            call = queue.pop_ready()
            for refused, _ in queue.take_refused():
                waiting.pop(refused)
            if call is not None:
                running[call] = waiting.pop(call)
        elif step[0] == "finish" and running:
            queue.finished(running.popitem()[1], service_s=1.0)
        elif step[0] == "remove" and waiting:
            assert queue.remove(waiting.popitem()[1])
        elif step[0] == "refuse":
            queue.refuse_all("the upstream hangs")
            refused = {call for call, _ in queue.take_refused()}
            assert refused == set(waiting)
            waiting.clear()
        elif step[0] == "first" and running:
            queue.first_token(next(iter(running.values())))
        elif step[0] == "wait":
            clock.now_s += step[1]
        assert len(queue) == len(waiting) <= 13
        assert len(running) <= 3
