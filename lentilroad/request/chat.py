"""Handlers of ``POST /v1/chat/completions`` and ``GET /v1/models``."""

from __future__ import annotations

import asyncio

import eliot
from aiohttp import web

from lentilroad.errors import InvalidRequestError, LentilroadError, NotFoundError
from lentilroad.request.body import (
    ChatBody,
    chat_messages,
    completion_limit,
    parse_body,
    read_body,
)
from lentilroad.request.context import (
    CONTEXT,
    FrontContext,
    authenticate,
    deadline_time_s,
    idempotency_key,
    program_id,
)
from lentilroad.request.http_const import (
    HEADER_HISTORY,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_INTERACTIVE,
    HEADER_PROGRAM_ID,
    HEADER_RESUME_OFFSET,
    HISTORY_APPEND,
    HISTORY_FULL,
    WRITE_TIMEOUT_S,
    WRITE_WITHOUT_WAIT_BYTES,
)
from lentilroad.request.relay import RelayPosition, relay_turn
from lentilroad.request.responses import (
    ChunkFormatter,
    completion_payload,
    json_response,
)
from lentilroad.wire import messages as m

# Estimate for rate limits, which apply before the upstream has counted the tokens.
CHARACTERS_PER_TOKEN = 4


def _resume_offset(request: web.Request) -> int:
    header = request.headers.get(HEADER_RESUME_OFFSET, "0")
    if not header.isascii() or not header.isdigit():
        raise InvalidRequestError(
            f"{HEADER_RESUME_OFFSET} is {header[:20]!r}; send the id of the last event"
        )
    return int(header)


def _full_history(request: web.Request) -> bool:
    header = request.headers.get(HEADER_HISTORY, HISTORY_FULL)
    if header not in (HISTORY_FULL, HISTORY_APPEND):
        raise InvalidRequestError(
            f"{HEADER_HISTORY} is {header[:20]!r}; "
            f"use {HISTORY_FULL!r} or {HISTORY_APPEND!r}"
        )
    return header == HISTORY_FULL


async def list_models(request: web.Request) -> web.Response:
    """List the models that the operators' configuration offers to the caller."""
    models = request.app[CONTEXT].list_models(authenticate(request))
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "lentilroad"}
        for name in models
    ]
    return json_response({"object": "list", "data": data})


async def _parse_turn_request(
    request: web.Request, caller_id: str, traceparent: str
) -> tuple[ChatBody, m.RunTurnRequest]:
    context = request.app[CONTEXT]
    body = parse_body(await read_body(request), ChatBody)
    if body.model not in context.list_models(caller_id):
        raise NotFoundError(f"model {body.model!r} is not offered; see GET /v1/models")
    messages = chat_messages(body)
    max_tokens = completion_limit(body, context.completion_tokens_max())
    characters = sum(len(message.content) for message in messages)
    context.admit_request(caller_id, characters // CHARACTERS_PER_TOKEN + max_tokens)
    program = program_id(request)
    turn = m.RunTurnRequest(
        caller_id=caller_id,
        program_id=program or context.new_program_id(None),
        idempotency_key=idempotency_key(request),
        kind="chat",
        single_turn=program is None,
        model=body.model,
        messages=messages,
        full_history=_full_history(request),
        max_tokens=max_tokens,
        deadline_time_s=deadline_time_s(request),
        interactive=request.headers.get(HEADER_INTERACTIVE) == "true",
        traceparent=traceparent,
    )
    return body, turn


def _response_headers(turn: m.RunTurnRequest) -> dict[str, str]:
    return {
        HEADER_PROGRAM_ID: turn.program_id,
        HEADER_IDEMPOTENCY_KEY: turn.idempotency_key,
    }


async def chat_completions(request: web.Request) -> web.StreamResponse:
    """Run one chat turn, streamed or not."""
    context = request.app[CONTEXT]
    caller_id = authenticate(request)
    traceparent = request.headers.get("traceparent", "")
    with context.tracing.span("front chat", traceparent) as next_traceparent:
        body, turn = await _parse_turn_request(request, caller_id, next_traceparent)
        created_time_s = int(context.clock.time_s())
        completion_id = f"chatcmpl-{turn.idempotency_key}"
        if body.stream:
            formatter = ChunkFormatter(
                completion_id=completion_id,
                model=body.model,
                created_time_s=created_time_s,
            )
            return await _stream_turn(request, context, body, turn, formatter)
        committed = await relay_turn(
            request=turn,
            run_turn=context.run_turn,
            stream=context.stream,
            clock=context.clock,
            position=RelayPosition(),
            write=None,
        )
        payload = completion_payload(
            completion_id=completion_id,
            model=body.model,
            created_time_s=created_time_s,
            committed=committed,
        )
        return json_response(payload, headers=_response_headers(turn))


async def _stream_turn(
    request: web.Request,
    context: FrontContext,
    body: ChatBody,
    turn: m.RunTurnRequest,
    formatter: ChunkFormatter,
) -> web.StreamResponse:
    position = RelayPosition(offset=_resume_offset(request))
    response = web.StreamResponse(headers=_response_headers(turn))
    response.content_type = "text/event-stream"
    response.headers["Cache-Control"] = "no-store"

    async def send(data: bytes) -> None:
        # The status line is sent with the first output, so that a refusal before it
        # is a plain error response.
        if not response.prepared:
            await response.prepare(request)
            if position.offset == 0 or data.startswith(b"id:"):
                data = formatter.role() + data
        transport = request.transport
        # A write that fits the transport's buffer returns at once and needs no timer.
        if transport is not None and (
            transport.get_write_buffer_size() < WRITE_WITHOUT_WAIT_BYTES
        ):
            await response.write(data)
            return
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await response.write(data)

    async def write(text: str, end_offset: int) -> None:
        await send(formatter.text(text, end_offset))

    try:
        committed = await relay_turn(
            request=turn,
            run_turn=context.run_turn,
            stream=context.stream,
            clock=context.clock,
            position=position,
            write=write,
        )
    except LentilroadError as error:
        if not response.prepared:
            raise
        await send(formatter.error(error))
        return response
    except (ConnectionError, TimeoutError):
        await _handle_disconnect(request, context, turn)
        raise
    options = body.stream_options or {}
    with_usage = bool(options.get("include_usage"))
    await send(formatter.finish(committed, with_usage=with_usage))
    await response.write_eof()
    return response


async def _handle_disconnect(
    request: web.Request, context: FrontContext, turn: m.RunTurnRequest
) -> None:
    """Cancel the turn of a disconnected caller that has no means to resume it.

    A turn can be resumed by its program or by the caller's own idempotency key.
    """
    eliot.log_message(message_type="front:caller_left", program_id=turn.program_id)
    if not turn.single_turn or HEADER_IDEMPOTENCY_KEY in request.headers:
        return
    await context.end_program(
        m.EndProgramRequest(
            caller_id=turn.caller_id, program_id=turn.program_id, reason="cancelled"
        )
    )
