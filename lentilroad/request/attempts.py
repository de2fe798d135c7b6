"""Sending of a request to instances, with failover within the limits of its route."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from lentilroad.clock import Clock
from lentilroad.connection.http_exchange import (
    ExchangeBrokenError,
    HttpConnection,
    ResponseHead,
    refuses_connections,
)
from lentilroad.errors import UnavailableError, UpstreamError
from lentilroad.membership.statements import RateLimit
from lentilroad.membership.upstreams import UpstreamState
from lentilroad.process.events import log_event
from lentilroad.request.const import (
    EXCLUDE_AFTER_FAILURE_S,
    EXCLUDE_MAX_S,
    EXCLUDE_WRONG_INSTANCE_S,
    PROCESS_PROBE_TIMEOUT_S,
    REFUSALS_MAX,
    SERVICE_RETRY_AFTER_MAX_S,
)
from lentilroad.request.crash_detection import CrashDetector, LostRun
from lentilroad.request.crash_suspects import CrashSuspects
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.exchange import Exchange, NotExecutedError, read_response
from lentilroad.request.fingerprints import target_digest
from lentilroad.request.inbound import ResponseFlags, UpstreamProtocol
from lentilroad.request.refusals import StoppingError
from lentilroad.request.trials import InstanceSelector
from lentilroad.request.work import PlacementRequest

T = TypeVar("T")

# Reads a response; receives the connection, the response head, and whether the request
# can still fail over to another instance.
ReadResponse = Callable[[HttpConnection, ResponseHead, bool], Awaitable[T]]

# Statuses that tell callers that the request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class AttemptRunner:
    """Sends requests to instances and decides which failures may be retried.

    Parameters
    ----------
    protocol : UpstreamProtocol
        Encodes requests to upstreams and decodes their responses.
    dispatcher : Dispatcher
        Chooses instances.
    clock : Clock
        Source of time.
    on_unresponsive : callable
        Called with an instance that does not respond to requests.
    on_rate_limit : callable
        Called with an instance that stated another rate limit than before.
    suspects : CrashSuspects
        Requests that may crash the instances that run them.
    """

    def __init__(
        self,
        *,
        protocol: UpstreamProtocol,
        dispatcher: Dispatcher,
        clock: Clock,
        on_unresponsive: Callable[[UpstreamState], None],
        on_rate_limit: Callable[[UpstreamState], None],
        suspects: CrashSuspects,
    ) -> None:
        self._protocol = protocol
        self._dispatcher = dispatcher
        self._clock = clock
        self._on_unresponsive = on_unresponsive
        self._on_rate_limit = on_rate_limit
        self._suspects = suspects
        self._crash_detector = CrashDetector(report=suspects.report_crash, clock=clock)
        self._selector = InstanceSelector(
            dispatcher=dispatcher, suspects=suspects, clock=clock
        )

    async def run(
        self,
        exchange: Exchange,
        placement: PlacementRequest,
        body: bytes,
        read: ReadResponse[T],
    ) -> T:
        """Send a request, with retries, and return the result of `read`.

        Raises
        ------
        UnavailableError, OverloadedError
            No instance can accept the request.
        UpstreamError
            The request may have run without a valid response, and the route does not
            allow sending it again.
        """
        while True:
            state = await self._selector.acquire(exchange, placement)
            exchange.acquired_instance = state
            exchange.termination_probe = None
            exchange.sent_s = None
            self._check_stop(exchange, state)
            can_fail_over = (
                exchange.remaining_sends() > 1
                and self._dispatcher.has_alternative(placement, state)
            )
            try:
                response = await self._send(exchange, state, body, read, can_fail_over)
                self._record_success(exchange, state)
                return response
            except NotExecutedError:
                exchange.refusals += 1
                if exchange.refusals > REFUSALS_MAX:
                    raise
            except asyncio.CancelledError:
                self._record_abandoned_trial(exchange, state)
                raise
            except ExchangeBrokenError as error:
                state.record_outcome(failed=True)
                if error.connection_lost:
                    exchange.termination_probe = self._crash_detector.record_lost_run(
                        state, _lost_run(exchange)
                    )
                elif error.request_written:
                    self._record_abandoned_trial(exchange, state)
                if error.request_written:
                    await self._check_may_resend(exchange, state, error)
                else:
                    self._handle_unreachable(exchange, state, error)
            except UpstreamError:
                state.record_outcome(failed=True)
                if exchange.remaining_sends() <= 0:
                    raise
            finally:
                self._end_trial(exchange, state)
                self.release(exchange)
            placement.excluded.add(state.instance.instance_id)

    def _check_stop(self, exchange: Exchange, state: UpstreamState) -> None:
        """Refuse a request that has not run if this process may end before its answer.

        Another entry can serve it, while the outcome of a run that is cut off here
        would be unknown.
        """
        if not exchange.stops_at_deadline or exchange.possible_runs:
            return
        remaining_s = exchange.deadline_at_s - self._clock.monotonic_s()
        if remaining_s >= state.likely_answer_s():
            return
        self._end_trial(exchange, state)
        self.release(exchange)
        raise StoppingError.for_service(exchange.service)

    def release(self, exchange: Exchange) -> None:
        """Release the slot that a request has acquired, if any."""
        if exchange.acquired_instance is not None:
            self._dispatcher.release(exchange.acquired_instance)
            exchange.acquired_instance = None

    def _record_success(self, exchange: Exchange, state: UpstreamState) -> None:
        """Record that the instance has completed the response."""
        self._suspects.record_success(
            target_digest(exchange.inbound), exchange.fingerprint, state
        )

    def _record_abandoned_trial(self, exchange: Exchange, state: UpstreamState) -> None:
        """Let the trial of a request go on that may still crash the instance."""
        if not exchange.on_trial or exchange.sent_s is None:
            return
        exchange.termination_probe = self._crash_detector.record_abandoned_run(
            state, _lost_run(exchange)
        )

    def _end_trial(self, exchange: Exchange, state: UpstreamState) -> None:
        if not exchange.on_trial:
            return
        exchange.on_trial = False
        self._suspects.record_trial_end(
            exchange.fingerprint(), state, exchange.termination_probe
        )

    def _handle_unreachable(
        self, exchange: Exchange, state: UpstreamState, error: ExchangeBrokenError
    ) -> None:
        self._exclude(state, _exclusion_s(state), str(error))
        exchange.refusals += 1
        if exchange.refusals > REFUSALS_MAX:
            raise UnavailableError(
                f"instances of {exchange.service} cannot be reached; "
                "send the request again",
                retry_after_ms=int(SERVICE_RETRY_AFTER_MAX_S * 1000),
            ) from error

    async def _check_may_resend(
        self, exchange: Exchange, state: UpstreamState, error: ExchangeBrokenError
    ) -> None:
        """Return if a request that may have run may be sent again; raise otherwise."""
        if exchange.remaining_sends() > 0:
            # The crash must be known before the request is sent again.
            if exchange.termination_probe is not None and await asyncio.shield(
                exchange.termination_probe
            ):
                exchange.crashed_runs += 1
            return
        if exchange.route.repeatable() and await _has_terminated(exchange, state):
            exchange.ended_runs += 1
            exchange.crashed_runs += 1
            log_event(
                "upstream_ended",
                request=exchange.inbound.request_id,
                instance=state.instance.instance_id,
            )
            return
        raise UpstreamError(
            f"{exchange.service} did not complete its response ({error})",
            outcome="unknown",
        ) from error

    async def _send(
        self,
        exchange: Exchange,
        state: UpstreamState,
        body: bytes,
        read: ReadResponse[T],
        can_fail_over: bool,
    ) -> T:
        inbound = exchange.inbound
        instance = state.instance
        exchange.instance_id = instance.instance_id
        remaining_s = exchange.deadline_at_s - self._clock.monotonic_s()
        head_bytes = self._protocol.encode(
            inbound, instance.instance_id, remaining_s, body, exchange.after_event
        )
        sent_s = self._clock.monotonic_s()
        log_event(
            "request_sent",
            request=inbound.request_id,
            program=inbound.program_id,
            instance=instance.instance_id,
            service=instance.service,
            in_flight=state.in_flight,
            left_ms=int(remaining_s * 1000),
            send=exchange.sends + 1,
            after_event=exchange.after_event,
            version=exchange.version,
            limit_per_s=state.limit_per_s(),
            leaving=state.leaving_since_s is not None,
        )
        async with state.pool.connection() as connection:
            exchange.sends += 1
            exchange.possible_runs += 1
            exchange.sent_s = self._clock.monotonic_s()
            head = await self._response_head(
                exchange,
                state,
                connection.exchange(
                    head_bytes,
                    body,
                    expects=lambda response_head: self._protocol.matches_request(
                        inbound.request_id, response_head
                    ),
                ),
                can_fail_over=can_fail_over,
            )
            state.pool.record_keep_alive(connection, head)
            await self._check_head(exchange, state, connection, head)
            response = await read(connection, head, can_fail_over)
            state.record_outcome(failed=head.status >= 500)
        state.record_response_time(self._clock.monotonic_s() - sent_s)
        return response

    async def _check_head(
        self,
        exchange: Exchange,
        state: UpstreamState,
        connection: HttpConnection,
        head: ResponseHead,
    ) -> None:
        """Raise if the response is a refusal or must not be forwarded to the caller."""
        flags = self._protocol.read_flags(head)
        self._record_statements(state, flags)
        if not flags.identified and connection.used_before:
            # The response may be a late duplicate for the previous request.
            raise UpstreamError(
                f"{exchange.service} sent a response without a request id on a reused "
                "connection",
                outcome="unknown",
            )
        if flags.not_run:
            exchange.possible_runs -= 1
            log_event(
                "upstream_refused",
                request=exchange.inbound.request_id,
                instance=state.instance.instance_id,
                status=head.status,
            )
            if flags.wrong_instance:
                self._exclude(state, EXCLUDE_WRONG_INSTANCE_S, "wrong instance")
            await read_response(connection, head, self._protocol)
            raise NotExecutedError(
                f"{exchange.service} is at capacity; send the request again",
                retry_after_ms=self._dispatcher.retry_after_ms(exchange.service),
            )
        if head.status in _NOT_RUN_STATUSES:
            # To a caller these statuses state that the request has not run, which is
            # not known here.
            raise UpstreamError(
                f"{exchange.service} responded with status {head.status} without "
                "stating that the request has not run",
                outcome="unknown",
            )
        if 200 <= head.status < 300 and not flags.sealed:
            raise UpstreamError(
                f"{exchange.service} sent a response without a signature",
                outcome="unknown",
            )

    def _record_statements(self, state: UpstreamState, flags: ResponseFlags) -> None:
        """Record what the instance states about itself in a response."""
        # Anything else may come from another process at the same address, or be a late
        # duplicate of an earlier response.
        if flags.wrong_instance or not flags.identified:
            return
        states_limit = flags.rate_limit_per_s is not None
        limit = RateLimit(
            per_s=flags.rate_limit_per_s, stated_at_s=self._clock.monotonic_s()
        )
        for known in self._dispatcher.incarnation_states(state):
            if flags.leaving:
                known.record_leaving(limit.stated_at_s)
            # A response without a limit withdraws an earlier one.
            if not (states_limit or flags.sealed or flags.not_run):
                continue
            if known.record_rate_limit(limit):
                self._on_rate_limit(known)

    async def _response_head(
        self,
        exchange: Exchange,
        state: UpstreamState,
        receive: Awaitable[ResponseHead],
        *,
        can_fail_over: bool,
    ) -> ResponseHead:
        """Wait for the response head and exclude the instance if there is none.

        A request that can fail over to another instance waits only as long as this
        instance usually needs.
        """
        request_id = exchange.inbound.request_id
        sent_s = self._clock.monotonic_s()
        timeout_s = state.response_timeout_s()
        state.record_sent(request_id, sent_s)
        try:
            async with asyncio.timeout(timeout_s if can_fail_over else None):
                head = await receive
        except TimeoutError as error:
            self._exclude_unresponsive(state)
            raise ExchangeBrokenError(
                f"no response within {timeout_s:.3f} s", request_written=True
            ) from error
        except asyncio.CancelledError:
            if self._clock.monotonic_s() - sent_s > timeout_s:
                state.record_outcome(failed=True)
                self._exclude_unresponsive(state)
            raise
        except ExchangeBrokenError as error:
            if not error.request_written:
                exchange.possible_runs -= 1
            raise
        finally:
            state.record_abandoned(request_id)
        state.record_answer(request_id, self._clock.monotonic_s())
        return head

    def _exclude_unresponsive(self, state: UpstreamState) -> None:
        now_s = self._clock.monotonic_s()
        # Exclude and report the instance once, however many requests time out.
        if state.unresponsive(now_s) and state.excluded_until_s <= now_s:
            self._exclude(state, _exclusion_s(state), "no response")
            self._on_unresponsive(state)

    def _exclude(self, state: UpstreamState, for_s: float, reason: str) -> None:
        state.exclude(self._clock.monotonic_s() + for_s)
        log_event(
            "upstream_excluded",
            instance=state.instance.instance_id,
            failures=state.failures,
            for_ms=int(for_s * 1000),
            reason=reason,
        )


def _lost_run(exchange: Exchange) -> LostRun:
    return LostRun(
        fingerprint=exchange.fingerprint(),
        sent_s=exchange.began_s if exchange.sent_s is None else exchange.sent_s,
        on_trial=exchange.on_trial,
    )


async def _has_terminated(exchange: Exchange, state: UpstreamState) -> bool:
    """Return whether the process that ran the request has ended."""
    if state.removed:
        return True
    if exchange.termination_probe is not None:
        # Shielded: other requests wait for the same probe.
        return await asyncio.shield(exchange.termination_probe)
    return await refuses_connections(
        state.instance.address, timeout_s=PROCESS_PROBE_TIMEOUT_S
    )


def _exclusion_s(state: UpstreamState) -> float:
    return min(EXCLUDE_MAX_S, EXCLUDE_AFTER_FAILURE_S * 2**state.failures)
