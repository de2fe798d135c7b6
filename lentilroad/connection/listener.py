"""Listening sockets."""

from __future__ import annotations

import socket


def open_listener(host: str, port: int) -> socket.socket:
    """Return a bound TCP socket; port 0 selects a free port.

    asyncio disables Nagle's algorithm only for sockets created with an explicit
    protocol; with Nagle's algorithm, a unary call takes 46 ms instead of 2 ms.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.setblocking(False)
    return listener


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of "ip:port"; raises `ValueError`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
