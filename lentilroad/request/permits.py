"""Permits of an entry for requests to instances that stated a rate limit."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from lentilroad.clock import Clock
from lentilroad.membership.rate_limits import (
    ACQUIRE_PERMITS,
    COORDINATOR_SHARES,
    PermitReply,
    PermitRequest,
)
from lentilroad.membership.statements import Permits, RateLimit
from lentilroad.membership.upstreams import UpstreamInstance, UpstreamState
from lentilroad.membership.wait_order import MIN_PAUSE_S
from lentilroad.process.events import log_event
from lentilroad.request.coordinators import CoordinatorCaller

# A permit is used at once; this bounds the wait of requests that share one call.
PERMIT_VALID_S = 0.25
# An instance whose coordinators are all unreachable gets no requests for this long.
UNREACHABLE_PAUSE_S = 0.5


class PermitClient:
    """Obtains permits from the coordinators of limited instances.

    Parameters
    ----------
    call : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections.call`.
    coordinators : callable
        Returns the addresses of an instance's coordinators, in the order in which all
        entries ask them.
    own_address : str
        Address of this entry.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        call: Callable[..., Awaitable[Any]],
        coordinators: Callable[[UpstreamInstance], list[str]],
        own_address: str,
        clock: Clock,
    ) -> None:
        self._caller = CoordinatorCaller(
            call=call, clock=clock, lost_event="rate_limit_coordinator_lost"
        )
        self._coordinators = coordinators
        self._own_address = own_address
        self._clock = clock
        self._reports: set[asyncio.Task[None]] = set()

    async def take(self, state: UpstreamState) -> bool:
        """Take a permit for one request; False if the instance is paused instead."""
        if state.permits is None:
            state.permits = Permits()
        permits = state.permits
        permits.requested += 1
        try:
            # Requests that arrive during a call share the next one.
            async with permits.lock:
                if self._take_available(state, permits):
                    return True
                if state.paused_until_s <= self._clock.monotonic_s():
                    await self._acquire(state, wanted=permits.requested)
                return self._take_available(state, permits)
        finally:
            permits.requested -= 1

    def report(self, state: UpstreamState) -> None:
        """Report a changed limit to the coordinator in the background."""
        task = asyncio.ensure_future(self._acquire(state, wanted=0))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)

    def _take_available(self, state: UpstreamState, permits: Permits) -> bool:
        if state.limit_per_s() is None:
            return True
        return permits.take(self._clock.monotonic_s())

    async def _acquire(self, state: UpstreamState, *, wanted: int) -> None:
        coordinators = self._coordinators(state.instance)[: len(COORDINATOR_SHARES)]
        reply = await self._caller.ask(
            coordinators,
            ACQUIRE_PERMITS,
            lambda address: self._request(state, wanted),
            instance=state.instance.instance_id,
        )
        if reply is not None:
            # Counted back from the start of the call, so that an older statement does
            # not seem newer than one that arrived during the call.
            state.record_rate_limit(
                RateLimit(
                    per_s=reply.message.limit_per_s,
                    stated_at_s=reply.asked_s - reply.message.age_s,
                )
            )
            if wanted:
                self._apply(state, reply.message)
            return
        if wanted:
            self._pause(
                state,
                pause_s=UNREACHABLE_PAUSE_S,
                expected_wait_s=UNREACHABLE_PAUSE_S,
                reason="no coordinator is reachable",
            )

    def _request(self, state: UpstreamState, wanted: int) -> PermitRequest:
        instance = state.instance
        known = state.rate_limit
        now_s = self._clock.monotonic_s()
        return PermitRequest(
            instance_id=instance.instance_id,
            started_ms=instance.started_ms,
            availability_zone=instance.availability_zone,
            entry=self._own_address,
            limit_per_s=state.limit_per_s(),
            age_s=now_s - known.stated_at_s if known is not None else now_s,
            wanted=wanted,
        )

    def _apply(self, state: UpstreamState, reply: PermitReply) -> None:
        if state.permits is None or state.limit_per_s() is None:
            return
        state.share_per_s = reply.share_per_s
        if reply.granted:
            now_s = self._clock.monotonic_s()
            state.permits.add(reply.granted, now_s + PERMIT_VALID_S)
            return
        self._pause(
            state,
            pause_s=max(MIN_PAUSE_S, reply.pause_s),
            expected_wait_s=reply.expected_wait_s,
            reason="limit reached",
        )

    def _pause(
        self,
        state: UpstreamState,
        *,
        pause_s: float,
        expected_wait_s: float,
        reason: str,
    ) -> None:
        log_event(
            "upstream_paused",
            instance=state.instance.instance_id,
            limit_per_s=state.limit_per_s(),
            share_per_s=state.share_per_s,
            for_ms=int(pause_s * 1000),
            permit_in_ms=int(expected_wait_s * 1000),
            reason=reason,
        )
        now_s = self._clock.monotonic_s()
        state.pause(now_s + pause_s, permit_expected_s=now_s + expected_wait_s)
