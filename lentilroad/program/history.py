"""Conversation history, compressed while a program is idle."""

from __future__ import annotations

import zlib
from functools import lru_cache

import msgspec

from lentilroad.errors import ConflictError
from lentilroad.program.const import (
    BYTES_PER_TOKEN_ESTIMATE,
    PACK_MIN_BYTES,
    TEMPLATE_TOKENS_PER_MESSAGE,
)
from lentilroad.wire.messages import ChatMessage, Message


class History(Message):
    """Messages of a conversation: compressed blocks followed by a plain tail."""

    blocks: list[bytes] = []
    tail: list[ChatMessage] = []
    length: int = 0


@lru_cache(maxsize=1)
def _decoder() -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(list[ChatMessage])


def read_history(history: History) -> list[ChatMessage]:
    """Return all messages as a new list."""
    messages: list[ChatMessage] = []
    for block in history.blocks:
        messages.extend(_decoder().decode(zlib.decompress(block)))
    messages.extend(history.tail)
    return messages


def append_history(history: History, messages: list[ChatMessage]) -> None:
    """Append messages."""
    history.tail = [*history.tail, *messages]
    history.length += len(messages)


def pack_history(history: History) -> None:
    """Compress the tail unless it is small."""
    size_bytes = sum(len(message.content) for message in history.tail)
    if size_bytes < PACK_MIN_BYTES:
        return
    block = zlib.compress(msgspec.msgpack.encode(history.tail), level=6)
    history.blocks = [*history.blocks, block]
    history.tail = []


def new_messages(
    stored: list[ChatMessage], messages: list[ChatMessage], *, full_history: bool
) -> list[ChatMessage]:
    """Return the messages that a request adds to the stored history.

    Parameters
    ----------
    stored : list of ChatMessage
        History so far.
    messages : list of ChatMessage
        Messages of the request.
    full_history : bool
        Whether `messages` is the whole conversation.

    Raises
    ------
    ConflictError
        The whole conversation does not extend the stored history.
    """
    if not full_history:
        return messages
    if len(messages) <= len(stored) or messages[: len(stored)] != stored:
        raise ConflictError(
            "the messages do not extend the program's history; read the program and "
            "send its history followed by new messages, or open another program"
        )
    return messages[len(stored) :]


def token_bound(messages: list[ChatMessage]) -> int:
    """Return an upper bound of the tokens that messages need."""
    return sum(
        len(message.content.encode())
        + len(message.name or "")
        + TEMPLATE_TOKENS_PER_MESSAGE
        for message in messages
    )


def token_estimate(messages: list[ChatMessage]) -> int:
    """Return the likely number of tokens that messages need."""
    return token_bound(messages) // BYTES_PER_TOKEN_ESTIMATE + 1
