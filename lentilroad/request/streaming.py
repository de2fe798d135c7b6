"""Answers in events, from one run or from several in a row."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from lentilroad.clock import Clock
from lentilroad.connection.http_exchange import (
    ExchangeBrokenError,
    HttpConnection,
    ResponseHead,
)
from lentilroad.conversation.turns import Turn
from lentilroad.errors import UpstreamError
from lentilroad.process.telemetry import Telemetry
from lentilroad.request.const import (
    ABANDON_MARGIN_S,
    MOVE_AFTER_PAUSES,
    MOVE_AFTER_S,
)
from lentilroad.request.exchange import BufferedResponse, Exchange, read_response
from lentilroad.request.inbound import UpstreamProtocol


class StreamRelay:
    """Passes whole events of one answer on as they arrive.

    The part of an event that a run left behind is dropped when another run goes on.
    The end of the answer waits until the turn is stored.

    Parameters
    ----------
    exchange : Exchange
        The request.
    turn : Turn
        Its tokens and record.
    protocol : UpstreamProtocol
        How upstreams are spoken to.
    clock : Clock
        Source of time.
    telemetry : Telemetry
        Counters and histograms.
    stopping : callable
        Returns whether the process is about to stop.
    release : callable
        Gives the place at the instance back.
    """

    __slots__ = (
        "_clock",
        "_exchange",
        "_progress_s",
        "_protocol",
        "_release",
        "_response",
        "_stopping",
        "_telemetry",
        "_turn",
    )

    def __init__(
        self,
        *,
        exchange: Exchange,
        turn: Turn,
        protocol: UpstreamProtocol,
        clock: Clock,
        telemetry: Telemetry,
        stopping: Callable[[], bool],
        release: Callable[[Exchange], None],
    ) -> None:
        self._exchange = exchange
        self._turn = turn
        self._protocol = protocol
        self._clock = clock
        self._telemetry = telemetry
        self._stopping = stopping
        self._release = release
        self._response: web.StreamResponse | None = None
        self._progress_s = clock.monotonic_s()

    async def read(
        self, connection: HttpConnection, head: ResponseHead, can_fail_over: bool
    ) -> web.StreamResponse | BufferedResponse:
        """Read the response of one run; see `ReadResponse` in `attempts`."""
        if not 200 <= head.status < 300:
            if self._exchange.response_started:
                raise UpstreamError(
                    f"{self._exchange.service} answered {head.status} in the middle of "
                    "a stream",
                    outcome="unknown",
                )
            return await read_response(connection, head, self._protocol)
        if self._response is None:
            # The head and signature of the first run stay, whichever run ends it.
            self._response = self._begin(head)
        events = self._turn.events
        events.begin_next_run()
        self._progress_s = self._clock.monotonic_s()
        while chunk := await self._next_chunk(connection, can_fail_over):
            seen = events.event_count
            await self._pass_on(events.feed(chunk))
            if events.event_count > seen:
                self._progress_s = self._clock.monotonic_s()
        rest = events.pop_partial_event()
        if rest and head.without_length:
            raise ExchangeBrokenError(
                "the connection ended within an event", request_written=True
            )
        await self._pass_on(rest)
        await self._start()
        # The instance is done; the caller alone waits for the turn's record.
        self._release(self._exchange)
        await self._turn.store(self._exchange.instance_id)
        await self._response.write_eof()
        return self._response

    async def _next_chunk(
        self, connection: HttpConnection, can_fail_over: bool
    ) -> bytes:
        """Return the next bytes; only whole events count as progress."""
        pause_s = self._longest_pause_s(can_fail_over)
        remaining_s = self._progress_s + pause_s - self._clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0.0, remaining_s)):
                return await connection.next_chunk()
        except TimeoutError as error:
            raise ExchangeBrokenError(
                f"no event within {pause_s:.3f} s", request_written=True
            ) from error

    def _longest_pause_s(self, can_fail_over: bool) -> float:
        route = self._exchange.route
        if can_fail_over:
            return max(MOVE_AFTER_S, MOVE_AFTER_PAUSES * route.pause_target_s)
        return route.longest_pause_s() + ABANDON_MARGIN_S

    async def _pass_on(self, data: bytes) -> None:
        if not data:
            return
        await self._start()
        assert self._response is not None
        await self._response.write(data)
        self._exchange.after_event = self._turn.events.last_id

    async def _start(self) -> None:
        exchange = self._exchange
        if exchange.response_started or self._response is None:
            return
        exchange.response_started = True
        self._telemetry.observe(
            "first_event_s", self._clock.monotonic_s() - exchange.began_s
        )
        await self._response.prepare(exchange.request)

    def _begin(self, head: ResponseHead) -> web.StreamResponse:
        response = web.StreamResponse(status=head.status)
        response.headers.clear()
        for name, value in self._protocol.forwarded_headers(head):
            response.headers.add(name.decode("latin-1"), value.decode("latin-1"))
        if self._stopping():
            response.force_close()
        response.enable_chunked_encoding()
        return response
