"""Readers of the output of a call."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.standins.engine import expected_text
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.upstream.limits import CallLimits
from lentilroad.wire import messages as m
from tests.fakes.sidecar import SidecarFake


@pytest.mark.parametrize("offset", [0, 1, 17, 60, 10_000])
def test_attach_starts_at_the_offset(offset):
    """Guards against lost or repeated characters after a reconnect."""

    async def run():
        sidecar = SidecarFake()
        request = sidecar.request()
        task = sidecar.start(request)
        await asyncio.sleep(0.1)
        early, late = await asyncio.gather(
            sidecar.attach("call-1", offset=offset),
            _attach_later(sidecar, "call-1", offset),
        )
        await task
        text = expected_text("model", request.messages)[offset:]
        for chunks in (early, late):
            assert "".join(chunk.text for chunk in chunks) == text
            position = offset
            for chunk in chunks:
                assert chunk.offset == position
                position += len(chunk.text)

    run_virtual(run())


async def _attach_later(sidecar, call_id, offset):
    await asyncio.sleep(1.0)
    return await sidecar.attach(call_id, offset=offset)


def test_slow_reader_receives_few_chunks():
    """Guards against a message per token to a reader that cannot keep up."""

    async def run():
        sidecar = SidecarFake()
        request = sidecar.request(tokens=500)
        task = sidecar.start(request)
        chunks = []
        async for chunk in sidecar.runner.attach(m.AttachRequest(call_id="call-1")):
            chunks.append(chunk)
            await asyncio.sleep(1.0)
        text = expected_text("model", request.messages, max_tokens=500)
        assert (await task)[-1].text == text
        assert "".join(chunk.text for chunk in chunks) == text
        # 500 tokens at 11 ms each take 5.5 s.
        assert len(chunks) <= 8

    run_virtual(run())


def test_chunk_interval_does_not_delay_the_last_chunk():
    """Guards against a last chunk that is delayed by the interval between chunks."""

    async def run():
        sidecar = SidecarFake()
        sidecar.runner.attach_handler._limits = CallLimits(chunk_interval_s=0.5)
        task = sidecar.start(sidecar.request(tokens=200))
        chunks = await sidecar.attach("call-1")
        ended_s = sidecar.clock.monotonic_s()
        events = await task
        assert sidecar.clock.monotonic_s() == ended_s
        assert "".join(chunk.text for chunk in chunks) == events[-1].text
        assert len(chunks) <= 2 + ended_s / 0.5

    run_virtual(run())


def test_attach_waits_for_a_dispatch_in_flight():
    """Guards against an Attach that fails because it arrives before its Dispatch."""

    async def run():
        sidecar = SidecarFake()
        request = sidecar.request()
        reader = asyncio.ensure_future(sidecar.attach("call-1"))
        await asyncio.sleep(0.5)
        events = await sidecar.dispatch(request)
        assert "".join(chunk.text for chunk in await reader) == events[-1].text
        missing = await sidecar.attach("other")
        assert missing[-1].error.code == "not_found"

    run_virtual(run())


def test_release_does_not_interrupt_a_reader():
    """Guards against a reader that loses its text when the owner commits."""

    async def run():
        sidecar = SidecarFake()
        request = sidecar.request()
        task = sidecar.start(request)
        await asyncio.sleep(0.05)
        reader = sidecar.runner.attach(m.AttachRequest(call_id="call-1"))
        pieces = [(await anext(reader)).text]
        events = await task
        await sidecar.release("call-1")
        pieces += [chunk.text async for chunk in reader]
        assert "".join(pieces) == events[-1].text

    run_virtual(run())
