"""Server for callers of an entry: connection limits and draining."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from lentilroad.clock import Clock
from lentilroad.process.events import log_event
from lentilroad.process.text_server import start_site
from lentilroad.request.ingress import Ingress
from lentilroad.version.routes import ClientLimits, RouteTable

# The balancer checks readiness once a second and removes an instance after two failed
# checks; until then new connections arrive.
LISTEN_AFTER_STOP_S = 3.0
# The drain ends this long before the platform kills the process; streams that are still
# open then are cut off.
KILL_MARGIN_S = 0.4
# Requests without a response get their final answer this long before the drain ends, so
# that it reaches the caller.
FINAL_ANSWER_MARGIN_S = 0.25
# Largest share of a short grace period that each margin takes.
MAX_MARGIN_SHARE = 0.2
STOP_POLL_INTERVAL_S = 0.05
# Limit of one header line; the operators' limits apply to all headers together.
MAX_HEADER_LINE_BYTES = 16384
# Allowed bytes of one request and the next head per byte of the body limit. A chunk of
# one byte takes six bytes.
RECEIVED_BYTES_PER_BODY_BYTE = 8
MIN_COUNTED_BODY_BYTES = 65536
# Allowance for network delay of callers that send their head within the limit.
HEADER_TIMEOUT_MARGIN_S = 0.5


@dataclass(slots=True, kw_only=True)
class GatewayState:
    """Configuration in force and shutdown state of an entry."""

    table: RouteTable | None = None
    stopping: bool = False

    def apply_table(self, table: RouteTable) -> None:
        """Apply a newer configuration; ignore one that is not newer."""
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        log_event("configuration_in_force", version=table.version)

    def limits(self) -> ClientLimits:
        """Return the limits in force for callers' connections."""
        return ClientLimits() if self.table is None else self.table.limits


class _CallerConnection(web.RequestHandler):
    """Connection of a caller with limits on received bytes and on slow heads.

    aiohttp limits the length of each line, but not the number of empty lines, the
    framing of chunks, or the time that the first head may take.
    """

    __slots__ = ("_head_timer", "_is_request_open", "_limits", "_received_bytes")

    def __init__(self, manager: web.Server, limits: ClientLimits) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            access_log=None,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            keepalive_timeout=limits.idle_timeout_s,
            lingering_time=0.0,
            # Bodies are forwarded unchanged, with the caller's Content-Encoding.
            auto_decompress=False,
        )
        self._limits = limits
        self._received_bytes = 0
        self._is_request_open = False
        self._head_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Count the received bytes and start the timeout of a request's head."""
        self._received_bytes += len(data)
        limits = self._limits
        allowed_bytes = limits.max_header_bytes + (
            RECEIVED_BYTES_PER_BODY_BYTE
            * max(limits.max_body_bytes, MIN_COUNTED_BODY_BYTES)
        )
        if self._received_bytes > allowed_bytes:
            self._abort("the request exceeds the limit of received bytes")
            return
        if not self._is_request_open and self._head_timer is None:
            self._head_timer = asyncio.get_running_loop().call_later(
                limits.header_timeout_s + HEADER_TIMEOUT_MARGIN_S,
                lambda: self._abort("timeout while reading the head of a request"),
            )
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timeout of a request's head."""
        self._cancel_timer()
        super().connection_lost(exc)

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
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _abort(self, reason: str) -> None:
        if self.transport is None:
            return
        log_event(
            "caller_connection_closed",
            reason=reason,
            received_bytes=self._received_bytes,
        )
        self.transport.abort()


class _CallerServer(web.Server):
    """Server that applies the limits in force to each new connection."""

    def __init__(
        self, handler: Callable[..., Awaitable[web.StreamResponse]], state: GatewayState
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._state = state

    def __call__(self) -> web.RequestHandler:
        return _CallerConnection(self, self._state.limits())


async def serve_callers(
    listener: socket.socket, ingress: Ingress, state: GatewayState
) -> web.ServerRunner:
    """Accept connections of callers on a bound socket."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, _CallerConnection)
        connection.set_request_open(is_open=True)
        try:
            return await ingress.handle(request)
        finally:
            connection.set_request_open(is_open=False)

    return await start_site(_CallerServer(handle, state), listener)


async def drain(
    *,
    state: GatewayState,
    ingress: Ingress,
    runner: web.ServerRunner,
    grace_s: float,
    clock: Clock,
) -> None:
    """Close the listener, then wait for open requests until the grace period ends.

    Each request whose response has not started gets an answer before that.

    Parameters
    ----------
    state : GatewayState
        Marked as stopping, so that readiness checks fail at once.
    ingress : Ingress
        Handler of the open requests.
    runner : web.ServerRunner
        Server of callers.
    grace_s : float
        Seconds until the platform kills the process.
    clock : Clock
        Source of time.
    """
    state.stopping = True
    stop_started_s = clock.monotonic_s()
    ends_s = stop_started_s + grace_s - min(KILL_MARGIN_S, MAX_MARGIN_SHARE * grace_s)
    log_event("stopping", open_requests=ingress.open_requests)
    ingress.stop_by(ends_s - min(FINAL_ANSWER_MARGIN_S, MAX_MARGIN_SHARE * grace_s))
    await clock.sleep(min(LISTEN_AFTER_STOP_S, grace_s / 2))
    for site in list(runner.sites):
        await site.stop()
    # Connections finish the request that they have read and accept no further request.
    runner.server.pre_shutdown()
    while clock.monotonic_s() < ends_s:
        # A request that was read just before is counted as busy after this sleep.
        await clock.sleep(STOP_POLL_INTERVAL_S)
        connections = list(runner.server.connections)
        for connection in connections:
            if connection not in ingress.busy_connections:
                connection.force_close()
        if not connections and ingress.open_requests == 0:
            break
    log_event(
        "stopped",
        open_requests=ingress.open_requests,
        elapsed_s=round(clock.monotonic_s() - stop_started_s, 3),
    )
