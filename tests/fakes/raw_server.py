"""Loopback server that answers requests with raw bytes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

Answer = Callable[["RawRequest", asyncio.StreamWriter], Awaitable[bool | None]]


@dataclass(slots=True, kw_only=True)
class RawRequest:
    """One received request."""

    head: str
    headers: dict[str, str]
    body: bytes
    connection: int
    reader: asyncio.StreamReader


@dataclass(slots=True, kw_only=True)
class RawServer:
    """Running server; `answer` returns True to close the connection."""

    address: str = ""
    requests: list[RawRequest] = field(default_factory=list)
    connections: int = 0


@asynccontextmanager
async def raw_server(answer: Answer) -> AsyncIterator[RawServer]:
    """Serve HTTP/1.1 requests one after the other on each connection."""
    state = RawServer()
    writers: set[asyncio.StreamWriter] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state.connections += 1
        number = state.connections
        writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (
                        line.partition(":") for line in lines[1:] if line
                    )
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                request = RawRequest(
                    head=lines[0],
                    headers=headers,
                    body=body,
                    connection=number,
                    reader=reader,
                )
                state.requests.append(request)
                if await answer(request, writer):
                    writer.close()
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    state.address = f"{host}:{port}"
    try:
        yield state
    finally:
        server.close()
        for writer in writers:
            writer.close()


def raw_response(body: bytes, status: str = "200 OK", **headers: str) -> bytes:
    """Return a response with Content-Length; underscores in names become hyphens."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
