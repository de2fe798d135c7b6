"""Guard calls between processes over loopback connections."""

from __future__ import annotations

import asyncio
from contextlib import aclosing, asynccontextmanager

import pytest

from lentilroad.clock import SystemClock
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
    """A request must come back decoded as the reply type."""
    async with connected({GRANT: _grant}) as (server, peers):
        reply = await peers.call(server.address, GRANT, REQUEST, 5.0)
    assert reply == GrantReply(granted=True, highest=REQUEST.record)


async def test_typed_error_of_unary_handler_reaches_the_client():
    """A refusal must not turn into a generic failure on its way."""

    async def refuse(request):
        raise BudgetExhaustedError("raise the budget: ñ", retry_after_ms=7)

    async with connected({GRANT: refuse}) as (server, peers):
        with pytest.raises(BudgetExhaustedError) as caught:
            await peers.call(server.address, GRANT, REQUEST, 5.0)
    assert caught.value.message == "raise the budget: ñ"
    assert caught.value.retry_after_ms == 7


async def test_typed_error_in_the_middle_of_a_stream():
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
    """A front that stops reading must not leave the handler running."""
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


async def test_close_waits_for_open_requests_and_refuses_new_ones():
    """A planned stop must not interrupt a request that is under way."""
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
