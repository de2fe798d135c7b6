"""Guard against rollouts that ignore dependencies, limits or a bad version."""

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


def _short(plan):
    return [(one.upstream_id, one.action, one.name) for one in plan.commands]


def test_dependency_starts_before_its_dependent():
    """A dependent that starts first fails its first calls."""
    plan = _plan([*_engines("", "", ""), _worker("s0", "service")])
    assert _short(plan) == [("s0", "load", "membership")]
    assert "waits for membership" in plan.blocked["coach"]


def test_new_version_starts_on_one_worker():
    """A bad version that loads everywhere at once stops the whole model."""
    plan = _plan([*_engines("1", "1", "1"), MEMBERSHIP])
    assert _short(plan) == [("e0", "load", "coach")]
    assert plan.commands[0].fencing_number == 7
    assert plan.commands[0].checks_fencing


def test_failed_version_goes_no_further_and_names_its_cause():
    """A version that failed once must not reach a second worker."""
    failed = _worker(
        "e0", name="coach", version="2", state="failed", failure="no memory"
    )
    plan = _plan([failed, *_engines("1", "1", "1")[1:], MEMBERSHIP])
    assert plan.commands == []
    assert "version 2 failed on e0: no memory" in plan.blocked["coach"]


def test_nothing_loads_beside_a_loading_canary():
    """The first worker must serve before a second one loads."""
    loading = _worker("e0", name="coach", version="2", state="loading")
    plan = _plan([loading, *_engines("1", "1", "1")[1:], MEMBERSHIP])
    assert plan.commands == []


def test_adapters_follow_their_model():
    """An adapter can only be loaded where its model serves."""
    plan = _plan([*_engines("2", "2", "2"), MEMBERSHIP])
    assert _short(plan) == [(f"e{i}", "load_adapter", "tango") for i in range(3)]
    done = _engines("2", "2", "2", adapters={"tango": "1"})
    assert _plan([*done, MEMBERSHIP]).commands == []


def test_unwanted_role_is_cleared_last():
    """Clearing a role while a replica is missing wastes a warm worker."""
    extra = _worker("s1", "service", name="old-service", version="9")
    done = _engines("2", "2", "2", adapters={"tango": "1"})
    assert _short(_plan([*done, MEMBERSHIP, extra])) == [
        ("s1", "clear_role", "old-service")
    ]
    assert _short(_plan([*_engines("1", "2", "2"), MEMBERSHIP, extra]))[0][0] == "e0"


def test_weight_store_rate_is_kept():
    """Loads above the store's rate are refused by it and delay all of them."""
    clock = _Clock()
    budget = WeightBudget(clock=clock, bytes_per_s=100)
    workers = [*_engines("2", "", ""), MEMBERSHIP]
    assert ("e1", "load", "coach") in _short(_plan(workers, budget=budget))
    plan = _plan(workers, budget=budget)
    assert plan.commands == []
    assert "rate limit" in plan.blocked["coach"]
    clock.now_s = 10.0
    assert _plan(workers, budget=budget).commands != []


def test_lease_numbers_rise_and_an_old_holder_is_refused():
    """Two entries that command one upstream would undo each other's work."""

    async def main():
        key_value = FakeKeyValueStore()
        first = ReconcileLease(key_value=key_value, region="n", address="a:1")
        second = ReconcileLease(key_value=key_value, region="n", address="b:1")
        one = await first.acquire()
        await first.confirm()
        two = await second.acquire()
        assert two > one
        with pytest.raises(StaleEpochError):
            await first.confirm()
        key_value.down = True
        with pytest.raises(StaleEpochError):
            await second.confirm()

    run_virtual(main())
