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


@dataclass(slots=True, kw_only=True)
class GatewayState:
    """Beliefs of an entry that change while it runs."""

    table: RouteTable | None = None
    stopping: bool = False

    def note_table(self, table: RouteTable) -> None:
        """Take a newer configuration into force; an older one is ignored."""
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        log_event("configuration_in_force", version=table.version)

    def limits(self) -> ClientLimits:
        """Return the limits of client connections in force."""
        return ClientLimits() if self.table is None else self.table.limits


class _CallerServer(web.Server):
    """Server whose new connections follow the idle limit in force."""

    def __init__(
        self, handler: Callable[..., Awaitable[web.StreamResponse]], state: GatewayState
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._state = state

    def __call__(self) -> web.RequestHandler:
        return web.RequestHandler(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            max_line_size=MOST_HEADER_LINE_BYTES,
            max_field_size=MOST_HEADER_LINE_BYTES,
            keepalive_timeout=self._state.limits().idle_timeout_s,
            lingering_time=0.0,
        )


async def serve_callers(
    listener: socket.socket, ingress: Ingress, state: GatewayState
) -> web.ServerRunner:
    """Accept callers' connections on a bound socket."""
    return await start_site(_CallerServer(ingress.handle, state), listener)


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
