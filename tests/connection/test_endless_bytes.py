"""Servers that send bytes without end, or bytes that are no answer.

Only the deadline of the request ended such an exchange, and until then the entry's
memory grew by more than 100 MB a second.
"""

from __future__ import annotations

import asyncio
import tracemalloc
from collections.abc import Callable

import pytest

from lentilroad.connection.const import (
    HTTP_BUFFER_LIMIT_BYTES,
    HTTP_OVERHEAD_LIMIT_BYTES,
    HTTP_SKIPPED_LIMIT_BYTES,
)
from lentilroad.connection.http_exchange import ExchangeBrokenError, open_connection
from lentilroad.errors import UpstreamError
from lentilroad.platform.requests import response_matches_request, worker_protocol
from lentilroad.request.const import MOST_ANSWER_BYTES
from lentilroad.request.exchange import read_whole
from tests.fakes.raw_server import RawRequest, raw_server

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FOREIGN = HEAD + b"Lentilroad-Attempt-Id: other\r\n"
PIECE_BYTES = 64 * 1024
# Beyond the bounds themselves: the piece in hand, copies while it is parsed, and the
# buffers of the test's own server.
SLACK_BYTES = 1024 * 1024 + 8 * PIECE_BYTES

ENDLESS: dict[str, tuple[bytes, bytes]] = {
    "status line": (b"HTTP/1.1 200 ", b"x" * PIECE_BYTES),
    "no protocol": (b"", b"\x00" * PIECE_BYTES),
    "one header": (HEAD + b"X: ", b"x" * PIECE_BYTES),
    "many headers": (HEAD, b"X-Header: value\r\n" * (PIECE_BYTES // 17)),
    "informational answers": (
        b"",
        b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n" * (PIECE_BYTES // 28),
    ),
    "chunk extension": (CHUNKED + b"1;", b"x" * PIECE_BYTES),
    "trailers": (CHUNKED + b"0\r\n", b"X-T: value\r\n" * (PIECE_BYTES // 12)),
    "chunked body": (
        CHUNKED,
        b"%x\r\n" % PIECE_BYTES + b"x" * PIECE_BYTES + b"\r\n",
    ),
    "body without length": (HEAD + b"\r\n", b"x" * PIECE_BYTES),
    "body with a huge length": (
        HEAD + b"Content-Length: 99999999999\r\n\r\n",
        b"x" * PIECE_BYTES,
    ),
    "answer to another request": (FOREIGN + b"\r\n", b"x" * PIECE_BYTES),
    "answers to other requests": (
        b"",
        (FOREIGN + b"Content-Length: 0\r\n\r\n") * (PIECE_BYTES // 70),
    ),
}


def _flood(first: bytes, piece: bytes) -> Callable:
    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(first)
        while not writer.is_closing():
            writer.write(piece)
            await writer.drain()
            # A drain that has room returns without giving way to the reader.
            await asyncio.sleep(0)
        return True

    return answer


@pytest.mark.parametrize("part", ENDLESS)
async def test_bytes_without_end_are_bounded(part: str) -> None:
    """Guard against an entry that one faulty server drives out of memory."""
    async with raw_server(_flood(*ENDLESS[part])) as server:
        connection = await open_connection(server.address, timeout_s=1.0)
        tracemalloc.start()
        try:
            async with asyncio.timeout(5.0):
                with pytest.raises((ExchangeBrokenError, UpstreamError)) as caught:
                    head = await connection.exchange(
                        REQUEST,
                        b"",
                        expects=lambda found: response_matches_request("own", found),
                    )
                    await read_whole(connection, head, worker_protocol())
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
            connection.abort()
    assert caught.value.outcome == "unknown"
    bounds_bytes = HTTP_OVERHEAD_LIMIT_BYTES + HTTP_BUFFER_LIMIT_BYTES
    bounds_bytes += HTTP_SKIPPED_LIMIT_BYTES
    if "body" in part:
        # Growing the buffer copies it once.
        bounds_bytes += 2 * MOST_ANSWER_BYTES
    assert peak_bytes < bounds_bytes + SLACK_BYTES


async def test_bytes_without_end_after_an_answer_close_the_connection() -> None:
    """Guard against a flood on a kept connection between two requests."""
    first = HEAD + b"Content-Length: 2\r\n\r\nok"
    async with raw_server(_flood(first, b"x" * PIECE_BYTES)) as server:
        connection = await open_connection(server.address, timeout_s=1.0)
        await connection.exchange(REQUEST, b"")
        assert await connection.next_chunk() == b"ok"
        kept = connection.finish()
        await asyncio.sleep(0.1)
        assert connection.closed or not kept
