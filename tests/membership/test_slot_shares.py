"""Division of slots among entries, without a network."""

from __future__ import annotations

import random

import pytest

from lentilroad.membership.slot_shares import (
    IDLE_EXPIRY_S,
    MAX_INSTANCES_IN_REPLY,
    MAX_REPORTS_PER_S,
    REPORT_EXPIRY_S,
    REPORT_INTERVAL_S,
    SLOT_FACTOR,
    UNUSED_SHARE,
    EntryDemand,
    ServiceShares,
    SharedView,
    divide_slots,
    instance_limit,
)

SLOTS = 100
CAPACITY = 120


class _Service:
    """Shares of one service, with reports of entries at given times."""

    def __init__(self, *, known_entries: int, first: bool = True) -> None:
        self.shares = ServiceShares()
        self.known_entries = known_entries
        self.first = first
        self.sequence = 0

    def report(
        self,
        entry: str,
        *,
        now_s: float,
        in_flight: int = 0,
        waiting: int = 0,
        completed: int = 0,
        sequence: int | None = None,
    ) -> SharedView:
        self.sequence += 1
        return self.shares.report(
            entry,
            EntryDemand(in_flight=in_flight, waiting_new=waiting),
            in_flight_by_instance={"i-0": in_flight} if in_flight else {},
            completed=completed,
            slots=SLOTS,
            known_entries=self.known_entries,
            sequence=self.sequence if sequence is None else sequence,
            first=self.first,
            now_s=now_s,
        )


def _demands(**totals: tuple[int, int, int]) -> dict[str, EntryDemand]:
    return {
        name: EntryDemand(in_flight=f, waiting_under_way=u, waiting_new=n)
        for name, (f, u, n) in totals.items()
    }


def test_all_entries_beyond_capacity_use_it_up() -> None:
    """Load: 22 entries that each ask for all slots; guards against idle slots."""
    demands = {f"e-{n}": EntryDemand(waiting_new=138) for n in range(22)}
    shares = divide_slots(demands, 166, unused_share=UNUSED_SHARE)
    assert sum(shares.values()) == 166
    assert max(shares.values()) - min(shares.values()) <= 1


def test_burst_at_a_few_entries_gets_what_others_leave() -> None:
    """Load: two busy entries of ten; guards against equal shares that are not used."""
    quiet = {f"q-{n}": (2, 0, 0) for n in range(8)}
    demands = _demands(a=(10, 0, 200), b=(10, 0, 40), **quiet)
    shares = divide_slots(demands, CAPACITY, unused_share=UNUSED_SHARE)
    assert sum(shares.values()) == CAPACITY
    assert shares["b"] == 50
    assert shares["a"] == 54
    assert all(shares[name] == 2 for name in quiet)


def test_programs_under_way_come_before_new_ones_at_other_entries() -> None:
    """Load: many new programs at one entry; guards against a stop of begun ones."""
    demands = _demands(a=(60, 40, 0), b=(10, 0, 500))
    shares = divide_slots(demands, CAPACITY, unused_share=UNUSED_SHARE)
    assert shares == {"a": 100, "b": 20}


def test_programs_under_way_wait_equally_long_everywhere() -> None:
    """Load: begun programs beyond capacity; guards against favoured small entries."""
    demands = _demands(a=(90, 90, 0), b=(30, 30, 0), c=(0, 0, 5))
    shares = divide_slots(demands, CAPACITY, unused_share=UNUSED_SHARE)
    assert shares == {"a": 90, "b": 30, "c": 1}


def test_calm_entries_get_more_than_they_use() -> None:
    """Load: 40 of 120 in use; guards against waits while slots are free."""
    demands = {f"e-{n}": EntryDemand(in_flight=4) for n in range(10)}
    shares = divide_slots(demands, CAPACITY, unused_share=UNUSED_SHARE)
    assert all(share == 44 for share in shares.values())


@pytest.mark.parametrize("seed", range(20))
def test_division_keeps_to_the_capacity(seed: int) -> None:
    """Load: random demands; guards against more than the capacity in use."""
    source = random.Random(seed)
    demands = {
        f"e-{n}": EntryDemand(
            in_flight=source.randrange(12),
            waiting_under_way=source.randrange(9),
            waiting_new=source.choice((0, 0, source.randrange(60))),
        )
        for n in range(source.randrange(1, 40))
    }
    shares = divide_slots(demands, CAPACITY, unused_share=0.0)
    assert sum(shares.values()) <= max(CAPACITY, len(demands)) + len(demands)
    if sum(demand.total() for demand in demands.values()) >= CAPACITY:
        assert sum(shares.values()) >= CAPACITY
    assert all(share >= 1 for share in shares.values())


def test_killed_entry_loses_its_slots_when_its_reports_end() -> None:
    """Load: an entry is killed with 80 in flight; guards against slots lost to it."""
    service = _Service(known_entries=2)
    service.report("a", now_s=0.0, in_flight=80)
    view = service.report("b", now_s=0.1, in_flight=10, waiting=90)
    assert view.allowance == 40
    later_s = 0.1 + REPORT_EXPIRY_S + 0.1
    view = service.report("b", now_s=later_s, in_flight=10, waiting=90)
    assert view.allowance >= 100
    assert view.in_flight == 10


def test_report_that_arrives_late_is_ignored() -> None:
    """Load: reports out of order; guards against counts that a later one replaced."""
    service = _Service(known_entries=1)
    service.report("a", now_s=0.0, in_flight=50, sequence=2)
    view = service.report("a", now_s=0.1, in_flight=7, completed=9, sequence=1)
    assert view.in_flight == 50
    assert view.completed_per_s == 0.0


def test_restarted_coordinator_does_not_promise_slots_twice() -> None:
    """Load: first report after a restart; guards against slots that others use."""
    service = _Service(known_entries=20)
    view = service.report("a", now_s=0.0, in_flight=3)
    assert view.allowance <= CAPACITY / 20 + 1


@pytest.mark.parametrize(("known", "part"), [(2, 1.0), (3, 2 / 3), (10, 0.5)])
def test_second_coordinator_divides_only_the_part_of_its_entries(
    known: int, part: float
) -> None:
    """Load: entries cut off from the first; guards against slots used twice.

    At least a half remains: the other entries may have been killed with the first.
    """
    service = _Service(known_entries=known, first=False)
    for step in range(10):
        now_s = step / 10
        first = service.report("a", now_s=now_s, waiting=100)
        second = service.report("b", now_s=now_s, waiting=100)
    assert first.allowance + second.allowance == pytest.approx(CAPACITY * part)


def test_idle_entries_count_until_their_heartbeats_end() -> None:
    """Load: entries without work; guards against a count that misses or keeps them."""
    service = _Service(known_entries=1)
    service.report("a", now_s=0.0)
    assert service.report("b", now_s=IDLE_EXPIRY_S - 0.1).entries == 2
    assert service.report("b", now_s=IDLE_EXPIRY_S + 0.1).entries == 1


def test_rate_of_completions_follows_the_reports() -> None:
    """Load: 50 completions per second; guards against a rate that lags or grows."""
    service = _Service(known_entries=1)
    for step in range(60):
        view = service.report("a", now_s=step / 10, in_flight=1, completed=5)
    assert view.completed_per_s == pytest.approx(50.0, rel=0.1)


def test_messages_do_not_grow_with_the_fleet() -> None:
    """Load: 1,200 entries; guards against more reports than a coordinator can take."""
    service = _Service(known_entries=1200)
    for number in range(1200):
        view = service.report(f"e-{number}", now_s=0.0, in_flight=1)
    assert view.interval_s == pytest.approx(1200 / MAX_REPORTS_PER_S)
    small = _Service(known_entries=22)
    assert small.report("a", now_s=0.0, in_flight=1).interval_s == REPORT_INTERVAL_S


def test_reply_lists_the_fullest_instances() -> None:
    """Load: 3,900 instances in use; guards against replies that grow with the fleet."""
    shares = ServiceShares()
    view = shares.report(
        "a",
        EntryDemand(in_flight=7800),
        in_flight_by_instance={f"i-{n}": 1 + (n == 2500) for n in range(3900)},
        completed=0,
        slots=23_400,
        known_entries=1,
        sequence=1,
        first=True,
        now_s=0.0,
    )
    assert len(view.in_flight_by_instance) == MAX_INSTANCES_IN_REPLY
    assert view.in_flight_by_instance["i-2500"] == 2


def test_free_slots_of_an_instance_are_taken_about_once() -> None:
    """Load: 22 entries see the same two free slots; guards against 22 requests."""
    source = random.Random(3)
    sums = [
        sum(
            instance_limit(
                slots=6,
                total=5,
                own=0,
                free_share=1 / 22,
                random_share=source.random(),
            )
            for _ in range(22)
        )
        for _ in range(500)
    ]
    assert sum(sums) / len(sums) == pytest.approx(2.0, abs=0.2)
    assert max(sums) <= 8


@pytest.mark.parametrize("total", [6, 7, 20])
def test_instance_beyond_its_slots_is_relieved(total: int) -> None:
    """Load: an instance with too many requests; guards against keeping it there."""
    own = total // 2
    limit = instance_limit(
        slots=6, total=total, own=own, free_share=0.0, random_share=0.5
    )
    assert limit <= max(own, round(SLOT_FACTOR * 6))
    assert limit < own or total <= 7
