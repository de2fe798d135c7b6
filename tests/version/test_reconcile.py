"""Tests that rollout plans respect dependencies, limits and failed versions."""

from __future__ import annotations

import pytest

from lentilroad.errors import StaleEpochError
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.version.reconcile import WeightBudget, Worker, plan_commands
from lentilroad.version.reconcile_lease import ReconcileLease
from lentilroad.version.text import compile_text
from tests.fakes.key_value import FakeKeyValueStore

TEXT = """\
deployment: test
regions:
  north:
    availability_zones:
      north-a: {engine_workers: 3, service_workers: 2}
models:
  coach:
    version: "2"
    context_tokens: 8192
    size_bytes: 1000
    checks_fencing: true
    depends_on: [membership]
    replicas: {north: {north-a: 3}}
adapters:
  tango: {model: coach, version: "1", size_bytes: 10}
services:
  membership:
    version: "1"
    replicas: {north: {north-a: 1}}
    operations: {lookup: {repeatable: true}}
"""


class _Clock:
    def __init__(self):
        self.now_s = 0.0

    def monotonic_s(self):
        return self.now_s


def _worker(upstream_id, kind="engine", **values):
    return Worker(
        upstream_id=upstream_id,
        kind=kind,
        region="north",
        availability_zone="north-a",
        **values,
    )


def _engines(*versions, **values):
    return [
        _worker(f"e{index}", name="coach" if version else "", version=version, **values)
        for index, version in enumerate(versions)
    ]


MEMBERSHIP = _worker("s0", "service", name="membership", version="1")


def _plan(workers, *, bytes_per_s=10**9, budget=None):
    budget = budget or WeightBudget(clock=_Clock(), bytes_per_s=bytes_per_s)
    return plan_commands(compile_text(TEXT), workers, fencing_number=7, budget=budget)


def _summarize(plan):
    return [
        (command.upstream_id, command.action, command.name) for command in plan.commands
    ]


def test_dependency_starts_before_its_dependent():
    """The first calls of a dependent fail if its dependency does not run yet."""
    plan = _plan([*_engines("", "", ""), _worker("s0", "service")])
    assert _summarize(plan) == [("s0", "load", "membership")]
    assert "waits for membership" in plan.blocked["coach"]


def test_new_version_is_loaded_on_one_worker_first():
    """A faulty version loaded on all workers at once would stop the whole model."""
    plan = _plan([*_engines("1", "1", "1"), MEMBERSHIP])
    assert _summarize(plan) == [("e0", "load", "coach")]
    assert plan.commands[0].fencing_number == 7
    assert plan.commands[0].checks_fencing


def test_failed_version_is_not_loaded_on_other_workers():
    """A version that failed to load must stop there, with its cause as blocker."""
    failed = _worker(
        "e0", name="coach", version="2", state="failed", failure="no memory"
    )
    plan = _plan([failed, *_engines("1", "1", "1")[1:], MEMBERSHIP])
    assert plan.commands == []
    assert "version 2 failed on e0: no memory" in plan.blocked["coach"]


def test_no_worker_loads_while_the_first_one_is_loading():
    """The first worker must serve the version before a second worker loads it."""
    loading = _worker("e0", name="coach", version="2", state="loading")
    plan = _plan([loading, *_engines("1", "1", "1")[1:], MEMBERSHIP])
    assert plan.commands == []


def test_adapters_are_loaded_where_their_model_serves():
    """An adapter can be loaded only on an engine that serves its model."""
    plan = _plan([*_engines("2", "2", "2"), MEMBERSHIP])
    assert _summarize(plan) == [(f"e{i}", "load_adapter", "tango") for i in range(3)]
    done = _engines("2", "2", "2", adapters={"tango": "1"})
    assert _plan([*done, MEMBERSHIP]).commands == []


def test_unneeded_role_is_cleared_last():
    """Clearing a role while a replica is missing would waste a loaded worker."""
    extra = _worker("s1", "service", name="old-service", version="9")
    done = _engines("2", "2", "2", adapters={"tango": "1"})
    assert _summarize(_plan([*done, MEMBERSHIP, extra])) == [
        ("s1", "clear_role", "old-service")
    ]
    assert (
        _summarize(_plan([*_engines("1", "2", "2"), MEMBERSHIP, extra]))[0][0] == "e0"
    )


def test_loads_stay_within_the_weight_store_rate():
    """The weight store rejects loads above its rate limit, which delays all loads."""
    clock = _Clock()
    budget = WeightBudget(clock=clock, bytes_per_s=100)
    workers = [*_engines("2", "", ""), MEMBERSHIP]
    assert ("e1", "load", "coach") in _summarize(_plan(workers, budget=budget))
    plan = _plan(workers, budget=budget)
    assert plan.commands == []
    assert "rate limit" in plan.blocked["coach"]
    clock.now_s = 10.0
    assert _plan(workers, budget=budget).commands != []


def test_fencing_numbers_increase_and_a_former_holder_is_refused():
    """Two entries that command the same upstream would revert each other's commands."""

    async def main():
        key_value = FakeKeyValueStore()
        first = ReconcileLease(key_value=key_value, region="n", address="a:1")
        second = ReconcileLease(key_value=key_value, region="n", address="b:1")
        first_number = await first.acquire()
        await first.confirm()
        second_number = await second.acquire()
        assert second_number > first_number
        with pytest.raises(StaleEpochError):
            await first.confirm()
        key_value.down = True
        with pytest.raises(StaleEpochError):
            await second.confirm()

    run_virtual(main())
