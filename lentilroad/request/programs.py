"""Handlers of the program routes and of service calls."""

from __future__ import annotations

from aiohttp import web

from lentilroad.errors import InvalidRequestError, NotFoundError
from lentilroad.request.body import (
    EndProgramBody,
    OpenProgramBody,
    parse_body,
    read_body,
)
from lentilroad.request.context import (
    CONTEXT,
    authenticate,
    deadline_time_s,
    idempotency_key,
    program_id,
)
from lentilroad.request.http_const import HEADER_IDEMPOTENCY_KEY, HEADER_PROGRAM_ID
from lentilroad.request.relay import RelayPosition, relay_turn
from lentilroad.request.responses import json_response
from lentilroad.wire import messages as m
from lentilroad.wire.convert import from_wire_error


async def open_program(request: web.Request) -> web.Response:
    """Open a program, or a sub-agent of an existing program."""
    context = request.app[CONTEXT]
    caller_id = authenticate(request)
    body = parse_body(await read_body(request), OpenProgramBody)
    context.admit_request(caller_id, 0)
    # A sub-agent is in the shard of its root program, so that a single owner accounts
    # for their common budget.
    new_id = context.new_program_id(body.parent_program_id)
    budget = body.budget
    if body.parent_program_id is None:
        budget = context.fill_budget(caller_id, budget)
    deadline_s = None
    if body.deadline_ms is not None:
        if body.deadline_ms <= 0:
            raise InvalidRequestError(
                f"deadline_ms is {body.deadline_ms}; use 1 or more"
            )
        deadline_s = context.clock.time_s() + body.deadline_ms / 1000
    reply = await context.open_program(
        m.OpenProgramRequest(
            caller_id=caller_id,
            program_id=new_id,
            parent_program_id=body.parent_program_id,
            budget=budget,
            deadline_time_s=deadline_s,
        )
    )
    if reply.error is not None:
        raise from_wire_error(reply.error)
    return json_response({"program_id": new_id}, status=201)


async def read_program(request: web.Request) -> web.Response:
    """Return a program's state, with its history if the query requests it."""
    context = request.app[CONTEXT]
    reply = await context.read_program(
        m.ReadProgramRequest(
            caller_id=authenticate(request),
            program_id=request.match_info["program_id"],
            with_history=request.query.get("history") == "true",
        )
    )
    if reply.error is not None:
        raise from_wire_error(reply.error)
    return json_response(reply)


async def end_program(request: web.Request) -> web.Response:
    """End or cancel a program and its sub-agents."""
    context = request.app[CONTEXT]
    caller_id = authenticate(request)
    body = parse_body(await read_body(request), EndProgramBody)
    if body.reason not in ("ended", "cancelled"):
        raise InvalidRequestError(
            f"reason is {body.reason[:20]!r}; use 'ended' or 'cancelled'"
        )
    reply = await context.end_program(
        m.EndProgramRequest(
            caller_id=caller_id,
            program_id=request.match_info["program_id"],
            reason=body.reason,
        )
    )
    if reply.error is not None:
        raise from_wire_error(reply.error)
    return json_response({"program_id": request.match_info["program_id"]})


async def call_service(request: web.Request) -> web.Response:
    """Run one operation of a service for a program."""
    context = request.app[CONTEXT]
    caller_id = authenticate(request)
    service = request.match_info["service"]
    operation = request.match_info["operation"]
    if not context.has_operation(caller_id, service, operation):
        raise NotFoundError(
            f"operation {service}/{operation} is not offered to the caller; "
            "check its name"
        )
    payload = await read_body(request)
    context.admit_request(caller_id, 0)
    program = program_id(request)
    traceparent = request.headers.get("traceparent", "")
    with context.tracing.span("front service", traceparent) as next_traceparent:
        turn = m.RunTurnRequest(
            caller_id=caller_id,
            program_id=program or context.new_program_id(None),
            idempotency_key=idempotency_key(request),
            kind="service",
            single_turn=program is None,
            service=service,
            operation=operation,
            payload=payload,
            deadline_time_s=deadline_time_s(request),
            traceparent=next_traceparent,
        )
        committed = await relay_turn(
            request=turn,
            run_turn=context.run_turn,
            stream=context.stream,
            clock=context.clock,
            position=RelayPosition(),
            write=None,
        )
    return web.Response(
        body=committed.payload,
        status=committed.payload_status,
        content_type="application/json",
        headers={
            HEADER_PROGRAM_ID: turn.program_id,
            HEADER_IDEMPOTENCY_KEY: turn.idempotency_key,
        },
    )
