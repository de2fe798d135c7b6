"""Beliefs about upstream instances through lapses, restarts and drains."""

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


def test_entry_that_lapsed_with_the_store_is_used_until_two_seconds_after() -> None:
    """Guard against a sound instance that is dropped while the store was away."""
    directory, clock = _directory()
    directory.start_expiry_grace()
    directory.replace_all([])
    clock.now_s = 1.9
    directory.sweep()
    assert directory.instances("svc")
    clock.now_s = 2.0
    directory.sweep()
    assert not directory.instances("svc")


def test_removal_that_is_reported_after_an_outage_waits_like_a_missing_entry() -> None:
    """Guard against lapses that a watch reports as removals after the outage."""
    directory, clock = _directory()
    directory.start_expiry_grace()
    directory.remove("i-1")
    clock.now_s = 1.9
    directory.sweep()
    assert directory.instances("svc")
    clock.now_s = 2.0
    directory.sweep()
    assert not directory.instances("svc")


def test_lapses_that_a_watch_reports_wait_like_missing_entries() -> None:
    """Guard against a fleet that is dropped at once after a silent outage.

    The watch was open all the while, so no call had failed (ndende-lentil trouble-3).
    """
    directory, clock = _directory()
    for number in range(2, 7):
        directory.update(replace(INSTANCE, instance_id=f"i-{number}"))
    lapsed = ["i-1", "i-2", "i-3"]
    directory.detect_mass_expiry(lapsed)
    for instance_id in lapsed:
        directory.remove(instance_id)
    assert len(directory.instances("svc")) == 6
    clock.now_s = 1.0
    directory.update(INSTANCE)
    clock.now_s = 2.0
    directory.sweep()
    assert len(directory.instances("svc")) == 4


def test_few_removals_at_once_end_work_at_once() -> None:
    """Guard against work for instances that leave without draining (DRAIN)."""
    directory, _ = _directory()
    for number in range(2, 7):
        directory.update(replace(INSTANCE, instance_id=f"i-{number}"))
    directory.update(replace(INSTANCE, instance_id="i-6", draining=True))
    directory.detect_mass_expiry(["i-1", "i-6"])
    directory.remove("i-1")
    directory.remove("i-6")
    assert len(directory.instances("svc")) == 4


def test_list_that_is_read_again_without_an_outage_ends_work_at_once() -> None:
    """Guard against work for an instance that left while history was lost (DRAIN)."""
    directory, _ = _directory()
    directory.replace_all([])
    assert not directory.instances("svc")


def test_entry_that_comes_back_in_time_stays() -> None:
    """Guard against connections that are closed for a lapse alone."""
    directory, clock = _directory()
    state = directory.find("i-1")
    directory.start_expiry_grace()
    directory.replace_all([])
    clock.now_s = 1.0
    directory.update(INSTANCE)
    clock.now_s = 5.0
    directory.sweep()
    assert directory.find("i-1") is state


def test_removed_entry_ends_new_work_at_once() -> None:
    """Guard against work for an instance that left without draining (DRAIN)."""
    directory, _ = _directory()
    directory.remove("i-1")
    assert not directory.instances("svc")


def test_drain_is_final_for_one_life() -> None:
    """Guard against a stale list that brings a draining instance back (DRAIN)."""
    directory, _ = _directory()
    directory.update(replace(INSTANCE, draining=True))
    directory.update(INSTANCE)
    state = directory.find("i-1")
    assert state is not None
    assert not state.usable(0.0)


def test_new_life_under_the_same_id_starts_afresh() -> None:
    """Guard against counts and kept parts of an earlier life."""
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


def test_address_may_pass_to_another_service() -> None:
    """Guard against a request that reaches a service at a reused address (ROUTE)."""
    directory, _ = _directory()
    directory.update(replace(INSTANCE, service="other"))
    assert not directory.instances("svc")
    assert len(directory.instances("other")) == 1
