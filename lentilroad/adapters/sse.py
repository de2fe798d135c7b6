"""Parser of an engine's server-sent events that avoids a JSON decode per token."""

from __future__ import annotations

import re

import msgspec

from lentilroad.adapters.engine import EngineOutput
from lentilroad.errors import UpstreamError
from lentilroad.wire.messages import Usage
from lentilroad.wire.untrusted import DECODING_ERRORS

# Quotes inside a JSON string are escaped, so generated text never matches the key.
_CONTENT = re.compile(rb'"content":"([^"\\]*(?:\\.[^"\\]*)*)"')
# Data with one of these markers needs a full decode; the last marker finds events with
# spaces after colons.
_FULL_DECODE_MARKERS = (
    b'"finish_reason":"',
    b"[DONE]",
    b'"error"',
    b'"usage":{',
    b'": ',
)


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None
    error: msgspec.Raw = msgspec.Raw()


_EVENT_DECODER = msgspec.json.Decoder(_Event)
_TEXT_DECODER = msgspec.json.Decoder(str)


class CompletionParser:
    """Turn the bytes of a completion stream into outputs.

    All complete events of one `feed` become one output.
    """

    __slots__ = ("_buffer", "finished", "_finish_reason")

    def __init__(self) -> None:
        self._buffer = b""
        self._finish_reason: str | None = None
        self.finished = False

    def feed(self, data: bytes) -> EngineOutput | None:
        """Parse the next part of the stream.

        Parameters
        ----------
        data : bytes
            Received bytes, which may end inside an event.

        Returns
        -------
        EngineOutput or None
            New text, or None when no event is complete.

        Raises
        ------
        UpstreamError
            The engine reported an error or sent an invalid event.
        """
        if b"\r" in data:
            data = data.replace(b"\r", b"")
        if self._buffer:
            data = self._buffer + data
        if data.endswith(b"\n\n"):
            self._buffer = b""
        else:
            end = data.rfind(b"\n\n") + 2
            if end < 2:
                self._buffer = data
                return None
            self._buffer = data[end:]
            data = data[:end]
        for marker in _FULL_DECODE_MARKERS:
            if marker in data:
                break
        else:
            contents = _CONTENT.findall(data)
            if len(contents) == data.count(b"data:"):
                return EngineOutput(text=_join_contents(contents), tokens=len(contents))
        return self._decode(data)

    def _decode(self, data: bytes) -> EngineOutput | None:
        output = EngineOutput()
        texts: list[str] = []
        for line in data.split(b"\n"):
            if not line.startswith(b"data:"):
                continue
            body = line[5:].strip()
            if body == b"[DONE]":
                self.finished = True
                output.finish_reason = self._finish_reason or "stop"
                continue
            self._decode_event(body, output, texts)
        output.text = "".join(texts)
        if not (texts or output.usage or output.finish_reason):
            return None
        return output

    def _decode_event(
        self, body: bytes, output: EngineOutput, texts: list[str]
    ) -> None:
        try:
            event = _EVENT_DECODER.decode(body)
        except DECODING_ERRORS as exception:
            raise UpstreamError(
                f"engine sent an invalid event: {exception}; "
                "check that it supports the chat completions protocol"
            ) from exception
        if bytes(event.error) not in (b"", b"null"):
            text = bytes(event.error)[:200].decode(errors="replace")
            raise UpstreamError(f"engine reported an error: {text}; see its log")
        if event.usage is not None:
            output.usage = _to_usage(event.usage)
        for choice in event.choices[:1]:
            if choice.delta.content:
                texts.append(choice.delta.content)
                output.tokens += 1
            if choice.finish_reason is not None:
                self._finish_reason = choice.finish_reason


def _to_usage(usage: _Usage) -> Usage:
    details = usage.prompt_tokens_details
    return Usage(
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
        cached_tokens=details.cached_tokens if details else 0,
    )


def _join_contents(contents: list[bytes]) -> str:
    joined = contents[0] if len(contents) == 1 else b"".join(contents)
    if b"\\" in joined:
        return _TEXT_DECODER.decode(b'"' + joined + b'"')
    return joined.decode()
