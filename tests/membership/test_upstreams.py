"""Tests of the upstream directory: expired keys, restarts and drains."""

from __future__ import annotations

from dataclasses import replace

from lentilroad.membership.upstreams import UpstreamDirectory, UpstreamInstance
from tests.fakes.clock import ManualClock

INSTANCE = UpstreamInstance(
    instance_id="i-1",
    service="svc",
    address="10.0.0.1:80",
    availability_zone="a",
    slots=4,
    started_ms=1000,
)


def _directory() -> tuple[UpstreamDirectory, ManualClock]:
    clock = ManualClock()
    directory = UpstreamDirectory(clock=clock)
    directory.update(INSTANCE)
    return directory, clock


def test_instance_missing_after_an_outage_is_used_for_two_seconds() -> None:
    """Guard against the removal of a live instance whose key expired in an outage."""
    directory, clock = _directory()
    directory.start_expiry_grace()
    directory.replace_all([])
    clock.now_s = 1.9
    directory.sweep()
    assert directory.instances("svc")
    clock.now_s = 2.0
    directory.sweep()
    assert not directory.instances("svc")


def test_instance_removed_by_a_watch_after_an_outage_is_used_for_two_seconds() -> None:
    """Guard against keys expired in an outage that a watch reports as removals."""
    directory, clock = _directory()
    directory.start_expiry_grace()
    directory.remove("i-1")
    clock.now_s = 1.9
    directory.sweep()
    assert directory.instances("svc")
    clock.now_s = 2.0
    directory.sweep()
    assert not directory.instances("svc")


def test_many_removals_at_once_start_the_grace_period() -> None:
    """Guard against the removal of a fleet after an undetected store outage.

    The watch stayed open during the outage, so no call had failed (ndende-lentil
    trouble-3).
    """
    directory, clock = _directory()
    for number in range(2, 7):
        directory.update(replace(INSTANCE, instance_id=f"i-{number}"))
    expired_ids = ["i-1", "i-2", "i-3"]
    directory.detect_mass_expiry(expired_ids)
    for instance_id in expired_ids:
        directory.remove(instance_id)
    assert len(directory.instances("svc")) == 6
    clock.now_s = 1.0
    directory.update(INSTANCE)
    clock.now_s = 2.0
    directory.sweep()
    assert len(directory.instances("svc")) == 4


def test_few_removals_take_effect_at_once() -> None:
    """Guard against work for instances that leave without draining (DRAIN)."""
    directory, _ = _directory()
    for number in range(2, 7):
        directory.update(replace(INSTANCE, instance_id=f"i-{number}"))
    directory.update(replace(INSTANCE, instance_id="i-6", draining=True))
    directory.detect_mass_expiry(["i-1", "i-6"])
    directory.remove("i-1")
    directory.remove("i-6")
    assert len(directory.instances("svc")) == 4


def test_complete_list_without_an_outage_removes_instances_at_once() -> None:
    """Guard against work for an instance that left while history was lost (DRAIN)."""
    directory, _ = _directory()
    directory.replace_all([])
    assert not directory.instances("svc")


def test_instance_listed_again_within_the_grace_period_stays() -> None:
    """Guard against connections closed only because a key expired for a time."""
    directory, clock = _directory()
    state = directory.find("i-1")
    directory.start_expiry_grace()
    directory.replace_all([])
    clock.now_s = 1.0
    directory.update(INSTANCE)
    clock.now_s = 5.0
    directory.sweep()
    assert directory.find("i-1") is state


def test_removed_instance_gets_no_new_work() -> None:
    """Guard against work for an instance that left without draining (DRAIN)."""
    directory, _ = _directory()
    directory.remove("i-1")
    assert not directory.instances("svc")


def test_drain_is_final_for_one_incarnation() -> None:
    """Guard against a stale list that reverts the drain of an instance (DRAIN)."""
    directory, _ = _directory()
    directory.update(replace(INSTANCE, draining=True))
    directory.update(INSTANCE)
    state = directory.find("i-1")
    assert state is not None
    assert not state.usable(0.0)


def test_restarted_instance_under_the_same_id_has_a_new_state() -> None:
    """Guard against counts and cached parts of an earlier incarnation."""
    directory, _ = _directory()
    before = directory.find("i-1")
    assert before is not None
    before.in_flight = 3
    before.recent_parts["x"] = 1.0
    directory.update(replace(INSTANCE, started_ms=2000))
    after = directory.find("i-1")
    assert after is not None
    assert after is not before
    assert before.removed
    assert after.in_flight == 0
    assert not after.recent_parts


def test_address_can_be_reused_by_another_service() -> None:
    """Guard against a request that reaches a service at a reused address (ROUTE)."""
    directory, _ = _directory()
    directory.update(replace(INSTANCE, service="other"))
    assert not directory.instances("svc")
    assert len(directory.instances("other")) == 1


def test_leaving_instance_that_is_listed_again_gets_no_new_work() -> None:
    """Guard against a leaving instance in use again after its key had expired."""
    directory, clock = _directory()
    directory.find("i-1").record_leaving(clock.now_s)
    directory.remove("i-1")
    clock.now_s = 20.0
    directory.update(INSTANCE)
    assert not directory.find("i-1").usable(clock.now_s)


def test_restarted_instance_is_used_although_the_former_one_left() -> None:
    """Guard against an instance that stays unused after a restart under its id."""
    directory, clock = _directory()
    directory.find("i-1").record_leaving(clock.now_s)
    directory.update(replace(INSTANCE, started_ms=2000))
    assert directory.find("i-1").usable(clock.now_s)


# DRAIN: a restarted instance stated that it leaves before its registration was known.
def test_drain_starts_with_a_statement_that_came_before_the_registration() -> None:
    """Guard against a second drain time for an instance that leaves after a restart."""
    directory, clock = _directory()
    clock.now_s = stated_at_s = 50.0
    directory.find("i-1").record_leaving(stated_at_s)
    clock.now_s += 0.6
    directory.update(replace(INSTANCE, started_ms=2000))
    assert not directory.find("i-1").leaves()
    clock.now_s += 0.4
    directory.find("i-1").record_leaving(clock.now_s)
    assert directory.find("i-1").leaving_since_s == stated_at_s


def test_statement_of_a_former_start_does_not_concern_the_next_one() -> None:
    """Guard against an instance without work since it had left before a restart."""
    directory, clock = _directory()
    directory.find("i-1").record_leaving(clock.now_s)
    clock.now_s += 10.0
    directory.update(replace(INSTANCE, started_ms=2000))
    clock.now_s += 10.0
    directory.find("i-1").record_leaving(clock.now_s)
    assert directory.find("i-1").leaving_since_s == clock.now_s


def test_removals_of_leaving_instances_are_no_mass_expiry() -> None:
    """Guard against work for instances that left as they had stated."""
    directory, clock = _directory()
    for number in range(2, 5):
        directory.update(replace(INSTANCE, instance_id=f"i-{number}"))
    for instance_id in ("i-1", "i-2", "i-3"):
        directory.find(instance_id).record_leaving(clock.now_s)
    directory.detect_mass_expiry(["i-1", "i-2", "i-3"])
    directory.remove("i-1")
    assert len(directory.instances("svc")) == 3


def test_stream_times_follow_an_incarnation_within_its_service() -> None:
    """Guard against an instance that is compared with another service's mean."""
    directory = UpstreamDirectory(clock=ManualClock(), learn_speeds=True)
    directory.update(INSTANCE)
    state = directory.find("i-1")
    assert state is not None
    directory.remove("i-1")
    directory.update(INSTANCE)
    returned = directory.find("i-1")
    assert returned is not None
    assert returned.stream_times is state.stream_times
    directory.update(replace(INSTANCE, service="other"))
    moved = directory.find("i-1")
    assert moved is not None
    assert moved.stream_times is not state.stream_times
    assert moved.service_times is not state.service_times
