"""Limit on the connections that outsiders open to a listener."""

from __future__ import annotations

from collections.abc import Callable, Hashable


class OpenConnections:
    """Connections of one listener; the oldest one without a request gives way.

    Connections that never sent a request go first, those that are idle after a request
    next. A connection whose request is being served is never closed: with only such
    ones, the new connection is.

    Parameters
    ----------
    max_connections : int
        Number of connections that stay open.
    """

    __slots__ = ("_busy", "_idle", "_max_connections", "_unused", "closed_early")

    def __init__(self, *, max_connections: int) -> None:
        self._max_connections = max_connections
        # Functions that close a connection, in the order in which they became idle.
        self._unused: dict[Hashable, Callable[[], None]] = {}
        self._idle: dict[Hashable, Callable[[], None]] = {}
        self._busy: dict[Hashable, Callable[[], None]] = {}
        # Number of connections that were closed for others.
        self.closed_early = 0

    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._unused) + len(self._idle) + len(self._busy)

    def add(self, connection: Hashable, close: Callable[[], None]) -> None:
        """Count a new connection, and close one if there are too many."""
        if self.count() >= self._max_connections:
            self.closed_early += 1
            idle = self._unused or self._idle
            if not idle:
                close()
                return
            close_oldest = idle.pop(next(iter(idle)))
            close_oldest()
        self._unused[connection] = close

    def set_busy(self, connection: Hashable, *, is_busy: bool) -> None:
        """Record that a request of a connection began or ended."""
        if is_busy:
            close = self._unused.pop(connection, None) or self._idle.pop(
                connection, None
            )
            if close is not None:
                self._busy[connection] = close
            return
        close = self._busy.pop(connection, None)
        if close is not None:
            self._idle[connection] = close

    def remove(self, connection: Hashable) -> None:
        """Forget a closed connection; a second call has no effect."""
        self._unused.pop(connection, None)
        self._idle.pop(connection, None)
        self._busy.pop(connection, None)
