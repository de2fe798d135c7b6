"""Requests of callers, from the first byte to the end of the answer."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from lentilroad.clock import Clock
from lentilroad.connection.http_exchange import (
    ExchangeBrokenError,
    Header,
    HttpConnection,
    ResponseHead,
)
from lentilroad.conversation.turns import Turns
from lentilroad.errors import (
    BudgetExhaustedError,
    DeadlineExceededError,
    InvalidRequestError,
    LentilroadError,
    NotFoundError,
    OverloadedError,
    RequestTooLargeError,
    UnavailableError,
    UpstreamError,
)
from lentilroad.membership.upstreams import UpstreamState
from lentilroad.process.events import log_event
from lentilroad.process.telemetry import Telemetry
from lentilroad.request.const import (
    DEADLINE_MARGIN_S,
    EXCLUDE_AFTER_FAILURE_S,
    EXCLUDE_MOST_S,
    EXCLUDE_WRONG_INSTANCE_S,
    MOST_REFUSALS,
    RETRY_AFTER_MOST_S,
)
from lentilroad.request.dispatch import Dispatcher, Work
from lentilroad.request.inbound import InboundRequest, UpstreamProtocol
from lentilroad.version.routes import Route, RouteKind, RouteTable

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

Decode = Callable[[str, str, tuple[Header, ...], bytes], InboundRequest]


class Opening(Protocol):
    """Waits until the process has read what it needs."""

    def __call__(self, *, turns: bool) -> Awaitable[None]:
        """Return when requests can be served, or will not be soon."""


class NotExecutedError(LentilroadError):
    """The instance states that it has not run the request."""

    code = "not_executed"
    http_status = 503


@dataclass(slots=True, kw_only=True)
class _Exchange:
    """One request under way."""

    inbound: InboundRequest
    route: Route
    service: str
    version: int
    due_s: float
    began_s: float
    request: web.BaseRequest
    # Requests written to instances, and those of them without proof of not running.
    sends: int = 0
    possible_runs: int = 0
    # Instances that stated that they have not run it, or could not be reached.
    refusals: int = 0
    instance_id: str = ""
    held: UpstreamState | None = None
    # Whether bytes of an answer were written; nothing else may follow them.
    started: bool = False


@dataclass(slots=True, kw_only=True)
class _WholeAnswer:
    status: int
    headers: list[Header]
    body: bytes


class Ingress:
    """Handler of callers' requests.

    Parameters
    ----------
    table : callable
        Returns the `RouteTable` in force, or None before one is known.
    decode : callable
        Decodes a request; raises `InvalidRequestError`.
    protocol : UpstreamProtocol
        How upstreams are spoken to.
    dispatcher : Dispatcher
        Chooses instances.
    turns : Turns
        Conversations and budgets.
    clock : Clock
        Source of time.
    telemetry : Telemetry
        Counters and histograms.
    stopping : callable
        Returns whether the process is about to stop.
    opening : callable
        Waits, for a bounded time after the start, until requests can be served;
        ``turns`` tells whether conversations are needed.
    on_silent : callable
        Called with an instance that left requests without an answer.
    """

    def __init__(
        self,
        *,
        table: Callable[[], RouteTable | None],
        decode: Decode,
        protocol: UpstreamProtocol,
        dispatcher: Dispatcher,
        turns: Turns,
        clock: Clock,
        telemetry: Telemetry,
        stopping: Callable[[], bool],
        opening: Opening,
        on_silent: Callable[[UpstreamState], None],
    ) -> None:
        self._table = table
        self._decode = decode
        self._protocol = protocol
        self._dispatcher = dispatcher
        self._turns = turns
        self._clock = clock
        self._telemetry = telemetry
        self._stopping = stopping
        self._opening = opening
        self._on_silent = on_silent
        self._random = random.Random()
        self._numbers = itertools.count()
        self.open_requests = 0
        self.busy_connections: set[object] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.open_requests += 1
        self.busy_connections.add(request.protocol)
        began_s = self._clock.monotonic_s()
        try:
            return await self._answer(request, began_s)
        finally:
            self.open_requests -= 1
            self.busy_connections.discard(request.protocol)

    async def _answer(
        self, request: web.BaseRequest, began_s: float
    ) -> web.StreamResponse:
        request_id = ""
        exchange: _Exchange | None = None
        try:
            await self._opening(turns=False)
            table = self._table()
            if table is None:
                raise UnavailableError(
                    "no configuration is known yet; send it again",
                    retry_after_ms=int(RETRY_AFTER_MOST_S * 1000),
                )
            body = await _read_body(request, table.limits.body_bytes)
            inbound = self._decode(
                request.method, request.raw_path, request.raw_headers, body
            )
            request_id = inbound.request_id
            exchange = self._route(table, inbound, request, began_s)
            if exchange.route.keeps_conversation:
                await self._opening(turns=True)
            return await self._serve(exchange)
        except LentilroadError as error:
            if exchange is not None and exchange.started:
                await self._break_off(exchange, error)
            return self._refuse(request, request_id, error, began_s)
        except HttpProcessingError as error:
            return self._refuse(
                request,
                request_id,
                InvalidRequestError(f"the request cannot be read ({error})"),
                began_s,
            )
        except asyncio.CancelledError:
            # aiohttp cancels the handler when the caller's connection is lost.
            log_event(
                "caller_left",
                request=request_id,
                instance=exchange.instance_id if exchange is not None else "",
                sends=exchange.sends if exchange is not None else 0,
                started=exchange is not None and exchange.started,
                elapsed_ms=self._elapsed_ms(began_s),
            )
            self._telemetry.count("callers_left")
            raise

    def _route(
        self,
        table: RouteTable,
        inbound: InboundRequest,
        request: web.BaseRequest,
        began_s: float,
    ) -> _Exchange:
        path = inbound.target.partition("?")[0]
        route = table.match(inbound.host, path)
        if route is None:
            raise NotFoundError(
                f"version {table.version} has no route for {inbound.host}{path}; "
                "check the address"
            )
        left_s = min(route.timeout_s, inbound.deadline_s or route.timeout_s)
        return _Exchange(
            inbound=inbound,
            route=route,
            service=_pick(route.services, self._random),
            version=table.version,
            due_s=began_s + left_s - DEADLINE_MARGIN_S,
            began_s=began_s,
            request=request,
        )

    async def _serve(self, exchange: _Exchange) -> web.StreamResponse:
        left_s = exchange.due_s - self._clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                if exchange.route.kind is not RouteKind.STREAMING:
                    return await self._serve_call(exchange)
                if exchange.route.keeps_conversation:
                    return await self._serve_turn(exchange)
                return await self._serve_stream(exchange, exchange.inbound.body, None)
        except TimeoutError as error:
            if exchange.possible_runs:
                raise DeadlineExceededError(
                    f"{exchange.service} did not answer in time", outcome="unknown"
                ) from error
            raise OverloadedError(
                f"no instance of {exchange.service} was free in time; send it again",
                retry_after_ms=self._dispatcher.retry_after_ms(exchange.service),
            ) from error

    async def _serve_call(self, exchange: _Exchange) -> web.StreamResponse:
        answer = await self._attempt_all(
            exchange,
            exchange.inbound.body,
            repeatable=exchange.route.kind is RouteKind.IDEMPOTENT,
            read=lambda connection, head: self._read_whole(connection, head),
        )
        self._finish(exchange, answer.status)
        return self._whole_response(answer)

    async def _serve_turn(self, exchange: _Exchange) -> web.StreamResponse:
        inbound = exchange.inbound
        async with self._turns.begin(
            inbound, exchange.route.retention_s, self._event_tokens(exchange)
        ) as turn:
            return await self._serve_stream(exchange, turn.body, turn)

    async def _serve_stream(
        self, exchange: _Exchange, body: bytes, turn: object
    ) -> web.StreamResponse:
        answer = await self._attempt_all(
            exchange,
            body,
            repeatable=False,
            read=lambda connection, head: self._relay(exchange, connection, head, turn),
            preferred=turn.preferred_instance if turn is not None else "",
            history_tokens=exchange.inbound.prompt_tokens,
        )
        self._finish(exchange, answer.status)
        if isinstance(answer, _WholeAnswer):
            return self._whole_response(answer)
        return answer

    def _event_tokens(self, exchange: _Exchange) -> int:
        table = self._table()
        service = table.services.get(exchange.service) if table is not None else None
        if service is None or service.engine is None:
            return 1
        return service.engine.tokens_per_event

    async def _attempt_all(
        self,
        exchange: _Exchange,
        body: bytes,
        *,
        repeatable: bool,
        read: Callable,
        preferred: str = "",
        history_tokens: int = 0,
    ) -> object:
        """Send to one instance after another, as far as the route's kind allows."""
        work = Work(
            service=exchange.service,
            rank=self._rank(exchange),
            left_s=0.0,
            prompt_parts=exchange.inbound.prompt_parts,
            history_tokens=history_tokens,
            preferred=preferred,
            affinity_key=(
                exchange.inbound.affinity_key if exchange.route.sticky else ""
            ),
        )
        while True:
            work.left_s = exchange.due_s - self._clock.monotonic_s()
            state = await self._acquire(exchange, work)
            exchange.held = state
            movable = (
                repeatable
                and self._sends_left(exchange) > 1
                and self._dispatcher.has_other(work, state)
            )
            try:
                return await self._attempt(exchange, state, body, read, movable)
            except NotExecutedError:
                exchange.refusals += 1
                if exchange.refusals > MOST_REFUSALS:
                    raise
            except ExchangeBrokenError as error:
                state.note_outcome(failed=True)
                if not error.request_written:
                    self._exclude(state, _exclusion_s(state), str(error))
                if not error.request_written:
                    exchange.refusals += 1
                    if exchange.refusals > MOST_REFUSALS:
                        raise UnavailableError(
                            f"{exchange.service} cannot be reached; send it again",
                            retry_after_ms=int(RETRY_AFTER_MOST_S * 1000),
                        ) from error
                elif not repeatable or self._sends_left(exchange) <= 0:
                    raise UpstreamError(
                        f"{exchange.service} broke off its answer",
                        outcome="unknown",
                    ) from error
            except UpstreamError:
                state.note_outcome(failed=True)
                if not repeatable or self._sends_left(exchange) <= 0:
                    raise
            finally:
                self._release(exchange)
            work.excluded.add(state.instance.instance_id)

    async def _acquire(self, exchange: _Exchange, work: Work) -> UpstreamState:
        try:
            return await self._dispatcher.acquire(work)
        except (UnavailableError, OverloadedError) as error:
            if exchange.possible_runs == 0:
                raise
            # A refusal would promise that the sends before have not run.
            raise UpstreamError(
                f"{exchange.service} did not answer, and no other instance is free",
                outcome="unknown",
            ) from error

    def _release(self, exchange: _Exchange) -> None:
        if exchange.held is not None:
            self._dispatcher.release(exchange.held)
            exchange.held = None

    def _sends_left(self, exchange: _Exchange) -> int:
        return exchange.route.attempts - exchange.possible_runs

    async def _attempt(
        self,
        exchange: _Exchange,
        state: UpstreamState,
        body: bytes,
        read: Callable,
        movable: bool,
    ) -> object:
        inbound = exchange.inbound
        instance = state.instance
        exchange.instance_id = instance.instance_id
        left_s = exchange.due_s - self._clock.monotonic_s()
        head_bytes = self._protocol.encode(inbound, instance.instance_id, left_s, body)
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
            state.pool.note_keep_alive(connection, head)
            facts = self._protocol.facts(head)
            if facts.not_run:
                exchange.possible_runs -= 1
                await self._read_whole(connection, head)
                if facts.wrong_instance:
                    self._exclude(state, EXCLUDE_WRONG_INSTANCE_S, "wrong instance")
                log_event(
                    "upstream_refused",
                    request=inbound.request_id,
                    instance=instance.instance_id,
                    status=head.status,
                )
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
            answer = await read(connection, head)
            state.note_outcome(failed=head.status >= 500)
        state.note_response(self._clock.monotonic_s() - sent_s)
        return answer

    async def _response_head(
        self,
        exchange: _Exchange,
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

    async def _read_whole(
        self, connection: HttpConnection, head: ResponseHead
    ) -> _WholeAnswer:
        body = bytearray()
        while chunk := await connection.next_chunk():
            body += chunk
        return _WholeAnswer(
            status=head.status,
            headers=self._protocol.forwarded(head),
            body=bytes(body),
        )

    async def _relay(
        self,
        exchange: _Exchange,
        connection: HttpConnection,
        head: ResponseHead,
        turn: object,
    ) -> object:
        """Pass events on as they arrive; the end waits until the turn is stored."""
        if not 200 <= head.status < 300:
            return await self._read_whole(connection, head)
        response = web.StreamResponse(status=head.status)
        response.headers.clear()
        for name, value in self._protocol.forwarded(head):
            response.headers.add(name.decode("latin-1"), value.decode("latin-1"))
        if self._stopping():
            response.force_close()
        response.enable_chunked_encoding()
        while chunk := await connection.next_chunk():
            if not exchange.started:
                self._telemetry.observe(
                    "first_event_s", self._clock.monotonic_s() - exchange.began_s
                )
                exchange.started = True
                await response.prepare(exchange.request)
            if turn is not None:
                turn.feed(chunk)
            await response.write(chunk)
        if not exchange.started:
            exchange.started = True
            await response.prepare(exchange.request)
        # The instance is done; the caller alone waits for the turn's record.
        self._release(exchange)
        if turn is not None:
            await turn.store(exchange.instance_id)
        await response.write_eof()
        return response

    async def _break_off(self, exchange: _Exchange, error: LentilroadError) -> None:
        """Close the caller's connection so that the answer does not look complete."""
        log_event(
            "stream_broken_off",
            request=exchange.inbound.request_id,
            instance=exchange.instance_id,
            code=error.code,
            reason=error.message,
            elapsed_ms=self._elapsed_ms(exchange.began_s),
        )
        self._telemetry.count("streams_broken_off")
        if exchange.request.transport is not None:
            exchange.request.transport.abort()
        # The lost connection cancels this handler.
        await asyncio.Event().wait()

    def _rank(self, exchange: _Exchange) -> tuple[float, ...]:
        new_program = 0.0 if exchange.inbound.previous_turn_id else 1.0
        finish_s = exchange.inbound.finish_s
        due = exchange.began_s + (finish_s if finish_s is not None else 3600.0)
        return (float(exchange.route.priority), new_program, due)

    def _exclude(self, state: UpstreamState, for_s: float, reason: str) -> None:
        state.failures += 1
        state.excluded_until_s = self._clock.monotonic_s() + for_s
        log_event(
            "upstream_excluded",
            instance=state.instance.instance_id,
            failures=state.failures,
            for_ms=int(for_s * 1000),
            reason=reason,
        )

    def _finish(self, exchange: _Exchange, status: int) -> None:
        elapsed_s = self._clock.monotonic_s() - exchange.began_s
        self._telemetry.count("requests", status=str(status))
        self._telemetry.observe("request_s", elapsed_s)
        log_event(
            "request_done",
            request=exchange.inbound.request_id,
            program=exchange.inbound.program_id,
            status=status,
            route=exchange.route.name,
            instance=exchange.instance_id,
            sends=exchange.sends,
            elapsed_ms=int(elapsed_s * 1000),
            version=exchange.version,
        )

    def _whole_response(self, answer: _WholeAnswer) -> web.Response:
        response = web.Response(status=answer.status, body=answer.body)
        response.headers.clear()
        for name, value in answer.headers:
            response.headers.add(name.decode("latin-1"), value.decode("latin-1"))
        response.headers["Content-Length"] = str(len(answer.body))
        if self._stopping():
            response.force_close()
        return response

    def _refuse(
        self,
        request: web.BaseRequest,
        request_id: str,
        error: LentilroadError,
        began_s: float,
    ) -> web.Response:
        status = _status(error)
        self._telemetry.count("requests", status=str(status))
        log_event(
            "request_refused",
            request=request_id,
            status=status,
            code=error.code,
            outcome=error.outcome,
            reason=error.message,
            retry_after_ms=error.retry_after_ms,
            elapsed_ms=self._elapsed_ms(began_s),
        )
        response = web.Response(
            status=status,
            body=msgspec.json.encode({"error": error.code, "message": error.message}),
            content_type="application/json",
        )
        if error.retry_after_ms is not None and status in (429, 503):
            response.headers["Retry-After"] = f"{error.retry_after_ms / 1000:.3f}"
        if self._stopping():
            response.force_close()
        return response

    def _elapsed_ms(self, began_s: float) -> int:
        return int(1000 * (self._clock.monotonic_s() - began_s))


def _status(error: LentilroadError) -> int:
    if isinstance(error, BudgetExhaustedError):
        return 402
    if isinstance(error, (NotFoundError, InvalidRequestError, RequestTooLargeError)):
        return error.http_status
    # 503 promises that the request has not run and never will.
    if error.outcome == "not_run":
        return 503
    return 504 if isinstance(error, DeadlineExceededError) else 502


def _exclusion_s(state: UpstreamState) -> float:
    return min(EXCLUDE_MOST_S, EXCLUDE_AFTER_FAILURE_S * 2**state.failures)


def _pick(services: tuple[tuple[str, int], ...], source: random.Random) -> str:
    if len(services) == 1:
        return services[0][0]
    if not services:
        raise UnavailableError("the route names no service; correct it")
    names = [name for name, _ in services]
    return source.choices(names, weights=[weight for _, weight in services])[0]


async def _read_body(request: web.BaseRequest, most_bytes: int) -> bytes:
    if not request.body_exists:
        return b""
    body = bytearray()
    while chunk := await request.content.readany():
        body += chunk
        if len(body) > most_bytes:
            raise RequestTooLargeError(
                f"the body is larger than {most_bytes} bytes; send a smaller one"
            )
    return bytes(body)
