"""Server for callers of an entry: connection limits and draining."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from aiohttp import web

from lentilroad.clock import Clock
from lentilroad.connection.open_connections import OpenConnections
from lentilroad.process.caller_connection import BoundedServer
from lentilroad.process.events import log_event
from lentilroad.process.telemetry import Telemetry
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
SEND_BUFFER_BYTES = 128 * 1024


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


async def serve_callers(
    listener: socket.socket,
    ingress: Ingress,
    state: GatewayState,
    *,
    open_connections: OpenConnections,
    telemetry: Telemetry,
) -> web.ServerRunner:
    """Accept connections of callers on a bound socket."""
    server = BoundedServer(
        ingress.handle,
        limits=state.limits,
        open_connections=open_connections,
        telemetry=telemetry,
    )
    # Connections inherit it. The kernel would take up to 4 MB of an answer that its
    # caller does not read.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return await start_site(server, listener)


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
