"""Tests of the parser of an engine's server-sent events."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilroad.adapters.sse import CompletionParser
from lentilroad.errors import UpstreamError


def _event(**fields):
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


def _text_event(text):
    return _event(choices=[{"index": 0, "delta": {"content": text}}])


END = (
    _event(choices=[{"index": 0, "delta": {}, "finish_reason": "length"}])
    + _event(choices=[], usage={"prompt_tokens": 7, "completion_tokens": 3})
    + b"data: [DONE]\n\n"
)


def _parse(parts):
    parser = CompletionParser()
    outputs = [parser.feed(part) for part in parts]
    return parser, [output for output in outputs if output is not None]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.text(min_size=1)), st.lists(st.integers(1, 40)), st.booleans())
def test_text_survives_any_split(texts, sizes, crlf):
    """Guards against text lost where a read ends inside an event or character."""
    data = b"".join(_text_event(text) for text in texts) + END
    if crlf:
        data = data.replace(b"\n", b"\r\n")
    parts = []
    for size in sizes:
        parts.append(data[:size])
        data = data[size:]
    parser, outputs = _parse([*parts, data])
    assert "".join(output.text for output in outputs) == "".join(texts)
    assert sum(output.tokens for output in outputs) == len(texts)
    assert parser.finished
    assert outputs[-1].finish_reason == "length"
    usages = [output.usage for output in outputs if output.usage]
    assert usages[-1].prompt_tokens == 7


def test_text_that_looks_like_an_event_stays_text():
    """Guards against generated text that the fast path parses as a JSON key."""
    text = '"content":"x" data: [DONE] \\"content\\":\\"y\\" \n\n "error"'
    _, outputs = _parse([_text_event(text) + _text_event("next")])
    assert "".join(output.text for output in outputs) == text + "next"


def test_events_outside_the_fast_path_are_decoded():
    """Guards against the loss of events that only the full decoder can parse."""
    role = _event(choices=[{"delta": {"role": "assistant", "content": ""}}])
    spaced = b'data: {"choices": [{"delta": {"content": "a"}}]}\n\n'
    compact = b'data:{"choices":[{"delta":{"content":"b"}}]}\n\n'
    comment = b": keep-alive\n\n"
    _, outputs = _parse([role + spaced, comment, compact])
    assert "".join(output.text for output in outputs) == "ab"


@pytest.mark.parametrize(
    "data", [_event(error={"message": "out of memory"}), b"data: {broken\n\n"]
)
def test_error_events_raise_upstream_error(data):
    """Guards against an engine error that ends the answer without an error."""
    with pytest.raises(UpstreamError):
        _parse([data])
