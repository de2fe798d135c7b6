"""HTTP/1.1 client connections with one exchange at a time."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

import httptools

from lentilroad.connection.const import (
    HTTP_BUFFER_LIMIT_BYTES,
    HTTP_OVERHEAD_BYTES_PER_BODY_BYTE,
    HTTP_OVERHEAD_LIMIT_BYTES,
    HTTP_READ_BYTES,
    HTTP_SINGLE_WRITE_MAX_BYTES,
    HTTP_SKIPPED_LIMIT_BYTES,
    TCP_KEEPALIVE_IDLE_S,
    TCP_KEEPALIVE_INTERVAL_S,
    TCP_KEEPALIVE_PROBES,
    TCP_UNACKNOWLEDGED_LIMIT_MS,
)
from lentilroad.connection.listener import split_address
from lentilroad.errors import LentilroadError

Header = tuple[bytes, bytes]

# A read ends before the next one begins. Bounds what one read adds to the chunks that
# wait for a slow reader; uvloop would read 256 KB at once.
_READ_BUFFER = memoryview(bytearray(HTTP_READ_BYTES))


class ExchangeBrokenError(LentilroadError):
    """The connection failed before the response was complete.

    Parameters
    ----------
    message : str
        Cause of the failure.
    request_written : bool
        Whether any byte of the request may have reached the server.
    connection_lost : bool
        Whether the server, and not this process, ended the connection.
    """

    code = "exchange_broken"
    http_status = 502
    default_outcome = "unknown"

    def __init__(
        self, message: str, *, request_written: bool, connection_lost: bool = False
    ) -> None:
        super().__init__(message, outcome="unknown" if request_written else "not_run")
        self.request_written = request_written
        self.connection_lost = connection_lost


class ResponseHead:
    """Status line and headers of a response.

    Attributes
    ----------
    status : int
        Status code.
    headers : list of (bytes, bytes)
        Header names and values in the order received.
    without_length : bool
        Whether the end of the connection marks the end of the body.
    """

    __slots__ = ("_values", "headers", "status", "without_length")

    def __init__(self, *, status: int, headers: list[Header]) -> None:
        self.status = status
        self.headers = headers
        self._values = {name.lower(): value for name, value in headers}
        self.without_length = (
            b"content-length" not in self._values
            and b"transfer-encoding" not in self._values
            and status not in (204, 304)
        )

    def value(self, lower_name: bytes) -> bytes | None:
        """Return the last value of a header, named in lower case."""
        return self._values.get(lower_name)


class HttpConnection(asyncio.BufferedProtocol):
    """One HTTP/1.1 connection to a server, created by `open_connection`.

    Bytes received while no exchange is open, or after a complete response, belong to
    no request: the connection is not reused and is closed.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._expects: Callable[[ResponseHead], bool] | None = None
        self._headers: list[Header] = []
        self._head: ResponseHead | None = None
        self._head_waiter: asyncio.Future[ResponseHead] | None = None
        self._chunks: deque[bytes] = deque()
        self._chunk_bytes = 0
        # Bytes received during the open exchange: in total, in the response's body, and
        # in bodies of skipped responses.
        self._received_bytes = 0
        self._body_bytes = 0
        self._skipped_bytes = 0
        self._chunk_waiter: asyncio.Future[None] | None = None
        self._skipping = False
        self._complete = False
        self._unexpected_data = False
        self._response_skipped = False
        self._keep_alive = False
        self._error: str | None = None
        self._connection_lost = False
        self.closed = False
        # Whether an earlier exchange ended on this connection.
        self.used_before = False
        self.idle_until_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable the detection of an unresponsive server."""
        self._transport = cast(asyncio.Transport, transport)
        connected = transport.get_extra_info("socket")
        if connected is not None:
            enable_dead_peer_detection(connected)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of the next read, which all connections share."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes of one read."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes as part of the open exchange."""
        if self._parser is None:
            self._unexpected_data = True
            self.abort()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._complete:
                self._unexpected_data = True
                return
            self._fail(f"the response is not valid HTTP ({error})")
            self.abort()
            return
        if self._exceeds_limits():
            self._unexpected_data = True
            self._fail(
                "the server sent too many bytes that are not part of the response body"
            )
            self.abort()

    def _exceeds_limits(self) -> bool:
        """Return whether non-body bytes or skipped responses exceed their limits.

        The reader of a body limits its size: receiving pauses while the buffer is full.
        """
        overhead_bytes = self._received_bytes - self._body_bytes - self._skipped_bytes
        allowed_bytes = (
            HTTP_OVERHEAD_LIMIT_BYTES
            + HTTP_OVERHEAD_BYTES_PER_BODY_BYTE * self._body_bytes
        )
        return (
            overhead_bytes > allowed_bytes
            or self._skipped_bytes > HTTP_SKIPPED_LIMIT_BYTES
        )

    def eof_received(self) -> bool:
        """Complete a response without length; any other response is truncated."""
        head = self._head
        if head is not None and head.without_length and not self._complete:
            self._complete = True
            self._keep_alive = False
            self._wake_reader()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the open exchange."""
        if not self.closed and (error is None or isinstance(error, ConnectionError)):
            self._connection_lost = True
        self.closed = True
        if not self._complete:
            self._fail(f"the connection was lost ({error or 'closed by the server'})")
        self._wake_reader()
        # The parser refers to this object, and `expects` to the request with its body:
        # both would be held until the garbage collector finds them.
        self._parser = None
        self._expects = None

    async def exchange(
        self,
        head: bytes,
        body: bytes,
        *,
        expects: Callable[[ResponseHead], bool] | None = None,
    ) -> ResponseHead:
        """Send a request and return the head of its response.

        Parameters
        ----------
        head : bytes
            Request line and headers, with the empty line.
        body : bytes
            Request body.
        expects : callable, optional
            Returns whether a response belongs to this request. Other responses are
            skipped, and the connection is not reused.

        Raises
        ------
        ExchangeBrokenError
            The connection failed before the head of the response.
        """
        if self.closed or self._unexpected_data or self._transport is None:
            raise ExchangeBrokenError(
                "the connection was already closed", request_written=False
            )
        self._begin(expects)
        if len(body) <= HTTP_SINGLE_WRITE_MAX_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.write(head)
            self._transport.write(body)
        self._head_waiter = self._loop.create_future()
        if self._error is not None:
            raise self._broken_error(self._error)
        return await self._head_waiter

    async def next_chunk(self) -> bytes:
        """Return the next bytes of the body; empty at the end of a complete response.

        Raises
        ------
        ExchangeBrokenError
            The connection failed before the end of the response.
        """
        while not self._chunks:
            if self._complete:
                return b""
            if self._error is not None:
                raise self._broken_error(self._error)
            self._chunk_waiter = self._loop.create_future()
            await self._chunk_waiter
        data = self._chunks.popleft() if len(self._chunks) == 1 else self._join_chunks()
        self._chunk_bytes = 0
        if not self.closed and self._transport is not None:
            self._transport.resume_reading()
        return data

    def finish(self) -> bool:
        """End the exchange and return whether the connection can be reused."""
        reusable = (
            self._complete
            and self._keep_alive
            and not self.closed
            and not self._unexpected_data
            and self._transport is not None
            and self._transport.get_write_buffer_size() == 0
        )
        self._parser = None
        self._expects = None
        self.used_before = True
        if not reusable:
            self.abort()
        return reusable

    def abort(self) -> None:
        """Close the connection at once and discard buffered output."""
        if self._transport is not None and not self.closed:
            self.closed = True
            self._transport.abort()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Record a second response after the complete one."""
        if self._complete:
            self._unexpected_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        # Trailers are discarded.
        if not self._unexpected_data and self._head is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Resolve the waiting request with the response head."""
        if self._unexpected_data or self._parser is None:
            return
        status = self._parser.get_status_code()
        head = ResponseHead(status=status, headers=self._headers)
        self._headers = []
        if not _is_valid_status(status):
            # Skips the rest of this read.
            self._skipping = True
            self._fail(f"the server responded with status {status:03}")
            self.abort()
            return
        if status < 200:
            self._skipping = True
            return
        if self._expects is not None and not self._expects(head):
            self._skipping = True
            self._response_skipped = True
            return
        self._skipping = False
        self._head = head
        self._keep_alive = (
            self._parser.should_keep_alive() and not self._response_skipped
        )
        if self._head_waiter is not None and not self._head_waiter.done():
            self._head_waiter.set_result(head)

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        if self._unexpected_data or self._skipping:
            self._skipped_bytes += len(data)
            return
        self._body_bytes += len(data)
        self._chunks.append(data)
        self._chunk_bytes += len(data)
        if self._chunk_bytes > HTTP_BUFFER_LIMIT_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake_reader()

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self._unexpected_data or self._skipping:
            self._skipping = False
            return
        if self._head is None:
            return
        self._complete = True
        self._wake_reader()

    def _begin(self, expects: Callable[[ResponseHead], bool] | None) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._expects = expects
        self._headers = []
        self._head = None
        self._chunks.clear()
        self._chunk_bytes = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._skipped_bytes = 0
        self._complete = False
        self._skipping = False
        self._response_skipped = False
        self._error = None

    def _join_chunks(self) -> bytes:
        data = b"".join(self._chunks)
        self._chunks.clear()
        return data

    def _fail(self, message: str) -> None:
        self._error = self._error or message
        waiter = self._head_waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(self._broken_error(self._error))
            # Marks the exception as retrieved: the exchange may have been cancelled.
            waiter.exception()
        self._wake_reader()

    def _broken_error(self, message: str) -> ExchangeBrokenError:
        return ExchangeBrokenError(
            message, request_written=True, connection_lost=self._connection_lost
        )

    def _wake_reader(self) -> None:
        waiter = self._chunk_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


def _is_valid_status(status: int) -> bool:
    """Return whether a response may have a status; no request asks for an upgrade."""
    return 100 <= status <= 599 and status != HTTPStatus.SWITCHING_PROTOCOLS


def enable_dead_peer_detection(connected: socket.socket) -> None:
    """Let the kernel close a connection whose peer no longer responds."""
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_UNACKNOWLEDGED_LIMIT_MS
    )
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
    connected.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S
    )
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)


async def open_connection(address: str, *, timeout_s: float) -> HttpConnection:
    """Connect to a server.

    Parameters
    ----------
    address : str
        Address as "ip:port".
    timeout_s : float
        Seconds to wait for the connection.

    Raises
    ------
    ExchangeBrokenError
        No connection within `timeout_s`; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        host, port = split_address(address)
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(HttpConnection, host, port)
    except (OSError, TimeoutError, ValueError) as error:
        raise ExchangeBrokenError(
            f"no connection to {address} ({error!r})", request_written=False
        ) from error
    return connection


async def refuses_connections(address: str, *, timeout_s: float) -> bool:
    """Return whether an address refuses connections.

    Parameters
    ----------
    address : str
        Address as "ip:port".
    timeout_s : float
        Seconds to wait; a server that does not respond may still be running.
    """
    host, port = split_address(address)
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
