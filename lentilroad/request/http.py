"""HTTP application for callers: routes and error responses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import eliot
from aiohttp import web

from lentilroad.errors import (
    InvalidRequestError,
    LentilroadError,
    NotFoundError,
    RequestTooLargeError,
)
from lentilroad.request import chat, programs
from lentilroad.request.context import CONTEXT, FrontContext
from lentilroad.request.http_const import MAX_BODY_BYTES
from lentilroad.request.responses import error_response

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def _to_lentilroad_error(error: Exception) -> LentilroadError:
    if isinstance(error, LentilroadError):
        return error
    if isinstance(error, web.HTTPRequestEntityTooLarge):
        return RequestTooLargeError(
            f"the body is larger than {MAX_BODY_BYTES} bytes; send a smaller body"
        )
    if isinstance(error, web.HTTPNotFound):
        return NotFoundError("the path does not exist; see docs/api.md")
    if isinstance(error, web.HTTPMethodNotAllowed):
        return InvalidRequestError(
            "the path does not accept this method; "
            f"use one of {sorted(error.allowed_methods)}"
        )
    eliot.log_message(
        message_type="front:internal_error", reason=f"{type(error).__name__}: {error}"
    )
    return LentilroadError(
        "an internal error occurred; resend the request with the same Idempotency-Key",
        outcome="unknown",
        retry_after_ms=1000,
    )


@web.middleware
async def error_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Convert every exception of a handler to a JSON error response."""
    context = request.app[CONTEXT]
    started_s = context.clock.monotonic_s()
    try:
        response = await handler(request)
    except (asyncio.CancelledError, ConnectionError):
        raise
    except Exception as error:
        converted = _to_lentilroad_error(error)
        context.metrics.incr(f"front.errors.{converted.code}")
        return error_response(converted)
    duration_ms = (context.clock.monotonic_s() - started_s) * 1000
    context.metrics.timing("front.request_ms", duration_ms)
    return response


def build_application(*, context: FrontContext) -> web.Application:
    """Return the HTTP application for callers.

    Parameters
    ----------
    context : FrontContext
        Dependencies of the handlers.

    Returns
    -------
    web.Application
        Application without the health routes, which the process adds.
    """
    application = web.Application(
        middlewares=[error_middleware], client_max_size=MAX_BODY_BYTES
    )
    application[CONTEXT] = context
    application.add_routes(
        [
            web.get("/v1/models", chat.list_models),
            web.post("/v1/chat/completions", chat.chat_completions),
            web.post("/v1/programs", programs.open_program),
            web.get("/v1/programs/{program_id}", programs.read_program),
            web.post("/v1/programs/{program_id}/end", programs.end_program),
            web.post("/v1/services/{service}/{operation}", programs.call_service),
        ]
    )
    return application
