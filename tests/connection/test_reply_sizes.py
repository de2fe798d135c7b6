"""Replies of all sizes between processes."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.clock import SystemClock
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import start_server
from lentilroad.wire import messages as m
from lentilroad.wire import services

# Below, at and above the size of one frame, and above the flow-control windows.
SIZES = [1, 100, 16_300, 16_384, 40_000, 5_000_000, 7]


@pytest.mark.parametrize("slow", [False, True])
async def test_replies_of_all_sizes_arrive_in_order(slow):
    """Guards against reordered frames and frames that exceed the peer's windows."""

    async def attach(request):
        for number, size in enumerate(SIZES * 3):
            letter = chr(ord("a") + number)
            yield m.OutputChunk(offset=number, text=letter * size)
            if not number % 5:
                await asyncio.sleep(0)

    server = await start_server({services.ATTACH: attach}, "127.0.0.1", 0)
    peers = PeerConnections(clock=SystemClock())

    async def read(number):
        request = m.AttachRequest(call_id=f"call-{number}")
        chunks = []
        stream = peers.stream(server.address, services.ATTACH, request, None)
        async for chunk in stream:
            chunks.append((chunk.offset, chunk.text[0], len(chunk.text)))
            if slow:
                await asyncio.sleep(0.001)
        return chunks

    expected = [(n, chr(ord("a") + n), size) for n, size in enumerate(SIZES * 3)]
    assert await asyncio.gather(*[read(n) for n in range(3)]) == [expected] * 3
    await peers.close()
    await server.close()


async def test_closed_stream_ends_the_handler():
    """Guards against a handler that continues to write to a reset stream."""
    ended = asyncio.Event()

    async def attach(request):
        try:
            while True:
                yield m.OutputChunk(offset=0, text="token ")
                await asyncio.sleep(0)
        finally:
            ended.set()

    server = await start_server({services.ATTACH: attach}, "127.0.0.1", 0)
    peers = PeerConnections(clock=SystemClock())
    request = m.AttachRequest(call_id="call-1")
    stream = peers.stream(server.address, services.ATTACH, request, None)
    for _ in range(10):
        assert (await anext(stream)).text == "token "
    await stream.aclose()
    await ended.wait()
    await peers.close()
    await server.close()
