"""Pool of keep-alive HTTP connections to one server."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lentilroad.clock import Clock
from lentilroad.connection.const import (
    DEFAULT_KEEP_ALIVE_S,
    KEEP_ALIVE_MARGIN_S,
    UPSTREAM_CONNECT_TIMEOUT_S,
)
from lentilroad.connection.http_exchange import (
    HttpConnection,
    ResponseHead,
    open_connection,
)


class HttpPool:
    """Connections to one server, the most recently used one first.

    Parameters
    ----------
    address : str
        Address of the server, "ip:port".
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_idle", "address")

    def __init__(self, *, address: str, clock: Clock) -> None:
        self.address = address
        self._clock = clock
        self._idle: list[HttpConnection] = []

    @asynccontextmanager
    async def connection(self) -> AsyncIterator[HttpConnection]:
        """Provide a connection for one exchange.

        Raises
        ------
        ExchangeBrokenError
            No connection can be opened; nothing was sent.
        """
        connection = self._pop_idle()
        if connection is None:
            connection = await open_connection(
                self.address, timeout_s=UPSTREAM_CONNECT_TIMEOUT_S
            )
        reusable = False
        try:
            yield connection
            reusable = connection.finish()
        finally:
            if not reusable:
                connection.abort()
        if reusable and connection.idle_until_s > self._clock.monotonic_s():
            self._idle.append(connection)
        else:
            connection.abort()

    def record_keep_alive(self, connection: HttpConnection, head: ResponseHead) -> None:
        """Record until when the server keeps an idle connection open."""
        connection.idle_until_s = self._clock.monotonic_s() + keep_alive_s(head)

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _pop_idle(self) -> HttpConnection | None:
        now_s = self._clock.monotonic_s()
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed and connection.idle_until_s > now_s:
                return connection
            connection.abort()
        return None


def keep_alive_s(head: ResponseHead) -> float:
    """Return for how many seconds a connection may stay idle before its next use."""
    for part in (head.value(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit() and len(value) < 10:
            return max(0.0, int(value) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_KEEP_ALIVE_S
