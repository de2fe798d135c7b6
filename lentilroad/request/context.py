"""What the handlers of callers' requests use."""

from __future__ import annotations

import hashlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from lentilroad.clock import Clock
from lentilroad.errors import InvalidRequestError, UnauthenticatedError
from lentilroad.process.metrics import StatsdMetrics
from lentilroad.process.tracing import Tracing
from lentilroad.request.http_const import (
    DEFAULT_DEADLINE_S,
    HEADER_DEADLINE_MS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_PROGRAM_ID,
    MAX_KEY_CHARACTERS,
)
from lentilroad.wire import messages as m

BEARER = "Bearer "


@dataclass(slots=True, kw_only=True)
class FrontContext:
    """Functions and objects with process lifetime that requests need.

    ``admit_request(caller_id, tokens)`` raises `RateLimitedError`.
    ``list_models(caller_id)`` and ``has_operation(caller_id, service, operation)`` say
    what a caller may use; ``fill_budget(caller_id, budget)`` adds configured limits.
    ``new_program_id(parent)`` returns an id in the parent's shard. The four program
    functions send their message to the program's current owner.
    """

    clock: Clock
    metrics: StatsdMetrics
    tracing: Tracing
    find_caller: Callable[[str], str | None]
    list_models: Callable[[str], list[str]]
    has_operation: Callable[[str, str, str], bool]
    fill_budget: Callable[[str, m.Budget], m.Budget]
    completion_tokens_max: Callable[[], int]
    admit_request: Callable[[str, int], None]
    new_program_id: Callable[[str | None], str]
    new_key: Callable[[], str]
    open_program: Callable[[m.OpenProgramRequest], Awaitable[m.OpenProgramReply]]
    end_program: Callable[[m.EndProgramRequest], Awaitable[m.EndProgramReply]]
    read_program: Callable[[m.ReadProgramRequest], Awaitable[m.ReadProgramReply]]
    run_turn: Callable[[m.RunTurnRequest], AsyncIterator[m.TurnEvent]]
    stream: Callable[..., AsyncIterator[Any]]


CONTEXT = web.AppKey("context", FrontContext)


def authenticate(request: web.Request) -> str:
    """Return the caller id that belongs to the request's key.

    Raises
    ------
    UnauthenticatedError
        The key is missing or unknown.
    """
    header = request.headers.get("Authorization", "")
    if not header.startswith(BEARER):
        raise UnauthenticatedError("send 'Authorization: Bearer <your key>'")
    key_hash = hashlib.sha256(header[len(BEARER) :].encode()).hexdigest()
    caller_id = request.app[CONTEXT].find_caller(key_hash)
    if caller_id is None:
        raise UnauthenticatedError("the key is not known; ask the operator for one")
    return caller_id


def deadline_time_s(request: web.Request) -> float:
    """Return the request's deadline as Unix time in seconds.

    Raises
    ------
    InvalidRequestError
        The header is not a positive whole number of milliseconds.
    """
    now_s = request.app[CONTEXT].clock.time_s()
    header = request.headers.get(HEADER_DEADLINE_MS)
    if header is None:
        return now_s + DEFAULT_DEADLINE_S
    if not header.isascii() or not header.isdigit() or int(header) == 0:
        raise InvalidRequestError(
            f"{HEADER_DEADLINE_MS} is {header[:20]!r}; send milliseconds above 0"
        )
    return now_s + int(header) / 1000


def idempotency_key(request: web.Request) -> str:
    """Return the request's idempotency key, or a new one.

    Raises
    ------
    InvalidRequestError
        The key is too long.
    """
    key = request.headers.get(HEADER_IDEMPOTENCY_KEY)
    if key is None:
        return request.app[CONTEXT].new_key()
    if not 1 <= len(key) <= MAX_KEY_CHARACTERS:
        raise InvalidRequestError(
            f"{HEADER_IDEMPOTENCY_KEY} has {len(key)} characters; "
            f"use 1 to {MAX_KEY_CHARACTERS}"
        )
    return key


def program_id(request: web.Request) -> str | None:
    """Return the program that the request belongs to, if it names one."""
    return request.headers.get(HEADER_PROGRAM_ID)
