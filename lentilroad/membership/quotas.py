"""Coordination of customers' quotas for all entries together.

Each customer has one token bucket at its coordinator. Entries hold what they were
granted of it; the bucket and what entries hold never exceed its depth together, so that
the admitted requests in any span are bounded by depth + rate x span. Each entry owns an
equal part of the limit: a coordinator grants only the parts of the entries that report
to it, since the others may use theirs. Nothing is kept on a disk.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from lentilroad.clock import Clock
from lentilroad.errors import OverloadedError
from lentilroad.membership.quota_bounds import (
    LOW_SHARE,
    SLOT_S,
    QuotaBounds,
    heartbeat_interval_s,
    missing_after_s,
)
from lentilroad.membership.quota_messages import (
    QuotaGrant,
    QuotaItem,
    QuotaReply,
    QuotaReport,
)
from lentilroad.membership.wait_order import WaitOrder
from lentilroad.process.events import log_event

# An entry that has not reported for this long owns no part of the limits any more.
ENTRY_EXPIRY_S = 30.0
BUCKET_EXPIRY_S = 60.0
# A customer has left its limit when nothing was refused for this long.
LIMIT_LEFT_AFTER_S = 5.0
# Entries and customers of which records are kept.
MAX_ENTRIES = 4096
MAX_CUSTOMERS = 10_000
MAX_GROUPS = 256
REFRESH_INTERVAL_S = 0.1
# Rate by which waits are computed while hardly any entry reports.
MIN_RATE_PER_S = 1e-3
# Part of the bucket that one grant may take while other entries may ask.
MAX_GRANT_SHARE = 0.25
# Part of its bucket that a new entry may use at once although nobody can tell what was
# used before. The rest of the excess and the time of its start cover it.
MIN_KNOWN_SHARE = 0.3
# Requests that one report may charge to a customer.
MAX_CHARGE = 100_000


@dataclass(slots=True, kw_only=True)
class _Entry:
    """An entry that has reported.

    Attributes
    ----------
    known_share : float
        Part of the last window of which the entry could tell its use when it joined.
    """

    started: int
    joined_s: float
    known_share: float
    seen_s: float
    entries: int
    sequence: int = 0
    present: bool = True


@dataclass(slots=True, kw_only=True)
class _Part:
    """What one entry has used and holds of a customer's quota."""

    used_total: int
    held: int = 0


@dataclass(slots=True, kw_only=True)
class _Bucket:
    """Quota of one customer.

    Attributes
    ----------
    level : float
        Requests that can be granted; negative after requests without a grant.
    past : dict of int to int
        Requests that entries had admitted before they joined, by slot of the clock.
    past_s : float
        Monotonic time from which `past` counts back.
    past_charge : float
        What was taken from `level` for `past`.
    """

    version: int
    rate_per_s: float
    burst: float
    level: float
    updated_s: float
    used_s: float
    held: int = 0
    parts: dict[str, _Part] = field(default_factory=dict)
    past: dict[int, int] = field(default_factory=dict)
    past_s: float = 0.0
    past_charge: float = 0.0
    order: WaitOrder = field(default_factory=WaitOrder)
    refused_s: float | None = None
    refused: int = 0


class QuotaCoordinator:
    """Grants parts of customers' quotas to entries.

    Parameters
    ----------
    clock : Clock
        Source of time.
    bounds : QuotaBounds
        Allowed excess.
    """

    def __init__(self, *, clock: Clock, bounds: QuotaBounds) -> None:
        self._clock = clock
        self._bounds = bounds
        self._groups: dict[str, _Group] = {}

    def customer_count(self) -> int:
        """Return the number of customers whose quota is in use."""
        return sum(len(group.buckets) for group in self._groups.values())

    def limited_count(self) -> int:
        """Return the number of customers at their limit."""
        return sum(
            bucket.refused_s is not None
            for group in self._groups.values()
            for bucket in group.buckets.values()
        )

    async def report(self, report: QuotaReport) -> QuotaReply:
        """Handle `REPORT_QUOTAS`."""
        group = self._groups.get(report.group)
        if group is None:
            if len(self._groups) >= MAX_GROUPS:
                raise OverloadedError(
                    "too many groups of customers; use the same release on all machines"
                )
            group = self._groups[report.group] = _Group(
                clock=self._clock, bounds=self._bounds
            )
        return group.report(report)


class _Group:
    """Buckets of customers for which the same entries report.

    A process may coordinate one group for all entries and another one only for those
    that do not reach the first coordinator.
    """

    __slots__ = (
        "_bounds",
        "_clock",
        "_entries",
        "_entry_count",
        "_first_report_s",
        "_joined",
        "_low",
        "_present_share",
        "_refreshed_s",
        "buckets",
    )

    def __init__(self, *, clock: Clock, bounds: QuotaBounds) -> None:
        self._clock = clock
        self._bounds = bounds
        self._entries: dict[str, _Entry] = {}
        self.buckets: dict[str, _Bucket] = {}
        # Customers of which much of the quota is in use.
        self._low: set[str] = set()
        self._entry_count = 1
        self._present_share = 0.0
        self._refreshed_s = -math.inf
        self._first_report_s: float | None = None
        # Entries that joined within the last window.
        self._joined = 0

    def report(self, report: QuotaReport) -> QuotaReply:
        """Charge what an entry has used, and grant what it may use next."""
        now_s = self._clock.monotonic_s()
        if not math.isfinite(report.age_s) or not self._admit_entry(report, now_s):
            return self._reply(now_s, [], known=False)
        self._refresh(now_s)
        entry = self._entries[report.entry]
        # An older report that arrives late tells nothing about what the entry holds.
        items = report.items if report.sequence > entry.sequence else []
        entry.sequence = max(entry.sequence, report.sequence)
        grants = []
        for item in items:
            if not item.is_valid():
                log_event(
                    "quota_report_invalid",
                    entry=report.entry,
                    customer=item.customer,
                )
                continue
            bucket = self._bucket(item, now_s)
            if bucket is None:
                continue
            if report.first and report.entry not in bucket.parts:
                bucket.parts[report.entry] = _Part(used_total=item.used_total)
                self._add_past(bucket, item.past, now_s)
            self._settle(bucket, report.entry, item)
            grants.append(self._grant(bucket, report.entry, item, now_s))
            self._update_low(item.customer, bucket)
        return self._reply(now_s, grants, known=True)

    def _reply(
        self, now_s: float, grants: list[QuotaGrant], *, known: bool
    ) -> QuotaReply:
        # All entries report within two heartbeats.
        settled_s = (self._first_report_s or now_s) + 2.0 * heartbeat_interval_s(
            self._entry_count
        )
        return QuotaReply(
            known=known,
            settling=now_s < settled_s and self._present_share < 1.0,
            entries=self._entry_count,
            grants=grants,
            low=list(self._low),
        )

    def _used_share(self, bucket: _Bucket) -> float:
        depth = self._bounds.depth(bucket.rate_per_s, bucket.burst)
        return 1.0 - (bucket.level + bucket.held) / depth

    def _update_low(self, customer: str, bucket: _Bucket) -> None:
        if self._used_share(bucket) > 1.0 - LOW_SHARE:
            self._low.add(customer)
        else:
            self._low.discard(customer)

    def _admit_entry(self, report: QuotaReport, now_s: float) -> bool:
        """Record that an entry reports; return False if it must report as the first."""
        self._refresh(now_s)
        entry = self._entries.get(report.entry)
        if entry is None or not entry.present:
            if not report.first or len(self._entries) >= MAX_ENTRIES:
                return False
            self._add_entry(report, now_s)
            return True
        if entry.started != report.started:
            entry.started = report.started
            entry.sequence = 0
            # What the former process held counts as used.
            self._drop_parts(report.entry)
        entry.seen_s = now_s
        entry.entries = report.entries
        return True

    def _add_entry(self, report: QuotaReport, now_s: float) -> None:
        """Add an entry with its part of each bucket.

        What it has used of that part follows from the requests of the last window that
        it reports. An entry that has just started cannot tell all of them.
        """
        if self._first_report_s is None:
            self._first_report_s = now_s
        known_share = max(MIN_KNOWN_SHARE, report.age_s / self._bounds.window_s)
        self._entries[report.entry] = _Entry(
            started=report.started,
            joined_s=now_s,
            known_share=min(1.0, known_share),
            seen_s=now_s,
            entries=report.entries,
        )
        self._refreshed_s = -math.inf
        self._refresh(now_s)
        for bucket in self.buckets.values():
            bucket.level += (
                self._depth(bucket) * min(1.0, known_share) / self._entry_count
            )

    def _refresh(self, now_s: float) -> None:
        """Find the entries that do not report any more, and the unused buckets."""
        if now_s - self._refreshed_s < REFRESH_INTERVAL_S:
            return
        for bucket in self.buckets.values():
            self._refill(bucket, now_s)
        self._refreshed_s = now_s
        expiry_s = missing_after_s(self._entry_count)
        present = 0
        for address, entry in list(self._entries.items()):
            silent_s = now_s - entry.seen_s
            if silent_s > ENTRY_EXPIRY_S:
                del self._entries[address]
            elif silent_s <= expiry_s:
                present += 1
            if silent_s > expiry_s and entry.present:
                entry.present = False
                self._remove_parts(address)
        if not present:
            # Entries that report again tell what they have used in the meantime.
            self.buckets.clear()
            self._low.clear()
            self._first_report_s = None
        self._joined = sum(
            entry.present and now_s - entry.joined_s <= self._bounds.window_s
            for entry in self._entries.values()
        )
        reported = [entry.entries for entry in self._entries.values() if entry.present]
        self._entry_count = max(1, len(self._entries), *reported, 1)
        self._present_share = min(1.0, present / self._entry_count)
        for bucket in self.buckets.values():
            if now_s - bucket.past_s < self._bounds.window_s and bucket.past:
                self._charge_past(bucket)
        for customer, bucket in list(self.buckets.items()):
            if now_s - bucket.used_s > BUCKET_EXPIRY_S:
                del self.buckets[customer]
                self._low.discard(customer)
                continue
            self._update_low(customer, bucket)
            self._log_limit_left(customer, bucket, now_s)

    def _remove_parts(self, address: str) -> None:
        """Take an entry that does not report any more out of all buckets."""
        self._drop_parts(address)
        for bucket in self.buckets.values():
            # It may use its part; the others keep at least what is missing now.
            part = self._depth(bucket) / self._entry_count
            bucket.level = max(bucket.level - part, min(bucket.level, 0.0))

    def _drop_parts(self, address: str) -> None:
        for bucket in self.buckets.values():
            part = bucket.parts.pop(address, None)
            if part is not None:
                bucket.held -= part.held

    def _bucket(self, item: QuotaItem, now_s: float) -> _Bucket | None:
        """Return the customer's bucket with the newest limit that was reported."""
        bucket = self.buckets.get(item.customer)
        if bucket is None:
            if len(self.buckets) >= MAX_CUSTOMERS:
                return None
            known = sum(
                1.0
                if now_s - entry.joined_s >= self._bounds.window_s
                else entry.known_share
                for entry in self._entries.values()
                if entry.present
            )
            bucket = self.buckets[item.customer] = _Bucket(
                version=item.version,
                rate_per_s=item.rate_per_s,
                burst=item.burst,
                level=0.0,
                updated_s=now_s,
                used_s=now_s,
            )
            bucket.level = self._depth(bucket) * min(1.0, known / self._entry_count)
        elif item.version > bucket.version:
            self._refill(bucket, now_s)
            bucket.version = item.version
            if (item.rate_per_s, item.burst) != (bucket.rate_per_s, bucket.burst):
                bucket.rate_per_s = item.rate_per_s
                bucket.burst = item.burst
                # Times that entries were told at the former rate no longer apply.
                bucket.order.next_expected_s = 0.0
        bucket.used_s = now_s
        self._refill(bucket, now_s)
        bucket.order.expire(now_s)
        return bucket

    def _depth(self, bucket: _Bucket) -> float:
        return self._bounds.depth(bucket.rate_per_s, bucket.burst)

    def _rate_per_s(self, bucket: _Bucket) -> float:
        return bucket.rate_per_s * self._present_share

    def _refill(self, bucket: _Bucket, now_s: float) -> None:
        bucket.level += (now_s - bucket.updated_s) * self._rate_per_s(bucket)
        full = self._depth(bucket) * self._present_share - bucket.held
        bucket.level = min(bucket.level, full)
        bucket.updated_s = now_s

    def _settle(self, bucket: _Bucket, address: str, item: QuotaItem) -> None:
        """Charge what an entry has used and take back what it does not hold."""
        part = bucket.parts.get(address)
        if part is None:
            part = bucket.parts[address] = _Part(used_total=item.used_before)
        # The total charges a report whose reply was lost once. The charge is negative
        # if requests were given back.
        used = item.used_total - part.used_total
        charge = max(-MAX_CHARGE, min(MAX_CHARGE, used))
        # An entry cannot hold more than it was granted.
        held = min(item.held, part.held)
        bucket.level += part.held - held - charge
        bucket.held += held - part.held
        part.held = held
        part.used_total = item.used_total

    def _add_past(self, bucket: _Bucket, past: list[int], now_s: float) -> None:
        """Charge what an entry had admitted before it reported to this process."""
        if now_s - bucket.past_s > self._bounds.window_s:
            bucket.past = {}
            bucket.past_s = now_s
            bucket.past_charge = 0.0
        slot = int(now_s / SLOT_S)
        for age, count in enumerate(past):
            bucket.past[slot - age] = bucket.past.get(slot - age, 0) + count
        self._charge_past(bucket)

    def _charge_past(self, bucket: _Bucket) -> None:
        """Charge what a bucket would lack now if entries had taken `past` from it.

        Only the parts of the limit count that belong to the entries that have joined.
        """
        rate_per_s = bucket.rate_per_s * min(1.0, self._joined / self._entry_count)
        total = 0
        charge = 0.0
        for slot in sorted(bucket.past, reverse=True):
            total += bucket.past[slot]
            age_s = max(0.0, bucket.past_s - slot * SLOT_S)
            charge = max(charge, total - rate_per_s * age_s)
        bucket.level -= charge - bucket.past_charge
        bucket.past_charge = charge

    def _grant(
        self, bucket: _Bucket, address: str, item: QuotaItem, now_s: float
    ) -> QuotaGrant:
        reserve = self._bounds.reserve(bucket.rate_per_s, bucket.burst)
        reserve *= self._present_share
        waiting = item.waiting - item.waiting_under_way
        under_way = _part_of(item.waiting_under_way, bucket.level, bucket)
        available = bucket.level - under_way - reserve
        granted = _part_of(item.wanted + waiting, available, bucket)
        bucket.level -= granted + under_way
        bucket.held += granted + under_way
        bucket.parts[address].held += granted + under_way
        rate_per_s = max(MIN_RATE_PER_S, self._rate_per_s(bucket))
        wait_s = wait_under_way_s = 0.0
        if under_way + granted < item.waiting_under_way and self._is_used_up(
            bucket, 0.0
        ):
            wait_under_way_s = self._wait_s(bucket, address, 0.0, now_s)
        if granted < waiting and self._is_used_up(bucket, reserve):
            wait_s = self._wait_s(bucket, address, reserve, now_s)
        if wait_s > 0.0 or wait_under_way_s > 0.0:
            self._record_refusal(item.customer, bucket, now_s)
        return QuotaGrant(
            customer=item.customer,
            granted=granted,
            granted_under_way=under_way,
            wait_s=wait_s,
            wait_under_way_s=wait_under_way_s,
            share_per_s=rate_per_s / max(1, len(bucket.order.contenders)),
        )

    def _is_used_up(self, bucket: _Bucket, reserve: float) -> bool:
        """Return whether not every contending entry could get one more grant now."""
        contenders = max(1, len(bucket.order.contenders))
        return bucket.level - reserve < contenders

    def _wait_s(
        self, bucket: _Bucket, address: str, reserve: float, now_s: float
    ) -> float:
        rate_per_s = max(MIN_RATE_PER_S, self._rate_per_s(bucket))
        missing = max(0.0, 1.0 + reserve - bucket.level)
        wait_s = bucket.order.next_wait_s(
            address,
            rate_per_s=rate_per_s,
            available_at_s=now_s + missing / rate_per_s,
            now_s=now_s,
        )
        wait_s = min(self._bounds.window_s, wait_s)
        bucket.order.add(address, now_s=now_s, pause_s=wait_s)
        return wait_s

    def _record_refusal(self, customer: str, bucket: _Bucket, now_s: float) -> None:
        if bucket.refused_s is None:
            log_event(
                "quota_reached",
                customer=customer,
                rate_per_s=bucket.rate_per_s,
                burst=bucket.burst,
                version=bucket.version,
                level=round(bucket.level, 1),
                held=bucket.held,
                entries=self._entry_count,
                present_share=round(self._present_share, 3),
            )
        bucket.refused_s = now_s
        bucket.refused += 1

    def _log_limit_left(self, customer: str, bucket: _Bucket, now_s: float) -> None:
        if bucket.refused_s is None or now_s - bucket.refused_s < LIMIT_LEFT_AFTER_S:
            return
        log_event("quota_left", customer=customer, refused_reports=bucket.refused)
        bucket.refused_s = None
        bucket.refused = 0


def _part_of(wanted: int, available: float, bucket: _Bucket) -> int:
    """Return what one entry is granted of the requests that are available."""
    if wanted <= 0 or available < 1.0:
        return 0
    contenders = max(1, len(bucket.order.contenders))
    share = max(1.0, available * MAX_GRANT_SHARE)
    if contenders > 1:
        share = max(1.0, available / contenders)
    return min(wanted, int(share))
