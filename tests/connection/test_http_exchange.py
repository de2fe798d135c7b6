"""Server responses that are late, duplicated, truncated, unframed or early."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.clock import SystemClock
from lentilroad.connection.http_exchange import (
    ExchangeBrokenError,
    HttpConnection,
    ResponseHead,
    open_connection,
)
from lentilroad.connection.http_pool import HttpPool, keep_alive_s
from tests.fakes.raw_server import RawRequest, raw_response, raw_server

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


async def _read(connection: HttpConnection) -> bytes:
    body = b""
    while chunk := await connection.next_chunk():
        body += chunk
    return body


async def test_connection_is_reused_after_a_complete_response() -> None:
    """Guard against a new connection for each request."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(raw_response(b"abc", Keep_Alive="timeout=5"))

    async with raw_server(answer) as server:
        pool = HttpPool(address=server.address, clock=SystemClock())
        for _ in range(3):
            async with pool.connection() as connection:
                head = await connection.exchange(REQUEST, b"")
                pool.record_keep_alive(connection, head)
                assert await _read(connection) == b"abc"
        assert server.connections == 1
        pool.close()


async def test_surplus_response_is_never_returned_to_the_next_request() -> None:
    """Guard against a second response of a faulty worker to one request (MIXED)."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(raw_response(b"first") + raw_response(b"surplus"))

    async with raw_server(answer) as server:
        connection = await open_connection(server.address, timeout_s=1.0)
        await connection.exchange(REQUEST, b"")
        assert await _read(connection) == b"first"
        assert not connection.finish()


async def test_bytes_on_an_idle_connection_close_it() -> None:
    """Guard against a late response that the next request on the connection reads."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(raw_response(b"first"))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(raw_response(b"late"))

    async with raw_server(answer) as server:
        connection = await open_connection(server.address, timeout_s=1.0)
        await connection.exchange(REQUEST, b"")
        await _read(connection)
        assert connection.finish()
        await asyncio.sleep(0.15)
        assert connection.closed
        with pytest.raises(ExchangeBrokenError) as caught:
            await connection.exchange(REQUEST, b"")
        assert caught.value.outcome == "not_run"


async def test_response_to_another_request_is_skipped() -> None:
    """Guard against a late response that is returned to the next request."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(raw_response(b"other", X_Id="1") + raw_response(b"own", X_Id="2"))

    def own(head: ResponseHead) -> bool:
        return head.value(b"x-id") == b"2"

    async with raw_server(answer) as server:
        connection = await open_connection(server.address, timeout_s=1.0)
        head = await connection.exchange(REQUEST, b"", expects=own)
        assert head.value(b"x-id") == b"2"
        assert await _read(connection) == b"own"
        # Further responses may follow, so the connection must not be reused.
        assert not connection.finish()


async def test_response_without_a_length_ends_with_its_connection() -> None:
    """Guard against an unframed response that is reported as truncated."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        await writer.drain()
        return True

    async with raw_server(answer) as server:
        connection = await open_connection(server.address, timeout_s=1.0)
        await connection.exchange(REQUEST, b"")
        assert await _read(connection) == b"all of it"
        assert not connection.finish()


@pytest.mark.parametrize(
    "truncated",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ],
)
async def test_truncated_response_breaks_the_exchange(truncated: bytes) -> None:
    """Guard against a truncated response that is reported as complete."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(truncated)
        await writer.drain()
        return True

    async with raw_server(answer) as server:
        connection = await open_connection(server.address, timeout_s=1.0)
        await connection.exchange(REQUEST, b"")
        with pytest.raises(ExchangeBrokenError) as caught:
            await _read(connection)
        assert caught.value.outcome == "unknown"


async def test_invalid_response_breaks_the_exchange() -> None:
    """Guard against invalid bytes that leave a request waiting."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(b"\x00\x01 this is not HTTP\r\n\r\n")

    async with raw_server(answer) as server:
        connection = await open_connection(server.address, timeout_s=1.0)
        with pytest.raises(ExchangeBrokenError) as caught:
            await connection.exchange(REQUEST, b"")
        assert caught.value.request_written


async def test_refused_connection_is_not_run() -> None:
    """Guard against an unknown outcome for a request that was never sent."""
    async with raw_server(None) as server:  # type: ignore[arg-type]
        address = server.address
    with pytest.raises(ExchangeBrokenError) as caught:
        await open_connection(address, timeout_s=1.0)
    assert caught.value.outcome == "not_run"


def test_keep_alive_ends_before_the_servers_own_timeout() -> None:
    """Guard against a request that races with the server's close."""
    stated = ResponseHead(status=200, headers=[(b"Keep-Alive", b"timeout=3")])
    assert 0.0 < keep_alive_s(stated) < 3.0
    assert keep_alive_s(ResponseHead(status=200, headers=[])) > 0.0


@pytest.mark.parametrize(
    "status_line",
    [
        b"HTTP/1.1 000 Failed",
        b"HTTP/1.1 0 Failed",
        b"HTTP/1.1 99 Failed",
        b"HTTP/1.1 20 OK",
        b"HTTP/1.1 2000 OK",
        b"HTTP/1.1 600 Failed",
        b"HTTP/1.1 999 Failed",
        b"HTTP/1.1 -20 Failed",
        b"HTTP/1.1 101 Switching Protocols",
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c",
    ],
)
async def test_status_outside_the_protocol_breaks_the_exchange(
    status_line: bytes,
) -> None:
    """Guard against a status of a server in trouble that reaches callers (MIXED)."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(status_line + b"\r\nContent-Length: 2\r\n\r\nab")

    async with raw_server(answer) as server:
        connection = await open_connection(server.address, timeout_s=1.0)
        with pytest.raises(ExchangeBrokenError) as caught:
            async with asyncio.timeout(5.0):
                await connection.exchange(REQUEST, b"")
        assert caught.value.outcome == "unknown"
        assert connection.closed


async def test_interim_responses_without_end_break_the_exchange() -> None:
    """Guard against a server that never comes to its answer."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            writer.write(b"HTTP/1.1 102 Processing\r\n\r\n" * 100)
            await writer.drain()

    async with raw_server(answer) as server:
        connection = await open_connection(server.address, timeout_s=1.0)
        with pytest.raises(ExchangeBrokenError):
            async with asyncio.timeout(10.0):
                await connection.exchange(REQUEST, b"")
        assert connection.closed


async def test_interim_response_before_the_answer_is_skipped() -> None:
    """Guard against refusing what the protocol allows."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n" + raw_response(b"abc"))

    async with raw_server(answer) as server:
        connection = await open_connection(server.address, timeout_s=1.0)
        head = await connection.exchange(REQUEST, b"")
        assert head.status == 200
        assert await _read(connection) == b"abc"
