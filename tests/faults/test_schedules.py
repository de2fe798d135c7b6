"""Fixed and random schedules; each guards against a loss that failures cause."""

from __future__ import annotations

from random import Random

import pytest

from lentilroad.faults.main import main, run_seed
from lentilroad.faults.schedule import FAULTS, PLANNED, make_schedule


@pytest.mark.parametrize("seed", range(20))
def test_random_schedule_violates_nothing(seed):
    """Two to six random failures must not break a promise."""
    _, violations = run_seed(seed)
    assert violations == []


@pytest.mark.parametrize("kind", FAULTS)
def test_repeated_failure_of_one_kind_violates_nothing(kind):
    """A failure that strikes again during the recovery must not break a promise."""
    for seed in (1, 2):
        events, violations = run_seed(seed, (kind,))
        assert violations == []
        assert kind in {event.get("kind") for event in events}


@pytest.mark.parametrize("kind", ["entry_kill", "entry_pause"])
def test_failure_of_each_role_violates_nothing(kind):
    """Owner, standby and arbiter must all be replaceable."""
    roles = set()
    for seed in range(10, 16):
        events, violations = run_seed(seed, (kind,))
        assert violations == []
        for event in events:
            roles |= set(event.get("roles", ()))
    assert roles == {"owner", "standby", "arbiter"}


@pytest.mark.parametrize("seed", range(5))
def test_planned_stops_interrupt_no_request(seed):
    """Draining entries and sidecars must cost no request."""
    events, violations = run_seed(seed, PLANNED)
    assert violations == []
    assert "fault" in {event["event"] for event in events}


@pytest.mark.parametrize("kind", FAULTS)
def test_leaving_upstreams_get_no_new_work_under_another_failure(kind):
    """A failure must not send new calls to an upstream that leaves."""
    kinds = set()
    for seed in range(4):
        events, violations = run_seed(seed, ("sidecar_drain", kind))
        assert violations == []
        kinds |= {event["kind"] for event in events if event["event"] == "fault"}
    assert kinds >= {"sidecar_drain", kind}


@pytest.mark.parametrize("kind", ["key_value_outage", "key_value_lost_answer"])
@pytest.mark.parametrize("seed", range(4))
def test_planned_stops_interrupt_no_request_without_the_service(kind, seed):
    """A drain must not depend on the key-value service to spare requests."""
    _, violations = run_seed(seed, ("entry_drain", kind, "sidecar_drain"))
    assert violations == []


# Kinds of faults when the seeds below failed.
FIRST_KINDS = FAULTS[:9]


# Seeds that once showed a fault: a moved shard whose new owner had restarted, a
# draining entry after a key-value outage, a repeat that claimed not_run, an owner
# that lagged behind its own record.
@pytest.mark.parametrize("seed", [16, 288, 1078, 10755])
def test_schedule_that_once_failed(seed):
    """A corrected fault must not come back."""
    _, violations = run_seed(seed, FIRST_KINDS)
    assert violations == []


def test_same_seed_gives_the_same_history():
    """A failing schedule must be repeatable from its seed."""
    assert run_seed(5) == run_seed(5)


def test_schedules_have_2_to_6_faults():
    """Schedules must be neither trivial nor beyond the design."""
    sizes = {len(make_schedule(Random(seed))) for seed in range(200)}
    assert sizes == {2, 3, 4, 5, 6}


def test_failing_schedule_prints_its_command_and_exits_with_1(monkeypatch, capsys):
    """A violation must not pass unseen and must be repeatable."""
    monkeypatch.setattr(
        "lentilroad.faults.main.check", lambda events: ["no_loss: a turn is lost"]
    )
    assert main(["--seed=3", "--count=1", "--focus=engine_fail"]) == 1
    output = capsys.readouterr().out
    assert "script/faults --seed=3 --count=1 --focus=engine_fail" in output


def test_unknown_focus_is_refused(capsys):
    """A misspelt kind must not run other schedules instead."""
    assert main(["--focus=meteor"]) == 2
    assert "entry_kill" in capsys.readouterr().out
