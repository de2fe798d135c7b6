"""Crowds of callers that do not keep to the limits, or keep to them and stop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from tests.fakes.entry_process import HOST

MIB = 2**20
BODY_BYTES = 4 * MIB
FAR_OVER_BYTES = 16 * MIB
PIECE_BYTES = 8 * 1024
CHUNK_BYTES = 1024
SLOW_START_BYTES = 2 * MIB
SLOW_INTERVAL_S = 0.05
AHEAD_REQUESTS = 2000
TINY_CHUNKS = 256 * 1024
TURN_BYTES = MIB
FIELD_REQUESTS = 20
# Leaves the head of 1,700 fields below 16 KiB.
MANY_FIELDS = b"".join(b"f%d: 1\r\n" % (number % 100) for number in range(1700))
# A crowd that the entry no longer reads ends here.
PLAY_S = 3.0

Caller = Callable[[socket.socket, str], Awaitable[None]]

_CONTENT = memoryview(bytes(FAR_OVER_BYTES))


def _head(path: str, fields: str = "", method: str = "POST") -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Lentilroad-Attempt-Id: a1\r\n{fields}\r\n"
    ).encode()


async def _send(caller: socket.socket, data: bytes | memoryview) -> None:
    await asyncio.get_running_loop().sock_sendall(caller, data)


def largest_body(*, in_chunks: bool) -> bytes:
    """Return a complete request with a body of the largest legal size."""
    content = bytes(BODY_BYTES)
    if not in_chunks:
        return _head("/read/x", f"Content-Length: {BODY_BYTES}\r\n") + content
    chunk = b"%x\r\n" % MIB + content[:MIB] + b"\r\n"
    chunks = chunk * (BODY_BYTES // MIB) + b"0\r\n\r\n"
    return _head("/read/x", "Transfer-Encoding: chunked\r\n") + chunks


async def body_in_one_piece(caller: socket.socket, path: str) -> None:
    """Send a body of legal size and stop one byte before its end."""
    await _send(caller, _head(path, f"Content-Length: {BODY_BYTES}\r\n"))
    await _send(caller, _CONTENT[: BODY_BYTES - 1])


async def body_in_small_pieces(caller: socket.socket, path: str) -> None:
    """Send a body of legal size in small writes, all but its last byte."""
    await _send(caller, _head(path, f"Content-Length: {BODY_BYTES}\r\n"))
    for offset in range(0, BODY_BYTES, PIECE_BYTES):
        end = min(offset + PIECE_BYTES, BODY_BYTES - 1)
        await _send(caller, _CONTENT[offset:end])


async def body_in_chunks(caller: socket.socket, path: str) -> None:
    """Send a body of legal size in chunks and leave out the end."""
    await _send(caller, _head(path, "Transfer-Encoding: chunked\r\n"))
    chunk = b"%x\r\n" % CHUNK_BYTES + bytes(CHUNK_BYTES) + b"\r\n"
    chunks = memoryview(chunk * 64)
    for _ in range(BODY_BYTES // CHUNK_BYTES // 64 - 1):
        await _send(caller, chunks)


async def body_far_over_the_limit(caller: socket.socket, path: str) -> None:
    """Announce and send a body of four times the limit."""
    await _send(caller, _head(path, f"Content-Length: {FAR_OVER_BYTES}\r\n"))
    await _send(caller, _CONTENT)


async def chunks_far_over_the_limit(caller: socket.socket, path: str) -> None:
    """Send chunks of four times the limit."""
    await _send(caller, _head(path, "Transfer-Encoding: chunked\r\n"))
    for _ in range(FAR_OVER_BYTES // MIB):
        await _send(caller, b"%x\r\n" % MIB)
        await _send(caller, _CONTENT[:MIB])
        await _send(caller, b"\r\n")


async def many_fields(caller: socket.socket, path: str) -> None:
    """Send requests of many short fields without reading the answers."""
    head = _head(path, MANY_FIELDS.decode(), "GET")
    for _ in range(FIELD_REQUESTS):
        await _send(caller, head)


async def requests_ahead(caller: socket.socket, path: str) -> None:
    """Send many requests without reading the answers."""
    await _send(caller, _head(path, method="GET") * AHEAD_REQUESTS)


async def slow_sending(caller: socket.socket, path: str) -> None:
    """Send half of a body, and then a byte now and then."""
    await _send(caller, _head(path, f"Content-Length: {BODY_BYTES}\r\n"))
    await _send(caller, _CONTENT[:SLOW_START_BYTES])
    while True:
        await _send(caller, b"x")
        await asyncio.sleep(SLOW_INTERVAL_S)


async def slow_reading(caller: socket.socket, path: str) -> None:
    """Send a request and read its answer a byte now and then."""
    await _send(caller, _head(path, method="GET"))
    received = b"x"
    while received:
        received = await asyncio.get_running_loop().sock_recv(caller, 1)
        await asyncio.sleep(SLOW_INTERVAL_S)


async def half_way(caller: socket.socket, path: str) -> None:
    """Send half of a body and close the sending side."""
    await _send(caller, _head(path, f"Content-Length: {BODY_BYTES}\r\n"))
    await _send(caller, _CONTENT[: BODY_BYTES // 2])
    caller.shutdown(socket.SHUT_WR)


async def half_a_head(caller: socket.socket, path: str) -> None:
    """Send the first part of a head."""
    await _send(caller, _head(path, "X: " + "x" * 8000)[:-2])


async def complete_turn(caller: socket.socket, path: str) -> None:
    """Send a complete turn of legal size whose conversation is kept."""
    request_id = f"turn-{caller.fileno()}"
    fields = f"Content-Length: {TURN_BYTES}\r\n"
    head = _head(path, fields).replace(b"a1", request_id.encode())
    await _send(caller, head)
    await _send(caller, _CONTENT[:TURN_BYTES])
    await asyncio.get_running_loop().sock_recv(caller, 1)


async def tiny_chunks(caller: socket.socket, path: str) -> None:
    """Send chunks of one byte without an end."""
    await _send(caller, _head(path, "Transfer-Encoding: chunked\r\n"))
    chunks = b"1\r\nx\r\n" * 4096
    for _ in range(TINY_CHUNKS // 4096):
        await _send(caller, chunks)


async def fields_ahead(caller: socket.socket, path: str) -> None:
    """Send many requests of many short fields without reading the answers."""
    head = _head(path, "".join(f"f{n}: 1\r\n" for n in range(120)), "GET")
    await _send(caller, head * AHEAD_REQUESTS)


async def endless_head(caller: socket.socket, path: str) -> None:
    """Send long lines of a head without an end."""
    await _send(caller, _head(path)[:-2])
    for number in range(100):
        await _send(caller, b"X%d: " % number + bytes(b"x" * 16000) + b"\r\n")


async def silence(caller: socket.socket, path: str) -> None:
    """Send nothing."""


@asynccontextmanager
async def open_crowd(
    *, caller: Caller, ip: str, port: int, path: str, size: int
) -> AsyncIterator[None]:
    """Play a crowd until the entry reads no more of it, and keep it connected."""
    sockets: list[socket.socket] = []

    async def play() -> None:
        connected = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connected.setblocking(False)
        # Keeps the kernel from taking the whole answer of a caller that reads slowly.
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        sockets.append(connected)
        try:
            await asyncio.get_running_loop().sock_connect(connected, (ip, port))
            await caller(connected, path)
        except OSError:
            pass  # The entry closed the connection.

    tasks = [asyncio.create_task(play()) for _ in range(size)]
    await asyncio.wait(tasks, timeout=PLAY_S)
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for connected in sockets:
            connected.close()
