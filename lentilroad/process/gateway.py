"""Entry process in front of upstream services: callers' side and readiness."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web

from lentilroad.clock import Clock
from lentilroad.process.events import log_event
from lentilroad.process.text_server import start_site
from lentilroad.request.ingress import Ingress
from lentilroad.version.routes import ClientLimits, RouteTable

# The balancer asks once a second and takes an instance out after two misses; new
# connections arrive until then.
LISTEN_AFTER_STOP_S = 3.0
# Answers that still run this long before the platform kills the process are cut.
STOP_MARGIN_S = 0.4
STOP_POLL_S = 0.05
# Bound on one header line; the sum is bounded by the operators' limits.
MOST_HEADER_LINE_BYTES = 16384
# Bytes of one request and the next head, for each byte that a body may have: chunks of
# one byte take six.
FRAMING_PER_BODY_BYTE = 8
LEAST_BODY_BYTES = 65536
# Callers within the limit may be delayed on the way.
HEADER_TIMEOUT_MARGIN_S = 0.5


@dataclass(slots=True, kw_only=True)
class GatewayState:
    """Beliefs of an entry that change while it runs."""

    table: RouteTable | None = None
    stopping: bool = False

    def apply_table(self, table: RouteTable) -> None:
        """Take a newer configuration into force; an older one is ignored."""
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        log_event("configuration_in_force", version=table.version)

    def limits(self) -> ClientLimits:
        """Return the limits of client connections in force."""
        return ClientLimits() if self.table is None else self.table.limits


class _CallerConnection(web.RequestHandler):
    """Connection of a caller whose bytes and slow heads are bounded.

    aiohttp bounds each line; it bounds neither empty lines, nor the framing of
    chunks, nor how long a first head may take.
    """

    __slots__ = ("_head_timer", "_limits", "_received_bytes", "_request_open")

    def __init__(self, manager: web.Server, limits: ClientLimits) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            access_log=None,
            max_line_size=MOST_HEADER_LINE_BYTES,
            max_field_size=MOST_HEADER_LINE_BYTES,
            keepalive_timeout=limits.idle_timeout_s,
            lingering_time=0.0,
            # Bodies go on as they are, with the caller's Content-Encoding.
            auto_decompress=False,
        )
        self._limits = limits
        self._received_bytes = 0
        self._request_open = False
        self._head_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Count the bytes of a request, and begin to wait for its head."""
        self._received_bytes += len(data)
        limits = self._limits
        allowed_bytes = limits.header_bytes + (
            FRAMING_PER_BODY_BYTE * max(limits.body_bytes, LEAST_BODY_BYTES)
        )
        if self._received_bytes > allowed_bytes:
            self._break_off("bytes without end")
            return
        if not self._request_open and self._head_timer is None:
            self._head_timer = asyncio.get_running_loop().call_later(
                limits.header_timeout_s + HEADER_TIMEOUT_MARGIN_S,
                lambda: self._break_off("the head of a request takes too long"),
            )
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the timer."""
        self._cancel_timer()
        super().connection_lost(exc)

    def note_request(self, *, is_open: bool) -> None:
        """Note that a request was read, or that it has ended."""
        self._request_open = is_open
        self._received_bytes = 0
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _break_off(self, reason: str) -> None:
        if self.transport is None:
            return
        log_event(
            "caller_connection_closed",
            reason=reason,
            received_bytes=self._received_bytes,
        )
        self.transport.abort()


class _CallerServer(web.Server):
    """Server whose new connections follow the limits in force."""

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
    """Accept callers' connections on a bound socket."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, _CallerConnection)
        connection.note_request(is_open=True)
        try:
            return await ingress.handle(request)
        finally:
            connection.note_request(is_open=False)

    return await start_site(_CallerServer(handle, state), listener)


async def drain(
    *,
    state: GatewayState,
    ingress: Ingress,
    runner: web.ServerRunner,
    grace_s: float,
    clock: Clock,
) -> None:
    """Stop without interrupting requests.

    Parameters
    ----------
    state : GatewayState
        Marked as stopping, so that readiness is refused at once.
    ingress : Ingress
        Its open requests are waited for.
    runner : web.ServerRunner
        Listener of callers.
    grace_s : float
        Seconds until the platform kills the process.
    clock : Clock
        Source of time.
    """
    state.stopping = True
    stopped_s = clock.monotonic_s()
    log_event("stopping", open_requests=ingress.open_requests)
    await clock.sleep(min(LISTEN_AFTER_STOP_S, grace_s / 2))
    for site in list(runner.sites):
        await site.stop()
    # Connections finish the request that they have read and take no other one.
    runner.server.pre_shutdown()
    while clock.monotonic_s() - stopped_s < grace_s - STOP_MARGIN_S:
        # A request that was read in the moment before is busy after this wait.
        await clock.sleep(STOP_POLL_S)
        connections = list(runner.server.connections)
        for connection in connections:
            if connection not in ingress.busy_connections:
                connection.force_close()
        if not connections and ingress.open_requests == 0:
            break
    log_event(
        "stopped",
        open_requests=ingress.open_requests,
        elapsed_s=round(clock.monotonic_s() - stopped_s, 3),
    )
