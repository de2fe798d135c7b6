"""Interface to a model engine.

Text and offsets count characters from the start of the whole answer. An answer that
continues a forced prefix starts with that prefix: its first output has the offset
``len(forced_prefix)``, and `max_tokens` limits the whole answer.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Literal, Protocol

import msgspec

from lentilroad.wire.messages import ChatMessage, Usage


class EngineRequest(msgspec.Struct, kw_only=True):
    """Completion request; `request_id` identifies it for cancel and resume."""

    request_id: str
    program_id: str
    model: str
    messages: list[ChatMessage]
    forced_prefix: str = ""
    max_tokens: int = 256
    traceparent: str = ""


class EngineOutput(msgspec.Struct, kw_only=True):
    """New text of a completion; the last output has a finish reason and usage."""

    text: str = ""
    tokens: int = 0
    finish_reason: str | None = None
    usage: Usage | None = None


class EngineLoad(msgspec.Struct, kw_only=True):
    """Load of an engine as it was `age_s` seconds ago."""

    running: int = 0
    waiting: int = 0
    cached_tokens: int = 0
    cache_capacity_tokens: int = 0
    prefill_tokens_per_s: float = 0.0
    time_per_token_s: float = 0.0
    age_s: float = 0.0
    models: list[str] = []
    role: str = ""


class CacheEvent(msgspec.Struct, kw_only=True):
    """Change of a program's content in the engine's prefix cache."""

    sequence: int
    kind: Literal["stored", "evicted", "released"]
    program_id: str
    # Cached tokens of the program after the change.
    tokens: int


class CacheEvents(msgspec.Struct, kw_only=True):
    """Cache events after a sequence number; a gap in the sequence means lost events."""

    events: list[CacheEvent]
    last_sequence: int = 0


class EngineCommand(msgspec.Struct, kw_only=True):
    """Command that changes what an engine serves, ordered by its fencing number."""

    kind: Literal["load_model", "load_adapter", "load_version", "set_role"]
    value: str
    fencing: int


class Engine(Protocol):
    """Interface that lentilroad requires of a model engine.

    Every method raises `UnavailableError` when the engine cannot be reached and
    `UpstreamError` when it answers with an error.
    """

    def generate(self, request: EngineRequest) -> AsyncIterator[EngineOutput]:
        """Run a completion and yield its output."""
        ...

    def resume(self, *, request_id: str, offset: int) -> AsyncIterator[EngineOutput]:
        """Yield the output of a running or recent completion from `offset` on.

        Raises `NotFoundError` when the engine has no completion with this id.
        """
        ...

    async def cancel(self, *, request_id: str) -> None:
        """Stop a completion and free its resources; unknown ids are ignored."""
        ...

    async def load(self) -> EngineLoad:
        """Return the last published load."""
        ...

    async def cache_events(self, *, after: int) -> CacheEvents:
        """Return cache events with a sequence number above `after`."""
        ...

    async def release_program(self, *, program_id: str) -> None:
        """Free the cache entries of a program."""
        ...

    async def export_cache(self, *, program_id: str) -> bytes:
        """Return the cache entries of a program in the engine's own format."""
        ...

    async def import_cache(self, *, program_id: str, data: bytes) -> None:
        """Load exported cache entries."""
        ...

    async def command(self, command: EngineCommand) -> None:
        """Apply a command; raises `StaleEpochError` for an old fencing number."""
        ...
