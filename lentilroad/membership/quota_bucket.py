"""Token bucket of one customer, of which entries hold what they were granted."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from lentilroad.membership.quota_bounds import LOW_SHARE, SLOT_S, QuotaBounds
from lentilroad.membership.quota_messages import QuotaGrant, QuotaItem
from lentilroad.membership.wait_order import WaitOrder

# Part of the bucket that one grant may take for requests that are only expected.
MAX_SPARE_SHARE = 0.25
# Part of the bucket by which programs under way may overdraw it. Without this bound the
# rule was exceeded when all entries lost all coordinators several times within 20 s.
OVERDRAFT_SHARE = 0.25
# Requests that one report may charge to a customer.
MAX_CHARGE = 100_000
# Rate by which waits are computed while hardly any entry reports.
MIN_RATE_PER_S = 1e-3


@dataclass(slots=True, kw_only=True)
class _Part:
    """What one entry has used and holds."""

    used_total: int
    held: int = 0


@dataclass(slots=True, kw_only=True)
class QuotaBucket:
    """Quota of one customer.

    Attributes
    ----------
    began_s : float
        Monotonic time at which the bucket was created.
    share : float
        Part of the limit that belongs to the entries that report.
    level : float
        Requests that can be granted; negative after requests without a grant.
    past : dict of int to int
        Requests that entries had admitted before they joined, by slot of the clock.
    past_s : float
        Monotonic time from which `past` counts back.
    past_charge : float
        What was taken from `level` for `past`.
    charges : dict of int to int
        Requests of the last window by slot of the clock.
    used : int
        Sum of `charges`.
    refused_s : float or None
        Monotonic time of the last refusal; None if the customer is not at its limit.
    """

    bounds: QuotaBounds
    version: int
    rate_per_s: float
    burst: float
    began_s: float
    updated_s: float
    used_s: float
    share: float
    level: float = 0.0
    held: int = 0
    parts: dict[str, _Part] = field(default_factory=dict)
    past: dict[int, int] = field(default_factory=dict)
    past_s: float = 0.0
    past_charge: float = 0.0
    charges: dict[int, int] = field(default_factory=dict)
    used: int = 0
    order: WaitOrder = field(default_factory=WaitOrder)
    refused_s: float | None = None
    refused: int = 0

    def depth(self) -> float:
        """Return the size of the bucket for all entries together."""
        return self.bounds.depth(self.rate_per_s, self.burst)

    def is_low(self) -> bool:
        """Return whether much of the bucket is in use."""
        return self.level + self.held < LOW_SHARE * self.depth()

    def refill(self, now_s: float, share: float) -> None:
        """Add what has become available; `share` holds from now on."""
        self.level += (now_s - self.updated_s) * self.rate_per_s * self.share
        self.share = share
        self.level = min(self.level, self.depth() * share - self.held)
        self.updated_s = now_s
        for slot in [slot for slot in self.charges if self._ends_s(slot) <= now_s]:
            self.used -= self.charges.pop(slot)

    def set_limit(self, item: QuotaItem) -> None:
        """Take over the limit of a newer version."""
        self.version = item.version
        if (item.rate_per_s, item.burst) == (self.rate_per_s, self.burst):
            return
        self.rate_per_s = item.rate_per_s
        self.burst = item.burst
        # Times that entries were told at the former rate no longer apply.
        self.order.next_expected_s = 0.0

    def add_share(self, share: float, known_share: float, now_s: float) -> None:
        """Add the share of an entry, of which it knows a part to be unused."""
        self.level += self.depth() * share * known_share
        limit = self.rate_per_s * self.bounds.window_s + self.burst
        unknown = limit * share * (1.0 - known_share)
        self._charge(int(now_s / SLOT_S), math.ceil(unknown))

    def remove_share(self, share: float) -> None:
        """Leave the share of an entry to it; the others keep what they have used."""
        self.level = max(self.level - self.depth() * share, min(self.level, 0.0))

    def drop_part(self, address: str) -> None:
        """Count what an entry holds as used."""
        part = self.parts.pop(address, None)
        if part is not None:
            self.held -= part.held

    def join(self, address: str, item: QuotaItem, now_s: float, joined: float) -> None:
        """Add an entry and charge what it had admitted before it joined.

        Parameters
        ----------
        address : str
            Address of the entry.
        item : QuotaItem
            Its item, with what it admitted in the last slots.
        now_s : float
            Monotonic time.
        joined : float
            Share of the limit that belongs to the entries that have joined.
        """
        self.parts[address] = _Part(used_total=item.used_total)
        if now_s - self.past_s > self.bounds.window_s:
            self.past = {}
            self.past_s = now_s
            self.past_charge = 0.0
        slot = int(now_s / SLOT_S)
        for age, count in enumerate(item.past):
            self.past[slot - age] = self.past.get(slot - age, 0) + count
            self._charge(slot - age, count)
        self.charge_past(now_s, joined)

    def charge_past(self, now_s: float, joined: float) -> None:
        """Charge what would be missing now if entries had taken `past` from the bucket.

        The charge changes while entries join, since each adds its share of the limit.
        """
        if not self.past or now_s - self.past_s > self.bounds.window_s:
            return
        total = 0
        charge = 0.0
        for slot in sorted(self.past, reverse=True):
            total += self.past[slot]
            age_s = max(0.0, self.past_s - slot * SLOT_S)
            charge = max(charge, total - self.rate_per_s * joined * age_s)
        self.level -= charge - self.past_charge
        self.past_charge = charge

    def settle(self, address: str, item: QuotaItem, now_s: float) -> None:
        """Charge what an entry has used and take back what it does not hold."""
        part = self.parts.get(address)
        if part is None:
            part = self.parts[address] = _Part(used_total=item.used_before)
        # The total charges a report whose reply was lost once. The charge is negative
        # if requests were given back.
        used = item.used_total - part.used_total
        charge = max(-MAX_CHARGE, min(MAX_CHARGE, used))
        # An entry cannot hold more than it was granted.
        held = min(item.held, part.held)
        self.level += part.held - held - charge
        self._charge(int(now_s / SLOT_S), charge)
        self.held += held - part.held
        part.held = held
        part.used_total = item.used_total

    def grant(self, address: str, item: QuotaItem, now_s: float) -> QuotaGrant:
        """Grant what waits at an entry, and some of what it expects.

        Requests of new programs leave a reserve to programs under way.
        """
        # A new bucket may be filled in part only, which would all be reserve.
        known_share = min(1.0, (now_s - self.began_s) / self.bounds.window_s)
        reserve = self.bounds.reserve(self.rate_per_s, self.burst)
        reserve *= self.share * known_share
        waiting = item.waiting - item.waiting_under_way
        under_way = min(item.waiting_under_way, self._available(self._left_under_way()))
        left = self.level - under_way - reserve
        granted = min(waiting, self._available(left))
        spare = (left - granted) * MAX_SPARE_SHARE
        granted += min(item.wanted, self._available(spare))
        self.level -= granted + under_way
        self.held += granted + under_way
        self.parts[address].held += granted + under_way
        wait_s = wait_under_way_s = 0.0
        if under_way + granted < item.waiting_under_way:
            wait_under_way_s = self._wait_s(address, 0.0, now_s)
        if granted < waiting:
            wait_s = self._wait_s(address, reserve, now_s)
        return QuotaGrant(
            customer=item.customer,
            granted=granted,
            granted_under_way=under_way,
            wait_s=wait_s,
            wait_under_way_s=wait_under_way_s,
            share_per_s=self._granted_per_s() / max(1, len(self.order.contenders)),
        )

    def _left_under_way(self) -> float:
        """Return what is left for programs under way.

        Within the limit of a window they may overdraw the bucket; new programs wait
        until it has filled again.
        """
        limit = self.rate_per_s * self.bounds.window_s + self.burst
        overdrawn = self.level + OVERDRAFT_SHARE * self.depth() * self.share
        window = limit * self.share - self.used - self.held
        return max(self.level, min(overdrawn, window))

    def _charge(self, slot: int, count: int) -> None:
        """Count requests of a slot; fewer than none if some were given back."""
        count = max(count, -self.charges.get(slot, 0))
        self.charges[slot] = self.charges.get(slot, 0) + count
        self.used += count

    def _ends_s(self, slot: int) -> float:
        """Return when the requests of a slot have left every open window."""
        return (slot + 1) * SLOT_S + self.bounds.window_s

    def _granted_per_s(self) -> float:
        return max(MIN_RATE_PER_S, self.rate_per_s * self.share)

    def _available(self, level: float) -> int:
        """Return how many requests one entry is granted at most.

        One is left for each other entry that was refused before.
        """
        if not level >= 1.0 or not math.isfinite(level):
            return 0
        contenders = max(1, len(self.order.contenders))
        return int(max(1.0, level / contenders, level - contenders))

    def _wait_s(self, address: str, reserve: float, now_s: float) -> float:
        rate_per_s = self._granted_per_s()
        missing = max(0.0, 1.0 + reserve - self.level)
        wait_s = self.order.next_wait_s(
            address,
            rate_per_s=rate_per_s,
            available_at_s=now_s + missing / rate_per_s,
            now_s=now_s,
        )
        wait_s = min(self.bounds.window_s, wait_s)
        self.order.add(address, now_s=now_s, pause_s=wait_s)
        return wait_s
