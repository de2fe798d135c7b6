"""Comparison of the copies of the store's lists between processes.

A few coordinators read the store all the time. Each other process compares its copies
with a coordinator several times a second, which costs a short message between two
processes instead of a call to the store, and receives the changes that it lacks.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.membership.list_copy import ListCopy
from lentilroad.membership.list_messages import (
    COMPARE_LISTS,
    ListChanges,
    ListComparison,
)
from lentilroad.process.events import log_event

COMPARE_INTERVAL_S = 0.5
COMPARE_TIMEOUT_S = 0.4
# A copy that was not compared with the store for longer may be behind; the process
# then reads the store itself. A coordinator's copies are up to 0.5 s old, 0.9 s while
# the store is slow, and another process asks it twice a second.
MAX_AGE_S = 1.5
# A coordinator that did not answer is asked last for this time.
UNREACHABLE_FOR_S = 2.0
# A change reaches most processes at the same time from the store; a process that is
# still behind after this time receives it from others.
PUSH_AFTER_S = 0.3
# Ends of outages that are reported within this time of each other are the same one.
SAME_OUTAGE_S = 1.0
# The end of an outage is of no use to others after this time.
RECENT_OUTAGE_S = 2.0
# A process whose copies were compared more recently was the only one without the store.
MIN_OUTAGE_AGE_S = 1.0


class ListExchange:
    """Compares the copies of this process with those of others.

    Parameters
    ----------
    copies : iterable of ListCopy
        Copies of this process.
    call : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections.call`.
    coordinators : callable
        Returns the addresses of the coordinators, nearest first.
    own_address : str
        Address at which other processes reach this one.
    clock : Clock
        Source of time.
    on_outage_end : callable, optional
        Called before changes are applied, when this or another process has reached the
        store again after an outage in which leases may have expired. Receives the
        monotonic time at which the outage ended.
    """

    def __init__(
        self,
        *,
        copies: Iterable[ListCopy],
        call: Callable[..., Awaitable[Any]],
        coordinators: Callable[[], list[str]],
        own_address: str,
        clock: Clock,
        on_outage_end: Callable[[float], None] | None = None,
    ) -> None:
        self.copies = {copy.name: copy for copy in copies}
        self._call = call
        self._coordinators = coordinators
        self._own_address = own_address
        self._clock = clock
        self._on_outage_end = on_outage_end
        self._outage_ended_at_s = float("-inf")
        # Monotonic times until which coordinators count as unreachable.
        self._unreachable_until_s: dict[str, float] = {}

    def is_coordinator(self) -> bool:
        """Return whether this process reads the store for others."""
        return self._own_address in self._coordinators()

    def required_copies(self) -> list[ListCopy]:
        """Return the copies that have to be current: a coordinator's all have to."""
        if self.is_coordinator():
            return list(self.copies.values())
        return [copy for copy in self.copies.values() if copy.is_used]

    def oldest_age_s(self) -> float:
        """Return the longest time since a required copy was compared with the store."""
        return max((copy.age_s() for copy in self.required_copies()), default=0.0)

    def record_outage_end(self, ended_at_s: float) -> None:
        """Record that the store was reached again after an outage.

        Must be called before the copies are confirmed.
        """
        if ended_at_s - self._outage_ended_at_s < SAME_OUTAGE_S:
            return
        if self.oldest_age_s() < MIN_OUTAGE_AGE_S:
            return
        self._outage_ended_at_s = ended_at_s
        if self._on_outage_end is not None:
            self._on_outage_end(ended_at_s)

    async def receive(self, request: ListComparison) -> ListComparison:
        """Handle `COMPARE_LISTS`: learn from the sender and return what it lacks."""
        self._merge(request, received_at_s=self._clock.monotonic_s(), source="peer")
        changes = []
        for state in request.states:
            copy = self.copies.get(state.name)
            missing = copy.changes_for(state) if copy is not None else None
            if missing is not None:
                changes.append(missing)
        return self._comparison(changes)

    async def compare_regularly(self) -> None:
        """Compare the copies with a coordinator's several times a second."""
        while True:
            await self._clock.sleep(COMPARE_INTERVAL_S)
            await self.compare()

    async def compare(self) -> None:
        """Ask the coordinators one after the other until one has recent knowledge."""
        now_s = self._clock.monotonic_s()
        nearest_reachable_first = sorted(
            self._coordinators(),
            key=lambda address: self._unreachable_until_s.get(address, 0.0) > now_s,
        )
        for coordinator in nearest_reachable_first:
            if coordinator == self._own_address:
                continue
            if await self._compare_with(coordinator):
                return

    async def _compare_with(self, coordinator: str) -> bool:
        """Compare with one coordinator; return whether its copies are recent."""
        reply = await self._send(coordinator, self._comparison([]))
        if reply is None:
            return False
        missing = [
            changes
            for state in reply.states
            if (copy := self.copies.get(state.name)) is not None
            and self._clock.monotonic_s() - copy.changed_at_s > PUSH_AFTER_S
            and (changes := copy.changes_for(state)) is not None
        ]
        if missing:
            await self._send(coordinator, self._comparison(missing))
        required = {copy.name for copy in self.required_copies()}
        ages_s = [state.age_s for state in reply.states if state.name in required]
        return len(ages_s) == len(required) and max(ages_s, default=0.0) < MAX_AGE_S

    async def _send(
        self, coordinator: str, comparison: ListComparison
    ) -> ListComparison | None:
        sent_at_s = self._clock.monotonic_s()
        try:
            reply: ListComparison = await self._call(
                coordinator, COMPARE_LISTS, comparison, timeout_s=COMPARE_TIMEOUT_S
            )
        except (LentilroadError, TimeoutError) as error:
            if coordinator not in self._unreachable_until_s:
                log_event(
                    "list_coordinator_lost", coordinator=coordinator, error=str(error)
                )
            self._unreachable_until_s[coordinator] = (
                self._clock.monotonic_s() + UNREACHABLE_FOR_S
            )
            return None
        if self._unreachable_until_s.pop(coordinator, None) is not None:
            log_event("list_coordinator_regained", coordinator=coordinator)
        self._merge(reply, received_at_s=sent_at_s, source=coordinator)
        return reply

    def _comparison(self, changes: list[ListChanges]) -> ListComparison:
        outage_ended_s = self._clock.monotonic_s() - self._outage_ended_at_s
        return ListComparison(
            states=[copy.state() for copy in self.copies.values()],
            changes=changes,
            outage_ended_s=outage_ended_s if outage_ended_s < RECENT_OUTAGE_S else None,
        )

    def _merge(
        self, comparison: ListComparison, *, received_at_s: float, source: str
    ) -> None:
        if comparison.outage_ended_s is not None:
            self.record_outage_end(received_at_s - comparison.outage_ended_s)
        for changes in comparison.changes:
            copy = self.copies.get(changes.name)
            if copy is not None:
                copy.receive(changes, received_at_s=received_at_s, source=source)
        for state in comparison.states:
            copy = self.copies.get(state.name)
            if copy is not None:
                copy.compare(state, received_at_s=received_at_s)
