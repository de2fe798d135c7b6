"""HTTP server for plain text, such as readiness and metrics."""

from __future__ import annotations

import socket
from collections.abc import Callable

from aiohttp import web

from lentilroad.connection.const import LISTEN_BACKLOG
from lentilroad.connection.listener import open_listener, split_address
from lentilroad.connection.open_connections import OpenConnections
from lentilroad.process.caller_connection import BoundedServer
from lentilroad.process.telemetry import Telemetry
from lentilroad.version.routes import ClientLimits

# Requests for text have no body.
_LIMITS = ClientLimits(max_body_bytes=0)


async def serve_text(
    address: str,
    handlers: dict[str, Callable[[], tuple[int, str]]],
    *,
    max_connections: int,
    telemetry: Telemetry,
) -> web.ServerRunner:
    """Serve plain text; `handlers` returns status and text for each path."""

    async def handle(request: web.BaseRequest) -> web.Response:
        handler = handlers.get(request.path)
        if handler is None:
            return web.Response(status=404)
        status, text = handler()
        return web.Response(status=status, text=text)

    listener = open_listener(*split_address(address))
    server = BoundedServer(
        handle,
        limits=lambda: _LIMITS,
        open_connections=OpenConnections(max_connections=max_connections),
        telemetry=telemetry,
    )
    return await start_site(server, listener)


async def start_site(server: web.Server, listener: socket.socket) -> web.ServerRunner:
    """Accept connections for a server on a bound socket."""
    runner = web.ServerRunner(server)
    await runner.setup()
    await web.SockSite(runner, listener, backlog=LISTEN_BACKLOG).start()
    return runner
