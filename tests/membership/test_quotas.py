"""Coordinator of quotas: reports that are late, repeated or wrong."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from lentilroad.membership.quota_bounds import QuotaBounds, group_key
from lentilroad.membership.quota_messages import QuotaItem, QuotaReply, QuotaReport
from lentilroad.membership.quotas import QuotaCoordinator
from lentilroad.wire.codec import MessagePackCodec
from lentilroad.wire.untrusted import UnreadableError
from tests.fakes.clock import ManualClock

BOUNDS = QuotaBounds(window_s=5.0, overage=0.0, slack=0.0)


def _item(**fields: Any) -> QuotaItem:
    values = {
        "customer": "c",
        "version": 1,
        "rate_per_s": 1.0,
        "burst": 10.0,
        "used_total": 0,
        "used_before": 0,
        "held": 0,
        "wanted": 0,
        "waiting": 0,
        "waiting_under_way": 0,
    }
    return QuotaItem(**(values | fields))


def _report(*items: QuotaItem, **fields: Any) -> QuotaReport:
    values = {
        "group": "quotas/0",
        "entry": "e",
        "started": 1,
        "sequence": 1,
        "age_s": 60.0,
        "entries": 1,
        "first": True,
    }
    return QuotaReport(items=list(items), **(values | fields))


class _Coordinator:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self._coordinator = QuotaCoordinator(clock=self.clock, bounds=BOUNDS)

    def report(self, *items: QuotaItem, **fields: Any) -> QuotaReply:
        return asyncio.run(self._coordinator.report(_report(*items, **fields)))

    def granted(self, *items: QuotaItem, **fields: Any) -> int:
        return sum(grant.granted for grant in self.report(*items, **fields).grants)


def test_lost_reply_is_not_charged_twice() -> None:
    """The reply to a report was lost, and the entry repeats what it used."""
    coordinator = _Coordinator()
    assert coordinator.granted(_item(waiting=1)) == 1
    item = _item(used_total=4, held=0)
    coordinator.report(item, sequence=2, first=False)
    coordinator.report(item, sequence=3, first=False)
    left = [
        coordinator.granted(
            _item(used_total=4 + n, used_before=4, held=0, waiting=1),
            sequence=4 + n,
            first=False,
        )
        for n in range(8)
    ]
    assert sum(left) == 6


def test_older_report_that_arrives_late_changes_nothing() -> None:
    """A relay delivers a report after the next one, which states more use."""
    coordinator = _Coordinator()
    coordinator.report(_item(used_total=0))
    coordinator.report(_item(used_total=10), sequence=3, first=False)
    reply = coordinator.report(
        _item(used_total=2, held=9, waiting=1), sequence=2, first=False
    )
    assert reply.known and not reply.grants
    assert not coordinator.granted(
        _item(used_total=10, waiting=1), sequence=4, first=False
    )


def test_unknown_entry_has_to_tell_what_it_used() -> None:
    """A restarted coordinator must not take the quota for unused."""
    coordinator = _Coordinator()
    assert not coordinator.report(_item(waiting=1), first=False).known
    past = [9, 9, 9, 9, 9, 9, 9, 9, 9, 9]
    assert not coordinator.granted(_item(waiting=1, past=past), sequence=2)


def test_new_program_leaves_the_reserve_to_programs_under_way() -> None:
    """First requests are refused while those of programs under way are admitted."""
    bounds = QuotaBounds(window_s=5.0, overage=0.0, slack=20.0)
    coordinator = QuotaCoordinator(clock=ManualClock(), bounds=bounds)

    async def ask(waiting: int, under_way: int, sequence: int) -> int:
        used = sequence - 1
        item = _item(
            used_total=used,
            used_before=used,
            waiting=waiting,
            waiting_under_way=under_way,
        )
        report = _report(item, sequence=sequence, first=sequence == 1)
        (grant,) = (await coordinator.report(report)).grants
        return grant.granted + grant.granted_under_way

    async def main() -> None:
        sequence = 1
        while await ask(1, 0, sequence):
            sequence += 1
        assert sequence > 10
        assert await ask(1, 1, sequence + 1) == 1

    asyncio.run(main())


@pytest.mark.parametrize(
    "item",
    [
        _item(rate_per_s=float("nan")),
        _item(rate_per_s=0.0),
        _item(burst=float("inf")),
        _item(waiting=0, waiting_under_way=3),
    ],
)
def test_invalid_item_hides_no_other(item: QuotaItem) -> None:
    """A faulty entry sends numbers that cannot be."""
    coordinator = _Coordinator()
    assert coordinator.granted(item, _item(customer="d", waiting=1)) == 1


@pytest.mark.parametrize(
    "fields", [{"used_total": -1}, {"held": 2**60}, {"past": [0] * 100}]
)
def test_numbers_out_of_range_cannot_be_decoded(fields: dict[str, Any]) -> None:
    """A report with huge or negative numbers must end neither side."""
    codec = MessagePackCodec()
    content = codec.encode(_report(_item(**fields)), QuotaReport)
    with pytest.raises(UnreadableError):
        codec.decode(content, QuotaReport)


def test_huge_use_is_bounded() -> None:
    """A wrong total must not lock a customer out for long."""
    coordinator = _Coordinator()
    coordinator.report(_item())
    coordinator.report(_item(used_total=2**50), sequence=2, first=False)
    coordinator.clock.now_s += 0.1
    assert coordinator.report(sequence=3, first=False).known


def test_groups_are_few_and_stable() -> None:
    """Messages must not grow with the number of customers."""
    names = [f"customer {number}" for number in range(260)]
    assert len({group_key(name, 9) for name in names}) == 1
    assert len({group_key(name, 172) for name in names}) <= 6
