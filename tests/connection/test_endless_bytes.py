"""Servers that send unlimited bytes, or bytes that are not a valid response.

Without limits, only the request's deadline ended such an exchange, and until then the
entry's memory grew by more than 100 MB a second.
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
from lentilroad.request.const import ANSWER_MAX_BYTES
from lentilroad.request.exchange import read_response
from tests.fakes.raw_server import RawRequest, raw_server

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER_REQUEST = HEAD + b"Lentilroad-Attempt-Id: other\r\n"
PIECE_BYTES = 64 * 1024
# Allowance above the limits: the piece being parsed, its copies, and the buffers of
# the test's own server.
ALLOWANCE_BYTES = 1024 * 1024 + 8 * PIECE_BYTES

ENDLESS_RESPONSES: dict[str, tuple[bytes, bytes]] = {
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
    "answer to another request": (OTHER_REQUEST + b"\r\n", b"x" * PIECE_BYTES),
    "answers to other requests": (
        b"",
        (OTHER_REQUEST + b"Content-Length: 0\r\n\r\n") * (PIECE_BYTES // 70),
    ),
}


def _flood(first: bytes, piece: bytes) -> Callable:
    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(first)
        while not writer.is_closing():
            writer.write(piece)
            await writer.drain()
            # drain() below the high-water mark returns without yielding to the reader.
            await asyncio.sleep(0)
        return True

    return answer


@pytest.mark.parametrize("part", ENDLESS_RESPONSES)
async def test_endless_response_is_bounded(part: str) -> None:
    """Guard against one faulty server that exhausts the entry's memory."""
    async with raw_server(_flood(*ENDLESS_RESPONSES[part])) as server:
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
                    await read_response(connection, head, worker_protocol())
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
            connection.abort()
    assert caught.value.outcome == "unknown"
    limit_bytes = HTTP_OVERHEAD_LIMIT_BYTES + HTTP_BUFFER_LIMIT_BYTES
    limit_bytes += HTTP_SKIPPED_LIMIT_BYTES
    if "body" in part:
        # The growing buffer is copied once.
        limit_bytes += 2 * ANSWER_MAX_BYTES
    assert peak_bytes < limit_bytes + ALLOWANCE_BYTES


async def test_endless_bytes_after_a_response_close_the_connection() -> None:
    """Guard against unlimited bytes on an idle connection between two requests."""
    first = HEAD + b"Content-Length: 2\r\n\r\nok"
    async with raw_server(_flood(first, b"x" * PIECE_BYTES)) as server:
        connection = await open_connection(server.address, timeout_s=1.0)
        await connection.exchange(REQUEST, b"")
        assert await connection.next_chunk() == b"ok"
        reusable = connection.finish()
        await asyncio.sleep(0.1)
        assert connection.closed or not reusable
