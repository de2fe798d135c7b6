"""Loopback proxy that delays or resets connections, or drops their bytes."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

from lentilroad.connection.listener import open_listener, split_address

READ_BYTES = 65536


@dataclass(slots=True, kw_only=True)
class LinkFault:
    """Fault that the proxy applies to the bytes of one link.

    Attributes
    ----------
    delay_s : float
        Seconds by which each chunk is delayed before it is forwarded.
    drop_requests, drop_replies : bool
        Whether bytes in that direction are dropped without an error.
    """

    delay_s: float = 0.0
    drop_requests: bool = False
    drop_replies: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class _Connection:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    blackholed: bool = False


class LinkProxy:
    """Proxy that forwards connections from its own port to a target.

    Parameters
    ----------
    target : str
        Address of the server, "ip:port".
    """

    def __init__(self, *, target: str) -> None:
        self.address = ""
        # Loop time until which connections were disturbed; infinite during a fault.
        self.disturbed_until_s = float("-inf")
        self._fault = LinkFault()
        self._target = target
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    @property
    def fault(self) -> LinkFault:
        """Fault that is applied to all bytes."""
        return self._fault

    @fault.setter
    def fault(self, fault: LinkFault) -> None:
        is_sound = fault == LinkFault()
        if self._fault != fault:
            self.disturbed_until_s = (
                asyncio.get_running_loop().time() if is_sound else float("inf")
            )
        self._fault = fault

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._server is not None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        await self._listen(host, 0)

    async def listen_again(self) -> None:
        """Listen on the former port after `close`."""
        await self._listen(*split_address(self.address))

    async def _listen(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(
            self._serve, sock=open_listener(host, port)
        )
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{bound_host}:{bound_port}"

    def reset_connections(self) -> None:
        """Reset all open connections; new connections work."""
        self._record_disturbance()
        for connection in list(self._connections):
            for writer in connection.writers:
                writer.transport.abort()

    def blackhole_connections(self) -> None:
        """Drop all further bytes of open connections; new connections work."""
        self._record_disturbance()
        for connection in self._connections:
            connection.blackholed = True

    def _record_disturbance(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self.disturbed_until_s = max(self.disturbed_until_s, now_s)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *split_address(self._target)
            )
        except OSError:
            # The target is down; the caller gets an error, as without the proxy.
            writer.transport.abort()
            return
        connection = _Connection(writers=(writer, target_writer))
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(connection, reader, target_writer, requests=True),
                self._forward(connection, target_reader, writer, requests=False),
            )
        finally:
            self._connections.discard(connection)
            for open_writer in connection.writers:
                open_writer.transport.abort()

    async def _forward(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        requests: bool,
    ) -> None:
        # End of input or a reset on one side also ends the other side.
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                fault = self.fault
                if fault.delay_s:
                    await asyncio.sleep(fault.delay_s)
                dropped = fault.drop_requests if requests else fault.drop_replies
                if dropped or connection.blackholed:
                    continue
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
