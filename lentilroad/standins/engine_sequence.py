"""One request in the stand-in engine."""

from __future__ import annotations

from collections.abc import AsyncIterator

from lentilroad.adapters.engine import EngineOutput, EngineRequest
from lentilroad.errors import LentilroadError
from lentilroad.notifier import Notifier
from lentilroad.standins.engine_text import (
    answer_length,
    answer_seed,
    continuation,
    word,
)
from lentilroad.standins.prefix_cache import PathStep, extend_key, prompt_path
from lentilroad.wire.messages import Usage


class Sequence:
    """Output of one request, readable from any offset by any number of readers.

    Parameters
    ----------
    request : EngineRequest
        The request.
    """

    def __init__(self, *, request: EngineRequest) -> None:
        self.request = request
        self.path = prompt_path(request.model, request.messages)
        self.prompt_tokens = sum(step.tokens for step in self.path)
        self.cached_tokens = 0
        self._seed = answer_seed(request.model, request.messages)
        self.prefix_tokens, self._rest = continuation(self._seed, request.forced_prefix)
        self.prefill_left = self.prompt_tokens + self.prefix_tokens
        self.held_tokens = 0
        self.ended = False
        self.ended_s = 0.0
        self.finish_reason: str | None = None
        self.error: LentilroadError | None = None
        natural = answer_length(self._seed, request.messages)
        self._length = min(request.max_tokens, natural)
        self.natural_reason = "stop" if natural <= request.max_tokens else "length"
        self._pieces: list[str] = []
        self._changed = Notifier()

    @property
    def tokens(self) -> int:
        """Tokens of the whole answer so far, with the forced prefix."""
        return self.prefix_tokens + len(self._pieces)

    @property
    def complete(self) -> bool:
        """Whether the answer has its whole length."""
        return self.tokens >= self._length

    def admit(self, *, cached_tokens: int) -> None:
        """Enter the batch; at least one prompt token is always computed."""
        self.cached_tokens = min(cached_tokens, self.prompt_tokens - 1)
        self.prefill_left -= self.cached_tokens

    def append_token(self) -> None:
        """Produce the next token, unless the prefix is the whole answer."""
        if self.complete:
            return
        self._pieces.append(self._rest or word(self._seed, self.tokens))
        self._rest = ""
        self._changed.notify()

    def answer_path(self) -> list[PathStep]:
        """Return the path of the prompt with the answer as its next message."""
        text = self.request.forced_prefix + "".join(self._pieces)
        key = self.path[-1].key if self.path else 0
        step = PathStep(extend_key(key, "assistant", text), self.tokens)
        return [*self.path, step]

    def finish(self, reason: str, *, now_s: float) -> None:
        """End the request."""
        self.ended = True
        self.ended_s = now_s
        self.finish_reason = reason
        self._changed.notify()

    def fail(self, error: LentilroadError) -> None:
        """End the request with an error."""
        if self.ended:
            return
        self.ended = True
        self.error = error
        self._changed.notify()

    async def read(self, *, offset: int, single: bool) -> AsyncIterator[EngineOutput]:
        """Yield the output from `offset` characters of the whole answer on."""
        skip = max(0, offset - len(self.request.forced_prefix))
        index = 0
        while True:
            end = min(index + 1, len(self._pieces)) if single else len(self._pieces)
            text = "".join(self._pieces[index:end])
            tokens = end - index
            index = end
            if skip:
                skipped = min(skip, len(text))
                skip -= skipped
                text = text[skipped:]
            if text:
                yield EngineOutput(text=text, tokens=tokens)
            elif tokens:
                continue
            elif self.error is not None:
                raise self.error
            elif self.ended:
                yield EngineOutput(finish_reason=self.finish_reason, usage=self.usage())
                return
            else:
                await self._changed.wait()

    def usage(self) -> Usage:
        """Return what the request consumed."""
        return Usage(
            prompt_tokens=self.prompt_tokens,
            cached_tokens=self.cached_tokens,
            completion_tokens=self.tokens,
        )
