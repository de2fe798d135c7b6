"""Parsing and validation of request bodies."""

from __future__ import annotations

import asyncio
from typing import Any, TypeVar

import msgspec
from aiohttp import web

from lentilroad.errors import (
    DeadlineExceededError,
    InvalidRequestError,
    RequestTooLargeError,
)
from lentilroad.request.http_const import (
    BODY_TIMEOUT_S,
    DEFAULT_COMPLETION_TOKENS,
    MAX_BODY_BYTES,
    MAX_JSON_DEPTH,
    MAX_MESSAGES,
)
from lentilroad.wire.messages import Budget, ChatMessage
from lentilroad.wire.untrusted import DECODING_ERRORS

Body = TypeVar("Body")


class TextPart(msgspec.Struct, kw_only=True):
    """Text part of a message's content."""

    type: str
    text: str = ""


class ChatBodyMessage(msgspec.Struct, kw_only=True):
    """Message of a chat completion request."""

    role: str
    content: str | list[TextPart] | None = None
    name: str | None = None
    tool_call_id: str | None = None


class ChatBody(msgspec.Struct, kw_only=True):
    """Body of ``POST /v1/chat/completions``; further keys are ignored."""

    model: str
    messages: list[ChatBodyMessage]
    stream: bool = False
    stream_options: dict[str, Any] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


class OpenProgramBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs``."""

    parent_program_id: str | None = None
    budget: Budget = msgspec.field(default_factory=Budget)
    deadline_ms: int | None = None


class EndProgramBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs/{program_id}/end``."""

    reason: str = "ended"


def _check_depth(data: bytes) -> None:
    # Runs before the JSON parser, whose recursion deeply nested input could exhaust.
    # Brackets inside strings do not count.
    if data.count(b"[") + data.count(b"{") <= MAX_JSON_DEPTH:
        return
    depth = 0
    in_string = False
    escaped = False
    for byte in data:
        if in_string:
            if escaped:
                escaped = False
            elif byte == 0x5C:
                escaped = True
            elif byte == 0x22:
                in_string = False
            continue
        if byte == 0x22:
            in_string = True
        elif byte in b"[{":
            depth += 1
            if depth > MAX_JSON_DEPTH:
                raise InvalidRequestError(
                    f"the body is nested deeper than {MAX_JSON_DEPTH} levels; "
                    "send a flatter document"
                )
        elif byte in b"]}":
            depth -= 1


async def read_body(request: web.Request) -> bytes:
    """Read the complete body within the size and time limits.

    Raises
    ------
    RequestTooLargeError
        The body is larger than ``MAX_BODY_BYTES``.
    DeadlineExceededError
        The body did not arrive within ``BODY_TIMEOUT_S``.
    """
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await request.read()
    except web.HTTPRequestEntityTooLarge:
        raise RequestTooLargeError(
            f"the body is larger than {MAX_BODY_BYTES} bytes; send only new messages "
            "with 'Lentilroad-History: append'"
        ) from None
    except TimeoutError:
        raise DeadlineExceededError(
            f"the body did not arrive within {BODY_TIMEOUT_S:.0f} s; send it again"
        ) from None


def parse_body(data: bytes, body_type: type[Body]) -> Body:
    """Decode a JSON body into `body_type`.

    Raises
    ------
    InvalidRequestError
        The body is not JSON or does not match the type; the message names the key.
    """
    _check_depth(data)
    try:
        return msgspec.json.decode(data or b"{}", type=body_type)
    except msgspec.ValidationError as error:
        raise InvalidRequestError(
            f"the body does not match the schema: {error}; see docs/api.md"
        ) from None
    except DECODING_ERRORS as error:
        raise InvalidRequestError(
            f"the body is not valid JSON: {error}; send UTF-8 JSON"
        ) from None


def _content_text(message: ChatBodyMessage, position: int) -> str:
    if message.content is None:
        return ""
    if isinstance(message.content, str):
        return message.content
    for part in message.content:
        if part.type != "text":
            raise InvalidRequestError(
                f"messages[{position}].content has a part of type {part.type!r}; "
                "only text parts are accepted"
            )
    return "".join(part.text for part in message.content)


def chat_messages(body: ChatBody) -> list[ChatMessage]:
    """Convert the messages of a body to wire messages.

    Raises
    ------
    InvalidRequestError
        There are no messages, too many, or a part is not text.
    """
    if not body.messages:
        raise InvalidRequestError("messages is empty; send at least one message")
    if len(body.messages) > MAX_MESSAGES:
        raise InvalidRequestError(
            f"messages has {len(body.messages)} items; send at most {MAX_MESSAGES}"
        )
    return [
        ChatMessage(
            role=message.role,
            content=_content_text(message, position),
            name=message.name,
            tool_call_id=message.tool_call_id,
        )
        for position, message in enumerate(body.messages)
    ]


def completion_limit(body: ChatBody, maximum: int) -> int:
    """Return the maximum number of completion tokens of a request.

    Raises
    ------
    InvalidRequestError
        The requested maximum is not between 1 and `maximum`.
    """
    default = min(DEFAULT_COMPLETION_TOKENS, maximum)
    limit = body.max_completion_tokens or body.max_tokens or default
    if not 1 <= limit <= maximum:
        raise InvalidRequestError(f"max_tokens is {limit}; use 1 to {maximum}")
    return limit
