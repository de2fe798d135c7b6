"""JSON responses and server-sent events for callers."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web

from lentilroad.errors import LentilroadError
from lentilroad.wire.messages import Committed, Usage


def json_response(
    payload: Any, *, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=msgspec.json.encode(payload),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def error_payload(error: LentilroadError) -> dict[str, Any]:
    """Return the JSON object of an error."""
    return {
        "error": {
            "code": error.code,
            "type": error.code,
            "message": error.message,
            "outcome": error.outcome,
            "retry": error.retry_after_ms is not None,
            "retry_after_ms": error.retry_after_ms,
        }
    }


def error_response(error: LentilroadError) -> web.Response:
    """Return the response of an error, with Retry-After if the error has a time."""
    headers = {}
    if error.retry_after_ms is not None:
        # Rounded up, since the header has whole seconds.
        headers["Retry-After"] = str(-(-error.retry_after_ms // 1000))
    return json_response(
        error_payload(error), status=error.http_status, headers=headers
    )


def usage_payload(usage: Usage) -> dict[str, Any]:
    """Return the usage object of the chat completions interface."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }


def completion_payload(
    *, completion_id: str, model: str, created_time_s: int, committed: Committed
) -> dict[str, Any]:
    """Return the chat completion of a committed turn."""
    return {
        "id": completion_id,
        "object": "chat.completion",
        "created": created_time_s,
        "model": model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": committed.text},
                "finish_reason": committed.finish_reason,
            }
        ],
        "usage": usage_payload(committed.usage),
    }


class ChunkFormatter:
    """Formatter for the server-sent events of one streamed completion.

    Chunks differ only in their text and offset, so everything else is encoded once.
    """

    __slots__ = ("_model_fields", "_text_head", "_text_tail")

    def __init__(self, *, completion_id: str, model: str, created_time_s: int) -> None:
        encode = msgspec.json.encode
        self._model_fields = (
            b'{"id":'
            + encode(completion_id)
            + b',"object":"chat.completion.chunk","created":'
            + encode(created_time_s)
            + b',"model":'
            + encode(model)
        )
        self._text_head = (
            b"\ndata: "
            + self._model_fields
            + b',"choices":[{"index":0,"delta":{"content":'
        )
        self._text_tail = b'},"finish_reason":null}]}\n\n'

    def role(self) -> bytes:
        """Return the first event, which contains the role."""
        return (
            b"data: "
            + self._model_fields
            + b',"choices":[{"index":0,"delta":{"role":"assistant","content":""},'
            + b'"finish_reason":null}]}\n\n'
        )

    def text(self, text: str, end_offset: int) -> bytes:
        """Return an event with text; its id is the offset to resume from."""
        return (
            b"id: %d" % end_offset
            + self._text_head
            + msgspec.json.encode(text)
            + self._text_tail
        )

    def finish(self, committed: Committed, *, with_usage: bool) -> bytes:
        """Return the final events: finish reason, usage if requested, ``[DONE]``."""
        reason = msgspec.json.encode(committed.finish_reason)
        data = (
            b"data: "
            + self._model_fields
            + b',"choices":[{"index":0,"delta":{},"finish_reason":'
            + reason
            + b"}]}\n\n"
        )
        if with_usage:
            usage = msgspec.json.encode(usage_payload(committed.usage))
            data += (
                b"data: "
                + self._model_fields
                + b',"choices":[],"usage":'
                + usage
                + b"}\n\n"
            )
        return data + b"data: [DONE]\n\n"

    def error(self, error: LentilroadError) -> bytes:
        """Return an event that ends the stream with an error."""
        payload = msgspec.json.encode(error_payload(error))
        return b"data: " + payload + b"\n\n"
