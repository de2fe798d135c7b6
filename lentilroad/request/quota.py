"""Admission of customers' requests at an entry, within a quota of all entries.

See `lentilroad.membership.quotas` for the coordinator's side.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

from lentilroad.clock import Clock
from lentilroad.errors import RateLimitedError
from lentilroad.membership.quota_bounds import (
    GRANT_VALID_S,
    SLOT_S,
    QuotaBounds,
    group_key,
    heartbeat_interval_s,
    report_interval_s,
    urgent_interval_s,
)
from lentilroad.membership.quota_messages import (
    REPORT_QUOTAS,
    QuotaGrant,
    QuotaItem,
    QuotaReply,
    QuotaReport,
)
from lentilroad.process.events import log_event
from lentilroad.request.coordinators import CoordinatorCaller
from lentilroad.request.quota_use import CustomerUse, LocalShare
from lentilroad.version.customers import Customer

# Coordinators that an entry asks, one after the other.
MAX_COORDINATORS = 3
# A coordinator that does not answer again and again is asked less often, since requests
# wait for each call that fails.
LONGEST_RETRY_S = 4.0
# A request waits this long for a grant; a new coordinator knows all entries by then.
MAX_WAIT_S = 1.0
# A customer that was not near its limit this long ago may be now.
FRESH_INTERVALS = 1.5
# Shortest time after which a refused caller is told to come again.
MIN_RETRY_AFTER_S = 0.1
# Part of its share of a bucket, or of the excess, that an entry uses on its own.
LOCAL_LEVEL_SHARE = 0.5
# Number of entries that is assumed before any other process has told it.
ASSUMED_ENTRIES = 32
USE_EXPIRY_S = 60.0
# Counters name the customers of a deployment with at most this many.
MAX_COUNTED = 1000
TICK_S = 0.05


@dataclass(slots=True, kw_only=True)
class _Group:
    """Customers that share a coordinator, and its last reply.

    Attributes
    ----------
    replied_s : float
        Monotonic time at which the call of the last reply started.
    sent_s : float
        Monotonic time of the last report.
    lost : bool
        Whether no coordinator answered the last report.
    """

    key: str
    address: str = ""
    replied_s: float = -math.inf
    sent_s: float = -math.inf
    replies: int = 0
    lost: bool = False
    settling: bool = True
    low: frozenset[str] = frozenset()
    report: asyncio.Task[None] | None = None


class QuotaClient:
    """Admits requests of customers within their quotas.

    Parameters
    ----------
    call : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections.call`.
    coordinators : callable
        Returns the addresses of the coordinators of a key, in the order in which all
        entries ask them.
    member_count : callable
        Returns the number of storage members.
    entry_count : callable
        Returns the number of other entries that this one knows.
    customers : callable
        Returns the customers of the configuration in force.
    version : callable
        Returns the version of the configuration in force.
    own_address : str
        Address of this entry.
    clock : Clock
        Source of time.
    bounds : QuotaBounds or None
        Allowed excess; None if the deployment has no quotas.
    count : callable
        Counts an event by name and customer.
    """

    def __init__(
        self,
        *,
        call: Callable[..., Awaitable[Any]],
        coordinators: Callable[[str], list[str]],
        member_count: Callable[[], int],
        entry_count: Callable[[], int],
        customers: Callable[[], Iterable[Customer]],
        version: Callable[[], int],
        own_address: str,
        clock: Clock,
        bounds: QuotaBounds | None,
        count: Callable[[str, str], None] = lambda name, customer: None,
    ) -> None:
        self._caller = CoordinatorCaller(
            call=call,
            clock=clock,
            lost_event="quota_coordinator_lost",
            longest_retry_s=LONGEST_RETRY_S,
        )
        self._coordinators = coordinators
        self._member_count = member_count
        self._known_entries = entry_count
        self._customers = customers
        self._version = version
        self._own_address = own_address
        self._clock = clock
        self._bounds = bounds
        self._count = count
        self._started_s = clock.monotonic_s()
        # Distinguishes this process from a former one at the same address.
        self._started = int(clock.time_s() * 1e6)
        self._sequence = 0
        self._uses: dict[str, CustomerUse] = {}
        self._groups: dict[str, _Group] = {}
        # Entries among which coordinators divide limits; 0 until one has replied.
        self._told_entries = 0
        self._seen_version = -1
        # Limited customers of the version in force.
        self._limited: dict[str, Customer] = {}

    def limited_count(self) -> int:
        """Return the number of customers of which this entry refuses requests."""
        now_s = self._clock.monotonic_s()
        return sum(use.refused_until_s > now_s for use in self._uses.values())

    def refused_count(self) -> int:
        """Return the number of requests that this entry has refused."""
        return sum(use.refused for use in self._uses.values())

    async def admit(self, customer: Customer, *, under_way: bool) -> None:
        """Count a request against its customer's quota.

        Waits for a grant if the customer is near its limit.

        Parameters
        ----------
        customer : Customer
            Customer that sent the request.
        under_way : bool
            Whether the request belongs to a program that has begun; new programs are
            refused first.

        Raises
        ------
        RateLimitedError
            The customer is at its limit. The request has not run and never will.
        """
        if self._bounds is None or not customer.is_limited():
            return
        use = self._use(customer)
        group = self._group(customer.name)
        deadline_s = self._clock.monotonic_s() + MAX_WAIT_S
        while not self._try_admit(use, group, under_way=under_way):
            if self._clock.monotonic_s() >= deadline_s:
                self._refuse(use, under_way=under_way)
            use.waiting += 1
            use.waiting_under_way += under_way
            report = self._start_report(group)
            try:
                # Shielded: other requests wait for the same report.
                await asyncio.shield(report)
            finally:
                use.waiting -= 1
                use.waiting_under_way -= under_way
        use.record(self._clock.monotonic_s())
        self._count("quota_admitted", self._label(customer))

    def give_back(self, customer: Customer) -> None:
        """Take back the count of an admitted request that has not run."""
        use = self._uses.get(customer.name)
        if self._bounds is None or use is None:
            return
        use.give_back(self._clock.monotonic_s())
        self._count("quota_given_back", self._label(customer))

    async def report_regularly(self) -> None:
        """Report what was admitted to the coordinators; never returns."""
        while True:
            await self._clock.sleep(TICK_S)
            self._report_due()

    def _report_due(self) -> None:
        if self._bounds is None:
            return
        now_s = self._clock.monotonic_s()
        self._follow_version()
        for name, use in list(self._uses.items()):
            if now_s - use.used_s > USE_EXPIRY_S and not use.waiting:
                del self._uses[name]
        entries = self._entries()
        used_groups = {
            self._key(name) for name, use in self._uses.items() if use.has_news()
        }
        for key in {self._key(name) for name in self._limited} | used_groups:
            group = self._group_of_key(key)
            interval_s = heartbeat_interval_s(entries)
            if key in used_groups:
                interval_s = report_interval_s(entries)
            if now_s - group.sent_s >= interval_s:
                self._start_report(group)

    def _follow_version(self) -> int:
        """Take over the limits of the version in force; return the version."""
        version = self._version()
        if version != self._seen_version:
            self._seen_version = version
            self._limited = {
                customer.name: customer
                for customer in self._customers()
                if customer.is_limited()
            }
            for name, use in self._uses.items():
                use.customer = self._limited.get(name, use.customer)
        return version

    def _label(self, customer: Customer) -> str:
        """Return the customer's name for counters, which are bounded in number."""
        if customer.name not in self._limited or len(self._limited) > MAX_COUNTED:
            return "other"
        return customer.name.replace("\\", "").replace('"', "").replace("\n", "")

    def _entries(self) -> int:
        known = self._known_entries()
        if not known and not self._told_entries:
            return ASSUMED_ENTRIES
        return max(known + 1, self._told_entries)

    def _key(self, customer: str) -> str:
        return group_key(customer, self._member_count())

    def _group(self, customer: str) -> _Group:
        return self._group_of_key(self._key(customer))

    def _group_of_key(self, key: str) -> _Group:
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = _Group(key=key)
        return group

    def _use(self, customer: Customer) -> CustomerUse:
        self._follow_version()
        use = self._uses.get(customer.name)
        if use is None:
            customer = self._limited.get(customer.name, customer)
            use = self._uses[customer.name] = CustomerUse(customer=customer)
        return use

    def _try_admit(self, use: CustomerUse, group: _Group, *, under_way: bool) -> bool:
        """Return whether the request is admitted; raise if it is refused."""
        assert self._bounds is not None
        now_s = self._clock.monotonic_s()
        use.used_s = now_s
        if use.take_granted(now_s, under_way=under_way):
            return True
        if self._may_admit_unasked(use, group, now_s):
            use.unasked_reply = group.replies
            return True
        # A link that fails again and again does not renew the share each time.
        if (
            use.local is not None
            and not group.lost
            and now_s - use.local.began_s > self._bounds.window_s
        ):
            use.local = None
        if group.lost and group.report is None:
            if use.local is None:
                use.local = self._local_share(use, group, now_s)
            if use.local.take(now_s):
                return True
            if group.replies:
                use.expect(now_s + use.local.wait_s())
                self._refuse(use, under_way=under_way)
        refused_until_s = use.refused_until_s
        if under_way:
            refused_until_s = use.refused_under_way_until_s
        if refused_until_s > now_s:
            self._refuse(use, under_way=under_way)
        return False

    def _may_admit_unasked(self, use: CustomerUse, group: _Group, now_s: float) -> bool:
        assert self._bounds is not None
        entries = self._entries()
        customer = use.customer
        return (
            use.unasked_reply != group.replies
            and not group.settling
            and customer.name not in group.low
            and now_s - group.replied_s < FRESH_INTERVALS * report_interval_s(entries)
            and self._bounds.may_admit_unasked(
                customer.rate_per_s, customer.burst, entries
            )
        )

    def _local_share(self, use: CustomerUse, group: _Group, now_s: float) -> LocalShare:
        """Return this entry's equal share of a limit.

        A coordinator takes the same share out of its bucket while it does not hear of
        this entry. Of the bucket, the share is only taken if much of it was left.
        """
        assert self._bounds is not None
        rate_per_s, burst = use.customer.rate_per_s, use.customer.burst
        entries = self._entries()
        depth = max(1.0, self._bounds.depth(rate_per_s, burst) / entries)
        level = 0.0
        if group.replies and use.customer.name not in group.low:
            level = LOCAL_LEVEL_SHARE * depth
            if self._bounds.may_admit_unasked(rate_per_s, burst, entries):
                level = max(1.0, level)
        excess_per_s = self._bounds.excess(rate_per_s, burst) / self._bounds.window_s
        return LocalShare(
            rate_per_s=rate_per_s / entries,
            isolated_rate_per_s=LOCAL_LEVEL_SHARE * excess_per_s / entries,
            depth=depth,
            level=level,
            began_s=now_s,
            updated_s=now_s,
        )

    def _refuse(self, use: CustomerUse, *, under_way: bool) -> None:
        assert self._bounds is not None
        now_s = self._clock.monotonic_s()
        retry_at_s = use.next_retry_s(
            now_s,
            under_way=under_way,
            entries=self._entries(),
            longest_s=self._bounds.window_s,
        )
        use.refused += 1
        self._count("quota_refused", self._label(use.customer))
        customer = use.customer
        raise RateLimitedError(
            f"customer {customer.name} is at its limit of {customer.rate_per_s:g} "
            f"requests/s and a burst of {customer.burst:g}; send the request again "
            "after the given time, or ask the operator for a higher limit",
            outcome="not_run",
            retry_after_ms=int(1000 * max(MIN_RETRY_AFTER_S, retry_at_s - now_s)) + 1,
        )

    def _start_report(self, group: _Group) -> asyncio.Task[None]:
        """Return the task of the next report, which includes what waits now."""
        if group.report is None:
            group.report = asyncio.ensure_future(self._send_report(group))
        return group.report

    async def _send_report(self, group: _Group) -> None:
        try:
            next_s = group.sent_s + urgent_interval_s(self._entries())
            pause_s = next_s - self._clock.monotonic_s()
            if pause_s > 0.0:
                await self._clock.sleep(pause_s)
            group.sent_s = self._clock.monotonic_s()
            await self._ask(group)
        finally:
            group.report = None

    async def _ask(self, group: _Group) -> None:
        sent: dict[str, QuotaItem] = {}

        def request(address: str) -> QuotaReport:
            report = self._report(group, first=address != group.address)
            sent.clear()
            sent.update({item.customer: item for item in report.items})
            return report

        addresses = self._coordinators(group.key)[:MAX_COORDINATORS]
        reply = await self._caller.ask(
            addresses, REPORT_QUOTAS, request, group=group.key
        )
        if reply is None:
            if not group.lost and group.replies:
                log_event(
                    "quota_coordinators_unreachable",
                    group=group.key,
                    entries=self._entries(),
                )
            group.lost = True
            # The next coordinator is told what was admitted in the meantime.
            group.address = ""
            return
        message: QuotaReply = reply.message
        if not message.known:
            # The next report tells what was admitted in the last window.
            group.address = ""
            group.sent_s = -math.inf
            return
        if group.address != reply.address:
            log_event("quota_coordinator", group=group.key, coordinator=reply.address)
        group.address = reply.address
        group.lost = False
        group.replied_s = reply.asked_s
        group.replies += 1
        group.settling = message.settling
        group.low = frozenset(message.low)
        self._told_entries = message.entries
        for grant in message.grants:
            self._apply(grant, sent.get(grant.customer), reply.asked_s, message)

    def _report(self, group: _Group, *, first: bool) -> QuotaReport:
        now_s = self._clock.monotonic_s()
        assert self._bounds is not None
        slots = int(self._bounds.window_s / SLOT_S)
        version = self._follow_version()
        items = []
        for use in self._uses.values():
            if self._key(use.customer.name) != group.key:
                continue
            past = use.past(now_s, slots) if first else []
            if use.has_news() or any(past):
                items.append(use.item(version, now_s, past))
        self._sequence += 1
        return QuotaReport(
            group=group.key,
            entry=self._own_address,
            started=self._started,
            sequence=self._sequence,
            age_s=max(0.0, now_s - self._started_s),
            entries=self._known_entries() + 1,
            first=first,
            items=items,
        )

    def _apply(
        self,
        grant: QuotaGrant,
        item: QuotaItem | None,
        asked_s: float,
        message: QuotaReply,
    ) -> None:
        use = self._uses.get(grant.customer)
        if use is None or item is None:
            return
        use.apply(
            grant,
            item,
            valid_until_s=asked_s + GRANT_VALID_S,
            now_s=self._clock.monotonic_s(),
            settling=message.settling,
        )
