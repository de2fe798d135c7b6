"""Connections of callers, with limits on what each of them may send and hold."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from aiohttp import web
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestPayloadError

from lentilroad.connection.open_connections import OpenConnections
from lentilroad.process.events import log_event
from lentilroad.process.telemetry import Telemetry
from lentilroad.version.routes import ClientLimits

# Limit of one header line; the operators' limits apply to all headers together.
MAX_HEADER_LINE_BYTES = 16384
# Number of fields of one head; a field takes about a kilobyte as objects.
MAX_HEADER_FIELDS = 128
# Allowed bytes of one request and the next head per byte of the body limit. A chunk of
# one byte takes six bytes.
RECEIVED_BYTES_PER_BODY_BYTE = 8
MIN_COUNTED_BODY_BYTES = 65536
# Allowance for network delay of callers that send their head within the limit.
HEADER_TIMEOUT_MARGIN_S = 0.5
# Bytes taken from a socket at once. aiohttp stops reading a body that nobody reads
# after twice this size; uvloop would read 256 KB at once.
READ_BYTES = 16 * 1024
# Bytes that may follow a head before its handler starts to read them.
UNREAD_BYTES = 4 * READ_BYTES
# Requests that are parsed ahead of the one being served; the others stay unread.
MAX_REQUESTS_AHEAD = 2


class CallerConnection(web.RequestHandler):
    """Connection of a caller with limits on received bytes and on slow callers.

    aiohttp limits the length of each line, but not the number of empty lines, the
    framing of chunks, the time that the first head may take, or the time that an
    answer may stay unread.
    """

    __slots__ = (
        "_head_timer",
        "_is_request_open",
        "_limits",
        "_open_connections",
        "_received_bytes",
        "_telemetry",
        "_unsent_bytes",
        "_write_timer",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        limits: ClientLimits,
        open_connections: OpenConnections,
        telemetry: Telemetry,
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(
            manager,
            loop=loop,
            access_log=None,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            max_headers=MAX_HEADER_FIELDS,
            keepalive_timeout=limits.idle_timeout_s,
            lingering_time=0.0,
            read_bufsize=READ_BYTES,
            # Bodies are forwarded unchanged, with the caller's Content-Encoding.
            auto_decompress=False,
        )
        # aiohttp parses 32 requests ahead by default and has no parameter for it.
        self._max_msg_queue_size = MAX_REQUESTS_AHEAD
        self._msg_queue_resume_size = MAX_REQUESTS_AHEAD // 2
        self._parser = HttpRequestParser(
            self,
            loop,
            READ_BYTES,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            max_headers=MAX_HEADER_FIELDS,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAX_REQUESTS_AHEAD,
        )
        self._limits = limits
        self._open_connections = open_connections
        self._telemetry = telemetry
        self._received_bytes = 0
        self._is_request_open = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._unsent_bytes = 0
        self._write_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, and close one that is idle if there are too many."""
        super().connection_made(transport)
        self._open_connections.add(
            self,
            lambda: self.abort_connection(
                "too many connections are open", reason="connections"
            ),
        )

    def data_received(self, data: bytes) -> None:
        """Count the received bytes and start the timeout of a request's head."""
        self._received_bytes += len(data)
        if self._received_bytes > self._allowed_bytes():
            self.abort_connection(
                "the request exceeds the limit of received bytes", reason="bytes"
            )
            return
        if not self._is_request_open and self._head_timer is None:
            self._head_timer = asyncio.get_running_loop().call_later(
                self._limits.header_timeout_s + HEADER_TIMEOUT_MARGIN_S,
                lambda: self.abort_connection(
                    "timeout while reading the head of a request", reason="slow_head"
                ),
            )
        super().data_received(data)

    def _allowed_bytes(self) -> int:
        limits = self._limits
        if not self._is_request_open:
            return limits.max_header_bytes + UNREAD_BYTES
        return limits.max_header_bytes + (
            RECEIVED_BYTES_PER_BODY_BYTE
            * max(limits.max_body_bytes, MIN_COUNTED_BODY_BYTES)
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timeouts of the connection."""
        self._open_connections.remove(self)
        self._cancel_head_timer()
        self._cancel_write_timer()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Start the timeout of an answer that the caller does not read."""
        super().pause_writing()
        self._watch_writing()

    def resume_writing(self) -> None:
        """Cancel the timeout: the caller has read most of the answer."""
        self._cancel_write_timer()
        super().resume_writing()

    def _watch_writing(self) -> None:
        transport = self.transport
        if transport is None:
            return
        unsent_bytes = transport.get_write_buffer_size()
        if self._write_timer is not None and unsent_bytes >= self._unsent_bytes:
            self.abort_connection("the caller does not read", reason="unread_answer")
            return
        self._unsent_bytes = unsent_bytes
        self._write_timer = asyncio.get_running_loop().call_later(
            self._limits.idle_timeout_s, self._watch_writing
        )

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Refuse a request that cannot be parsed, without its text.

        aiohttp logs the line with the error, which may be one with a key.
        """
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        log_event("caller_request_invalid", status=status, error=type(exc).__name__)
        if request.writer.output_size > 0:
            raise ConnectionError("a response was already sent on this connection")
        response = web.Response(
            status=status,
            text="the request could not be parsed; send valid HTTP/1.1",
        )
        response.force_close()
        return response

    def set_request_open(self, *, is_open: bool) -> None:
        """Record that a request's head was read, or that the request has ended."""
        self._is_request_open = is_open
        self._received_bytes = 0
        self._cancel_head_timer()
        self._open_connections.set_busy(self, is_busy=is_open)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _cancel_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    def abort_connection(self, message: str, *, reason: str) -> None:
        """Close the connection at once."""
        if self.transport is None:
            return
        self._telemetry.count("caller_connections_closed", reason=reason)
        log_event(
            "caller_connection_closed",
            reason=message,
            received_bytes=self._received_bytes,
        )
        self.transport.abort()


class _BoundedReads(asyncio.BufferedProtocol):
    """Passes received bytes to a connection in reads of a bounded size.

    The buffer is shared by all connections of a server: a read ends before the next
    one begins.
    """

    __slots__ = ("_buffer", "_connection")

    def __init__(self, *, connection: CallerConnection, buffer: memoryview) -> None:
        self._connection = connection
        self._buffer = buffer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._connection.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._connection.data_received(bytes(self._buffer[:nbytes]))

    def eof_received(self) -> None:
        self._connection.eof_received()

    def pause_writing(self) -> None:
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        self._connection.resume_writing()


class BoundedServer(web.Server):
    """Server that applies the limits in force to each new connection.

    Parameters
    ----------
    handler : callable
        Serves one request.
    limits : callable
        Returns the limits of new connections.
    open_connections : OpenConnections
        Connections of this server.
    telemetry : Telemetry
        Counters.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        *,
        limits: Callable[[], ClientLimits],
        open_connections: OpenConnections,
        telemetry: Telemetry,
    ) -> None:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            connection = cast(CallerConnection, request.protocol)
            connection.set_request_open(is_open=True)
            try:
                return await handler(request)
            finally:
                connection.set_request_open(is_open=False)

        super().__init__(handle, handler_cancellation=True)
        self._limits = limits
        self._open_connections = open_connections
        self._telemetry = telemetry
        self._buffer = memoryview(bytearray(READ_BYTES))

    def __call__(self) -> Any:
        """Return the protocol of a new connection."""
        connection = CallerConnection(
            self,
            limits=self._limits(),
            open_connections=self._open_connections,
            telemetry=self._telemetry,
        )
        return _BoundedReads(connection=connection, buffer=self._buffer)
