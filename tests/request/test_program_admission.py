"""Decisions on single programs: under way or new, order, refusals, shares."""

from __future__ import annotations

from random import Random

from lentilroad.bench.program_load import SHORT
from lentilroad.process.telemetry import Telemetry
from lentilroad.request.customer_shares import CustomerShares
from lentilroad.request.inbound import InboundRequest
from lentilroad.request.program_admission import VIEW_MAX_AGE_S, ProgramAdmission
from lentilroad.request.program_order import waiting_rank, waits_in_excess
from lentilroad.request.program_policy import ProgramPolicy
from lentilroad.request.program_tracker import (
    PROGRAM_LIFETIME_S,
    PROGRAMS_MAX,
    ProgramState,
    ProgramTracker,
)
from lentilroad.request.service_load import ServiceLoad
from lentilroad.version.customers import Customer
from tests.fakes.clock import ManualClock

ROUTE = SHORT.route()
NEW = ProgramState(
    under_way=False, finish_s=2.0, finish_total_s=2.0, remaining_work_s=1.6
)


def _turn(program: str, parts: int, **fields) -> InboundRequest:
    return InboundRequest(
        request_id="r",
        method="POST",
        target="/",
        host="h",
        forwarded_headers=[],
        program_id=program,
        finish_s=fields.pop("finish_s", 2.0),
        prompt_parts=tuple((str(part), 100) for part in range(parts)),
        **fields,
    )


def _service_load(waiting: int, measured_at_s: float = 0.0) -> ServiceLoad:
    return ServiceLoad(
        slots=100,
        in_flight=100,
        waiting_under_way=waiting,
        waiting_new=0,
        completed_per_s=300.0,
        entries=10,
        measured_at_s=measured_at_s,
    )


def _decide(admission: ProgramAdmission, state: ProgramState = NEW, **fields):
    return admission.decide(
        service="svc",
        state=state,
        customer=fields.get("customer", "c"),
        weight=1.0,
        priority=fields.get("priority", (0, 0)),
        urgent_share=fields.get("urgent_share", 1.0),
        turns_per_program=5.0,
    )


def test_turn_that_arrives_at_another_entry_counts_as_under_way() -> None:
    """Guard against refusals of later turns by entries that never saw the program."""
    tracker = ProgramTracker(clock=ManualClock())
    for number in range(20):
        first = _turn(str(number), 2)
        state = tracker.state_of(first, ROUTE)
        assert not state.under_way
        tracker.accepted(first, ROUTE, "svc", state, (0, 0))
        assert tracker.state_of(_turn(str(number), 2), ROUTE).under_way
    later = tracker.state_of(_turn("elsewhere", 4), ROUTE)
    assert later.under_way
    assert later.remaining_work_s < NEW.finish_total_s
    assert tracker.state_of(_turn("x", 2, previous_turn_id="t"), ROUTE).under_way


def test_ids_of_programs_belong_to_their_customer_and_are_forgotten() -> None:
    """Guard against admission by another customer's id, and against endless ids."""
    clock = ManualClock()
    tracker = ProgramTracker(clock=clock)
    for number in range(PROGRAMS_MAX + 1):
        turn = _turn(str(number), 2, customer=Customer(name="a"))
        tracker.accepted(turn, ROUTE, "svc", NEW, (0, 0))
    same_id = _turn(str(PROGRAMS_MAX), 2, customer=Customer(name="b"))
    assert not tracker.state_of(same_id, ROUTE).under_way
    assert tracker.state_of(turn, ROUTE).under_way
    oldest = _turn("0", 2, customer=Customer(name="a"))
    assert not tracker.state_of(oldest, ROUTE).under_way
    clock.now_s += PROGRAM_LIFETIME_S + 1.0
    assert not tracker.state_of(turn, ROUTE).under_way


def test_deadlines_of_impatient_callers_are_no_sign_of_a_return() -> None:
    """Guard against new programs refused as returning where deadlines differ."""
    for deadlines_s, returning in (((3.0,), True), ((3.0, 1.0, 3.0), False)):
        tracker = ProgramTracker(clock=ManualClock())
        for number in range(30):
            deadline_s = deadlines_s[number % len(deadlines_s)]
            turn = _turn(str(number), 2, deadline_s=deadline_s)
            state = tracker.state_of(turn, ROUTE)
            tracker.accepted(turn, ROUTE, "svc", state, (0, 0))
        found = tracker.state_of(_turn("new", 2, deadline_s=2.0), ROUTE)
        assert found.returning is returning


def test_order_of_waiting_requests() -> None:
    """Guard against new or hopeless programs ahead of those that can end in time."""

    def rank(under_way: bool, finish_s: float, priority=(0, 0), in_excess=False):
        state = ProgramState(
            under_way=under_way,
            finish_s=finish_s,
            finish_total_s=2.0,
            remaining_work_s=1.0,
        )
        return waiting_rank(
            state=state, priority=priority, began_s=9.0, in_excess=in_excess
        )

    expected = [
        rank(True, 1.1),
        rank(True, 1.5),
        rank(True, 1.0, in_excess=True),
        rank(False, 2.0),
        rank(True, 0.1),
        rank(True, 1.1, priority=(0, 2)),
        rank(True, 1.1, priority=(1, 0)),
        rank(True, -1.5),
    ]
    assert sorted(expected) == expected
    assert waits_in_excess(20, 26, 4)
    assert not waits_in_excess(20, 20, 1)


def test_new_programs_are_refused_in_part_and_return_in_order() -> None:
    """Guard against entries that all admit or all refuse, and return all at once."""
    usage_between_bounds, usage_beyond = _service_load(5), _service_load(100)
    admission = ProgramAdmission(
        load=lambda service: usage_between_bounds,
        clock=ManualClock(),
        random_share=Random(1).random,
    )
    reasons = [bool(_decide(admission).reason) for _ in range(20)]
    assert any(reasons)
    assert not all(reasons)
    admission = ProgramAdmission(
        load=lambda service: usage_beyond,
        clock=ManualClock(),
        random_share=lambda: 0.0,
    )
    decisions = [_decide(admission) for _ in range(5)]
    assert all(decision.reason for decision in decisions)
    delays_s = [decision.retry_after_s for decision in decisions]
    assert delays_s == sorted(delays_s)
    assert delays_s[0] > 0.0


def test_urgent_programs_start_while_less_urgent_ones_take_the_slots() -> None:
    """Guard against urgent programs refused for slots that they would get first."""
    admission = ProgramAdmission(
        load=lambda service: _service_load(60),
        clock=ManualClock(),
        random_share=lambda: 0.0,
    )
    assert _decide(admission, urgent_share=0.4).reason == ""
    assert _decide(admission, priority=(0, 2)).reason != ""


def test_all_programs_start_without_a_recent_view() -> None:
    """Guard against refusals by a load that was measured long ago."""
    clock = ManualClock()
    policy = ProgramPolicy(
        clock=clock,
        load=lambda service: _service_load(200),
        waiting=lambda service: {},
        telemetry=Telemetry(),
        random_share=lambda: 0.0,
    )
    turn = _turn("p", 2)
    state = policy.state_of(turn, ROUTE)
    assert policy.decide(turn, ROUTE, "svc", state, 0.0).admission.reason
    clock.now_s = VIEW_MAX_AGE_S + 0.1
    decision = policy.decide(turn, ROUTE, "svc", state, 0.0)
    assert not decision.admission.reason
    assert decision.rank is None


def test_hot_customer_pays_for_its_own_load_first() -> None:
    """Guard against customers refused because another sends many times its usual."""
    shares = CustomerShares(clock=ManualClock())
    for _ in range(12):
        shares.arrived("hot", 100.0)
    for number in range(6):
        shares.arrived(f"c-{number}", None)
    assert shares.refused_share("c-0", 0.5) == 0.0
    assert abs(shares.refused_share("hot", 0.5) - 0.75) < 1e-9
    assert shares.refused_share("c-0", 1.0) == 1.0
