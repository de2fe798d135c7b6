"""Reading of request bodies from callers."""

from __future__ import annotations

import asyncio
import contextlib

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from lentilroad.errors import RequestTooLargeError
from lentilroad.request.const import DISCARD_BODY_BYTES, DISCARD_BODY_S
from lentilroad.request.refusals import RequestTimeoutError


async def read_body(
    request: web.BaseRequest, max_bytes: int, *, timeout_s: float
) -> bytes:
    """Read the complete body of a request.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The request.
    max_bytes : int
        Bound on the size of the body.
    timeout_s : float
        Seconds until the request's deadline.

    Raises
    ------
    RequestTooLargeError
        The body is larger than `max_bytes`.
    RequestTimeoutError
        The body did not arrive before the deadline.
    """
    if not request.body_exists:
        return b""
    body = bytearray()
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            while chunk := await request.content.readany():
                body += chunk
                if len(body) > max_bytes:
                    raise RequestTooLargeError(
                        f"the request body is larger than {max_bytes} bytes; send a "
                        "smaller body"
                    )
    except TimeoutError as error:
        raise RequestTimeoutError(
            "the request body did not arrive before the deadline; send the "
            "request again"
        ) from error
    return bytes(body)


async def discard_body(request: web.BaseRequest) -> None:
    """Read and discard the rest of a refused request's body, within bounds.

    Closing a connection with unread bytes resets it, and the caller may lose the
    response.
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
