"""Coordination of customers' quotas for all entries together.

Each customer has one token bucket at its coordinator. Entries hold what they were
granted of it; the bucket and what entries hold never exceed its depth together, so that
the admitted requests in any span are bounded by depth + rate x span. Each entry owns an
equal part of the limit: a coordinator grants only the parts of the entries that report
to it, since the others may use theirs. Nothing is kept on a disk.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from lentilroad.clock import Clock
from lentilroad.errors import OverloadedError
from lentilroad.membership.quota_bounds import (
    QuotaBounds,
    heartbeat_interval_s,
    missing_after_s,
)
from lentilroad.membership.quota_bucket import QuotaBucket
from lentilroad.membership.quota_messages import (
    QuotaGrant,
    QuotaItem,
    QuotaReply,
    QuotaReport,
)
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
# Part of its bucket that a new entry may use at once although nobody can tell what was
# used before. The rest of the excess and the time of its start cover it.
MIN_KNOWN_SHARE = 0.5


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
        "_joined_share",
        "_low",
        "_present_share",
        "_refreshed_s",
        "buckets",
    )

    def __init__(self, *, clock: Clock, bounds: QuotaBounds) -> None:
        self._clock = clock
        self._bounds = bounds
        self._entries: dict[str, _Entry] = {}
        self.buckets: dict[str, QuotaBucket] = {}
        # Customers of which much of the quota is in use.
        self._low: set[str] = set()
        self._entry_count = 1
        self._present_share = 0.0
        self._refreshed_s = -math.inf
        self._first_report_s: float | None = None
        # Share of the entries that joined within the last window.
        self._joined_share = 0.0

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
                bucket.join(report.entry, item, now_s, self._joined_share)
            bucket.settle(report.entry, item, now_s)
            grant = bucket.grant(report.entry, item, now_s)
            if grant.wait_s > 0.0 or grant.wait_under_way_s > 0.0:
                self._record_refusal(item.customer, bucket, now_s)
            self._update_low(item.customer, bucket)
            grants.append(grant)
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

    def _update_low(self, customer: str, bucket: QuotaBucket) -> None:
        if bucket.is_low():
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
            bucket.add_share(1.0 / self._entry_count, min(1.0, known_share), now_s)

    def _refresh(self, now_s: float) -> None:
        """Find the entries that do not report any more, and the unused buckets."""
        if now_s - self._refreshed_s < REFRESH_INTERVAL_S:
            return
        for bucket in self.buckets.values():
            bucket.refill(now_s, self._present_share)
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
                self._drop_parts(address)
                for bucket in self.buckets.values():
                    bucket.remove_share(1.0 / self._entry_count)
        if not present:
            # Entries that report again tell what they have used in the meantime.
            self.buckets.clear()
            self._low.clear()
            self._first_report_s = None
        reported = [entry.entries for entry in self._entries.values() if entry.present]
        self._entry_count = max(1, len(self._entries), *reported, 1)
        self._present_share = min(1.0, present / self._entry_count)
        joined = sum(
            entry.present and now_s - entry.joined_s <= self._bounds.window_s
            for entry in self._entries.values()
        )
        self._joined_share = min(1.0, joined / self._entry_count)
        for bucket in self.buckets.values():
            bucket.refill(now_s, self._present_share)
            bucket.charge_past(now_s, self._joined_share)
        for customer, bucket in list(self.buckets.items()):
            if now_s - bucket.used_s > BUCKET_EXPIRY_S:
                del self.buckets[customer]
                self._low.discard(customer)
                continue
            self._update_low(customer, bucket)
            self._log_limit_left(customer, bucket, now_s)

    def _drop_parts(self, address: str) -> None:
        for bucket in self.buckets.values():
            bucket.drop_part(address)

    def _bucket(self, item: QuotaItem, now_s: float) -> QuotaBucket | None:
        """Return the customer's bucket with the newest limit that was reported."""
        bucket = self.buckets.get(item.customer)
        if bucket is None:
            if len(self.buckets) >= MAX_CUSTOMERS:
                return None
            bucket = self.buckets[item.customer] = QuotaBucket(
                bounds=self._bounds,
                version=item.version,
                rate_per_s=item.rate_per_s,
                burst=item.burst,
                began_s=now_s,
                updated_s=now_s,
                used_s=now_s,
                share=self._present_share,
            )
            # A bucket begins with what its entries know to be unused.
            known_share = self._known_share(now_s) / max(self._present_share, 1e-9)
            bucket.add_share(self._present_share, min(1.0, known_share), now_s)
        bucket.refill(now_s, self._present_share)
        if item.version > bucket.version:
            bucket.set_limit(item)
            bucket.refill(now_s, self._present_share)
        bucket.used_s = now_s
        bucket.order.expire(now_s)
        return bucket

    def _known_share(self, now_s: float) -> float:
        """Return the share of the entries that can tell what they have used."""
        known = sum(
            1.0
            if now_s - entry.joined_s >= self._bounds.window_s
            else entry.known_share
            for entry in self._entries.values()
            if entry.present
        )
        return min(1.0, known / self._entry_count)

    def _record_refusal(self, customer: str, bucket: QuotaBucket, now_s: float) -> None:
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

    def _log_limit_left(self, customer: str, bucket: QuotaBucket, now_s: float) -> None:
        if bucket.refused_s is None or now_s - bucket.refused_s < LIMIT_LEFT_AFTER_S:
            return
        log_event("quota_left", customer=customer, refused_reports=bucket.refused)
        bucket.refused_s = None
        bucket.refused = 0
