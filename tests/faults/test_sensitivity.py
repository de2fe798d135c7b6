"""Schedules must be able to make faulty code fail."""

from __future__ import annotations

import asyncio

from lentilroad.errors import UnavailableError
from lentilroad.faults.main import run_seed
from lentilroad.faults.world import SidecarNode
from lentilroad.program import owner
from lentilroad.program.budget import Account
from lentilroad.program.lifecycle import Lifecycle
from lentilroad.program.replication import ShardReplicator
from lentilroad.program.sidecar_calls import CallOutcome, SidecarCalls
from lentilroad.program.standby import ProgramStandby
from lentilroad.program.turns import Program
from lentilroad.upstream.calls import CallRunner


def found(kinds, count=12):
    """Return the names of the checkers that reject one of some schedules."""
    names = set()
    for seed in range(count):
        _, violations = run_seed(seed, kinds)
        names |= {violation.partition(":")[0] for violation in violations}
    return names


def test_commit_without_the_standby_is_found(monkeypatch):
    """An owner that does not wait for the second copy loses turns."""

    async def send_nothing(self):
        self._acknowledge(len(self._pending))
        return 0.0

    monkeypatch.setattr(ShardReplicator, "_send_batch", send_nothing)
    assert "no_loss" in found(("entry_kill",))


def test_call_that_is_sent_again_after_a_lost_sidecar_is_found(monkeypatch):
    """An owner that takes silence for proof runs holds twice."""

    async def claim_not_run(self, address, request, incarnation):
        error = UnavailableError("not reached", outcome="not_run")
        return CallOutcome(kind="unreachable", error=error)

    monkeypatch.setattr(SidecarCalls, "_resolve", claim_not_run)
    assert "at_most_once" in found(("sidecar_kill", "silent"), count=30)


def test_missing_reservation_is_found(monkeypatch):
    """An owner that does not reserve lets sub-agents exceed the budget."""
    monkeypatch.setattr(Account, "reserve", lambda self, amount: None)
    assert "budget" in found(("key_value_outage",), count=30)


def test_programs_that_are_never_forgotten_are_found(monkeypatch):
    """Engine memory of ended programs must not stay."""
    monkeypatch.setattr(Lifecycle, "forget_program", lambda self, program: None)
    monkeypatch.setattr(CallRunner, "sweep", lambda self: None)
    assert "memory_released" in found(("key_value_outage",), count=3)


def test_turns_that_do_not_wait_for_each_other_are_found(monkeypatch):
    """Without the program's queue a turn runs without the answer before it."""

    class OpenLock:
        async def acquire(self):
            return True

        def release(self):
            return None

    def unordered(state):
        account = Account(budget=state.budget)
        return Program(state=state, account=account, lock=OpenLock())

    monkeypatch.setattr("lentilroad.program.owned._program", unordered)
    assert "order" in found(("key_value_outage",))


def test_wrong_outcome_is_found(monkeypatch):
    """A failure of a call that ran must not be reported as not_run."""
    original = owner.final_failure

    def always_not_run(error):
        failed = original(error)
        failed.error.outcome = "not_run"
        return failed

    monkeypatch.setattr("lentilroad.program.attempt.final_failure", always_not_run)
    assert "not_run" in found(("engine_fail", "sidecar_kill"), count=30)


def test_upstream_that_takes_calls_while_it_leaves_is_found(monkeypatch):
    """A sidecar that announces its end but is not drained gets new work."""

    async def only_announce(self):
        self.world.history.note("leaving", upstream=self.address)
        await asyncio.sleep(6)

    monkeypatch.setattr(SidecarNode, "drain", only_announce)
    assert "leaving" in found(("sidecar_drain",))


def test_outdated_copy_is_found(monkeypatch):
    """A standby that serves an old copy loses what was committed since."""
    monkeypatch.setattr(
        "lentilroad.program.standby._is_current", lambda copy, record: True
    )
    monkeypatch.setattr(ProgramStandby, "_follow", lambda self, shard, record: None)
    assert found(("entry_kill", "entry_pause", "entry_drain"), count=30)


def test_planned_move_without_a_copy_is_found(monkeypatch):
    """A shard that moves without its programs loses them."""

    async def copy_nothing(self, shard, record, final):
        return True

    monkeypatch.setattr(owner.ProgramOwner, "copy_shard", copy_nothing)
    assert "no_loss" in found(("entry_drain",))
