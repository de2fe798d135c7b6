"""Deterministic answers of the stand-in engine.

The answer is a function of the model and the messages, so that a test can check
which request an answer belongs to. One word with a trailing space is one token.
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
_REQUESTED_TOKENS = re.compile(r"\[tokens=(\d+)\]")
_MESSAGE_OVERHEAD_TOKENS = 4


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text, counted as its words."""
    return text.count(" ") + (0 if text.endswith(" ") or not text else 1)


def message_tokens(message: ChatMessage) -> int:
    """Return the number of prompt tokens of one message."""
    return count_tokens(message.content) + _MESSAGE_OVERHEAD_TOKENS


def answer_seed(model: str, messages: Sequence[ChatMessage]) -> int:
    """Return the seed that determines the length and words of the answer."""
    digest = xxhash.xxh64(model.encode())
    for message in messages:
        digest.update(f"\0{message.role}\0{message.content}".encode())
    return digest.intdigest()


def answer_length(seed: int, messages: Sequence[ChatMessage]) -> int:
    """Return the answer's length in tokens.

    The last message can request a length, for example ``[tokens=40]``; the default
    length is between 16 and 63.
    """
    requested = _REQUESTED_TOKENS.search(messages[-1].content) if messages else None
    return int(requested.group(1)) if requested else 16 + seed % 48


def answer_token(seed: int, index: int) -> str:
    """Return the token of the answer at `index`."""
    digest = xxhash.xxh64_intdigest(index.to_bytes(4, "little"), seed)
    return WORDS[digest % len(WORDS)] + " "


def split_forced_prefix(seed: int, prefix: str) -> tuple[int, str]:
    """Return the number of complete tokens in a prefix, and the rest of a partial one.

    For a prefix that is not the start of the answer, its own words are counted.
    """
    text = ""
    tokens = 0
    while len(text) < len(prefix):
        text += answer_token(seed, tokens)
        tokens += 1
    if not text.startswith(prefix):
        return count_tokens(prefix), ""
    if len(text) == len(prefix):
        return tokens, ""
    return tokens - 1, text[len(prefix) :]


def expected_text(
    model: str, messages: Sequence[ChatMessage], *, max_tokens: int = 256
) -> str:
    """Return the complete answer that the engine generates."""
    seed = answer_seed(model, messages)
    length = min(max_tokens, answer_length(seed, messages))
    return "".join(answer_token(seed, index) for index in range(length))
