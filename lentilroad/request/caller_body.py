"""Reading of request bodies from callers."""

from __future__ import annotations

import asyncio
import contextlib

from aiohttp import StreamReader, web
from aiohttp.http_exceptions import HttpProcessingError

from lentilroad.connection.byte_budget import SMALL_HOLD_BYTES, Hold
from lentilroad.connection.byte_pieces import BytePieces
from lentilroad.errors import RequestTooLargeError
from lentilroad.request.caller_memory import CallerMemory
from lentilroad.request.const import DISCARD_BODY_BYTES, DISCARD_BODY_S
from lentilroad.request.refusals import RequestTimeoutError


async def read_body(
    request: web.BaseRequest,
    max_bytes: int,
    *,
    timeout_s: float,
    memory: CallerMemory,
    copies: int = 1,
) -> tuple[bytes, Hold | None]:
    """Read the complete body of a request, as soon as there is room for it.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The request.
    max_bytes : int
        Bound on the size of the body.
    timeout_s : float
        Seconds until the request's deadline.
    memory : CallerMemory
        Room for bodies.
    copies : int, optional
        Copies of a large body that the request needs at a time. Those of small bodies
        exist too briefly to count.

    Returns
    -------
    body : bytes
        The body.
    hold : Hold or None
        Its room, to be released with the request; None without a body.

    Raises
    ------
    RequestTooLargeError
        The body is larger than `max_bytes`.
    RequestTimeoutError
        The body did not arrive before the deadline, or too slowly while other callers
        waited for room.
    OverloadedError
        There was no room for the body in time.
    """
    if not request.body_exists:
        return b"", None
    size_bytes = request.content_length
    if size_bytes is not None and size_bytes > max_bytes:
        raise _too_large(max_bytes)
    ends_s = asyncio.get_running_loop().time() + max(0.0, timeout_s)
    content = request.content
    if size_bytes is None and content.is_eof():
        # A small body in chunks that arrived with its head.
        size_bytes = content.total_bytes
    hold = await memory.hold_body(
        _held_bytes(max_bytes if size_bytes is None else size_bytes, copies),
        on_evict=lambda: content.set_exception(
            RequestTimeoutError(
                "the request body arrived too slowly while other callers waited; "
                "send the request again"
            )
        ),
        timeout_s=timeout_s,
    )
    try:
        async with asyncio.timeout_at(ends_s):
            body = await _read_content(content, max_bytes, hold, memory)
    except TimeoutError as error:
        memory.bodies.release(hold)
        raise RequestTimeoutError(
            "the request body did not arrive before the deadline; send the "
            "request again"
        ) from error
    except BaseException:
        memory.bodies.release(hold)
        raise
    memory.bodies.shrink(hold, _held_bytes(len(body), copies))
    return body, hold


def _held_bytes(size_bytes: int, copies: int) -> int:
    return size_bytes if size_bytes <= SMALL_HOLD_BYTES else copies * size_bytes


async def _read_content(
    content: StreamReader, max_bytes: int, hold: Hold, memory: CallerMemory
) -> bytes:
    if content.is_eof():
        # The whole body is in the buffer; small bodies arrive with their head.
        body = content.read_nowait()
        if len(body) > max_bytes:
            raise _too_large(max_bytes)
        return body
    memory.begin_transfer(hold)
    received = BytePieces()
    try:
        while chunk := await content.readany():
            received.add(chunk)
            memory.record_progress(hold)
            if received.size_bytes > max_bytes:
                raise _too_large(max_bytes)
    except BaseException:
        # The traceback keeps this frame until the garbage collector finds it.
        received.clear()
        raise
    hold.end_transfer()
    return received.join()


def _too_large(max_bytes: int) -> RequestTooLargeError:
    return RequestTooLargeError(
        f"the request body is larger than {max_bytes} bytes; send a smaller body"
    )


async def discard_body(request: web.BaseRequest) -> None:
    """Read and discard the rest of a refused request's body, within bounds.

    Closing a connection with unread bytes resets it, and the caller may lose the
    response.
    """
    if not request.body_exists or request.content.at_eof():
        return
    if request.content.exception() is not None:
        # Nothing further can be read; the connection is closed after the response.
        return
    discarded_bytes = 0
    with contextlib.suppress(TimeoutError, HttpProcessingError):
        async with asyncio.timeout(DISCARD_BODY_S):
            while chunk := await request.content.readany():
                discarded_bytes += len(chunk)
                if discarded_bytes > DISCARD_BODY_BYTES:
                    return
