"""Limit on open connections."""

from __future__ import annotations

from lentilroad.connection.open_connections import OpenConnections


class _Listener:
    """Limit of three connections that records which ones were closed."""

    def __init__(self) -> None:
        self.connections = OpenConnections(max_connections=3)
        self.closed: list[str] = []

    def connect(self, name: str) -> None:
        self.connections.add(name, lambda: self.closed.append(name))


def test_connections_without_a_request_give_way_first() -> None:
    """Guard against silent connections that keep ordinary callers out."""
    listener = _Listener()
    for name in ("served", "silent-1", "silent-2"):
        listener.connect(name)
    listener.connections.set_busy("served", is_busy=True)
    listener.connections.set_busy("served", is_busy=False)
    for name in ("new-1", "new-2", "new-3"):
        listener.connect(name)
    assert listener.closed == ["silent-1", "silent-2", "new-1"]
    assert listener.connections.count() == 3


def test_requests_in_progress_are_not_closed() -> None:
    """Guard against losing requests that are being served to new connections."""
    listener = _Listener()
    for name in ("a", "b", "c"):
        listener.connect(name)
        listener.connections.set_busy(name, is_busy=True)
    listener.connect("new")
    assert listener.closed == ["new"]
    for _ in range(2):
        listener.connections.remove("a")
    listener.connections.remove("new")
    assert listener.connections.count() == 2
