"""Handling of callers' requests, from the request head to the end of the response."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

import msgspec
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from lentilroad.clock import Clock
from lentilroad.connection.byte_budget import Hold
from lentilroad.connection.http_exchange import Header, HttpConnection, ResponseHead
from lentilroad.conversation.turns import TurnManager
from lentilroad.errors import (
    DeadlineExceededError,
    InvalidRequestError,
    LentilroadError,
    NotFoundError,
    OverloadedError,
    UnavailableError,
)
from lentilroad.membership.upstreams import UpstreamState
from lentilroad.process.events import log_event
from lentilroad.process.telemetry import Telemetry
from lentilroad.request.attempts import AttemptRunner
from lentilroad.request.authentication import identify_customer
from lentilroad.request.caller_body import discard_body, read_body
from lentilroad.request.caller_memory import CallerMemory
from lentilroad.request.const import (
    DEADLINE_MARGIN_S,
    SERVICE_RETRY_AFTER_MAX_S,
)
from lentilroad.request.crash_suspects import CrashSuspects
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.exchange import BufferedResponse, Exchange, read_response
from lentilroad.request.inbound import InboundRequest, UpstreamProtocol
from lentilroad.request.refusals import (
    StoppingError,
    refusal_status,
    with_unknown_outcome,
)
from lentilroad.request.streaming import StreamRelay
from lentilroad.request.work import PlacementRequest
from lentilroad.version.routes import RouteKind, RouteTable, request_priority

if TYPE_CHECKING:
    # Entries without customers do not load these modules.
    from lentilroad.request.program_policy import ProgramPolicy
    from lentilroad.request.quota import QuotaClient

# Finish time that is assumed for programs that state none.
DEFAULT_FINISH_S = 3600.0
# The body of a turn that is kept is also encoded, sent to storage members and cached.
KEPT_TURN_COPIES = 8


class DecodeRequest(Protocol):
    """Decode a request without its body."""

    def __call__(
        self,
        method: str,
        target: str,
        headers: tuple[Header, ...],
        *,
        with_customers: bool,
    ) -> InboundRequest:
        """Return the request; raises `InvalidRequestError`."""


class WaitUntilReady(Protocol):
    """Wait until the process has read the state that it needs to serve requests."""

    def __call__(self, *, turns: bool) -> Awaitable[None]:
        """Return when requests can be served, or after a bounded wait."""


class Ingress:
    """Handles the requests of callers.

    Parameters
    ----------
    table : callable
        Returns the `RouteTable` in force, or None before the first one is read.
    decode : callable
        Decodes a request without its body; raises `InvalidRequestError`.
    protocol : UpstreamProtocol
        Encodes requests to upstreams and decodes their responses.
    dispatcher : Dispatcher
        Chooses instances.
    turns : TurnManager
        Conversations and token budgets.
    clock : Clock
        Source of time.
    telemetry : Telemetry
        Counters and histograms.
    stopping : callable
        Returns whether the process is stopping.
    wait_until_ready : callable
        Waits, for a bounded time after the start, until requests can be served;
        ``turns`` states whether conversations have to be available.
    on_unresponsive : callable
        Called with an instance that does not respond to requests.
    on_rate_limit : callable
        Called with an instance that stated another rate limit than before.
    suspects : CrashSuspects
        Requests that may crash the instances that run them.
    keys_confirmed : callable, optional
        Returns whether the configuration is recent enough to accept keys; it always is
        if omitted.
    programs : ProgramPolicy, optional
        Order and admission where the configuration has customers.
    memory : CallerMemory
        Room for bodies and for answers that callers have not read yet.
    """

    def __init__(
        self,
        *,
        table: Callable[[], RouteTable | None],
        decode: DecodeRequest,
        protocol: UpstreamProtocol,
        dispatcher: Dispatcher,
        turns: TurnManager,
        clock: Clock,
        telemetry: Telemetry,
        stopping: Callable[[], bool],
        wait_until_ready: WaitUntilReady,
        on_unresponsive: Callable[[UpstreamState], None],
        on_rate_limit: Callable[[UpstreamState], None],
        suspects: CrashSuspects,
        memory: CallerMemory,
        quotas: QuotaClient | None = None,
        keys_confirmed: Callable[[], bool] = lambda: True,
        programs: ProgramPolicy | None = None,
    ) -> None:
        self._table = table
        self._memory = memory
        self._programs = programs
        self._quotas = quotas
        self._keys_confirmed = keys_confirmed
        self._decode = decode
        self._protocol = protocol
        self._dispatcher = dispatcher
        self._attempts = AttemptRunner(
            protocol=protocol,
            dispatcher=dispatcher,
            clock=clock,
            on_unresponsive=on_unresponsive,
            on_rate_limit=on_rate_limit,
            suspects=suspects,
        )
        self._turns = turns
        self._clock = clock
        self._telemetry = telemetry
        self._stopping = stopping
        self._wait_until_ready = wait_until_ready
        self._random = random.Random()
        # Monotonic time by which all requests are answered; infinite until a stop.
        self._stop_by_s = math.inf
        self._serving: dict[int, tuple[Exchange, asyncio.Timeout]] = {}
        self.open_requests = 0
        self.busy_connections: set[object] = set()

    def stop_by(self, time_s: float) -> None:
        """Answer all requests, also those that arrive later, before the process ends.

        Parameters
        ----------
        time_s : float
            Monotonic time by which each request that was read gets its final answer.
        """
        self._stop_by_s = time_s
        remaining_s = time_s - self._clock.monotonic_s()
        ends_at = asyncio.get_running_loop().time() + remaining_s
        for exchange, timeout in self._serving.values():
            if exchange.stop_by(time_s):
                timeout.reschedule(ends_at)
        self._dispatcher.stop_by(time_s)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        self.open_requests += 1
        self.busy_connections.add(request.protocol)
        began_s = self._clock.monotonic_s()
        try:
            return await self._handle(request, began_s)
        finally:
            self.open_requests -= 1
            self.busy_connections.discard(request.protocol)

    async def _handle(
        self, request: web.BaseRequest, began_s: float
    ) -> web.StreamResponse:
        request_id = ""
        exchange: Exchange | None = None
        try:
            await self._wait_until_ready(turns=False)
            table = self._table()
            if table is None:
                raise UnavailableError(
                    "this entry has no configuration yet; send the request again",
                    retry_after_ms=int(SERVICE_RETRY_AFTER_MAX_S * 1000),
                )
            inbound = self._decode(
                request.method,
                request.raw_path,
                request.raw_headers,
                with_customers=table.customers is not None,
            )
            request_id = inbound.request_id
            exchange = self._route(table, inbound, request, began_s)
            identify_customer(
                inbound,
                table,
                open_to_all=exchange.route.open_to_all,
                keys_confirmed=self._keys_confirmed,
            )
            if self._programs is not None and table.customers is not None:
                exchange.program = self._programs.state_of(inbound, exchange.route)
            await self._admit(exchange)
            self._start_program(exchange)
            inbound.body, exchange.body_hold = await read_body(
                request,
                table.limits.max_body_bytes,
                timeout_s=exchange.deadline_at_s - self._clock.monotonic_s(),
                memory=self._memory,
                copies=KEPT_TURN_COPIES if exchange.route.retains_conversation else 1,
            )
            if exchange.route.retains_conversation or inbound.has_token_budget():
                await self._wait_until_ready(turns=True)
            response = await self._serve(exchange)
            if exchange.answer_hold is not None:
                await self._send_large(exchange, exchange.answer_hold, response)
            return response
        except LentilroadError as error:
            if exchange is not None and exchange.response_started:
                await self._abort_response(exchange, error)
            if exchange is not None and exchange.possible_runs:
                error = with_unknown_outcome(exchange.service, error)
            await discard_body(request)
            return self._refuse(request, request_id, error, began_s)
        except HttpProcessingError as error:
            # The text of the error quotes the line, which may be one with a key.
            return self._refuse(
                request,
                request_id,
                InvalidRequestError(
                    f"the request could not be parsed ({type(error).__name__}); "
                    "send valid HTTP/1.1"
                ),
                began_s,
            )
        except asyncio.CancelledError:
            # aiohttp cancels the handler when the caller's connection is lost.
            log_event(
                "caller_left",
                request=request_id,
                instance=exchange.instance_id if exchange is not None else "",
                sends=exchange.sends if exchange is not None else 0,
                started=exchange is not None and exchange.response_started,
                elapsed_ms=self._elapsed_ms(began_s),
            )
            self._telemetry.count("callers_left")
            raise
        finally:
            self._give_back_quota(exchange)
            if exchange is not None:
                self._release_memory(exchange)

    async def _admit(self, exchange: Exchange) -> None:
        """Count the request against its customer's quota."""
        customer = exchange.inbound.customer
        if self._quotas is None or customer is None or not customer.is_limited():
            return
        under_way = bool(exchange.inbound.previous_turn_id)
        if exchange.program is not None:
            under_way = exchange.program.under_way
        await self._quotas.admit(customer, under_way=under_way)
        exchange.within_quota = True

    def _start_program(self, exchange: Exchange) -> None:
        """Rank the request, or refuse it if its program should not start now."""
        if self._programs is None or exchange.program is None:
            return
        decision = self._programs.decide(
            exchange.inbound,
            exchange.route,
            exchange.service,
            exchange.program,
            exchange.began_s,
        )
        if decision.admission.reason:
            raise decision.admission.error(exchange.service)
        exchange.rank = decision.rank

    def _give_back_quota(self, exchange: Exchange | None) -> None:
        """Take back the count of a request that no instance can have run."""
        if exchange is None or not exchange.within_quota or exchange.possible_runs:
            return
        customer = exchange.inbound.customer
        if self._quotas is not None and customer is not None:
            self._quotas.give_back(customer)

    def _route(
        self,
        table: RouteTable,
        inbound: InboundRequest,
        request: web.BaseRequest,
        began_s: float,
    ) -> Exchange:
        path = inbound.target.partition("?")[0]
        route = table.match(inbound.host, path)
        if route is None:
            raise NotFoundError(
                f"configuration version {table.version} has no route for "
                f"{inbound.host}{path}; check the address"
            )
        remaining_s = min(route.timeout_s, inbound.deadline_s or route.timeout_s)
        exchange = Exchange(
            inbound=inbound,
            route=route,
            service=_choose_service(route.services, self._random),
            version=table.version,
            deadline_at_s=began_s + remaining_s - DEADLINE_MARGIN_S,
            began_s=began_s,
            request=request,
        )
        exchange.stop_by(self._stop_by_s)
        return exchange

    async def _serve(self, exchange: Exchange) -> web.StreamResponse:
        exchange.stop_by(self._stop_by_s)
        remaining_s = exchange.deadline_at_s - self._clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0.0, remaining_s)) as timeout:
                self._serving[id(exchange)] = exchange, timeout
                if exchange.route.kind is RouteKind.STREAMING:
                    return await self._serve_stream(exchange)
                return await self._serve_call(exchange)
        except TimeoutError as error:
            if exchange.possible_runs:
                end = "deadline"
                if exchange.stops_at_deadline:
                    end = "stop of this entry"
                raise DeadlineExceededError(
                    f"{exchange.service} did not respond before the {end}",
                    outcome="unknown",
                ) from error
            if exchange.stops_at_deadline:
                raise StoppingError.for_service(exchange.service) from error
            raise OverloadedError(
                f"no instance of {exchange.service} had a free slot before the "
                "deadline; send the request again",
                retry_after_ms=self._dispatcher.retry_after_ms(exchange.service),
            ) from error
        finally:
            self._serving.pop(id(exchange), None)

    async def _hold_answer(self, exchange: Exchange, size_bytes: int) -> None:
        """Wait for room for a large answer."""
        if exchange.answer_hold is not None:
            # Of an earlier attempt whose answer broke off.
            self._memory.answers.release(exchange.answer_hold)
            exchange.answer_hold = None

        def close_connection() -> None:
            if exchange.request.transport is not None:
                exchange.request.transport.abort()

        exchange.answer_hold = await self._memory.hold_answer(
            size_bytes, on_evict=close_connection
        )

    async def _send_large(
        self, exchange: Exchange, hold: Hold, response: web.StreamResponse
    ) -> None:
        """Send a large answer while its room is held."""
        self._memory.begin_transfer(hold)
        with contextlib.suppress(ConnectionError):
            await response.prepare(exchange.request)
            await response.write_eof()
        if isinstance(response, web.Response):
            # aiohttp keeps the response until the connection's next request.
            response.body = None

    def _release_memory(self, exchange: Exchange) -> None:
        if exchange.body_hold is not None:
            self._memory.bodies.release(exchange.body_hold)
        if exchange.answer_hold is not None:
            self._memory.answers.release(exchange.answer_hold)

    async def _serve_call(self, exchange: Exchange) -> web.StreamResponse:
        async def read(
            connection: HttpConnection, head: ResponseHead, can_fail_over: bool
        ) -> BufferedResponse:
            return await read_response(
                connection,
                head,
                self._protocol,
                lambda size_bytes: self._hold_answer(exchange, size_bytes),
            )

        response = await self._attempts.run(
            exchange, self._placement_request(exchange), exchange.inbound.body, read
        )
        self._finish(exchange, response.status)
        return self._build_response(response)

    async def _serve_stream(self, exchange: Exchange) -> web.StreamResponse:
        inbound = exchange.inbound
        route = exchange.route
        async with self._turns.begin(
            inbound,
            route.retention_s if route.retains_conversation else None,
            self._tokens_per_event(exchange),
        ) as turn:
            relay = StreamRelay(
                exchange=exchange,
                turn=turn,
                protocol=self._protocol,
                clock=self._clock,
                telemetry=self._telemetry,
                stopping=self._stopping,
                release=self._attempts.release,
                make_room=lambda size_bytes: self._hold_answer(exchange, size_bytes),
            )
            placement = self._placement_request(exchange)
            placement.preferred_instance_id = turn.preferred_instance
            placement.history_tokens = inbound.prompt_tokens
            response = await self._attempts.run(
                exchange, placement, turn.body, relay.read
            )
        self._finish(exchange, response.status)
        if isinstance(response, BufferedResponse):
            return self._build_response(response)
        return response

    def _placement_request(self, exchange: Exchange) -> PlacementRequest:
        inbound = exchange.inbound
        return PlacementRequest(
            service=exchange.service,
            rank=exchange.rank or self._rank(exchange),
            remaining_s=0.0,
            prompt_parts=inbound.prompt_parts,
            under_way=exchange.program is not None and exchange.program.under_way,
            customer=inbound.customer.name if inbound.customer is not None else "",
            affinity_key=(
                inbound.scoped(inbound.affinity_key) if exchange.route.sticky else ""
            ),
        )

    def _tokens_per_event(self, exchange: Exchange) -> int:
        table = self._table()
        service = table.services.get(exchange.service) if table is not None else None
        if service is None or service.engine is None:
            return 1
        return service.engine.tokens_per_event

    async def _abort_response(self, exchange: Exchange, error: LentilroadError) -> None:
        """Abort the caller's connection so that the response does not look complete."""
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
        # aiohttp cancels this handler when the connection is lost.
        await asyncio.Event().wait()

    def _rank(self, exchange: Exchange) -> tuple[float, ...]:
        """Return the sort key by priority, running programs, and finish time."""
        new_program = 0.0 if exchange.inbound.previous_turn_id else 1.0
        finish_s = exchange.inbound.finish_s
        if finish_s is None:
            finish_s = DEFAULT_FINISH_S
        finish_at_s = exchange.began_s + finish_s
        priority = request_priority(exchange.route, exchange.inbound.customer)
        return (float(priority), new_program, finish_at_s)

    def _finish(self, exchange: Exchange, status: int) -> None:
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

    def _build_response(self, buffered: BufferedResponse) -> web.Response:
        response = web.Response(status=buffered.status, body=buffered.body)
        response.headers.clear()
        for name, value in buffered.headers:
            response.headers.add(name.decode("latin-1"), value.decode("latin-1"))
        response.headers["Content-Length"] = str(len(buffered.body))
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
        status = refusal_status(error)
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
        if status == 401:
            response.headers["WWW-Authenticate"] = "Bearer"
        if self._stopping() or (request.body_exists and not request.content.at_eof()):
            # Bytes of a body that is not read any more cannot precede a request.
            response.force_close()
        return response

    def _elapsed_ms(self, began_s: float) -> int:
        return int(1000 * (self._clock.monotonic_s() - began_s))


def _choose_service(
    services: tuple[tuple[str, int], ...], source: random.Random
) -> str:
    if len(services) == 1:
        return services[0][0]
    if not services:
        raise UnavailableError(
            "the route has no service; add one to the route in the configuration"
        )
    names = [name for name, _ in services]
    return source.choices(names, weights=[weight for _, weight in services])[0]
