"""Tests of the stand-in engine against the behaviour of real engines."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.adapters.engine import EngineRequest
from lentilroad.clock import LoopClock
from lentilroad.errors import UnavailableError, UpstreamError
from lentilroad.standins.engine import EngineCosts, EngineStandIn, expected_text
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.wire.messages import ChatMessage


def _engine(**costs):
    clock = LoopClock(loop=asyncio.get_running_loop())
    return EngineStandIn(clock=clock, costs=EngineCosts(**costs))


def _request(number, *, words=10, tokens=50, history=(), program_id=None):
    content = f"q{number} " + "word " * words + f"[tokens={tokens}]"
    return EngineRequest(
        request_id=f"call-{number}",
        program_id=program_id or f"program-{number}",
        model="model",
        messages=[*history, ChatMessage(role="user", content=content)],
        max_tokens=tokens,
    )


async def _run(engine, request):
    text, usage = "", None
    async for output in engine.generate(request):
        text += output.text
        usage = output.usage or usage
    return text, usage


def _now_s():
    return asyncio.get_running_loop().time()


def test_time_per_token_grows_with_the_batch():
    """Guards against a stand-in whose steps take equally long at any batch size."""

    async def run(requests):
        engine = _engine()
        await asyncio.gather(*[_run(engine, _request(n)) for n in range(requests)])
        return _now_s()

    assert run_virtual(run(16)) > 1.5 * run_virtual(run(1))


def test_cached_prefix_needs_no_prefill():
    """Guards against a prefix cache that does not shorten the prefill."""

    async def run():
        engine = _engine()
        first = _request(1, words=8000)
        answer, usage = await _run(engine, first)
        cold_s = _now_s()
        assert usage.cached_tokens == 0
        history = [*first.messages, ChatMessage(role="assistant", content=answer)]
        second = _request(2, history=history, program_id="program-1")
        _, usage = await _run(engine, second)
        assert usage.cached_tokens > 8000
        assert usage.cached_tokens < usage.prompt_tokens
        assert _now_s() - cold_s < cold_s - 0.9

    run_virtual(run())


def test_memory_is_limited_and_least_recently_used_is_evicted_first():
    """Guards against a cache that exceeds its memory or evicts recent prefixes."""

    async def run():
        engine = _engine(memory_tokens=1000)
        for number in range(3):
            await _run(engine, _request(number, words=300, tokens=10))
        assert set(engine.cache.program_tokens) == {
            "program-0",
            "program-1",
            "program-2",
        }
        await _run(engine, _request(3, words=300, tokens=10))
        assert set(engine.cache.program_tokens) >= {"program-2", "program-3"}
        assert engine.cache.program_tokens.get("program-0", 0) < 300
        assert engine.cache.used_tokens <= 1000
        with pytest.raises(UpstreamError):
            await _run(engine, _request(9, words=2000))

    run_virtual(run())


def test_shared_prefix_is_retained_until_its_last_program_is_released():
    """Guards against a release that frees a prefix another program still uses."""

    async def run():
        engine = _engine()
        system = [ChatMessage(role="system", content="be kind " * 100)]
        for number in range(2):
            await _run(engine, _request(number, history=system))
        await engine.release_program(program_id="program-0")
        _, usage = await _run(engine, _request(2, history=system))
        assert usage.cached_tokens > 100
        await engine.release_program(program_id="program-1")
        await engine.release_program(program_id="program-2")
        assert engine.cache.used_tokens == 0

    run_virtual(run())


def test_requests_are_admitted_in_order_of_arrival():
    """Guards against a stand-in with priorities that real engines do not have."""

    async def run():
        engine = _engine(batch_limit=1)
        ended = []

        async def follow(number):
            await _run(engine, _request(number))
            ended.append(number)

        await asyncio.gather(*[follow(number) for number in range(5)])
        assert ended == [0, 1, 2, 3, 4]

    run_virtual(run())


def test_load_and_events_lag_and_events_have_gaps():
    """Guards against load reports and events more current than a real engine's."""

    async def run():
        engine = _engine(load_lag_s=1.0, event_lag_s=1.0, event_gap_every=2)
        task = asyncio.ensure_future(_run(engine, _request(1, tokens=1000)))
        await asyncio.sleep(0.5)
        assert (await engine.load()).running == 0
        assert not (await engine.cache_events(after=0)).events
        await asyncio.sleep(1.0)
        assert (await engine.load()).running == 1
        events = await engine.cache_events(after=0)
        assert [event.sequence for event in events.events] == [1]
        engine.load_frozen = True
        engine.events_stopped = True
        await task
        await asyncio.sleep(2.0)
        assert (await engine.load()).running == 1
        assert (await engine.cache_events(after=0)).last_sequence == 1

    run_virtual(run())


def test_crashed_engine_loses_all_state():
    """Guards against a crash that keeps requests running or cache entries stored."""

    async def run():
        engine = _engine()
        task = asyncio.ensure_future(_run(engine, _request(1, tokens=1000)))
        await asyncio.sleep(0.5)
        engine.crash()
        with pytest.raises(UnavailableError):
            await task
        with pytest.raises(UnavailableError):
            await _run(engine, _request(2))
        engine.restart()
        assert engine.cache.used_tokens == 0
        text, _ = await _run(engine, _request(3))
        assert text == expected_text("model", _request(3).messages)

    run_virtual(run())
