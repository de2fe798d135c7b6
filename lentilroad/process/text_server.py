"""HTTP server for plain text, such as readiness and metrics."""

from __future__ import annotations

import socket
from collections.abc import Callable

from aiohttp import web

from lentilroad.connection.const import LISTEN_BACKLOG
from lentilroad.connection.listener import open_listener, split_address


async def serve_text(
    address: str, handlers: dict[str, Callable[[], tuple[int, str]]]
) -> web.ServerRunner:
    """Serve plain text; `handlers` returns status and text for each path."""

    async def handle(request: web.BaseRequest) -> web.Response:
        handler = handlers.get(request.path)
        if handler is None:
            return web.Response(status=404)
        status, text = handler()
        return web.Response(status=status, text=text)

    listener = open_listener(*split_address(address))
    return await start_site(web.Server(handle, access_log=None), listener)


async def start_site(server: web.Server, listener: socket.socket) -> web.ServerRunner:
    """Accept connections for a server on a bound socket."""
    runner = web.ServerRunner(server)
    await runner.setup()
    await web.SockSite(runner, listener, backlog=LISTEN_BACKLOG).start()
    return runner
