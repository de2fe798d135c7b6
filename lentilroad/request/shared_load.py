"""Part of this entry in the slots of services whose callers compete for them.

The entry reports its load to the coordinator of each service and keeps to the allowance
of the reply. See docs/design/shared-load.md.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.membership.load_reports import (
    REPORT_LOAD,
    LoadReply,
    LoadReports,
    ServiceReply,
    ServiceReport,
)
from lentilroad.membership.slot_shares import (
    MIN_ALLOWANCE,
    REPORT_INTERVAL_S,
    SLOT_FACTOR,
    instance_limit,
)
from lentilroad.membership.upstreams import UpstreamDirectory, UpstreamState
from lentilroad.process.events import log_event
from lentilroad.request.service_load import OwnLoad, ServiceLoad

CALL_TIMEOUT_S = 0.25
# A coordinator that did not answer is not asked again for this long, which doubles with
# each failure in a row: each attempt delays the report to the next coordinator.
COORDINATOR_RETRY_S = 1.0
COORDINATOR_RETRY_MAX_S = 4.0
# Members that are asked for one service, in the order in which all entries ask them.
MAX_COORDINATORS = 3
# An entry without work reports this often, so that its allowance does not expire.
IDLE_INTERVAL_S = 1.0
# An allowance is valid for the larger of a time and a number of intervals.
ALLOWANCE_EXPIRY_S = 1.5
ALLOWANCE_EXPIRY_INTERVALS = 5.0
# A request that waits for an allowance although slots are free is reported at once, but
# not earlier than this after the report before.
MIN_REPORT_GAP_S = 0.02
# Slots at single instances that an entry may choose among, for each request of its
# allowance: the free slots nearby may not suffice, while others are too far.
CHOICE_FACTOR = 2.0


@dataclass(slots=True, kw_only=True)
class _View:
    """Latest reply about a service.

    Attributes
    ----------
    own_demand : int
        Requests of this entry, in flight or waiting, at its last report.
    expires_s : float
        Monotonic time until which the allowance is valid.
    """

    load: ServiceLoad
    allowance: int
    interval_s: float
    own_demand: int
    expires_s: float
    expired: bool = False

    def has_unused(self) -> bool:
        """Return whether the entries together asked for less than there is."""
        load = self.load
        demand = load.in_flight + load.waiting_under_way + load.waiting_new
        return demand < SLOT_FACTOR * load.slots

    def may_grow(self) -> bool:
        """Return whether a report of more demand leads to a larger allowance soon."""
        equal_part = SLOT_FACTOR * self.load.slots / max(1, self.load.entries)
        return self.has_unused() or self.own_demand < equal_part


@dataclass(slots=True, kw_only=True)
class _Failure:
    until_s: float
    pause_s: float


class SharedLoad:
    """Load of services at all entries, and the allowances of this one.

    Parameters
    ----------
    call : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections.call`.
    coordinators : callable
        Returns the addresses of a service's coordinators, in the order in which all
        entries ask them.
    other_entries : callable
        Returns the addresses of the other entries.
    competing : callable
        Returns whether callers compete for the slots of a service, by the configuration
        in force. The slots of other services are not shared out.
    directory : UpstreamDirectory
        Instances, whose limits for this entry are updated.
    own_address : str
        Address of this entry.
    clock : Clock
        Source of time.
    random_share : callable
        Returns a random number from 0 to 1, by which parts of slots are rounded.
    """

    def __init__(
        self,
        *,
        call: Callable[..., Awaitable[Any]],
        coordinators: Callable[[str], list[str]],
        other_entries: Callable[[], list[str]],
        competing: Callable[[str], bool],
        directory: UpstreamDirectory,
        own_address: str,
        clock: Clock,
        random_share: Callable[[], float] = random.random,
    ) -> None:
        self._random_share = random_share
        self._call = call
        self._coordinators = coordinators
        self._other_entries = other_entries
        self._competing = competing
        self._directory = directory
        self._own_address = own_address
        self._clock = clock
        self._views: dict[str, _View] = {}
        self._failures: dict[str, _Failure] = {}
        # Completed requests that were reported, by service.
        self._reported_completed: dict[str, int] = {}
        # Monotonic time of the last report, by service.
        self._reported_s: dict[str, float] = {}
        self._sequence = 0
        self._held = asyncio.Event()
        self.reports = 0

    def allowance(self, service: str) -> int | None:
        """Return how many requests may be in flight, or None for no limit.

        There is no limit before the first reply, since nothing is known of the others.
        """
        view = self._views.get(service)
        if view is None or not self._competing(service):
            return None
        if self._clock.monotonic_s() < view.expires_s:
            return view.allowance
        return self._local_share(view)

    def has_unused(self, service: str) -> bool:
        """Return whether all entries together ask for less than there is."""
        view = self._views.get(service)
        if view is None or view.expired or not self._competing(service):
            return False
        return view.has_unused()

    def record_held(self, service: str) -> None:
        """Report soon, since a request waits although it may be entitled to a slot."""
        view = self._views.get(service)
        if view is not None and view.may_grow():
            self._held.set()

    def load(self, service: str) -> ServiceLoad | None:
        """Return the load of a service at all entries, or None if it is not known."""
        view = self._views.get(service)
        if view is None or self._clock.monotonic_s() >= view.expires_s:
            return None
        return view.load

    def total_allowance(self) -> int:
        """Return the sum of the allowances in force."""
        return sum(self.allowance(service) or 0 for service in self._views)

    async def report_regularly(
        self,
        own_loads: Callable[[Callable[[str], bool]], dict[str, OwnLoad]],
        on_change: Callable[[], None],
    ) -> None:
        """Report the load of competing services; never returns.

        Parameters
        ----------
        own_loads : callable
            Returns the load at this entry of the services that the given function
            selects.
        on_change : callable
            Called after allowances or limits at instances changed.
        """
        while True:
            await self._wait_for_report()
            held = self._held.is_set()
            self._held.clear()
            loads = own_loads(self._competing)
            due = {
                name: load
                for name, load in loads.items()
                if held or self._is_due(name, load)
            }
            await self._report(due)
            self._end_former(loads)
            if due:
                on_change()

    async def _wait_for_report(self) -> None:
        """Wait for the interval, or a short time if a request is held back."""
        await self._clock.sleep(MIN_REPORT_GAP_S)
        interval_s = max(
            (view.interval_s for view in self._views.values()),
            default=REPORT_INTERVAL_S,
        )
        try:
            async with asyncio.timeout(interval_s - MIN_REPORT_GAP_S):
                await self._held.wait()
        except TimeoutError:
            return

    def _is_due(self, service: str, load: OwnLoad) -> bool:
        if not load.is_idle():
            return True
        # The end of the last request is reported at once, then the entry is idle.
        if load.completed != self._reported_completed.get(service, 0):
            return True
        since_s = self._clock.monotonic_s() - self._reported_s.get(service, -math.inf)
        return since_s >= IDLE_INTERVAL_S

    async def _report(self, loads: dict[str, OwnLoad]) -> None:
        by_coordinator: dict[str, list[str]] = {}
        failed: set[str] = set()
        remaining = list(loads)
        for _ in range(MAX_COORDINATORS):
            by_coordinator.clear()
            for name in remaining:
                address = self._coordinator(name, failed)
                if address is not None:
                    by_coordinator.setdefault(address, []).append(name)
            if not by_coordinator:
                return
            answered = await asyncio.gather(
                *(
                    self._report_to(address, {name: loads[name] for name in names})
                    for address, names in by_coordinator.items()
                )
            )
            remaining = []
            for (address, names), was_answered in zip(
                by_coordinator.items(), answered, strict=True
            ):
                if not was_answered:
                    failed.add(address)
                    remaining += names

    def _coordinator(self, service: str, failed: set[str]) -> str | None:
        now_s = self._clock.monotonic_s()
        for address in self._coordinators(service)[:MAX_COORDINATORS]:
            failure = self._failures.get(address)
            if address in failed or (failure and failure.until_s > now_s):
                continue
            return address
        return None

    async def _report_to(self, address: str, loads: dict[str, OwnLoad]) -> bool:
        """Report to one member; return whether it answered."""
        self._sequence = max(self._sequence + 1, int(1000 * self._clock.time_s()))
        request = LoadReports(
            entry=self._own_address,
            sequence=self._sequence,
            known_entries=1 + len(self._other_entries()),
            services=[
                ServiceReport(
                    service=name,
                    in_flight=load.in_flight,
                    waiting_under_way=load.waiting_under_way,
                    waiting_new=load.waiting_new,
                    completed=load.completed - self._reported_completed.get(name, 0),
                    slots=load.slots,
                )
                for name, load in loads.items()
            ],
        )
        self.reports += 1
        try:
            reply: LoadReply = await self._call(
                address, REPORT_LOAD, request, timeout_s=CALL_TIMEOUT_S
            )
        except (LentilroadError, TimeoutError) as error:
            self._record_failure(address, error)
            return False
        self._failures.pop(address, None)
        now_s = self._clock.monotonic_s()
        for service_reply in reply.services:
            own = loads.get(service_reply.service)
            if own is None:
                continue
            self._reported_completed[service_reply.service] = own.completed
            self._reported_s[service_reply.service] = now_s
            self._apply(service_reply, own, now_s)
        return True

    def _record_failure(self, address: str, error: Exception) -> None:
        known = self._failures.get(address)
        pause_s = COORDINATOR_RETRY_S
        if known is not None:
            pause_s = min(COORDINATOR_RETRY_MAX_S, 2 * known.pause_s)
        self._failures[address] = _Failure(
            until_s=self._clock.monotonic_s() + pause_s, pause_s=pause_s
        )
        log_event(
            "slot_coordinator_lost",
            coordinator=address,
            not_asked_for_ms=int(1000 * pause_s),
            error=str(error) or type(error).__name__,
        )

    def _apply(self, reply: ServiceReply, own: OwnLoad, now_s: float) -> None:
        former = self._views.get(reply.service)
        if former is not None and former.expired:
            log_event(
                "slot_allowance_regained",
                service=reply.service,
                allowance=reply.allowance,
            )
        allowance = max(MIN_ALLOWANCE, reply.allowance)
        self._views[reply.service] = _View(
            load=ServiceLoad(
                slots=reply.slots,
                in_flight=reply.in_flight,
                waiting_under_way=reply.waiting_under_way,
                waiting_new=reply.waiting_new,
                completed_per_s=reply.completed_per_s,
                entries=reply.entries,
                measured_at_s=now_s,
            ),
            allowance=allowance,
            interval_s=max(REPORT_INTERVAL_S, reply.interval_s),
            own_demand=own.total(),
            expires_s=now_s
            + max(ALLOWANCE_EXPIRY_S, ALLOWANCE_EXPIRY_INTERVALS * reply.interval_s),
        )
        self._limit_instances(reply, own, allowance)

    def _limit_instances(
        self, reply: ServiceReply, own: OwnLoad, allowance: int
    ) -> None:
        """Set this entry's limit at each instance of a service."""
        free = SLOT_FACTOR * reply.slots - reply.in_flight
        wanted = allowance - sum(own.in_flight.values())
        free_share = min(1.0, CHOICE_FACTOR * max(0.0, wanted / max(1.0, free)))
        for state in self._directory.instances(reply.service):
            instance_id = state.instance.instance_id
            in_flight = own.in_flight.get(instance_id, 0)
            limit = instance_limit(
                slots=state.instance.slots,
                total=max(in_flight, reply.in_flight_by_instance.get(instance_id, 0)),
                own=in_flight,
                free_share=free_share,
                random_share=self._random_share(),
            )
            _set_limit(state, limit)

    def _end_limits(self, service: str) -> None:
        for state in self._directory.instances(service):
            _set_limit(state, None)

    def _end_former(self, loads: dict[str, OwnLoad]) -> None:
        """Forget counts that are too old, and services that are no longer shared."""
        now_s = self._clock.monotonic_s()
        for name, view in list(self._views.items()):
            if name not in loads:
                del self._views[name]
                self._end_limits(name)
            elif now_s >= view.expires_s and not view.expired:
                view.expired = True
                self._end_limits(name)
                log_event(
                    "slot_allowance_expired",
                    service=name,
                    allowance=view.allowance,
                    local_share=self._local_share(view),
                )

    def _local_share(self, view: _View) -> int:
        """Return an equal part of the slots, for use while no coordinator answers."""
        entries = max(view.load.entries, 1 + len(self._other_entries()))
        return max(MIN_ALLOWANCE, math.ceil(SLOT_FACTOR * view.load.slots / entries))


def _set_limit(state: UpstreamState, limit: int | None) -> None:
    was_full = state.is_full()
    state.own_limit = limit
    if state.is_full() != was_full:
        state.on_change(state)
