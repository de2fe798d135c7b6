"""Each checker must reject a history that breaks its invariant."""

from __future__ import annotations

import pytest

from lentilroad.faults import checkers

ANSWER = "[q:0] part0 part1 part2 part3"


def event(name, /, **fields):
    """Return an event."""
    return {"event": name, "time_s": fields.pop("time_s", 0.0), **fields}


def request(**changes):
    """Return a chat request of program p."""
    fields = {"program": "p", "key": "k", "kind": "chat", "operation": ""}
    fields |= {"content": "q:0", "deadline_s": 15.0}
    return event("request", **(fields | changes))


def answer(**changes):
    """Return the committed answer to `request`."""
    fields = {"program": "p", "key": "k", "kind": "chat", "operation": ""}
    fields |= {"content": "q:0", "outcome": "committed", "code": ""}
    fields |= {"text": ANSWER, "emitted": "[q:0]", "turn_no": 1}
    return event("answer", **(fields | changes))


def run(call_id="p/1.1", **changes):
    """Return a model call."""
    fields = {"program": "p", "upstream": "e", "contents": ["q:0"]}
    return event("run", call_id=call_id, **(fields | changes))


def effect(call_id="p/2.1", payload="q:1", **changes):
    """Return the effect of a hold."""
    fields = {"program": "p", "upstream": "s", "operation": "hold"}
    return event("effect", call_id=call_id, payload=payload, **(fields | changes))


def read(**changes):
    """Return the program as read at the end."""
    fields = {"program": "p", "root": "p", "error": "", "spent_money_micro": 10}
    return event("read", **(fields | {"contents": ["q:0", ANSWER]} | changes))


def opened(**changes):
    """Return the opening of program p."""
    fields = {"program": "p", "root": "p", "money_micro": 30, "error": ""}
    return event("opened", **(fields | changes))


GOOD = [
    opened(),
    request(),
    run(),
    answer(time_s=1.0),
    request(key="h", kind="service", operation="hold", content="q:1", time_s=2.0),
    effect(time_s=2.1),
    answer(
        key="h",
        kind="service",
        operation="hold",
        content="q:1",
        text="did q:1",
        emitted="",
        time_s=2.2,
    ),
    read(time_s=3.0),
    event("ended", programs=["p"], time_s=3.1),
    event("cache", upstream="e", programs=[], time_s=9.0),
]


def test_good_history_passes():
    """A checker that rejects everything would prove nothing."""
    assert checkers.check(GOOD) == []


BAD = [
    (checkers.check_order, [run("p/2.1"), run("p/1.1")]),
    (checkers.check_order, [run(), answer(turn_no=2)]),
    (checkers.check_no_loss, [answer(), read(contents=[])]),
    (checkers.check_no_loss, [answer(), read(error="not_found")]),
    (
        checkers.check_no_loss,
        [
            answer(),
            answer(key="l", content="q:1", text="[q:1] part0 part1 part2 part3"),
            read(contents=["q:1", "x", "q:0", ANSWER]),
        ],
    ),
    (checkers.check_no_mixing, [request(), read(contents=["z:0", "answer"])]),
    (checkers.check_no_mixing, [request(), run(contents=["z:0"])]),
    (checkers.check_no_mixing, [request(), read(contents=["q:0", "q:0"])]),
    (
        checkers.check_no_mixing,
        [request(), read(contents=["q:0", ANSWER, "q:0", ANSWER])],
    ),
    (checkers.check_budget, [opened(), *[effect(f"p/{n}.1") for n in range(4)]]),
    (checkers.check_budget, [opened(), read(spent_money_micro=40)]),
    (checkers.check_budget, [opened(), effect(), read(spent_money_micro=0)]),
    (
        checkers.check_budget,
        [
            opened(),
            opened(program="c"),
            effect(),
            effect("p/3.1"),
            effect("c/1.1", program="c"),
            effect("c/2.1", program="c"),
        ],
    ),
    (
        checkers.check_memory_released,
        [
            event("ended", programs=["p"]),
            event("cache", upstream="e", programs=["p"]),
        ],
    ),
    (checkers.check_complete_answers, [request()]),
    (checkers.check_complete_answers, [request(), answer(text=ANSWER[:-1])]),
    (checkers.check_complete_answers, [request(), answer(emitted="[q:0] other")]),
    (
        checkers.check_complete_answers,
        [request(), request(), answer(), answer(text="[q:0]")],
    ),
    (checkers.check_answered_in_time, [request(), answer(time_s=17.5)]),
    (checkers.check_answered_in_time, [event("stuck", clients=1)]),
    (
        checkers.check_not_run,
        [request(), run(), answer(outcome="not_run", code="overloaded")],
    ),
    (
        checkers.check_not_run,
        [effect(), answer(content="q:1", outcome="not_run", code="unavailable")],
    ),
    (checkers.check_at_most_once, [effect(), effect("p/2.2")]),
    (
        checkers.check_leaving,
        [
            event("leaving", upstream="e", time_s=1.0),
            event("accepted", upstream="e", call_id="p/1.1", time_s=4.1),
        ],
    ),
    (
        checkers.check_planned_stops,
        [
            event("fault", kind="entry_drain"),
            answer(outcome="unknown", code="outcome_unknown"),
        ],
    ),
    (
        checkers.check_no_internal_error,
        [event("internal_error", reason="KeyError()")],
    ),
]


@pytest.mark.parametrize(("checker", "events"), BAD)
def test_checker_rejects_a_broken_history(checker, events):
    """A checker that accepts everything would hide a fault."""
    assert checker(events)


def test_every_checker_has_a_history_that_it_rejects():
    """A new checker must come with a proof that it can fail."""
    assert {checker for checker, _ in BAD} == set(checkers.CHECKERS)


def test_checkers_import_nothing_of_the_checked_code():
    """A shared mistake must not hide itself."""
    names = [
        getattr(value, "__module__", "") or getattr(value, "__name__", "")
        for value in vars(checkers).values()
    ]
    foreign = [name for name in names if name.startswith("lentilroad")]
    assert set(foreign) == {"lentilroad.faults.checkers"}
