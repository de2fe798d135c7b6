"""Entries that share the slots of engines, in virtual time."""

from __future__ import annotations

import asyncio

from lentilroad.request.shared_load import ALLOWANCE_EXPIRY_S, CALL_TIMEOUT_S
from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes.slot_sharing import ENGINE_SLOTS, SERVICE_TIME_S, SharingGroup

ENTRIES = 22
ENGINES = 23
CAPACITY_PER_S = ENGINES * ENGINE_SLOTS / SERVICE_TIME_S


def _group(**settings: object) -> SharingGroup:
    return SharingGroup(entries=ENTRIES, engines=ENGINES, **settings)


async def _send_everywhere(
    group: SharingGroup, per_s: float, for_s: float, **options: float
) -> None:
    await asyncio.gather(
        *(e.send(per_s / len(group.entries), for_s, **options) for e in group.entries)
    )


def test_overload_at_all_entries_waits_in_front_of_the_engines() -> None:
    """Load: twice the capacity; guards against queues inside the engines."""

    async def run() -> None:
        group = _group()
        await _send_everywhere(group, 0.5 * CAPACITY_PER_S, 1.0)
        load = asyncio.ensure_future(_send_everywhere(group, 2 * CAPACITY_PER_S, 5.0))
        await group.clock.sleep(1.0)
        group.most_present()
        completed = group.completed()
        await group.clock.sleep(3.0)
        # Untouched, the engines hold all of 22 times 6 requests each.
        assert group.most_present() <= 3 * ENGINE_SLOTS
        assert group.completed() - completed >= 0.93 * 3.0 * CAPACITY_PER_S
        await load

    run_virtual(run())


def test_burst_at_two_entries_uses_the_slots_of_all() -> None:
    """Load: two entries with most of the work; guards against fixed equal shares."""

    async def run() -> None:
        group = _group()
        others = [
            asyncio.ensure_future(entry.send(5.0, 6.0)) for entry in group.entries[2:]
        ]
        await group.clock.sleep(1.0)
        burst = [
            asyncio.ensure_future(entry.send(0.6 * CAPACITY_PER_S, 5.0))
            for entry in group.entries[:2]
        ]
        await group.clock.sleep(1.0)
        completed = group.completed()
        await group.clock.sleep(3.0)
        assert group.completed() - completed >= 0.93 * 3.0 * CAPACITY_PER_S
        await asyncio.gather(*others, *burst)
        # The other entries ask for less than their equal parts.
        waits_s = sorted(w for entry in group.entries[2:] for w in entry.waits_s)
        assert waits_s[int(0.95 * len(waits_s))] <= 0.15

    run_virtual(run())


def test_calm_requests_do_not_wait() -> None:
    """Load: groups of five at 0.45 of capacity; guards against waits beside free slots.

    A group may arrive between two reports, while others have arrived elsewhere.
    """

    async def run() -> None:
        group = _group()
        await _send_everywhere(group, 0.45 * CAPACITY_PER_S, 10.0, at_once=5)
        waits_s = [wait_s for entry in group.entries for wait_s in entry.waits_s]
        assert sum(1 for wait_s in waits_s if wait_s > 0.0) <= 0.01 * len(waits_s)
        assert max(waits_s) <= 0.1

    run_virtual(run())


def test_idle_entry_sends_its_first_request_at_once() -> None:
    """Load: one request after a long pause; guards against an allowance that ended."""

    async def run() -> None:
        group = _group()
        entry = group.entries[0]
        await entry.request(1.0)
        await group.clock.sleep(30.0)
        await entry.request(1.0)
        assert entry.waits_s == [0.0, 0.0]
        assert entry.shared.load("svc") is not None

    run_virtual(run())


def test_lost_coordinator_is_replaced() -> None:
    """Load: the first coordinator is lost in overload; guards against idle engines."""

    async def run() -> None:
        group = _group()
        load = asyncio.ensure_future(_send_everywhere(group, 1.5 * CAPACITY_PER_S, 8.0))
        await group.clock.sleep(2.0)
        group.unreachable = {(entry.name, "c-0") for entry in group.entries}
        completed = group.completed()
        group.most_present()
        await group.clock.sleep(4.0)
        assert group.completed() - completed >= 0.85 * 4.0 * CAPACITY_PER_S
        assert group.most_present() <= 4 * ENGINE_SLOTS
        await load

    run_virtual(run())


def test_restarted_coordinator_does_not_flood_the_engines() -> None:
    """Load: overload while the coordinator restarts; guards against empty sums."""

    async def run() -> None:
        group = _group()
        load = asyncio.ensure_future(_send_everywhere(group, 1.5 * CAPACITY_PER_S, 5.0))
        await group.clock.sleep(2.0)
        group.most_present()
        group.restart("c-0")
        await group.clock.sleep(1.0)
        assert group.most_present() <= 4 * ENGINE_SLOTS
        await load

    run_virtual(run())


def test_entry_without_a_coordinator_keeps_to_an_equal_part() -> None:
    """Load: overload at an entry that is cut off; guards against all or no slots."""

    async def run() -> None:
        group = _group()
        load = asyncio.ensure_future(_send_everywhere(group, 1.5 * CAPACITY_PER_S, 6.0))
        await group.clock.sleep(1.0)
        entry = group.entries[0]
        group.cut_off(entry)
        await group.clock.sleep(ALLOWANCE_EXPIRY_S + 3 * CALL_TIMEOUT_S)
        assert entry.shared.allowance("svc") == 8
        assert entry.shared.load("svc") is None
        group.unreachable = set()
        await group.clock.sleep(3.0)
        assert entry.shared.load("svc") is not None
        await load

    run_virtual(run())


def test_slots_of_a_killed_entry_are_used_by_others() -> None:
    """Load: entries are killed in overload; guards against slots held for the dead."""

    async def run() -> None:
        group = _group()
        load = asyncio.ensure_future(_send_everywhere(group, 3 * CAPACITY_PER_S, 6.0))
        await group.clock.sleep(1.0)
        for entry in group.entries[:8]:
            entry.kill()
        await group.clock.sleep(1.0)
        completed = group.completed()
        await group.clock.sleep(2.0)
        assert group.completed() - completed >= 0.93 * 2.0 * CAPACITY_PER_S
        load.cancel()

    run_virtual(run())


def test_services_without_competition_are_not_shared() -> None:
    """Load: a configuration without customers; guards against messages and limits."""

    async def run() -> None:
        group = _group(competing=False)
        await _send_everywhere(group, 0.5 * CAPACITY_PER_S, 2.0)
        assert group.calls == 0
        assert group.entries[0].shared.allowance("svc") is None

    run_virtual(run())


def test_end_of_competition_ends_all_limits() -> None:
    """Load: customers are removed from the configuration; guards against old limits."""

    async def run() -> None:
        group = _group()
        await _send_everywhere(group, CAPACITY_PER_S, 1.0)
        group.competing = False
        await group.clock.sleep(0.5)
        entry = group.entries[0]
        assert entry.shared.allowance("svc") is None
        assert all(s.own_limit is None for s in entry.directory.instances("svc"))

    run_virtual(run())


def test_reports_per_second_are_bounded() -> None:
    """Load: overload and then rest; guards against a message for each request."""

    async def run() -> None:
        group = _group()
        await _send_everywhere(group, 1.5 * CAPACITY_PER_S, 2.0)
        calls = group.calls
        await _send_everywhere(group, 1.5 * CAPACITY_PER_S, 4.0)
        assert group.calls - calls <= 4.0 * ENTRIES * 11
        await group.clock.sleep(5.0)
        calls = group.calls
        await group.clock.sleep(10.0)
        assert group.calls - calls <= 10.0 * ENTRIES * 1.1

    run_virtual(run())
