"""Choice of an instance for a request that may crash it."""

from __future__ import annotations

from lentilroad.clock import Clock
from lentilroad.errors import UnavailableError
from lentilroad.membership.crash_evidence import LIKELY_CAUSE_CRASHES
from lentilroad.membership.crash_messages import TrialDecision, TrialReply
from lentilroad.membership.upstreams import UpstreamState
from lentilroad.request.crash_detection import ABANDONED_RUN_S
from lentilroad.request.crash_suspects import CrashSuspects
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.exchange import Exchange
from lentilroad.request.work import PlacementRequest

# Time after which a request is sent again that could not be checked.
UNCHECKED_RETRY_AFTER_MS = 500
# A trial ends at the latest this long after the deadline of its request, when a crash
# by an abandoned run is known.
LEASE_MARGIN_S = 2 * ABANDONED_RUN_S


class InstanceSelector:
    """Acquires an instance for a request and, if it is a suspect, a trial.

    Parameters
    ----------
    dispatcher : Dispatcher
        Chooses instances.
    suspects : CrashSuspects
        Requests that may crash instances.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, *, dispatcher: Dispatcher, suspects: CrashSuspects, clock: Clock
    ) -> None:
        self._dispatcher = dispatcher
        self._suspects = suspects
        self._clock = clock

    async def acquire(
        self, exchange: Exchange, placement: PlacementRequest
    ) -> UpstreamState:
        """Acquire a slot of an instance that may run the request now.

        Raises
        ------
        BannedRequestError
            The request crashes instances.
        UnavailableError, OverloadedError
            No instance can accept the request.
        """
        # Instances that run other suspects at the moment.
        taken: set[str] = set()
        try:
            while True:
                # Raises before the request waits for a slot if it is banned.
                self._needs_trial(exchange)
                placement.remaining_s = (
                    exchange.wait_until_s() - self._clock.monotonic_s()
                )
                state = await self._dispatcher.acquire(placement)
                reply = await self._request_trial(exchange, state)
                if reply is None or reply.decision is TrialDecision.CLEARED:
                    return state
                if reply.decision is TrialDecision.GRANTED:
                    exchange.on_trial = True
                    return state
                self._dispatcher.release(state)
                if (
                    reply.decision is TrialDecision.INSTANCE_TAKEN
                    and self._dispatcher.has_alternative(placement, state)
                ):
                    taken.add(state.instance.instance_id)
                    placement.excluded.add(state.instance.instance_id)
                    continue
                placement.excluded -= taken
                taken.clear()
                self._check_pause(exchange, reply.pause_s)
                await self._clock.sleep(reply.pause_s)
        finally:
            placement.excluded -= taken

    async def _request_trial(
        self, exchange: Exchange, state: UpstreamState
    ) -> TrialReply | None:
        """Request a trial on an acquired instance; None if the request may run.

        A request that was in one crash only is most likely not its cause, and runs
        also while no coordinator is reachable.
        """
        fingerprint = None
        try:
            if not self._needs_trial(exchange):
                return None
            fingerprint = exchange.fingerprint()
            lease_s = exchange.deadline_at_s - self._clock.monotonic_s()
            reply = await self._suspects.acquire_trial(
                fingerprint, state, lease_s + LEASE_MARGIN_S
            )
        except BaseException:
            self._dispatcher.release(state)
            if fingerprint is not None:
                # The trial may have been granted without a reply.
                self._suspects.record_trial_end(fingerprint, state)
            raise
        if reply is not None:
            return reply
        crashes = max(
            exchange.crashed_runs, self._suspects.crash_count(exchange.fingerprint())
        )
        if crashes < LIKELY_CAUSE_CRASHES:
            return None
        self._dispatcher.release(state)
        raise UnavailableError(
            "this request may crash its instance, and no coordinator of crashes is "
            "reachable to check it; send the request again",
            retry_after_ms=UNCHECKED_RETRY_AFTER_MS,
        )

    def _check_pause(self, exchange: Exchange, pause_s: float) -> None:
        """Raise if the request's deadline would pass during a pause."""
        if self._clock.monotonic_s() + pause_s < exchange.wait_until_s():
            return
        raise UnavailableError(
            "instances crashed while this request was running; send it again after "
            "the stated time",
            retry_after_ms=int(1000 * pause_s),
        )

    def _needs_trial(self, exchange: Exchange) -> bool:
        has_crashed = exchange.crashed_runs > 0
        if not self._suspects.has_suspects():
            return has_crashed
        return self._suspects.is_suspect(exchange.fingerprint()) or has_crashed
