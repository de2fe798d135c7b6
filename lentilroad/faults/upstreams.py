"""Upstreams that record what they run: a model engine and a booking service."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from random import Random

from lentilroad.adapters.engine import (
    CacheEvent,
    CacheEvents,
    EngineCommand,
    EngineLoad,
    EngineOutput,
    EngineRequest,
)
from lentilroad.adapters.service import ServiceReply
from lentilroad.errors import NotFoundError, OutcomeUnknownError, UnavailableError
from lentilroad.faults.history import History
from lentilroad.faults.network import Process
from lentilroad.wire.messages import Usage

ANSWER_PARTS = 4


class RecordingEngine:
    """Engine whose answer is a function of the last message.

    Parameters
    ----------
    name : str
        Name in the history.
    history : History
        Receives a ``run`` event for each completion.
    random : Random
        Source of the pace.
    """

    def __init__(self, *, name: str, history: History, random: Random) -> None:
        self.name = name
        self.cached: set[str] = set()
        self.is_down = False
        # Cleared while the upstream hangs.
        self.responding = asyncio.Event()
        self.responding.set()
        # The process beside the engine; output stops when it dies.
        self.process: Process | None = None
        self._history = history
        self._random = random
        self._starts = 0
        self._events: list[CacheEvent] = []

    def restart(self) -> None:
        """Lose all memory and fail what runs."""
        self._starts += 1
        self.cached.clear()
        self._events.clear()

    async def generate(
        self, request: EngineRequest
    ) -> AsyncGenerator[EngineOutput, None]:
        """Run a completion."""
        process = self.process
        await self._step(process, 0.002)
        if self.is_down:
            raise UnavailableError("engine refused the connection", outcome="not_run")
        start = self._starts
        content = request.messages[-1].content
        self._note_run(request)
        text = f"[{content}]" + "".join(f" part{n}" for n in range(ANSWER_PARTS))
        position = len(request.forced_prefix)
        size = len(text) // ANSWER_PARTS + 1
        pace_s = self._random.choice((0.01, 0.03, 0.1))
        while position < len(text):
            await self._step(process, pace_s)
            if self.is_down or self._starts != start:
                raise UnavailableError("engine died; use another", outcome="unknown")
            part = text[position : position + size]
            position += len(part)
            yield EngineOutput(text=part, tokens=len(part))
        usage = Usage(
            prompt_tokens=sum(len(message.content) for message in request.messages),
            completion_tokens=min(len(text), request.max_tokens),
        )
        yield EngineOutput(finish_reason="stop", usage=usage)

    def _note_run(self, request: EngineRequest) -> None:
        self._history.note(
            "run",
            upstream=self.name,
            call_id=request.request_id,
            program=request.program_id,
            contents=[message.content for message in request.messages],
        )
        if request.program_id not in self.cached:
            self.cached.add(request.program_id)
            self._add_event("stored", request.program_id, 100)

    def _add_event(self, kind: str, program_id: str, tokens: int) -> None:
        event = CacheEvent(
            sequence=len(self._events) + 1,
            kind=kind,  # type: ignore[arg-type]
            program_id=program_id,
            tokens=tokens,
        )
        self._events.append(event)

    async def _step(self, process: Process | None, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self.responding.wait()
        if process is not None:
            await process.step()

    async def resume(
        self, *, request_id: str, offset: int
    ) -> AsyncGenerator[EngineOutput, None]:
        """Refuse: this engine keeps no finished streams."""
        raise NotFoundError("the completion is not known; run it again")
        yield EngineOutput()

    async def cancel(self, *, request_id: str) -> None:
        """Ignore: a completion ends with the stream that reads it."""
        await self._check()

    async def load(self) -> EngineLoad:
        """Return a constant load."""
        await self._check()
        return EngineLoad()

    async def cache_events(self, *, after: int) -> CacheEvents:
        """Return the events after a sequence number."""
        await self._check()
        return CacheEvents(events=self._events[after:], last_sequence=len(self._events))

    async def release_program(self, *, program_id: str) -> None:
        """Free the cache of a program."""
        await self._check()
        if program_id in self.cached:
            self.cached.discard(program_id)
            self._add_event("released", program_id, 0)

    async def export_cache(self, *, program_id: str) -> bytes:
        """Return nothing."""
        return b""

    async def import_cache(self, *, program_id: str, data: bytes) -> None:
        """Do nothing."""

    async def command(self, command: EngineCommand) -> None:
        """Do nothing."""

    async def _check(self) -> None:
        process = self.process
        await self._step(process, 0.001)
        if self.is_down:
            raise UnavailableError("engine refused the connection", outcome="not_run")


class RecordingService:
    """Service that counts the effects of each operation.

    Parameters
    ----------
    name : str
        Name in the history.
    history : History
        Receives an ``effect`` event for each operation that took effect.
    random : Random
        Source of the pace and of lost answers.
    """

    def __init__(self, *, name: str, history: History, random: Random) -> None:
        self.name = name
        self.process: Process | None = None
        # Cleared while the upstream hangs.
        self.responding = asyncio.Event()
        self.responding.set()
        self.lost_answers = 0
        self._history = history
        self._random = random

    async def call(
        self, *, operation: str, payload: bytes, call_id: str, traceparent: str = ""
    ) -> ServiceReply:
        """Run an operation once."""
        process = self.process
        await asyncio.sleep(0.002)
        if process is not None:
            await process.step()
        self._history.note(
            "effect",
            upstream=self.name,
            call_id=call_id,
            program=call_id.partition("/")[0],
            operation=operation,
            payload=payload.decode(),
        )
        await asyncio.sleep(self._random.choice((0.01, 0.1, 0.4)))
        await self.responding.wait()
        if process is not None:
            await process.step()
        if self.lost_answers:
            self.lost_answers -= 1
            raise OutcomeUnknownError("the service's answer was lost; check it there")
        return ServiceReply(status=200, payload=b"did " + payload)
