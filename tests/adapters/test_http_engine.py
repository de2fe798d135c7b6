"""Tests of the HTTP client of an engine against the stand-in."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest

from lentilroad.adapters.engine import EngineCommand, EngineRequest
from lentilroad.adapters.http_engine import HttpEngine
from lentilroad.clock import SystemClock
from lentilroad.errors import NotFoundError, StaleEpochError, UnavailableError
from lentilroad.standins.engine import (
    EngineCosts,
    EngineStandIn,
    build_application,
    expected_text,
)
from lentilroad.wire.messages import ChatMessage
from tests.fakes.http import serving

COSTS = EngineCosts(
    step_s=0.001, per_request_s=0.0, load_lag_s=0.0, event_lag_s=0.0, load_model_s=0.0
)


def _request(tokens=30, **fields):
    values = {
        "request_id": "call-1",
        "program_id": "program-1",
        "model": "model",
        "messages": [ChatMessage(role="user", content=f"grüße [tokens={tokens}]")],
        "max_tokens": tokens,
    }
    return EngineRequest(**(values | fields))


@asynccontextmanager
async def _engine():
    standin = EngineStandIn(clock=SystemClock(), costs=COSTS)
    async with serving(build_application(engine=standin)) as base_url:
        client = HttpEngine(base_url=base_url)
        try:
            yield standin, client
        finally:
            await client.close()


async def test_completion_and_forced_prefix():
    """Guards against an answer that does not belong to its request."""
    async with _engine() as (standin, client):
        request = _request()
        outputs = [output async for output in client.generate(request)]
        text = "".join(output.text for output in outputs)
        assert text == expected_text("model", request.messages)
        assert outputs[-1].finish_reason == "stop"
        usages = [output.usage for output in outputs if output.usage]
        assert usages[-1].completion_tokens == 30
        rest = _request(request_id="call-2", forced_prefix=text[:50])
        outputs = [output async for output in client.generate(rest)]
        assert text[:50] + "".join(output.text for output in outputs) == text
        assert standin.executions == {"call-1": 1, "call-2": 1}


async def test_broken_stream_can_be_resumed():
    """Guards against text that is lost when the connection breaks."""
    async with _engine() as (standin, client):
        standin.break_after_tokens = 10
        pieces = []
        with pytest.raises(UnavailableError) as failure:
            async for output in client.generate(_request()):
                pieces.append(output.text)
        assert failure.value.outcome == "ran"
        standin.break_after_tokens = None
        offset = len("".join(pieces))
        resumed = client.resume(request_id="call-1", offset=offset)
        pieces += [output.text async for output in resumed]
        assert "".join(pieces) == expected_text("model", _request().messages)
        with pytest.raises(NotFoundError):
            await anext(client.resume(request_id="other", offset=0))


async def test_cancel_and_release_free_memory():
    """Guards against engine memory that stays in use after cancel and release."""
    async with _engine() as (standin, client):
        outputs = client.generate(_request(tokens=100_000))
        await anext(outputs)
        await client.cancel(request_id="call-1")
        rest = [output async for output in outputs]
        assert rest[-1].finish_reason == "cancelled"
        load = await client.load()
        assert load.running == 0
        assert load.cached_tokens > 0
        await client.release_program(program_id="program-1")
        assert standin.cache.used_tokens == 0
        events = await client.cache_events(after=0)
        assert [event.kind for event in events.events] == ["stored", "released"]


async def test_export_and_import():
    """Guards against cache entries that cannot be moved between engines."""
    async with _engine() as (first, client), _engine() as (second, other):
        async for _ in client.generate(_request()):
            pass
        data = await client.export_cache(program_id="program-1")
        await other.import_cache(program_id="program-1", data=data)
        assert second.cache.program_tokens == first.cache.program_tokens


async def test_commands_are_fenced():
    """Guards against a stale fencing number that raises another error or none."""
    async with _engine() as (standin, client):
        load = EngineCommand(kind="load_model", value="other", fencing=2)
        await client.command(load)
        assert standin.models == ["other"]
        with pytest.raises(StaleEpochError):
            await client.command(
                EngineCommand(kind="set_role", value="decode", fencing=1)
            )
        with pytest.raises(NotFoundError) as failure:
            await anext(client.generate(_request()))
        assert failure.value.outcome == "not_run"


async def test_dead_engine_is_unavailable():
    """Guards against errors of the HTTP library that leave the adapter untranslated."""
    async with _engine() as (standin, client):
        standin.crash()
        with pytest.raises(UnavailableError) as failure:
            await anext(client.generate(_request()))
        assert failure.value.outcome == "unknown"
        with pytest.raises(UnavailableError):
            await client.load()
    closed = HttpEngine(base_url="http://127.0.0.1:1")
    with pytest.raises(UnavailableError) as failure:
        await anext(closed.generate(_request()))
    assert failure.value.outcome == "not_run"
    await closed.close()


async def test_faults_can_be_set_over_http():
    """Guards against a stand-in whose faults cannot be set from another process."""
    standin = EngineStandIn(clock=SystemClock(), costs=COSTS)
    async with (
        serving(build_application(engine=standin)) as base_url,
        aiohttp.ClientSession() as session,
    ):
        url = base_url + "/admin/faults"
        await session.post(url, json={"hanging": True, "slow_factor": 3})
        assert standin.hanging and standin.slow_factor == 3
        await session.post(url, json={"dead": True})
        assert standin.dead
        await session.post(url, json={"dead": False, "hanging": False})
        assert not standin.dead
        async with session.post(url, json={"typo": 1}) as response:
            assert response.status == 400


async def test_completion_without_streaming():
    """Guards against a stand-in that supports only streaming requests."""
    standin = EngineStandIn(clock=SystemClock(), costs=COSTS)
    body = {
        "model": "model",
        "messages": [{"role": "user", "content": "hello"}],
    }
    async with (
        serving(build_application(engine=standin)) as base_url,
        aiohttp.ClientSession() as session,
    ):
        url = base_url + "/v1/chat/completions"
        async with session.post(url, json=body) as response:
            answer = await response.json()
    message = answer["choices"][0]["message"]["content"]
    assert message == expected_text(
        "model", [ChatMessage(role="user", content="hello")]
    )
    await asyncio.sleep(0)
