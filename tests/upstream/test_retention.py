"""Guard against caches given up in the wrong order or kept after the end."""

from __future__ import annotations

import pytest

from lentilroad.upstream.retention import CacheRetention
from tests.fakes.clock import ManualClock


@pytest.fixture
def clock():
    """Return a clock moved by the test."""
    return ManualClock()


def teach(retention, clock, tool, pause_s):
    """Let the retention learn a pause length."""
    for number in range(30):
        retention.paused(f"{tool}{number}", tool=tool, tokens=1)
        clock.now_s += pause_s
        retention.resumed(f"{tool}{number}")


def test_longest_expected_pause_is_given_up_first(clock):
    """A program that resumes soon must keep its cache."""
    retention = CacheRetention(clock=clock)
    teach(retention, clock, "fast", 0.5)
    teach(retention, clock, "slow", 60.0)
    retention.paused("s", tool="slow", tokens=100)
    retention.paused("f", tool="fast", tokens=100)
    victims = retention.select_evictions(used_tokens=960, capacity_tokens=1000)
    assert [(v.program_id, v.action) for v in victims] == [("s", "drop")]


def test_nothing_is_given_up_without_pressure(clock):
    """Free memory must not be bought with recomputation."""
    retention = CacheRetention(clock=clock)
    retention.paused("p", tool="", tokens=100)
    assert retention.select_evictions(used_tokens=900, capacity_tokens=1000) == []


def test_waiting_program_is_the_last_victim(clock):
    """A program whose next turn is queued must not lose its cache first."""
    retention = CacheRetention(clock=clock)
    teach(retention, clock, "slow", 60.0)
    teach(retention, clock, "fast", 0.5)
    retention.paused("waits", tool="slow", tokens=100)
    retention.arrived("waits")
    retention.paused("pauses", tool="fast", tokens=100)
    [victim] = retention.select_evictions(used_tokens=960, capacity_tokens=1000)
    assert victim.program_id == "pauses"


def test_export_room_is_bounded_and_returned(clock):
    """Exported caches must not exceed their room, and the end must free it."""
    retention = CacheRetention(clock=clock, can_export=True, export_capacity_tokens=100)
    for name in ("p", "q"):
        retention.paused(name, tool="t", tokens=100)
    actions = {
        v.program_id: v.action
        for v in retention.select_evictions(used_tokens=1200, capacity_tokens=1000)
    }
    assert sorted(actions.values()) == ["drop", "export"]
    exported = next(name for name, action in actions.items() if action == "export")
    assert retention.ended(exported)
    retention.paused("r", tool="t", tokens=100)
    [victim] = retention.select_evictions(used_tokens=960, capacity_tokens=1000)
    assert victim.action == "export"
    assert retention.resumed("r")


def test_ended_program_holds_nothing(clock):
    """An ended program must not appear among the held tokens or victims."""
    retention = CacheRetention(clock=clock)
    retention.paused("p", tool="", tokens=100)
    retention.ended("p")
    assert retention.held_tokens == 0
    assert retention.select_evictions(used_tokens=999, capacity_tokens=1000) == []
