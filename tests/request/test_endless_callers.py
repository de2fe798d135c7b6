"""Callers that send an endless request head or body."""

from __future__ import annotations

import asyncio
import tracemalloc

import pytest

from lentilroad.version.routes import ClientLimits, Route, RouteKind, RouteTable
from tests.fakes.gateway import ATTEMPT_ID, serving_gateway

CHUNK_BYTES = 64 * 1024
# Covers the limits below, the chunks in flight and the event loop's buffers.
MAX_GROWTH_BYTES = 4 * 1024 * 1024
HEAD = f"POST /call/x HTTP/1.1\r\nHost: h.example\r\n{ATTEMPT_ID}: a1\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

ENDLESS: dict[str, tuple[bytes, bytes]] = {
    "request line": (b"GET /", b"x" * CHUNK_BYTES),
    "one header": (HEAD + b"X: ", b"x" * CHUNK_BYTES),
    "many headers": (HEAD, b"X-Header: value\r\n" * (CHUNK_BYTES // 17)),
    "empty lines": (b"", b"\r\n" * (CHUNK_BYTES // 2)),
    "chunk extension": (CHUNKED + b"1;", b"x" * CHUNK_BYTES),
    "trailers": (CHUNKED + b"0\r\n", b"X-T: value\r\n" * (CHUNK_BYTES // 12)),
    "chunked body": (CHUNKED, b"%x\r\n" % CHUNK_BYTES + b"x" * CHUNK_BYTES + b"\r\n"),
    "length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * CHUNK_BYTES),
    "pipelined requests": (
        b"",
        (HEAD + b"Content-Length: 0\r\n\r\n") * (CHUNK_BYTES // 100),
    ),
}


def _table() -> RouteTable:
    route = Route(
        name="call",
        host="h.example",
        prefix="/call/",
        kind=RouteKind.NON_IDEMPOTENT,
        services=(("svc", 1),),
        timeout_s=1.0,
        target_latency_s=0.3,
    )
    limits = ClientLimits(
        max_header_bytes=16384, max_body_bytes=1024 * 1024, header_timeout_s=1.0
    )
    return RouteTable(version=1, routes=[route], services={}, limits=limits)


@pytest.mark.parametrize("part", ENDLESS)
async def test_memory_for_endless_request_is_bounded(part: str) -> None:
    """Guard against a caller that exhausts the entry's memory with endless input."""
    prefix, chunk = ENDLESS[part]
    sent_bytes = 0
    closed = False
    async with serving_gateway([], _table()) as gateway:
        host, port = gateway.runner.addresses[0][:2]
        _, writer = await asyncio.open_connection(host, port)
        tracemalloc.start()
        try:
            writer.write(prefix)
            async with asyncio.timeout(4.0):
                while sent_bytes < 64 * 1024 * 1024:
                    writer.write(chunk)
                    await writer.drain()
                    sent_bytes += len(chunk)
                    await asyncio.sleep(0)
        except ConnectionError:
            closed = True
        except TimeoutError:
            pass
        finally:
            peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            writer.close()
    # The entry either closes the connection or stops reading, which bounds what the
    # caller can send.
    assert closed or sent_bytes < 16 * 1024 * 1024, sent_bytes
    assert peak_bytes < MAX_GROWTH_BYTES, peak_bytes
