"""State and output of one request in the stand-in engine."""

from __future__ import annotations

from collections.abc import AsyncIterator

from lentilroad.adapters.engine import EngineOutput, EngineRequest
from lentilroad.errors import LentilroadError
from lentilroad.notifier import Notifier
from lentilroad.standins.engine_text import (
    answer_length,
    answer_seed,
    answer_token,
    split_forced_prefix,
)
from lentilroad.standins.prefix_cache import PathStep, extend_key, prompt_path
from lentilroad.wire.messages import Usage


class RunningSequence:
    """Output of one request, which any number of readers can read from any offset.

    Parameters
    ----------
    request : EngineRequest
        Request that the engine accepted.
    """

    def __init__(self, *, request: EngineRequest) -> None:
        self.request = request
        self.path = prompt_path(request.model, request.messages)
        self.prompt_tokens = sum(step.tokens for step in self.path)
        self.cached_tokens = 0
        self._seed = answer_seed(request.model, request.messages)
        self.prefix_tokens, self._partial_token = split_forced_prefix(
            self._seed, request.forced_prefix
        )
        self.prefill_remaining_tokens = self.prompt_tokens + self.prefix_tokens
        self.held_tokens = 0
        self.ended = False
        self.ended_s = 0.0
        self.finish_reason: str | None = None
        self.error: LentilroadError | None = None
        full_length = answer_length(self._seed, request.messages)
        self._final_length = min(request.max_tokens, full_length)
        self.completion_reason = (
            "stop" if full_length <= request.max_tokens else "length"
        )
        self._generated: list[str] = []
        self._changed = Notifier()

    @property
    def tokens(self) -> int:
        """Number of tokens generated, including the forced prefix."""
        return self.prefix_tokens + len(self._generated)

    @property
    def complete(self) -> bool:
        """Whether the answer has reached its final length."""
        return self.tokens >= self._final_length

    def admit(self, *, cached_tokens: int) -> None:
        """Enter the batch; at least one prompt token is always prefilled."""
        self.cached_tokens = min(cached_tokens, self.prompt_tokens - 1)
        self.prefill_remaining_tokens -= self.cached_tokens

    def append_token(self) -> None:
        """Generate the next token, unless the forced prefix completes the answer."""
        if self.complete:
            return
        self._generated.append(
            self._partial_token or answer_token(self._seed, self.tokens)
        )
        self._partial_token = ""
        self._changed.notify()

    def answer_path(self) -> list[PathStep]:
        """Return the path of the prompt with the answer as its next message."""
        text = self.request.forced_prefix + "".join(self._generated)
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

    async def read(
        self, *, offset: int, token_by_token: bool
    ) -> AsyncIterator[EngineOutput]:
        """Yield output from `offset` characters, counted with the forced prefix."""
        skip = max(0, offset - len(self.request.forced_prefix))
        index = 0
        while True:
            end = (
                min(index + 1, len(self._generated))
                if token_by_token
                else len(self._generated)
            )
            text = "".join(self._generated[index:end])
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
        """Return the token usage of the request."""
        return Usage(
            prompt_tokens=self.prompt_tokens,
            cached_tokens=self.cached_tokens,
            completion_tokens=self.tokens,
        )
