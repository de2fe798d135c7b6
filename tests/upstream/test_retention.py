"""Guard against caches evicted in the wrong order or retained after the end."""

from __future__ import annotations

import pytest

from lentilroad.upstream.retention import CacheRetention
from tests.fakes.clock import ManualClock


@pytest.fixture
def clock():
    """Return a clock moved by the test."""
    return ManualClock()


def observe_pauses(retention, clock, tool, pause_s):
    """Record 30 pauses of a tool."""
    for number in range(30):
        retention.paused(f"{tool}{number}", tool=tool, tokens=1)
        clock.now_s += pause_s
        retention.resumed(f"{tool}{number}")


def test_longest_expected_pause_is_evicted_first(clock):
    """A program that resumes soon must keep its cache."""
    retention = CacheRetention(clock=clock)
    observe_pauses(retention, clock, "fast", 0.5)
    observe_pauses(retention, clock, "slow", 60.0)
    retention.paused("s", tool="slow", tokens=100)
    retention.paused("f", tool="fast", tokens=100)
    evictions = retention.select_evictions(used_tokens=960, capacity_tokens=1000)
    assert [(v.program_id, v.action) for v in evictions] == [("s", "drop")]


def test_nothing_is_evicted_below_the_high_watermark(clock):
    """A cache must not be evicted, and later recomputed, while memory is free."""
    retention = CacheRetention(clock=clock)
    retention.paused("p", tool="", tokens=100)
    assert retention.select_evictions(used_tokens=900, capacity_tokens=1000) == []


def test_program_with_a_queued_turn_is_evicted_last(clock):
    """A program whose next turn is queued must not lose its cache first."""
    retention = CacheRetention(clock=clock)
    observe_pauses(retention, clock, "slow", 60.0)
    observe_pauses(retention, clock, "fast", 0.5)
    retention.paused("waits", tool="slow", tokens=100)
    retention.arrived("waits")
    retention.paused("pauses", tool="fast", tokens=100)
    [eviction] = retention.select_evictions(used_tokens=960, capacity_tokens=1000)
    assert eviction.program_id == "pauses"


def test_export_capacity_is_bounded_and_released(clock):
    """Exports must not exceed the capacity, and ended programs must release it."""
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
    [eviction] = retention.select_evictions(used_tokens=960, capacity_tokens=1000)
    assert eviction.action == "export"
    assert retention.resumed("r")


def test_ended_program_holds_nothing(clock):
    """An ended program must not appear among the held tokens or evictions."""
    retention = CacheRetention(clock=clock)
    retention.paused("p", tool="", tokens=100)
    retention.ended("p")
    assert retention.held_tokens == 0
    assert retention.select_evictions(used_tokens=999, capacity_tokens=1000) == []
