"""Loopback proxy that delays, resets, cuts or silences connections."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

from lentilroad.connection.listener import open_listener, split_address

READ_BYTES = 65536


@dataclass(slots=True, kw_only=True)
class LinkFault:
    """What the proxy does to bytes of one link.

    Attributes
    ----------
    delay_s : float
        Seconds by which each read is passed on later.
    drop_requests, drop_answers : bool
        Whether bytes in that direction vanish without an error.
    """

    delay_s: float = 0.0
    drop_requests: bool = False
    drop_answers: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class _Connection:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    silenced: bool = False


class LinkProxy:
    """Forwards connections from a port of its own to a target.

    Parameters
    ----------
    target : str
        Address of the server, "ip:port".
    """

    def __init__(self, *, target: str) -> None:
        self.address = ""
        self.fault = LinkFault()
        self._target = target
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, sock=open_listener(host, 0)
        )
        found_host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{found_host}:{port}"

    def reset_connections(self) -> None:
        """Reset all open connections; new ones work."""
        for connection in list(self._connections):
            for writer in connection.writers:
                writer.transport.abort()

    def silence_connections(self) -> None:
        """Let the open connections pass nothing any more; new ones work."""
        for connection in self._connections:
            connection.silenced = True

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            there_reader, there_writer = await asyncio.open_connection(
                *split_address(self._target)
            )
        except OSError:
            # The server is down; its caller sees the same as without the proxy.
            writer.transport.abort()
            return
        connection = _Connection(writers=(writer, there_writer))
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(connection, reader, there_writer, requests=True),
                self._forward(connection, there_reader, writer, requests=False),
            )
        finally:
            self._connections.discard(connection)
            for each in connection.writers:
                each.transport.abort()

    async def _forward(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        requests: bool,
    ) -> None:
        # A connection that ends at one side, or was reset, ends at the other one too.
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                fault = self.fault
                if fault.delay_s:
                    await asyncio.sleep(fault.delay_s)
                dropped = fault.drop_requests if requests else fault.drop_answers
                if dropped or connection.silenced:
                    continue
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
