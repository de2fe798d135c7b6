"""Check histories of configuration changes.

The checker imports nothing of the code that it checks. A history is a list of
events in the order in which they happened; an event is a dict with these kinds:

``started``  an operator sends a change: ``write_id``
``accepted`` the change was confirmed: ``write_id``, ``version``, ``content``
``refused``  the change was refused as not made: ``write_id``
``unknown``  the operator does not know: ``write_id``
``in_force`` ``process``, ``incarnation``, ``durable``, ``version``, ``write_id``,
             ``content``
``stored``   one version of the service at the end: ``version``, ``parent``,
             ``write_id``
``lost_part`` ``digest``: the newest version's part that the service lacks at the end
``final``    ``process``, ``version``: what is in force after all faults ended
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

Event = dict[str, Any]


def check_history(events: list[Event]) -> list[str]:
    """Return every violation of a history; an empty list means that it is valid."""
    return [
        *_chain(events),
        *_one_content_per_version(events),
        *_accepted_stay(events),
        *_refused_never_appear(events),
        *_accepted_in_order(events),
        *_processes_never_step_back(events),
        *_everyone_ends_at_the_newest(events),
        *(f"part {one['digest']} was lost" for one in _of(events, "lost_part")),
    ]


def count_cold_steps_back(events: list[Event]) -> int:
    """Count restarts without a disk that began below the version held before."""
    highest: dict[str, int] = {}
    incarnations: dict[str, int] = {}
    steps = 0
    for event in _of(events, "in_force"):
        process = event["process"]
        new = incarnations.get(process) != event["incarnation"]
        incarnations[process] = event["incarnation"]
        if new and event["version"] < highest.get(process, 0):
            steps += 1
        highest[process] = max(highest.get(process, 0), event["version"])
    return steps


def _of(events: list[Event], kind: str) -> Iterator[Event]:
    return (event for event in events if event["kind"] == kind)


def _chain(events: list[Event]) -> Iterator[str]:
    stored = sorted(_of(events, "stored"), key=lambda event: event["version"])
    versions = [event["version"] for event in stored]
    if versions != list(range(1, len(stored) + 1)):
        yield f"stored versions are not 1 to n: {versions}"
    for event in stored:
        if event["parent"] != event["version"] - 1:
            yield f"version {event['version']} has parent {event['parent']}"
    for write_id, count in Counter(event["write_id"] for event in stored).items():
        if count > 1:
            yield f"write {write_id} is stored {count} times"


def _one_content_per_version(events: list[Event]) -> Iterator[str]:
    writes: dict[int, str] = {}
    contents: dict[int, Any] = {}
    for event in events:
        if event["kind"] not in ("accepted", "in_force", "stored"):
            continue
        version = event["version"]
        if writes.setdefault(version, event["write_id"]) != event["write_id"]:
            yield f"version {version} stands for two writes"
        if "content" not in event:
            continue
        if contents.setdefault(version, event["content"]) != event["content"]:
            yield f"version {version} has two contents"


def _accepted_stay(events: list[Event]) -> Iterator[str]:
    stored = {event["version"]: event["write_id"] for event in _of(events, "stored")}
    for event in _of(events, "accepted"):
        if stored.get(event["version"]) != event["write_id"]:
            yield f"accepted version {event['version']} was lost"
    for event in _of(events, "in_force"):
        if stored.get(event["version"]) != event["write_id"]:
            yield (
                f"{event['process']} had version {event['version']} in force, which "
                "was never accepted"
            )


def _refused_never_appear(events: list[Event]) -> Iterator[str]:
    refused = {event["write_id"] for event in _of(events, "refused")}
    accepted = {event["write_id"] for event in _of(events, "accepted")}
    for event in _of(events, "stored"):
        if event["write_id"] in refused:
            yield f"refused write {event['write_id']} took effect"
    for write_id in refused & accepted:
        yield f"write {write_id} was both refused and accepted"


def _accepted_in_order(events: list[Event]) -> Iterator[str]:
    confirmed = 0
    floor: dict[str, int] = {}
    for event in events:
        if event["kind"] == "started":
            floor.setdefault(event["write_id"], confirmed)
        if event["kind"] != "accepted":
            continue
        if event["version"] <= floor.get(event["write_id"], 0):
            yield (
                f"version {event['version']} was accepted for a change that began "
                f"after version {floor[event['write_id']]} was confirmed"
            )
        confirmed = max(confirmed, event["version"])


def _processes_never_step_back(events: list[Event]) -> Iterator[str]:
    highest: dict[tuple[str, int], int] = {}
    for event in _of(events, "in_force"):
        # What a process with a disk had in force holds for all its incarnations.
        incarnation = 0 if event["durable"] else event["incarnation"]
        key = (event["process"], incarnation)
        repeated = event["durable"] and event["version"] == highest.get(key)
        if event["version"] <= highest.get(key, 0) and not repeated:
            yield (
                f"{event['process']} went from version {highest[key]} to "
                f"{event['version']}"
            )
        highest[key] = max(highest.get(key, 0), event["version"])


def _everyone_ends_at_the_newest(events: list[Event]) -> Iterator[str]:
    newest = max((event["version"] for event in _of(events, "stored")), default=0)
    for event in _of(events, "final"):
        if event["version"] != newest:
            yield (
                f"{event['process']} ended at version {event['version']} and not "
                f"at {newest}"
            )
