"""Statsd client that never blocks and never fails a request."""

from __future__ import annotations

import socket

from statsd.client.base import StatsClientBase


class StatsdMetrics(StatsClientBase):
    """statsd client on a non-blocking UDP socket.

    Parameters
    ----------
    address : str or None
        Receiver as "ip:port"; metrics are dropped when None.
    prefix : str
        Prefix of every metric name.
    """

    def __init__(self, *, address: str | None, prefix: str = "lentilroad") -> None:
        self._prefix = prefix
        self._maxudpsize = 512
        self._receiver: tuple[str, int] | None = None
        self._socket: socket.socket | None = None
        if address is None:
            return
        host, _, port = address.rpartition(":")
        self._receiver = (host, int(port))
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def _send(self, data: str) -> None:
        if self._socket is None or self._receiver is None:
            return
        # With a full buffer or no receiver the metric is lost; the request continues.
        try:
            self._socket.sendto(data.encode("ascii"), self._receiver)
        except OSError:
            return

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
