"""HTTP server of the stand-in engine."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from lentilroad.adapters.const import PROGRAM_ID_HEADER, REQUEST_ID_HEADER
from lentilroad.adapters.engine import EngineCommand, EngineOutput, EngineRequest
from lentilroad.errors import LentilroadError, UnavailableError
from lentilroad.standins.engine_core import EngineCosts, EngineStandIn
from lentilroad.standins.engine_text import count_tokens, expected_text
from lentilroad.wire.messages import ChatMessage

__all__ = [
    "EngineCosts",
    "EngineStandIn",
    "build_application",
    "count_tokens",
    "expected_text",
]

ENGINE_KEY: web.AppKey[EngineStandIn] = web.AppKey("engine", EngineStandIn)

_FAULTS = (
    "hanging",
    "slow_factor",
    "load_frozen",
    "events_stopped",
    "break_after_tokens",
    "answers_lost",
    "checks_fencing",
)


class _CompletionBody(msgspec.Struct, kw_only=True):
    model: str
    messages: list[ChatMessage]
    max_tokens: int = 256
    stream: bool = False
    forced_prefix: str = ""


def build_application(*, engine: EngineStandIn) -> web.Application:
    """Build the HTTP application of a stand-in engine."""
    application = web.Application(
        middlewares=[_errors_as_json], client_max_size=64 * 2**20
    )
    application[ENGINE_KEY] = engine
    application.add_routes(
        [
            web.post("/v1/chat/completions", _complete),
            web.get("/v1/streams/{request_id}", _resume),
            web.post("/v1/cancel", _cancel),
            web.get("/load", _load),
            web.get("/cache/events", _cache_events),
            web.post("/cache/release", _release),
            web.get("/cache/export", _export),
            web.post("/cache/import", _import),
            web.post("/commands", _command),
            web.get("/admin/state", _read_state),
            web.get("/admin/faults", _read_faults),
            web.post("/admin/faults", _set_faults),
        ]
    )
    return application


@web.middleware
async def _errors_as_json(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    try:
        return await handler(request)
    except UnavailableError as error:
        if request.transport is not None:
            request.transport.abort()
        return _json({"error": error.message}, status=503)
    except LentilroadError as error:
        return _json({"error": error.message}, status=error.http_status)
    except msgspec.MsgspecError as error:
        return _json({"error": str(error)}, status=400)


def _json(body: Any, *, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


async def _complete(request: web.Request) -> web.StreamResponse:
    engine = request.app[ENGINE_KEY]
    body = msgspec.json.decode(await request.read(), type=_CompletionBody)
    sequence = engine.submit(
        EngineRequest(
            request_id=request.headers.get(REQUEST_ID_HEADER, f"r{id(request)}"),
            program_id=request.headers.get(PROGRAM_ID_HEADER, ""),
            model=body.model,
            messages=body.messages,
            forced_prefix=body.forced_prefix,
            max_tokens=body.max_tokens,
        )
    )
    outputs = engine.read(
        sequence, offset=len(body.forced_prefix), token_by_token=body.stream
    )
    if body.stream:
        return await _send_stream(request, outputs)
    return await _send_completion(outputs)


async def _resume(request: web.Request) -> web.StreamResponse:
    engine = request.app[ENGINE_KEY]
    sequence = engine.find(request.match_info["request_id"])
    offset = int(request.query.get("offset", "0"))
    return await _send_stream(
        request, engine.read(sequence, offset=offset, token_by_token=True)
    )


async def _send_stream(
    request: web.Request, outputs: AsyncIterator[EngineOutput]
) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    try:
        async for output in outputs:
            await response.write(_encode_event(output))
    except UnavailableError:
        if request.transport is not None:
            request.transport.abort()
        return response
    except LentilroadError as error:
        await response.write(
            b"data: " + msgspec.json.encode({"error": error.message}) + b"\n\n"
        )
    await response.write(b"data: [DONE]\n\n")
    await response.write_eof()
    return response


def _encode_event(output: EngineOutput) -> bytes:
    choice: dict[str, Any] = {"index": 0, "delta": {"content": output.text}}
    event: dict[str, Any] = {
        "id": "cmpl",
        "object": "chat.completion.chunk",
        "choices": [choice],
    }
    if output.finish_reason is not None:
        choice["delta"] = {}
        choice["finish_reason"] = output.finish_reason
        event["usage"] = _describe_usage(output)
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


def _describe_usage(output: EngineOutput) -> dict[str, Any]:
    usage = output.usage
    if usage is None:
        return {}
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }


async def _send_completion(outputs: AsyncIterator[EngineOutput]) -> web.Response:
    texts = []
    last = EngineOutput()
    async for output in outputs:
        texts.append(output.text)
        last = output
    message = {"role": "assistant", "content": "".join(texts)}
    choice = {"index": 0, "message": message, "finish_reason": last.finish_reason}
    return _json(
        {
            "id": "cmpl",
            "object": "chat.completion",
            "choices": [choice],
            "usage": _describe_usage(last),
        }
    )


async def _cancel(request: web.Request) -> web.Response:
    body = msgspec.json.decode(await request.read())
    await request.app[ENGINE_KEY].cancel(request_id=body["request_id"])
    return _json({})


async def _load(request: web.Request) -> web.Response:
    return _json(await request.app[ENGINE_KEY].load())


async def _cache_events(request: web.Request) -> web.Response:
    after = int(request.query.get("after", "0"))
    return _json(await request.app[ENGINE_KEY].cache_events(after=after))


async def _release(request: web.Request) -> web.Response:
    body = msgspec.json.decode(await request.read())
    await request.app[ENGINE_KEY].release_program(program_id=body["program_id"])
    return _json({})


async def _export(request: web.Request) -> web.Response:
    engine = request.app[ENGINE_KEY]
    data = await engine.export_cache(program_id=request.query["program_id"])
    return web.Response(body=data)


async def _import(request: web.Request) -> web.Response:
    engine = request.app[ENGINE_KEY]
    data = await request.read()
    await engine.import_cache(program_id=request.query["program_id"], data=data)
    return _json({})


async def _command(request: web.Request) -> web.Response:
    command = msgspec.json.decode(await request.read(), type=EngineCommand)
    await request.app[ENGINE_KEY].command(command)
    return _json({})


async def _read_faults(request: web.Request) -> web.Response:
    engine = request.app[ENGINE_KEY]
    return _json({name: getattr(engine, name) for name in (*_FAULTS, "dead")})


async def _read_state(request: web.Request) -> web.Response:
    engine = request.app[ENGINE_KEY]
    return _json(
        {
            "programs": engine.cache.program_tokens,
            "executions": engine.executions,
            "cancelled": engine.cancelled,
            "prefilled_tokens": engine.prefilled_tokens,
            "generated_tokens": engine.generated_tokens,
        }
    )


async def _set_faults(request: web.Request) -> web.Response:
    engine = request.app[ENGINE_KEY]
    requested = msgspec.json.decode(await request.read(), type=dict[str, Any])
    unknown = set(requested) - {*_FAULTS, "dead"}
    if unknown:
        return _json({"error": f"unknown faults: {sorted(unknown)}"}, status=400)
    dead = requested.pop("dead", None)
    for name, value in requested.items():
        setattr(engine, name, value)
    if dead is not None:
        (engine.crash if dead else engine.restart)()
    return _json({})
