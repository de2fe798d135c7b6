"""Decisions on the bytes that a process holds for others."""

from __future__ import annotations

from lentilroad.connection.byte_budget import (
    MAX_WAIT_S,
    MAX_WAITING,
    SMALL_HOLD_BYTES,
    STALL_S,
    ByteBudget,
    Hold,
    HoldState,
)
from tests.fakes.clock import ManualClock

MIB = 2**20


class _Parties:
    """A budget of 16 MiB, of which large holds may use 12, and the evicted holds."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.budget = ByteBudget(clock=self.clock, total_bytes=16 * MIB)
        self.evicted: list[str] = []

    def ask(self, name: str, size_bytes: int) -> Hold:
        return self.budget.request(
            size_bytes, on_evict=lambda: self.evicted.append(name)
        )

    def fill(self) -> list[Hold]:
        """Return three large holds that leave only the reserved part."""
        return [self.ask(f"large-{number}", 4 * MIB) for number in range(3)]


def test_large_bodies_wait_and_small_ones_do_not() -> None:
    """Guard against a crowd of large bodies that leaves no room for ordinary ones."""
    parties = _Parties()
    holds = parties.fill()
    waiting = parties.ask("fourth", 4 * MIB)
    small = parties.ask("small", SMALL_HOLD_BYTES)
    assert [hold.state for hold in holds] == [HoldState.GRANTED] * 3
    assert waiting.state is HoldState.WAITING
    assert small.state is HoldState.GRANTED
    parties.budget.release(holds[0])
    assert waiting.state is HoldState.GRANTED


def test_bytes_are_given_back_once() -> None:
    """Guard against a budget that grows or shrinks with requests that end twice."""
    parties = _Parties()
    hold, *others = parties.fill()
    parties.budget.shrink(hold, MIB)
    for _ in range(2):
        parties.budget.release(hold)
    assert parties.budget.held_bytes == 8 * MIB
    waiting = parties.ask("fourth", 8 * MIB)
    for _ in range(2):
        parties.budget.release(waiting)
    for other in others:
        parties.budget.release(other)
    assert parties.budget.held_bytes == 0
    assert not parties.budget.has_waiting()


def test_stalled_party_gives_way_only_while_others_wait() -> None:
    """Guard against closing slow callers in calm, and keeping them under pressure."""
    parties = _Parties()
    stalled, moving, complete = parties.fill()
    stalled.begin_transfer(parties.clock.monotonic_s())
    moving.begin_transfer(parties.clock.monotonic_s())
    complete.end_transfer()
    parties.clock.now_s += STALL_S
    moving.record_progress(parties.clock.monotonic_s())
    parties.budget.sweep()
    assert parties.evicted == []
    waiting = parties.ask("fourth", 4 * MIB)
    parties.budget.sweep()
    parties.budget.sweep()
    assert parties.evicted == ["large-0"]
    parties.budget.release(stalled)
    assert waiting.state is HoldState.GRANTED


def test_transfer_of_single_bytes_is_no_progress() -> None:
    """Guard against callers that send a byte now and then to keep their room."""
    parties = _Parties()
    drip, *_ = parties.fill()
    drip.begin_transfer(parties.clock.monotonic_s())
    for _ in range(50):
        parties.clock.now_s += STALL_S / 5
        drip.record_progress(parties.clock.monotonic_s())
    parties.ask("fourth", 4 * MIB)
    parties.budget.sweep()
    assert parties.evicted == ["large-0"]


def test_waiting_ends_with_a_refusal() -> None:
    """Guard against requests that wait for room until their deadline."""
    parties = _Parties()
    parties.fill()
    waiting = [parties.ask("waiting", 4 * MIB) for _ in range(MAX_WAITING)]
    assert parties.ask("one more", 4 * MIB).state is HoldState.REFUSED
    parties.clock.now_s += MAX_WAIT_S
    parties.budget.sweep()
    assert {hold.state for hold in waiting} == {HoldState.REFUSED}
    assert not parties.budget.has_waiting()


def test_smaller_sizes_go_first() -> None:
    """Guard against ordinary requests behind a queue of the largest bodies."""
    parties = _Parties()
    holds = parties.fill()
    large = parties.ask("large", 4 * MIB)
    medium = parties.ask("medium", 2 * MIB)
    parties.budget.release(holds[0])
    assert medium.state is HoldState.GRANTED
    assert large.state is HoldState.WAITING
    parties.budget.release(medium)
    assert large.state is HoldState.GRANTED


def test_single_body_beyond_the_budget_is_served_alone() -> None:
    """Guard against a body limit of the operators that no budget admits."""
    parties = _Parties()
    assert parties.ask("huge", 64 * MIB).state is HoldState.GRANTED
    assert parties.ask("next", 4 * MIB).state is HoldState.WAITING
