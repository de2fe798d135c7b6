"""What one entry has used, holds and needs of a customer's quota."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from lentilroad.membership.quota_bounds import SLOT_S
from lentilroad.membership.quota_messages import QuotaGrant, QuotaItem
from lentilroad.version.customers import Customer

# Weight of the last report in the mean use between reports.
USE_WEIGHT = 0.3
# Requests that an entry holds for each one that it has used between two reports.
HELD_PER_USE = 1.5
# A mean use below this is not worth holding a grant.
MIN_HELD_USE = 0.3
# Longest time for which an entry refuses requests without asking again.
MAX_PAUSE_S = 0.5
MIN_PAUSE_S = 0.05
# Without a coordinator, an entry uses its share of the limit this long; then others may
# have divided the limit without it, and it uses a share of the allowed excess.
SHARE_KEPT_S = 25.0
MIN_RATE_PER_S = 1e-3


@dataclass(slots=True, kw_only=True)
class LocalShare:
    """Share of a quota that an entry uses while no coordinator can be reached.

    Attributes
    ----------
    isolated_rate_per_s : float
        Rate after `SHARE_KEPT_S`.
    depth : float
        Most that accumulates.
    """

    rate_per_s: float
    isolated_rate_per_s: float
    depth: float
    level: float
    updated_s: float
    began_s: float

    def take(self, now_s: float) -> bool:
        """Take one request of the share."""
        if now_s - self.began_s > SHARE_KEPT_S:
            self.rate_per_s = min(self.rate_per_s, self.isolated_rate_per_s)
        refill = (now_s - self.updated_s) * self.rate_per_s
        self.level = min(self.depth, self.level + refill)
        self.updated_s = now_s
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def wait_s(self) -> float:
        """Return the seconds until the next request can be taken."""
        return (1.0 - self.level) / max(MIN_RATE_PER_S, self.rate_per_s)


@dataclass(slots=True, kw_only=True)
class CustomerUse:
    """Use of one customer's quota at this entry.

    Attributes
    ----------
    granted, granted_under_way : int
        Requests that may be admitted until `valid_until_s`; the latter only of programs
        under way.
    told_held : int
        What the coordinator counts as held by this entry.
    used_total, used_before : int
        Requests admitted since the start, without those that did not run, and the same
        when the last report was sent that has a reply.
    unasked_reply : int
        Number of the reply after which a request was admitted without a grant.
    waiting, waiting_under_way : int
        Requests that wait for a grant, and those of them of programs under way.
    mean_use : float
        Mean number of requests between two reports.
    slots : dict of int to int
        Requests admitted in each slot of the clock.
    """

    customer: Customer
    granted: int = 0
    granted_under_way: int = 0
    valid_until_s: float = -math.inf
    told_held: int = 0
    used_total: int = 0
    used_before: int = 0
    unasked_reply: int = -1
    waiting: int = 0
    waiting_under_way: int = 0
    mean_use: float = 0.0
    used_s: float = 0.0
    refused: int = 0
    refused_until_s: float = -math.inf
    refused_under_way_until_s: float = -math.inf
    expected_s: float = -math.inf
    expected_under_way_s: float = -math.inf
    retry_s: float = -math.inf
    share_per_s: float = 0.0
    local: LocalShare | None = None
    slots: dict[int, int] = field(default_factory=dict)

    def take_granted(self, now_s: float, *, under_way: bool) -> bool:
        """Take one of the granted requests."""
        self._expire(now_s)
        if under_way and self.granted_under_way > 0:
            self.granted_under_way -= 1
            return True
        if self.granted > 0:
            self.granted -= 1
            return True
        return False

    def record(self, now_s: float) -> None:
        """Count an admitted request."""
        self.used_total += 1
        slot = int(now_s / SLOT_S)
        self.slots[slot] = self.slots.get(slot, 0) + 1

    def give_back(self, now_s: float) -> None:
        """Take back the count of a request that has not run."""
        self.used_total = max(0, self.used_total - 1)
        slot = int(now_s / SLOT_S)
        if self.slots.get(slot):
            self.slots[slot] -= 1

    def has_news(self) -> bool:
        """Return whether the coordinator needs a report or has something to grant."""
        return (
            self.used_total != self.used_before
            or self.told_held > 0
            or self.waiting > 0
        )

    def past(self, now_s: float, slots: int) -> list[int]:
        """Return the requests admitted in each of the last slots, newest first."""
        newest = int(now_s / SLOT_S)
        for slot in [slot for slot in self.slots if slot < newest - slots]:
            del self.slots[slot]
        return [self.slots.get(newest - age, 0) for age in range(slots + 1)]

    def item(self, version: int, now_s: float, past: list[int]) -> QuotaItem:
        """Return the item of a report; gives up what the entry does not need."""
        self._expire(now_s)
        used = max(0, self.used_total - self.used_before)
        self.mean_use += USE_WEIGHT * (used - self.mean_use)
        target = 0
        if self.mean_use >= MIN_HELD_USE:
            target = math.ceil(HELD_PER_USE * self.mean_use)
        self.granted = min(self.granted, target)
        self.granted_under_way = min(self.granted_under_way, self.waiting_under_way)
        held = self.granted + self.granted_under_way
        return QuotaItem(
            customer=self.customer.name,
            version=version,
            rate_per_s=self.customer.rate_per_s,
            burst=self.customer.burst,
            used_before=self.used_before,
            used_total=self.used_total,
            held=held,
            wanted=max(0, target - held),
            waiting=self.waiting,
            waiting_under_way=self.waiting_under_way,
            past=past,
        )

    def apply(
        self,
        grant: QuotaGrant,
        item: QuotaItem,
        *,
        valid_until_s: float,
        now_s: float,
        settling: bool,
    ) -> None:
        """Apply the reply to a report."""
        self.used_before = item.used_total
        self.told_held = item.held + grant.granted + grant.granted_under_way
        self.granted += grant.granted
        self.granted_under_way += grant.granted_under_way
        self.valid_until_s = valid_until_s
        self.share_per_s = grant.share_per_s
        if settling:
            return
        if grant.wait_s > 0.0:
            self.expected_s = now_s + grant.wait_s
            self.refused_until_s = now_s + _pause_s(grant.wait_s)
        if grant.wait_under_way_s > 0.0:
            self.expected_under_way_s = now_s + grant.wait_under_way_s
            self.refused_under_way_until_s = now_s + _pause_s(grant.wait_under_way_s)

    def expect(self, time_s: float) -> None:
        """Set when the next request can be admitted; no coordinator can tell."""
        self.expected_s = self.expected_under_way_s = time_s
        self.share_per_s = 0.0

    def next_retry_s(
        self, now_s: float, *, under_way: bool, entries: int, longest_s: float
    ) -> float:
        """Return the monotonic time at which a refused request should come again.

        Refused requests are told to come one after the other at the rate of this entry.
        """
        share_per_s = self.share_per_s or self.customer.rate_per_s / entries
        expected_s = self.expected_under_way_s if under_way else self.expected_s
        self.retry_s = max(now_s, expected_s, self.retry_s + 1.0 / share_per_s)
        self.retry_s = min(self.retry_s, now_s + longest_s)
        return self.retry_s

    def _expire(self, now_s: float) -> None:
        if self.valid_until_s < now_s:
            self.granted = 0
            self.granted_under_way = 0


def _pause_s(wait_s: float) -> float:
    return max(MIN_PAUSE_S, min(MAX_PAUSE_S, wait_s))
