"""Sends of one request to one instance after another, as far as its route allows."""

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
from lentilroad.membership.upstreams import UpstreamState
from lentilroad.process.events import log_event
from lentilroad.request.const import (
    ENDED_PROBE_TIMEOUT_S,
    EXCLUDE_AFTER_FAILURE_S,
    EXCLUDE_MOST_S,
    EXCLUDE_WRONG_INSTANCE_S,
    MOST_REFUSALS,
    RETRY_AFTER_MOST_S,
)
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.exchange import Exchange, NotExecutedError, read_whole
from lentilroad.request.inbound import UpstreamProtocol
from lentilroad.request.work import Work

T = TypeVar("T")

# Reads an answer; gets the connection, the head, and whether the request may still
# go to another instance.
ReadAnswer = Callable[[HttpConnection, ResponseHead, bool], Awaitable[T]]

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Attempts:
    """Chooses instances for requests, sends to them, and judges what comes back.

    Parameters
    ----------
    protocol : UpstreamProtocol
        How upstreams are spoken to.
    dispatcher : Dispatcher
        Chooses instances.
    clock : Clock
        Source of time.
    on_silent : callable
        Called with an instance that left requests without an answer.
    """

    def __init__(
        self,
        *,
        protocol: UpstreamProtocol,
        dispatcher: Dispatcher,
        clock: Clock,
        on_silent: Callable[[UpstreamState], None],
    ) -> None:
        self._protocol = protocol
        self._dispatcher = dispatcher
        self._clock = clock
        self._on_silent = on_silent

    async def run(
        self, exchange: Exchange, work: Work, body: bytes, read: ReadAnswer[T]
    ) -> T:
        """Return what `read` makes of the answer.

        Raises
        ------
        UnavailableError, OverloadedError
            No instance can take the request.
        UpstreamError
            The answer is none, and the request may not be sent again.
        """
        while True:
            work.left_s = exchange.due_s - self._clock.monotonic_s()
            state = await self._dispatcher.acquire(work)
            exchange.held = state
            movable = exchange.sends_left() > 1 and self._dispatcher.has_other(
                work, state
            )
            try:
                return await self._send(exchange, state, body, read, movable)
            except NotExecutedError:
                exchange.refusals += 1
                if exchange.refusals > MOST_REFUSALS:
                    raise
            except ExchangeBrokenError as error:
                state.note_outcome(failed=True)
                if error.request_written:
                    await self._check_repeatable(exchange, state, error)
                else:
                    self._note_unreachable(exchange, state, error)
            except UpstreamError:
                state.note_outcome(failed=True)
                if exchange.sends_left() <= 0:
                    raise
            finally:
                self.release(exchange)
            work.excluded.add(state.instance.instance_id)

    def release(self, exchange: Exchange) -> None:
        """Give the place back that a request holds, if any."""
        if exchange.held is not None:
            self._dispatcher.release(exchange.held)
            exchange.held = None

    def _note_unreachable(
        self, exchange: Exchange, state: UpstreamState, error: ExchangeBrokenError
    ) -> None:
        self._exclude(state, _exclusion_s(state), str(error))
        exchange.refusals += 1
        if exchange.refusals > MOST_REFUSALS:
            raise UnavailableError(
                f"{exchange.service} cannot be reached; send it again",
                retry_after_ms=int(RETRY_AFTER_MOST_S * 1000),
            ) from error

    async def _check_repeatable(
        self, exchange: Exchange, state: UpstreamState, error: ExchangeBrokenError
    ) -> None:
        """Return if a request that may have run may be sent once more."""
        if exchange.sends_left() > 0:
            return
        if exchange.route.repeatable() and await self._has_ended(state):
            exchange.ended_runs += 1
            log_event(
                "upstream_ended",
                request=exchange.inbound.request_id,
                instance=state.instance.instance_id,
            )
            return
        raise UpstreamError(
            f"{exchange.service} broke off its answer ({error})", outcome="unknown"
        ) from error

    async def _has_ended(self, state: UpstreamState) -> bool:
        return state.gone or await refuses_connections(
            state.instance.address, timeout_s=ENDED_PROBE_TIMEOUT_S
        )

    async def _send(
        self,
        exchange: Exchange,
        state: UpstreamState,
        body: bytes,
        read: ReadAnswer[T],
        movable: bool,
    ) -> T:
        inbound = exchange.inbound
        instance = state.instance
        exchange.instance_id = instance.instance_id
        left_s = exchange.due_s - self._clock.monotonic_s()
        head_bytes = self._protocol.encode(
            inbound, instance.instance_id, left_s, body, exchange.after_event
        )
        sent_s = self._clock.monotonic_s()
        log_event(
            "request_sent",
            request=inbound.request_id,
            program=inbound.program_id,
            instance=instance.instance_id,
            service=instance.service,
            in_flight=state.in_flight,
            left_ms=int(left_s * 1000),
            send=exchange.sends + 1,
            after_event=exchange.after_event,
            version=exchange.version,
        )
        async with state.pool.connection() as connection:
            exchange.sends += 1
            exchange.possible_runs += 1
            head = await self._response_head(
                exchange,
                state,
                connection.exchange(
                    head_bytes,
                    body,
                    expects=lambda found: self._protocol.belongs(
                        inbound.request_id, found
                    ),
                ),
                movable=movable,
            )
            state.pool.record_keep_alive(connection, head)
            await self._check_head(exchange, state, connection, head)
            answer = await read(connection, head, movable)
            state.note_outcome(failed=head.status >= 500)
        state.note_response(self._clock.monotonic_s() - sent_s)
        return answer

    async def _check_head(
        self,
        exchange: Exchange,
        state: UpstreamState,
        connection: HttpConnection,
        head: ResponseHead,
    ) -> None:
        """Raise if the answer is a refusal, or cannot be passed on."""
        facts = self._protocol.facts(head)
        if facts.not_run:
            exchange.possible_runs -= 1
            log_event(
                "upstream_refused",
                request=exchange.inbound.request_id,
                instance=state.instance.instance_id,
                status=head.status,
            )
            if facts.wrong_instance:
                self._exclude(state, EXCLUDE_WRONG_INSTANCE_S, "wrong instance")
            await read_whole(connection, head, self._protocol)
            raise NotExecutedError(
                f"{exchange.service} is full; send it again",
                retry_after_ms=self._dispatcher.retry_after_ms(exchange.service),
            )
        if head.status in _NOT_RUN_STATUSES:
            # To a caller these statuses would promise that nothing has run.
            raise UpstreamError(
                f"{exchange.service} answered {head.status} without stating that "
                "it has not run the request",
                outcome="unknown",
            )
        if 200 <= head.status < 300 and not facts.sealed:
            raise UpstreamError(
                f"{exchange.service} sent an answer without a signature",
                outcome="unknown",
            )
        if not facts.identified and connection.used_before:
            # It may be a late second answer to the request before.
            raise UpstreamError(
                f"{exchange.service} sent an answer that names no request on a "
                "connection that was used before",
                outcome="unknown",
            )

    async def _response_head(
        self,
        exchange: Exchange,
        state: UpstreamState,
        receive: Awaitable[ResponseHead],
        *,
        movable: bool,
    ) -> ResponseHead:
        """Wait for the first bytes of an answer, and note their absence.

        A request that may go to another instance waits only as long as answers of
        this one usually take.
        """
        request_id = exchange.inbound.request_id
        sent_s = self._clock.monotonic_s()
        patience_s = state.patience_s()
        state.note_sent(request_id, sent_s)
        try:
            async with asyncio.timeout(patience_s if movable else None):
                head = await receive
        except TimeoutError as error:
            self._exclude_silent(state)
            raise ExchangeBrokenError(
                f"no answer within {patience_s:.3f} s", request_written=True
            ) from error
        except asyncio.CancelledError:
            if self._clock.monotonic_s() - sent_s > patience_s:
                state.note_outcome(failed=True)
                self._exclude_silent(state)
            raise
        except ExchangeBrokenError as error:
            if not error.request_written:
                exchange.possible_runs -= 1
            raise
        finally:
            state.note_given_up(request_id)
        state.note_answer(request_id, self._clock.monotonic_s())
        return head

    def _exclude_silent(self, state: UpstreamState) -> None:
        now_s = self._clock.monotonic_s()
        # Of several requests that wait in vain, the first one is enough.
        if state.silent(now_s) and state.excluded_until_s <= now_s:
            self._exclude(state, _exclusion_s(state), "no answer")
            self._on_silent(state)

    def _exclude(self, state: UpstreamState, for_s: float, reason: str) -> None:
        state.exclude(self._clock.monotonic_s() + for_s)
        log_event(
            "upstream_excluded",
            instance=state.instance.instance_id,
            failures=state.failures,
            for_ms=int(for_s * 1000),
            reason=reason,
        )


def _exclusion_s(state: UpstreamState) -> float:
    return min(EXCLUDE_MOST_S, EXCLUDE_AFTER_FAILURE_S * 2**state.failures)
