"""Guard against a checker that accepts histories with reverts."""

from __future__ import annotations

import ast
import inspect

import pytest

from lentilroad.bench import configuration_checker
from lentilroad.bench.configuration_checker import (
    check_history,
    count_cold_steps_back,
)


def _in_force(version, *, process="e1", incarnation=1, durable=False, write_id=None):
    return {
        "kind": "in_force",
        "process": process,
        "incarnation": incarnation,
        "durable": durable,
        "version": version,
        "write_id": write_id or f"w{version}",
        "content": version,
    }


def _stored(version, *, write_id=None, parent=None):
    return {
        "kind": "stored",
        "version": version,
        "parent": version - 1 if parent is None else parent,
        "write_id": write_id or f"w{version}",
    }


def _accepted(version, *, write_id=None):
    write_id = write_id or f"w{version}"
    return {"kind": "accepted", "write_id": write_id, "version": version}


VALID = [
    {"kind": "started", "write_id": "w1"},
    _accepted(1),
    _in_force(1),
    _in_force(1, process="e2", durable=True),
    {"kind": "started", "write_id": "w2"},
    {"kind": "started", "write_id": "w9"},
    _accepted(2),
    {"kind": "refused", "write_id": "w9"},
    _in_force(2),
    _in_force(2, process="e2", durable=True),
    _in_force(2, process="e2", durable=True, incarnation=2),
    _stored(1),
    _stored(2),
    {"kind": "final", "process": "e1", "version": 2},
]


def test_valid_history_passes():
    """A checker that rejects valid histories hides real violations."""
    assert check_history(VALID) == []


@pytest.mark.parametrize(
    ("extra", "reason"),
    [
        (_in_force(1), "went from version 2 to 1"),
        (_in_force(1, process="e2", durable=True, incarnation=3), "from version 2"),
        (_in_force(2), "went from version 2 to 2"),
        (_in_force(2, process="e3", write_id="w7"), "two writes"),
        (_in_force(3, process="e3"), "never accepted"),
        (_accepted(3), "was lost"),
        (_accepted(2, write_id="w3"), "was lost"),
        (_stored(3, write_id="w9"), "refused write w9 took effect"),
        (_stored(3, write_id="w1"), "stored 2 times"),
        (_stored(4), "not 1 to n"),
        (_stored(3, parent=1), "has parent 1"),
        ({"kind": "refused", "write_id": "w2"}, "both refused and accepted"),
        ({"kind": "lost_part", "digest": "d1"}, "part d1 was lost"),
        ({"kind": "final", "process": "e2", "version": 1}, "ended at version 1"),
    ],
)
def test_each_violation_is_rejected(extra, reason):
    """Each rule must reject the history that breaks it."""
    assert any(reason in found for found in check_history([*VALID, extra]))


def test_version_below_a_confirmed_one_is_rejected():
    """A change that begins after version 2 was confirmed must not become version 1."""
    events = [_accepted(2), {"kind": "started", "write_id": "w1"}, _accepted(1)]
    found = check_history([*events, _stored(1), _stored(2)])
    assert any("was confirmed" in one for one in found)


def test_cold_steps_back_are_counted():
    """A restart without a disk below its earlier version must be visible."""
    events = [_in_force(2), _in_force(1, incarnation=2)]
    assert count_cold_steps_back(events) == 1


def test_checker_imports_nothing_of_the_checked_code():
    """A checker that shares code with what it checks shares its faults."""
    tree = ast.parse(inspect.getsource(configuration_checker))
    modules = [
        node.module for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)
    ]
    assert not [module for module in modules if module.startswith("lentilroad")]
