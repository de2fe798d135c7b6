"""Bodies of callers' requests."""

from __future__ import annotations

import asyncio
import contextlib

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from lentilroad.errors import RequestTooLargeError
from lentilroad.request.const import DISCARD_BODY_BYTES, DISCARD_BODY_S
from lentilroad.request.refusals import RequestTimeoutError


async def read_body(
    request: web.BaseRequest, most_bytes: int, *, timeout_s: float
) -> bytes:
    """Read a whole body.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The request.
    most_bytes : int
        Bound on the body.
    timeout_s : float
        Seconds until the request's deadline.

    Raises
    ------
    RequestTooLargeError
        The body is larger.
    RequestTimeoutError
        It did not arrive in time.
    """
    if not request.body_exists:
        return b""
    body = bytearray()
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            while chunk := await request.content.readany():
                body += chunk
                if len(body) > most_bytes:
                    raise RequestTooLargeError(
                        f"the body is larger than {most_bytes} bytes; send a smaller "
                        "one"
                    )
    except TimeoutError as error:
        raise RequestTimeoutError(
            "the body did not arrive before the deadline; send it again"
        ) from error
    return bytes(body)


async def discard_body(request: web.BaseRequest) -> None:
    """Read what is left of a body that is refused.

    A connection that is closed with unread bytes is reset, and the caller may lose
    the answer.
    """
    if not request.body_exists or request.content.at_eof():
        return
    discarded_bytes = 0
    with contextlib.suppress(TimeoutError, HttpProcessingError):
        async with asyncio.timeout(DISCARD_BODY_S):
            while chunk := await request.content.readany():
                discarded_bytes += len(chunk)
                if discarded_bytes > DISCARD_BODY_BYTES:
                    return
