"""Many concurrent streams between two processes."""

from __future__ import annotations

import asyncio

from lentilroad.clock import SystemClock
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import start_server
from lentilroad.wire import messages as m
from lentilroad.wire import services

STREAMS = 300
# Ends a test that would otherwise hang; not a performance bound.
STUCK_AFTER_S = 60.0


async def test_streams_above_the_default_limit_make_progress():
    """Guards against streams that are blocked until another stream to the peer ends."""
    all_open = asyncio.Event()
    opened = 0

    async def attach(request):
        nonlocal opened
        opened += 1
        yield m.OutputChunk(offset=0, text="first")
        if opened == STREAMS:
            all_open.set()
        await all_open.wait()
        yield m.OutputChunk(offset=5, text="last", finished=True)

    server = await start_server({services.ATTACH: attach}, "127.0.0.1", 0)
    peers = PeerConnections(clock=SystemClock())

    async def read(number):
        request = m.AttachRequest(call_id=f"call-{number}")
        stream = peers.stream(server.address, services.ATTACH, request, None)
        return [chunk.text async for chunk in stream]

    async with asyncio.timeout(STUCK_AFTER_S):
        texts = await asyncio.gather(*[read(number) for number in range(STREAMS)])
    assert texts == [["first", "last"]] * STREAMS
    await peers.close()
    await server.close()
