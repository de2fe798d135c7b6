"""Tests of the client of the weight store against the stand-in."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.adapters.weight_store import ByteRateLimiter, HttpWeightStore
from lentilroad.clock import LoopClock, SystemClock
from lentilroad.errors import NotFoundError
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.standins.weight_store import WeightStoreStandIn, build_application
from tests.fakes.http import serving

CONTENT = bytes(range(256)) * 1000


class _SteppingClock(SystemClock):
    """Clock that advances by 30 ms whenever it is read."""

    def __init__(self):
        self._now_s = 0.0

    def monotonic_s(self):
        """Advance the clock by 30 ms and return it."""
        self._now_s += 0.03
        return self._now_s


async def test_download_obeys_the_rate_limit_and_resumes_at_its_offset():
    """Guards against incomplete weights after a 429 answer or a broken connection."""
    clock = SystemClock()
    standin = WeightStoreStandIn(
        clock=_SteppingClock(),
        weights={("model", "v1"): CONTENT},
        requests_per_s=20.0,
    )
    standin.break_after_bytes = [70_000]
    async with serving(build_application(store=standin)) as base_url:
        store = HttpWeightStore(base_url=base_url, clock=clock, bytes_per_s=1e9)
        first = store.fetch(name="model", version="v1")
        second = store.fetch(name="model", version="v1")
        parts = await asyncio.gather(_join(first), _join(second))
        assert parts == [CONTENT, CONTENT]
        assert standin.limited_requests >= 1
        with pytest.raises(NotFoundError):
            await _join(store.fetch(name="model", version="v2"))
        await store.close()


async def _join(parts):
    return b"".join([part async for part in parts])


def test_rate_limiter_delays_reads():
    """Guards against a client that uses up the rate limit of the store."""

    async def run():
        clock = LoopClock(loop=asyncio.get_running_loop())
        rate = ByteRateLimiter(clock=clock, bytes_per_s=100.0)
        for _ in range(10):
            await rate.acquire(50)
        # The first 100 bytes, one second of the rate, need no wait.
        assert clock.monotonic_s() == pytest.approx(4.0)

    run_virtual(run())
