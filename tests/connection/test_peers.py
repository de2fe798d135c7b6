"""Calls between processes over loopback connections."""

from __future__ import annotations

import asyncio
import socket
from contextlib import aclosing, asynccontextmanager, suppress

import pytest

from lentilroad.clock import SystemClock
from lentilroad.connection.listener import open_listener
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import start_server
from lentilroad.errors import BudgetExhaustedError, UnavailableError
from lentilroad.wire.messages import (
    AttachRequest,
    GrantReply,
    GrantRequest,
    OutputChunk,
    ShardRecord,
)
from lentilroad.wire.services import ATTACH, GRANT

REQUEST = GrantRequest(shard="dakar/0000", record=ShardRecord(epoch=1, owner="a"))


@asynccontextmanager
async def connected(handlers, **options):
    """Serve `handlers` on a free port and yield the server and a client."""
    server = await start_server(handlers, "127.0.0.1", 0)
    peers = PeerConnections(clock=SystemClock(), **options)
    try:
        yield server, peers
    finally:
        await peers.close()
        await server.close(grace_s=0)


async def _grant(request):
    return GrantReply(granted=True, highest=request.record)


async def test_unary_call_returns_the_reply():
    """A reply must be decoded as the method's reply type."""
    async with connected({GRANT: _grant}) as (server, peers):
        reply = await peers.call(server.address, GRANT, REQUEST, 5.0)
    assert reply == GrantReply(granted=True, highest=REQUEST.record)


async def test_typed_error_of_unary_handler_reaches_the_client():
    """A typed error must not become a generic failure at the client."""

    async def refuse(request):
        raise BudgetExhaustedError("raise the budget: ñ", retry_after_ms=7)

    async with connected({GRANT: refuse}) as (server, peers):
        with pytest.raises(BudgetExhaustedError) as caught:
            await peers.call(server.address, GRANT, REQUEST, 5.0)
    assert caught.value.message == "raise the budget: ñ"
    assert caught.value.retry_after_ms == 7


async def test_typed_error_within_a_stream_follows_its_replies():
    """Replies before the error must arrive, then the typed error."""

    async def chunks(request):
        yield OutputChunk(offset=0, text="a")
        raise BudgetExhaustedError("raise the budget")

    received = []
    async with connected({ATTACH: chunks}) as (server, peers):
        with pytest.raises(BudgetExhaustedError):
            async for chunk in peers.stream(
                server.address, ATTACH, AttachRequest(call_id="c"), None
            ):
                received.append(chunk.text)
    assert received == ["a"]


async def test_refused_connection_is_not_run():
    """A request that was never sent must be reported as not run."""
    async with connected({GRANT: _grant}) as (server, peers):
        await server.close()
        with pytest.raises(UnavailableError) as caught:
            await peers.call(server.address, GRANT, REQUEST, 5.0)
    assert caught.value.outcome == "not_run"


async def test_connection_lost_during_a_call_is_unknown():
    """A request that may have run must not be reported as not run."""
    entered = asyncio.Event()

    async def hang(request):
        entered.set()
        await asyncio.sleep(3600)

    async with connected({GRANT: hang}) as (server, peers):
        call = asyncio.create_task(peers.call(server.address, GRANT, REQUEST, None))
        await entered.wait()
        await server.close(grace_s=0)
        with pytest.raises(UnavailableError) as caught:
            await call
    assert caught.value.outcome == "unknown"


async def test_closing_the_generator_cancels_the_handler():
    """A client that stops reading must not leave the handler running."""
    cleaned_up = asyncio.Event()

    async def endless(request):
        try:
            while True:
                yield OutputChunk(offset=0, text="a")
                await asyncio.sleep(0)
        finally:
            cleaned_up.set()

    async with connected({ATTACH: endless}) as (server, peers):
        request = AttachRequest(call_id="c")
        async with aclosing(
            peers.stream(server.address, ATTACH, request, None)
        ) as replies:
            await anext(replies)
        await cleaned_up.wait()


async def test_each_call_receives_its_own_reply():
    """Replies that arrive out of order must not reach another call."""

    async def echo(request):
        await asyncio.sleep(0.0005 * (request.record.epoch % 7))
        return GrantReply(granted=True, highest=request.record)

    async def count(request):
        for number in range(request.offset):
            yield OutputChunk(offset=number, text=request.call_id)
            await asyncio.sleep(0)

    async with connected({GRANT: echo, ATTACH: count}) as (server, peers):

        async def one_call(number):
            record = ShardRecord(epoch=number, owner="a")
            request = GrantRequest(shard="dakar/0000", record=record)
            reply = await peers.call(server.address, GRANT, request, 30)
            assert reply.highest.epoch == number

        async def one_stream(number):
            request = AttachRequest(call_id=str(number), offset=number)
            stream = peers.stream(server.address, ATTACH, request, 30)
            chunks = [chunk async for chunk in stream]
            assert [chunk.offset for chunk in chunks] == list(range(number))
            assert {chunk.text for chunk in chunks} <= {str(number)}

        await asyncio.gather(
            *(one_call(number) for number in range(200)),
            *(one_stream(number) for number in range(60)),
        )


async def test_timeout_cancels_the_handler():
    """A peer must not continue a call after its client timed out."""
    cancelled = asyncio.Event()

    async def hang(request):
        try:
            await asyncio.sleep(3600)
        finally:
            cancelled.set()

    async with connected({GRANT: hang}) as (server, peers):
        with pytest.raises(UnavailableError) as caught:
            await peers.call(server.address, GRANT, REQUEST, 0.05)
        await cancelled.wait()
    assert caught.value.outcome == "unknown"


async def test_closed_client_cancels_its_handlers():
    """A client whose connection is lost must not leave calls running at its peers."""
    entered, cancelled = asyncio.Event(), asyncio.Event()

    async def hang(request):
        entered.set()
        try:
            await asyncio.sleep(3600)
        finally:
            cancelled.set()

    async with connected({GRANT: hang}) as (server, peers):
        call = asyncio.create_task(peers.call(server.address, GRANT, REQUEST, None))
        await entered.wait()
        await peers.close()
        await cancelled.wait()
        with pytest.raises(UnavailableError):
            await call


async def test_failure_in_a_handler_is_unknown():
    """A handler that raised an unexpected exception may have had effects."""

    async def fail(request):
        raise RuntimeError("defect")

    async with connected({GRANT: fail}) as (server, peers):
        with pytest.raises(UnavailableError) as caught:
            await peers.call(server.address, GRANT, REQUEST, 5)
    assert caught.value.outcome == "unknown"


async def test_unimplemented_method_is_not_run():
    """A call that an older release does not implement must be safe to retry."""
    async with connected({GRANT: _grant}) as (server, peers):
        with pytest.raises(UnavailableError) as caught:
            request = AttachRequest(call_id="c")
            await anext(peers.stream(server.address, ATTACH, request, 5))
    assert caught.value.outcome == "not_run"


async def test_close_waits_for_open_requests_and_refuses_new_ones():
    """A planned stop must not interrupt a request in flight."""
    entered = asyncio.Event()
    proceed = asyncio.Event()

    async def slow(request):
        entered.set()
        await proceed.wait()
        return GrantReply(granted=True)

    async with connected({GRANT: slow}) as (server, peers):
        first = asyncio.create_task(peers.call(server.address, GRANT, REQUEST, None))
        await entered.wait()
        closing = asyncio.create_task(server.close())
        await asyncio.sleep(0)
        with pytest.raises(UnavailableError) as caught:
            await peers.call(server.address, GRANT, REQUEST, None)
        proceed.set()
        assert (await first).granted
        await closing
    assert caught.value.outcome == "not_run"


@asynccontextmanager
async def unresponsive_server():
    """Accept connections, read requests and never reply."""

    async def read_without_reply(reader, writer):
        while await reader.read(65536):
            pass
        writer.close()

    server = await asyncio.start_server(read_without_reply, "127.0.0.1", 0)
    try:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"
    finally:
        server.close()


async def test_unresponsive_peer_fails_its_open_calls():
    """A call without a deadline must not hang on an unresponsive connection."""
    unresponsive = []
    peers = PeerConnections(clock=SystemClock(), on_unresponsive=unresponsive.append)
    async with unresponsive_server() as address:
        with pytest.raises(UnavailableError) as caught:
            await peers.call(address, GRANT, REQUEST, None)
        await asyncio.sleep(0)
        assert unresponsive == [address]
        await peers.close()
    assert caught.value.outcome == "unknown"


async def test_consecutive_timeouts_count_as_one_unresponsive_period():
    """Repeated short calls must not keep an unresponsive connection open forever."""
    unresponsive = asyncio.Event()
    peers = PeerConnections(
        clock=SystemClock(), on_unresponsive=lambda _: unresponsive.set()
    )
    async with unresponsive_server() as address:
        while not unresponsive.is_set():
            with pytest.raises(UnavailableError):
                await peers.call(address, GRANT, REQUEST, 0.2)
            await asyncio.sleep(0.05)
        await peers.close()


async def test_paused_stream_stays_open():
    """A connection whose peer answers pings must stay open while a stream is paused."""
    proceed = asyncio.Event()
    asyncio.get_running_loop().call_later(2.0, proceed.set)

    async def chunks(request):
        yield OutputChunk(offset=0, text="a")
        await proceed.wait()
        yield OutputChunk(offset=1, text="b")

    async with connected({ATTACH: chunks}) as (server, peers):
        request = AttachRequest(call_id="c")
        stream = peers.stream(server.address, ATTACH, request, None)
        assert [chunk.text async for chunk in stream] == ["a", "b"]


async def test_idle_connection_is_closed_and_opened_again():
    """Connections to peers that are no longer used must not accumulate."""
    async with connected({GRANT: _grant}, idle_close_s=0.01) as (server, peers):
        await peers.call(server.address, GRANT, REQUEST, 5.0)
        # The watch task checks the connection every 500 ms.
        await asyncio.sleep(1.0)
        assert peers.open_addresses() == []
        assert (await peers.call(server.address, GRANT, REQUEST, 5.0)).granted


async def test_connection_closed_by_the_peer_is_replaced():
    """A restarted peer must be reachable once the closed connection is detected."""
    async with connected({GRANT: _grant}) as (server, peers):
        await peers.call(server.address, GRANT, REQUEST, 5.0)
        await server.close()
        again = await start_server({GRANT: _grant}, "127.0.0.1", server.port)
        with suppress(UnavailableError):
            await peers.call(again.address, GRANT, REQUEST, 5.0)
        reply = await peers.call(again.address, GRANT, REQUEST, 5.0)
        await again.close()
    assert reply.granted


def test_listener_sets_the_tcp_protocol():
    """Asyncio disables Nagle's algorithm only for sockets with an explicit protocol."""
    with open_listener("127.0.0.1", 0) as listener:
        assert listener.proto == socket.IPPROTO_TCP
