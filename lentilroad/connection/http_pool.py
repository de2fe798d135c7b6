"""Kept HTTP connections to one server."""

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
        """Lend a connection for one exchange.

        Raises
        ------
        ExchangeBrokenError
            No connection can be opened; nothing was sent.
        """
        lent = self._take_idle()
        if lent is None:
            lent = await open_connection(
                self.address, timeout_s=UPSTREAM_CONNECT_TIMEOUT_S
            )
        kept = False
        try:
            yield lent
            kept = lent.finish()
        finally:
            if not kept:
                lent.abort()
        if kept and lent.idle_until_s > self._clock.monotonic_s():
            self._idle.append(lent)
        else:
            lent.abort()

    def record_keep_alive(self, lent: HttpConnection, head: ResponseHead) -> None:
        """Remember until when the server keeps a connection open."""
        lent.idle_until_s = self._clock.monotonic_s() + keep_alive_s(head)

    def close(self) -> None:
        """Close all kept connections."""
        for kept in self._idle:
            kept.abort()
        self._idle.clear()

    def _take_idle(self) -> HttpConnection | None:
        now_s = self._clock.monotonic_s()
        while self._idle:
            kept = self._idle.pop()
            if not kept.closed and kept.idle_until_s > now_s:
                return kept
            kept.abort()
        return None


def keep_alive_s(head: ResponseHead) -> float:
    """Return for how many seconds a connection may stay idle before its next use."""
    for part in (head.value(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit() and len(value) < 10:
            return max(0.0, int(value) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_KEEP_ALIVE_S
