"""Relay of event streams to callers, across resumed runs."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from lentilroad.clock import Clock
from lentilroad.connection.http_exchange import (
    ExchangeBrokenError,
    HttpConnection,
    ResponseHead,
)
from lentilroad.conversation.turns import Turn
from lentilroad.errors import UpstreamError
from lentilroad.membership.stream_times import StreamObserver
from lentilroad.process.telemetry import Telemetry
from lentilroad.request.const import (
    ABANDON_MARGIN_S,
    MOVE_AFTER_PAUSE_TARGETS,
    MOVE_AFTER_S,
)
from lentilroad.request.exchange import BufferedResponse, Exchange, read_response
from lentilroad.request.inbound import UpstreamProtocol

LINE_ENDS = b"\r\n"


class StreamRelay:
    """Forwards the complete events of a response as they arrive.

    An event that was cut off at the end of a run is discarded when another run resumes
    the stream. The response ends only after the turn is stored.

    Parameters
    ----------
    exchange : Exchange
        The request.
    turn : Turn
        Turn that parses the events and stores the record.
    protocol : UpstreamProtocol
        Encodes requests to upstreams and decodes their responses.
    clock : Clock
        Source of time.
    telemetry : Telemetry
        Counters and histograms.
    stopping : callable
        Returns whether the process is stopping.
    release : callable
        Releases the slot of the instance.
    make_room : callable
        Waits for room for a large answer that is not a stream.
    """

    __slots__ = (
        "_clock",
        "_exchange",
        "_last_progress_s",
        "_make_room",
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
        make_room: Callable[[int], Awaitable[None]],
    ) -> None:
        self._exchange = exchange
        self._turn = turn
        self._protocol = protocol
        self._clock = clock
        self._telemetry = telemetry
        self._stopping = stopping
        self._release = release
        self._make_room = make_room
        self._response: web.StreamResponse | None = None
        self._last_progress_s = clock.monotonic_s()

    async def read(
        self, connection: HttpConnection, head: ResponseHead, can_fail_over: bool
    ) -> web.StreamResponse | BufferedResponse:
        """Read the response of one run; see `ReadResponse` in `attempts`."""
        if not 200 <= head.status < 300:
            if self._exchange.response_started:
                raise UpstreamError(
                    f"{self._exchange.service} responded with status {head.status} "
                    "after the stream had started",
                    outcome="unknown",
                )
            return await read_response(
                connection, head, self._protocol, self._make_room
            )
        if self._response is None:
            # The response keeps the head and signature of the first run, also when
            # another run completes the stream.
            self._response = self._build_response(head)
        reader = self._turn.events
        reader.begin_next_run()
        self._last_progress_s = self._clock.monotonic_s()
        observer = self._observer()
        while chunk := await self._next_chunk(connection, can_fail_over):
            event_count = reader.event_count
            complete = reader.feed(chunk)
            if reader.event_count > event_count and observer is not None:
                observer.record_events(reader.event_count - event_count)
            await self._forward(complete)
            if reader.event_count > event_count:
                self._last_progress_s = self._clock.monotonic_s()
                if observer is not None:
                    observer.record_forwarded(self._last_progress_s)
        partial = reader.pop_partial_event()
        if partial.strip(LINE_ENDS):
            raise ExchangeBrokenError(
                "the stream ended within an event", request_written=True
            )
        await self._forward(partial)
        await self._start_response()
        if observer is not None:
            observer.record_end()
        # The instance has finished; only the caller waits for the turn to be stored.
        self._release(self._exchange)
        await self._turn.store(self._exchange.instance_id)
        await self._response.write_eof()
        return self._response

    def _observer(self) -> StreamObserver | None:
        """Return the observer of the current run's times, if they are learned."""
        state = self._exchange.acquired_instance
        sent_s = self._exchange.sent_s
        if state is None or sent_s is None:
            return None
        return state.observe_stream(sent_s, self._clock)

    async def _next_chunk(
        self, connection: HttpConnection, can_fail_over: bool
    ) -> bytes:
        """Return the next bytes; only complete events extend the timeout."""
        pause_s = self._pause_limit_s(can_fail_over)
        remaining_s = self._last_progress_s + pause_s - self._clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0.0, remaining_s)):
                return await connection.next_chunk()
        except TimeoutError as error:
            raise ExchangeBrokenError(
                f"no complete event within {pause_s:.3f} s", request_written=True
            ) from error

    def _pause_limit_s(self, can_fail_over: bool) -> float:
        route = self._exchange.route
        if can_fail_over:
            return max(
                MOVE_AFTER_S, MOVE_AFTER_PAUSE_TARGETS * route.target_event_gap_s
            )
        return route.abandon_after_gap_s() + ABANDON_MARGIN_S

    async def _forward(self, data: bytes) -> None:
        if not data:
            return
        await self._start_response()
        assert self._response is not None
        await self._response.write(data)
        self._exchange.after_event = self._turn.events.last_id

    async def _start_response(self) -> None:
        exchange = self._exchange
        if exchange.response_started or self._response is None:
            return
        exchange.response_started = True
        self._telemetry.observe(
            "first_event_s", self._clock.monotonic_s() - exchange.began_s
        )
        await self._response.prepare(exchange.request)

    def _build_response(self, head: ResponseHead) -> web.StreamResponse:
        response = web.StreamResponse(status=head.status)
        response.headers.clear()
        for name, value in self._protocol.forwarded_headers(head):
            response.headers.add(name.decode("latin-1"), value.decode("latin-1"))
        if self._stopping():
            response.force_close()
        response.enable_chunked_encoding()
        return response
