"""Division of the slots of one service among the entries that send requests to it.

Pure decisions: no network, and the time is passed in. See docs/design/shared-load.md.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Least part of the capacity that another coordinator than the first divides. Most of
# the entries that do not report to it may have been killed together with the first.
MIN_OTHER_PART = 0.5
# Requests in flight per slot that all entries together may have. The excess waits in
# the instances, so that a slot that becomes free is used before the next report.
SLOT_FACTOR = 1.2
# Share of the unused slots that each entry may take before its next report. Requests
# arrive in bursts at few entries at a time, so that the unused slots can be promised to
# several entries at once.
UNUSED_SHARE = 0.5
# Part of its slots in use that an entry keeps over a report. The others become free in
# that time and are divided anew; otherwise an entry that came first would keep all.
KEPT_SHARE = 0.8
# Every entry may have this many requests in flight.
MIN_ALLOWANCE = 1
REPORT_INTERVAL_S = 0.1
# Reports of one service that a coordinator accepts per second; in a larger group of
# entries each one reports less often.
MAX_REPORTS_PER_S = 600.0
# Slots in use by an entry that does not report are given to others after the larger
# of a time and a number of intervals.
REPORT_EXPIRY_S = 0.5
REPORT_EXPIRY_INTERVALS = 4.0
# Idle entries report rarely; after this time they count as ended.
IDLE_EXPIRY_S = 5.0
# Time over which the rate of completions is averaged.
RATE_WINDOW_S = 1.0
# Instances in one reply, those with the most requests first.
MAX_INSTANCES_IN_REPLY = 256


@dataclass(slots=True, kw_only=True, frozen=True)
class EntryDemand:
    """Requests of one entry for one service.

    Attributes
    ----------
    in_flight : int
        Requests that were sent to instances and have not ended.
    waiting_under_way : int
        Requests of programs under way that wait for a slot.
    waiting_new : int
        First requests of programs that wait for a slot.
    """

    in_flight: int = 0
    waiting_under_way: int = 0
    waiting_new: int = 0

    def total(self) -> int:
        """Return all requests, in flight or waiting."""
        return self.in_flight + self.waiting_under_way + self.waiting_new


def instance_limit(
    *, slots: int, total: int, own: int, free_share: float, random_share: float
) -> int:
    """Return how many requests an entry may have in flight at one instance.

    The entry keeps the slots that it uses and gets its part of the free ones. If all
    entries sent to the instance with the most free slots instead, they would overload
    it before the next report tells them.

    Parameters
    ----------
    slots : int
        Slots of the instance.
    total : int
        Requests in flight of all entries.
    own : int
        Those of this entry, which are part of the total.
    free_share : float
        Part of all free slots that the entry may take.
    random_share : float
        Random number from 0 to 1, by which fractions are rounded. Entries whose
        fractions add up to one slot take one on average.
    """
    most = slots + max(1, round((SLOT_FACTOR - 1.0) * slots))
    if total > most:
        limit = own - (total - most) * own / total
    else:
        limit = own + (most - total) * free_share
    return max(0, math.floor(limit + random_share))


def divide_slots(
    demands: Mapping[str, EntryDemand], capacity: int, *, unused_share: float
) -> dict[str, int]:
    """Return how many requests each entry may have in flight.

    Most of the requests in flight and those of programs under way come first. If they
    exceed the capacity, each entry gets a part in proportion to them, so that such
    requests wait equally long at all entries. The rest is divided among the other
    requests by max-min fairness, so that many new programs at one entry do not displace
    those of others. What remains unused is promised on top of the demand.

    Parameters
    ----------
    demands : mapping of str to EntryDemand
        Demand by entry.
    capacity : int
        Requests that all entries together may have in flight.
    unused_share : float
        Share of the unused part that each entry gets on top of its demand.
    """
    claims = {
        entry: math.ceil(KEPT_SHARE * demand.in_flight) + demand.waiting_under_way
        for entry, demand in demands.items()
    }
    claimed = sum(claims.values())
    if claimed >= capacity:
        shares = _proportional(claims, capacity)
        return {entry: max(MIN_ALLOWANCE, share) for entry, share in shares.items()}
    others = {e: demand.total() - claims[e] for e, demand in demands.items()}
    filled = _max_min(others, capacity - claimed)
    unused = capacity - claimed - sum(filled.values())
    headroom = math.ceil(unused * unused_share)
    return {
        entry: max(MIN_ALLOWANCE, claims[entry] + filled[entry] + headroom)
        for entry in demands
    }


def _proportional(claims: Mapping[str, int], capacity: int) -> dict[str, int]:
    """Divide in proportion to the claims; the largest remainders are rounded up."""
    total = sum(claims.values())
    if total == 0:
        return dict.fromkeys(claims, 0)
    exact = {entry: claim * capacity / total for entry, claim in claims.items()}
    shares = {entry: int(share) for entry, share in exact.items()}
    left = capacity - sum(shares.values())
    by_remainder = sorted(
        exact, key=lambda entry: (shares[entry] - exact[entry], entry)
    )
    for entry in by_remainder[:left]:
        shares[entry] += 1
    return shares


def _max_min(wanted: Mapping[str, int], available: int) -> dict[str, int]:
    """Divide by max-min fairness: the smallest demands are met first."""
    shares = {}
    remaining = len(wanted)
    for entry in sorted(wanted, key=lambda entry: (wanted[entry], entry)):
        share = min(wanted[entry], available // remaining)
        shares[entry] = share
        available -= share
        remaining -= 1
    return shares


@dataclass(slots=True, kw_only=True)
class _EntryReport:
    demand: EntryDemand
    in_flight_by_instance: Mapping[str, int]
    slots: int
    known_entries: int
    sequence: int
    received_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class SharedView:
    """What an entry is told about a service in reply to its report.

    Attributes
    ----------
    allowance : int
        Requests that the entry may have in flight until the next reply.
    interval_s : float
        Time until the entry's next report.
    slots, in_flight, waiting_under_way, waiting_new, completed_per_s, entries
        See `lentilroad.request.service_load.ServiceLoad`.
    in_flight_by_instance : dict of str to int
        Requests in flight of all entries by instance, for the instances with the most.
    """

    allowance: int
    interval_s: float
    slots: int
    in_flight: int
    waiting_under_way: int
    waiting_new: int
    completed_per_s: float
    entries: int
    in_flight_by_instance: dict[str, int]


@dataclass(slots=True, kw_only=True)
class ServiceShares:
    """Latest reports of all entries about one service."""

    _reports: dict[str, _EntryReport] = field(default_factory=dict)
    _started_s: float | None = None
    _completions: float = 0.0
    _completions_at_s: float = 0.0

    def report(
        self,
        entry: str,
        demand: EntryDemand,
        *,
        in_flight_by_instance: Mapping[str, int],
        completed: int,
        slots: int,
        known_entries: int,
        sequence: int,
        first: bool,
        now_s: float,
    ) -> SharedView:
        """Record a report and return the entry's view of the service.

        Parameters
        ----------
        completed : int
            Requests that ended since the entry's previous report.
        slots : int
            Slots of the instances that the entry may use.
        known_entries : int
            Entries that the entry knows, itself included.
        sequence : int
            Number that grows with each report of the entry; a report that arrives
            after a later one is not recorded.
        first : bool
            Whether this process is the first coordinator of the service. Another one
            divides only the part of its entries, since the first may serve the rest.
        """
        if self._started_s is None:
            self._started_s = now_s
        known = self._reports.get(entry)
        # Numbers are taken from the clock of the entry, so that a restarted entry
        # continues above its former numbers.
        if known is None or sequence > known.sequence:
            self._count_completions(completed, now_s)
            self._reports[entry] = _EntryReport(
                demand=demand,
                in_flight_by_instance=in_flight_by_instance,
                slots=slots,
                known_entries=known_entries,
                sequence=sequence,
                received_s=now_s,
            )
        return self._view(entry, first=first, now_s=now_s)

    def is_idle(self, now_s: float) -> bool:
        """Return whether no entry has reported for a time."""
        return all(
            now_s - report.received_s > IDLE_EXPIRY_S
            for report in self._reports.values()
        )

    def _view(self, entry: str, *, first: bool, now_s: float) -> SharedView:
        self._remove_expired(now_s, kept=entry)
        active = sum(1 for report in self._reports.values() if report.demand.total())
        interval_s = max(REPORT_INTERVAL_S, active / MAX_REPORTS_PER_S)
        expiry_s = max(REPORT_EXPIRY_S, REPORT_EXPIRY_INTERVALS * interval_s)
        recent = {
            name: report
            for name, report in self._reports.items()
            if name == entry or now_s - report.received_s <= expiry_s
        }
        known_slots = sorted(report.slots for report in recent.values())
        slots = known_slots[len(known_slots) // 2]
        known_entries = max(
            len(self._reports), *(r.known_entries for r in recent.values())
        )
        capacity = math.ceil(SLOT_FACTOR * slots)
        # Entries that have not reported since the start of this process, or that report
        # to another coordinator, use their part of the slots as well.
        reporting_part = len(self._reports) / known_entries
        if self._started_s is None or now_s - self._started_s <= REPORT_EXPIRY_S:
            capacity = math.ceil(capacity * reporting_part)
        elif not first:
            capacity = math.ceil(capacity * max(MIN_OTHER_PART, reporting_part))
        complete = len(self._reports) >= known_entries
        demands = {name: report.demand for name, report in recent.items()}
        allowances = divide_slots(
            demands,
            capacity,
            unused_share=UNUSED_SHARE if complete else 1.0 / known_entries,
        )
        return SharedView(
            allowance=allowances[entry],
            interval_s=interval_s,
            slots=slots,
            in_flight=sum(d.in_flight for d in demands.values()),
            waiting_under_way=sum(d.waiting_under_way for d in demands.values()),
            waiting_new=sum(d.waiting_new for d in demands.values()),
            completed_per_s=self._completed_per_s(now_s),
            entries=len(self._reports),
            in_flight_by_instance=_sum_by_instance(recent.values()),
        )

    def _remove_expired(self, now_s: float, *, kept: str) -> None:
        for name, report in list(self._reports.items()):
            if name != kept and now_s - report.received_s > IDLE_EXPIRY_S:
                del self._reports[name]

    def _count_completions(self, completed: int, now_s: float) -> None:
        self._completions = self._completed_per_s(now_s) + completed / RATE_WINDOW_S
        self._completions_at_s = now_s

    def _completed_per_s(self, now_s: float) -> float:
        elapsed_s = now_s - self._completions_at_s
        return self._completions * math.exp(-elapsed_s / RATE_WINDOW_S)


def _sum_by_instance(reports: Iterable[_EntryReport]) -> dict[str, int]:
    totals: dict[str, int] = {}
    for report in reports:
        for instance_id, count in report.in_flight_by_instance.items():
            totals[instance_id] = totals.get(instance_id, 0) + count
    if len(totals) <= MAX_INSTANCES_IN_REPLY:
        return totals
    fullest = sorted(totals, key=lambda key: -totals[key])[:MAX_INSTANCES_IN_REPLY]
    return {instance_id: totals[instance_id] for instance_id in fullest}
