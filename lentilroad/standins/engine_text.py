"""Deterministic answers of the stand-in engine.

The answer is a function of the model and the messages, so that a test can tell whose
answer it holds. One word with a trailing space is one token.
"""

from __future__ import annotations

import re
from collections.abc import Sequence

import xxhash

from lentilroad.wire.messages import ChatMessage

WORDS = re.findall(
    r"\w+",
    "acorn amber anchor apple autumn badge barley basket beacon birch bloom bridge "
    "cabin candle canyon cedar cliff clover coast copper coral cotton crane creek "
    "dawn delta drift ember falcon fern field flint forest garden glade granite "
    "harbor hazel heron hollow island ivory juniper kettle lagoon lantern lemon "
    "maple marble meadow mint moss nectar ocean olive orchard pebble pine quartz "
    "raven reef ridge river",
)
_WANTED_TOKENS = re.compile(r"\[tokens=(\d+)\]")
_MESSAGE_OVERHEAD_TOKENS = 4


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text: its words."""
    return text.count(" ") + (0 if text.endswith(" ") or not text else 1)


def message_tokens(message: ChatMessage) -> int:
    """Return the number of prompt tokens of one message."""
    return count_tokens(message.content) + _MESSAGE_OVERHEAD_TOKENS


def answer_seed(model: str, messages: Sequence[ChatMessage]) -> int:
    """Return the number from which the answer's words are drawn."""
    digest = xxhash.xxh64(model.encode())
    for message in messages:
        digest.update(f"\0{message.role}\0{message.content}".encode())
    return digest.intdigest()


def answer_length(seed: int, messages: Sequence[ChatMessage]) -> int:
    """Return the answer's length in tokens.

    The last message can ask for a length with ``[tokens=40]``; otherwise the length
    is between 16 and 63.
    """
    wanted = _WANTED_TOKENS.search(messages[-1].content) if messages else None
    return int(wanted.group(1)) if wanted else 16 + seed % 48


def word(seed: int, index: int) -> str:
    """Return one token of the answer."""
    digest = xxhash.xxh64_intdigest(index.to_bytes(4, "little"), seed)
    return WORDS[digest % len(WORDS)] + " "


def continuation(seed: int, prefix: str) -> tuple[int, str]:
    """Return how many whole tokens a prefix has, and the rest of its last token.

    A prefix that is not the start of the answer counts as tokens of its own.
    """
    text = ""
    tokens = 0
    while len(text) < len(prefix):
        text += word(seed, tokens)
        tokens += 1
    if not text.startswith(prefix):
        return count_tokens(prefix), ""
    if len(text) == len(prefix):
        return tokens, ""
    return tokens - 1, text[len(prefix) :]


def expected_text(
    model: str, messages: Sequence[ChatMessage], *, max_tokens: int = 256
) -> str:
    """Return the whole answer that the engine gives."""
    seed = answer_seed(model, messages)
    length = min(max_tokens, answer_length(seed, messages))
    return "".join(word(seed, index) for index in range(length))
