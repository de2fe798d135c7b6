"""Server for calls from other lentilroad processes."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Awaitable, Callable, Mapping
from typing import Any
from weakref import WeakSet

from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler
from grpclib.protocol import H2Protocol
from grpclib.server import Server, Stream

from lentilroad.connection.const import (
    HTTP2_WINDOW_BYTES,
    LISTEN_BACKLOG,
    SHUTDOWN_GRACE_S,
)
from lentilroad.connection.errors import to_grpc_error
from lentilroad.connection.frames import CALLS_PATH, Frame
from lentilroad.connection.listener import open_listener
from lentilroad.connection.server_session import ServerSession
from lentilroad.errors import LentilroadError, UnavailableError
from lentilroad.wire.codec import MessagePackCodec
from lentilroad.wire.messages import HealthPing
from lentilroad.wire.services import (
    HEALTH_PING,
    Method,
    MethodTable,
    StreamingHandler,
    UnaryHandler,
)


class _TrackingServer(Server):
    """Server that can close its connections; grpclib leaves them open."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._protocols: WeakSet[H2Protocol] = WeakSet()

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol

    def close_connections(self) -> None:
        """Close all accepted connections."""
        for protocol in list(self._protocols):
            if hasattr(protocol, "connection"):
                protocol.connection.close()


class PeerServer:
    """Running server; made by `start_server`.

    Attributes
    ----------
    address : str
        Address on which the server listens, "ip:port".
    port : int
        Port on which the server listens.
    """

    def __init__(
        self, *, handlers: Mapping[Method, UnaryHandler | StreamingHandler]
    ) -> None:
        self.address = ""
        self.port = 0
        self._open_requests = 0
        self._closing = False
        self._requests_finished = asyncio.Event()
        self._handlers = {
            method.path: (method, handler) for method, handler in handlers.items()
        }
        self._server = _TrackingServer(
            [
                _WrappedTable(table=MethodTable(handlers=handlers), wrap=self._wrap),
                _CallsTable(serve=self._serve_calls),
            ],
            codec=MessagePackCodec(),
            config=Configuration(
                http2_connection_window_size=HTTP2_WINDOW_BYTES,
                http2_stream_window_size=HTTP2_WINDOW_BYTES,
            ),
        )

    async def start(
        self, *, host: str, port: int, ssl_context: ssl.SSLContext | None
    ) -> None:
        """Listen on `host` and `port`; port 0 selects a free port."""
        listener = open_listener(host, port)
        self.port = listener.getsockname()[1]
        self.address = f"[{host}]:{self.port}" if ":" in host else f"{host}:{self.port}"
        await self._server.start(sock=listener, ssl=ssl_context, backlog=LISTEN_BACKLOG)

    async def close(self, *, grace_s: float = SHUTDOWN_GRACE_S) -> None:
        """Reject new requests, wait for open requests, and stop.

        Parameters
        ----------
        grace_s : float, optional
            Seconds after which requests that are still open are cancelled.
        """
        self._closing = True
        if self._open_requests:
            try:
                async with asyncio.timeout(grace_s):
                    await self._requests_finished.wait()
            except TimeoutError:
                pass
        self._server.close()
        await self._server.wait_closed()
        self._server.close_connections()

    def _begin(self, path: str) -> None:
        if path == HEALTH_PING.path:
            return
        if self._closing:
            raise UnavailableError("process is stopping; use another process")
        self._open_requests += 1

    def _end(self, path: str) -> None:
        if path == HEALTH_PING.path:
            return
        self._open_requests -= 1
        if self._closing and self._open_requests == 0:
            self._requests_finished.set()

    async def _serve_calls(self, stream: Stream) -> None:
        session = ServerSession(
            handlers=self._handlers, begin=self._begin, end=self._end
        )
        await session.run(stream)

    def _wrap(
        self, path: str, serve: Callable[[Stream], Awaitable[None]]
    ) -> Callable[[Stream], Awaitable[None]]:
        async def serve_typed(stream: Stream) -> None:
            try:
                self._begin(path)
                try:
                    await serve(stream)
                finally:
                    self._end(path)
            except LentilroadError as error:
                raise to_grpc_error(error) from error

        return serve_typed


class _CallsTable:
    """grpclib service with the method that multiplexes calls."""

    __slots__ = ("_serve",)

    def __init__(self, *, serve: Callable[[Stream], Awaitable[None]]) -> None:
        self._serve = serve

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path, as grpclib expects them."""
        handler = Handler(self._serve, Cardinality.STREAM_STREAM, Frame, Frame)
        return {CALLS_PATH: handler}


class _WrappedTable:
    """grpclib service that wraps the handlers of a method table."""

    __slots__ = ("_table", "_wrap")

    def __init__(self, *, table: MethodTable, wrap: Callable[..., Any]) -> None:
        self._table = table
        self._wrap = wrap

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path, as grpclib expects them."""
        return {
            path: handler._replace(func=self._wrap(path, handler.func))
            for path, handler in self._table.__mapping__().items()
        }


async def _answer_ping(request: HealthPing) -> HealthPing:
    return request


async def start_server(
    handlers: Mapping[Method, UnaryHandler | StreamingHandler],
    host: str,
    port: int,
    ssl_context: ssl.SSLContext | None = None,
) -> PeerServer:
    """Serve methods to peers.

    Parameters
    ----------
    handlers : Mapping[Method, Callable]
        Coroutine function for each unary method, async generator function for
        each streaming method. `HEALTH_PING` is added. A `LentilroadError` that a
        handler raises reaches the client as the same error.
    host : str
        IP address to listen on.
    port : int
        Port to listen on; 0 selects a free port.
    ssl_context : ssl.SSLContext, optional
        Server context for mutual TLS.

    Returns
    -------
    PeerServer
        The running server.
    """
    server = PeerServer(handlers={HEALTH_PING: _answer_ping, **handlers})
    await server.start(host=host, port=port, ssl_context=ssl_context)
    return server
