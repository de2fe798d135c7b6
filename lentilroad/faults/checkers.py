"""Invariants over histories; this module imports nothing from the checked code.

A history is a list of events, each a dictionary with ``event`` and ``time_s``. Every
checker returns a list of violations, each one sentence.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

Event = dict[str, Any]

STOP_NEW_WORK_WITHIN_S = 3.0
HOLD_PRICE_MICRO = 10
ANSWER_GRACE_S = 2.0
# Planned stops, and failures that no request depends on.
_HARMLESS = {
    "entry_drain",
    "sidecar_drain",
    "key_value_outage",
    "key_value_lost_answer",
}


def _of(events: list[Event], *kinds: str) -> list[Event]:
    return [event for event in events if event["event"] in kinds]


def _call_number(call_id: str) -> int:
    return int(call_id.rpartition("/")[2].partition(".")[0])


def _answer_text(content: str) -> str:
    return f"[{content}] part0 part1 part2 part3"


def check_order(events: list[Event]) -> list[str]:
    """Check that calls start in order and see all turns before them."""
    found = []
    highest: dict[str, int] = defaultdict(int)
    lengths: dict[str, set[int]] = defaultdict(set)
    for event in _of(events, "run", "effect"):
        program = event["program"]
        number = _call_number(event["call_id"])
        if number < highest[program]:
            found.append(f"call {event['call_id']} ran after call {highest[program]}")
        highest[program] = max(highest[program], number)
        if event["event"] == "run":
            lengths[event["contents"][-1]].add(len(event["contents"]))
    for event in _committed_turns(events):
        expected = 2 * event["turn_no"] - 1
        if expected not in lengths[event["content"]]:
            found.append(f"turn {event['content']} ran without the turns before it")
    return found


def _committed_turns(events: list[Event]) -> list[Event]:
    return [
        event
        for event in _of(events, "answer")
        if event["outcome"] == "committed" and event["kind"] == "chat"
    ]


def check_no_loss(events: list[Event]) -> list[str]:
    """Check that every committed turn is at its place in the history."""
    found = []
    reads = {event["program"]: event for event in _of(events, "read")}
    for event in reads.values():
        if event["error"]:
            found.append(f"program {event['program']} reads as {event['error']}")
    for event in _committed_turns(events):
        read = reads.get(event["program"])
        if read is None or read["error"]:
            continue
        place = 2 * (event["turn_no"] - 1)
        if read["contents"][place : place + 1] != [event["content"]]:
            found.append(f"program {event['program']} lost turn {event['content']}")
    return found


def check_no_mixing(events: list[Event]) -> list[str]:
    """Check that histories and prompts hold only their own program's text."""
    found = []
    own: dict[str, set[str]] = defaultdict(set)
    for event in _of(events, "request"):
        own[event["program"]].add(event["content"])
        own[event["program"]].add(_answer_text(event["content"]))
    for event in _of(events, "run", "read"):
        foreign = [
            text for text in event["contents"] if text not in own[event["program"]]
        ]
        if foreign:
            found.append(f"program {event['program']} holds foreign text {foreign}")
    for event in _of(events, "read"):
        users = event["contents"][::2]
        answers = event["contents"][1::2]
        if answers != [_answer_text(content) for content in users]:
            found.append(f"program {event['program']} has a torn history")
        if len(set(users)) != len(users):
            found.append(f"program {event['program']} has a turn twice")
    return found


def check_budget(events: list[Event]) -> list[str]:
    """Check that effects and recorded spending of a tree stay within its budget."""
    found = []
    roots = {event["program"]: event["root"] for event in _of(events, "opened")}
    limits = {event["root"]: event["money_micro"] for event in _of(events, "opened")}
    spent: dict[str, int] = defaultdict(int)
    for event in _of(events, "effect"):
        if event["operation"] == "hold":
            spent[roots.get(event["program"], "")] += HOLD_PRICE_MICRO
    for event in _of(events, "read"):
        if event["program"] == event["root"] and not event["error"]:
            recorded = event["spent_money_micro"]
            if recorded < spent[event["root"]]:
                found.append(
                    f"{event['root']} records {recorded}, used {spent[event['root']]}"
                )
            spent[event["root"]] = max(spent[event["root"]], recorded)
    for root, limit in limits.items():
        if spent[root] > limit:
            found.append(f"tree {root} spent {spent[root]} of {limit}")
    return found


def check_memory_released(events: list[Event]) -> list[str]:
    """Check that no engine holds cache of a program that has ended."""
    ended = {name for event in _of(events, "ended") for name in event["programs"]}
    return [
        f"{event['upstream']} holds {program}"
        for event in _of(events, "cache")
        for program in event["programs"]
        if program in ended
    ]


def check_complete_answers(events: list[Event]) -> list[str]:
    """Check that each request gets one answer, its own and whole."""
    found = []
    requests = _of(events, "request")
    answers = _of(events, "answer")
    if len(requests) != len(answers):
        found.append(f"{len(requests)} requests got {len(answers)} answers")
    seen: dict[tuple[str, str], str] = {}
    for event in answers:
        if event["outcome"] != "committed":
            continue
        place = (event["program"], event["key"])
        is_chat = event["kind"] == "chat"
        content = event["content"]
        expected = _answer_text(content) if is_chat else f"did {content}"
        if event["text"] != expected:
            found.append(f"{place} got {event['text']!r}, not {expected!r}")
        if not event["text"].startswith(event["emitted"]):
            found.append(f"{place} was sent {event['emitted']!r} before its answer")
        if seen.setdefault(place, event["text"]) != event["text"]:
            found.append(f"{place} has two different answers")
    return found


def check_answered_in_time(events: list[Event]) -> list[str]:
    """Check that requests are answered by their deadline under failures."""
    found = [f"{event['clients']} clients are stuck" for event in _of(events, "stuck")]
    waiting: dict[tuple[str, str], list[float]] = defaultdict(list)
    for event in _of(events, "request", "answer"):
        place = (event["program"], event["key"])
        if event["event"] == "request":
            waiting[place].append(event["deadline_s"])
        elif waiting[place]:
            deadline_s = waiting[place].pop(0)
            if event["time_s"] > deadline_s + ANSWER_GRACE_S:
                found.append(f"{place} was answered after its deadline")
    return found


def check_not_run(events: list[Event]) -> list[str]:
    """Check that what was refused as ``not_run`` did not run."""
    found = []
    ran = {event["payload"] for event in _of(events, "effect")}
    ran |= {event["contents"][-1] for event in _of(events, "run")}
    outcomes: dict[tuple[str, str], set[str]] = defaultdict(set)
    for event in _of(events, "answer"):
        outcomes[event["program"], event["key"]].add(event["outcome"])
    for event in _of(events, "answer"):
        alone = outcomes[event["program"], event["key"]] == {"not_run"}
        if alone and event["content"] in ran:
            found.append(f"{event['content']} ran but was refused as not_run")
    return found


def check_at_most_once(events: list[Event]) -> list[str]:
    """Check that a hold takes effect at most once."""
    counts: dict[str, int] = defaultdict(int)
    for event in _of(events, "effect"):
        if event["operation"] == "hold":
            counts[event["payload"]] += 1
    return [
        f"hold {name} ran {count} times" for name, count in counts.items() if count > 1
    ]


def check_leaving(events: list[Event]) -> list[str]:
    """Check that a leaving upstream soon accepts no new call."""
    found = []
    leaving: dict[str, float] = {}
    for event in _of(events, "leaving", "returned", "accepted"):
        upstream = event["upstream"]
        if event["event"] == "leaving":
            leaving[upstream] = event["time_s"]
        elif event["event"] == "returned":
            leaving.pop(upstream, None)
        elif event["time_s"] > leaving.get(upstream, 1e12) + STOP_NEW_WORK_WITHIN_S:
            found.append(f"{upstream} accepted {event['call_id']} while leaving")
    return found


def check_planned_stops(events: list[Event]) -> list[str]:
    """Check that planned stops and the key-value service interrupt no request."""
    kinds = {event["kind"] for event in _of(events, "fault")}
    if not kinds or not kinds <= _HARMLESS:
        return []
    return [
        f"{event['content']} ended as {event['outcome']} ({event['code']})"
        for event in _of(events, "answer")
        if event["outcome"] != "committed" and event["code"] != "budget_exhausted"
    ]


def check_no_internal_error(events: list[Event]) -> list[str]:
    """Check that no task of a process ends with an unexpected exception."""
    return [event["reason"] for event in _of(events, "internal_error")]


CHECKERS = (
    check_order,
    check_no_loss,
    check_no_mixing,
    check_budget,
    check_memory_released,
    check_complete_answers,
    check_answered_in_time,
    check_not_run,
    check_at_most_once,
    check_leaving,
    check_planned_stops,
    check_no_internal_error,
)


def check(events: list[Event]) -> list[str]:
    """Return all violations in a history, each with its checker's name."""
    return [
        f"{checker.__name__[6:]}: {violation}"
        for checker in CHECKERS
        for violation in checker(events)
    ]
