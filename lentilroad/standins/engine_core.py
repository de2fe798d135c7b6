"""Model of an engine with continuous batching, in real or virtual time.

Work proceeds in steps. Each step prefills up to `prefill_chunk_tokens` prompt tokens
in order of arrival and generates one token for every request whose prefill is
complete. The duration of a step is::

    step_s + per_request_s * decoding + prefill tokens / prefill_tokens_per_s

multiplied by `slow_factor`. Requests are admitted in order of arrival, without
priorities, while the batch and the memory have capacity. A request allocates memory
for its prompt and its output; cached prompt tokens need no prefill.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import AsyncIterator, Sequence

import msgspec

from lentilroad.adapters.engine import (
    CacheEvent,
    CacheEvents,
    EngineCommand,
    EngineLoad,
    EngineOutput,
    EngineRequest,
)
from lentilroad.clock import Clock
from lentilroad.errors import (
    InvalidRequestError,
    NotFoundError,
    StaleEpochError,
    UnavailableError,
    UpstreamError,
)
from lentilroad.standins.engine_sequence import RunningSequence
from lentilroad.standins.prefix_cache import PathStep, PrefixCache

_EVENT_LOG_LENGTH = 10_000
_LOAD_LOG_LENGTH = 1_000
# Finished output is retained this long, so that a broken stream can be resumed.
_RESUME_WINDOW_S = 30.0


class EngineCosts(msgspec.Struct, kw_only=True):
    """Costs and limits of the stand-in engine."""

    step_s: float = 0.010
    per_request_s: float = 0.001
    prefill_tokens_per_s: float = 8_000.0
    prefill_chunk_tokens: int = 2_048
    batch_limit: int = 32
    memory_tokens: int = 200_000
    load_lag_s: float = 0.5
    event_lag_s: float = 0.5
    # Every n-th cache event is dropped; 0 drops none.
    event_gap_every: int = 0
    transfer_tokens_per_s: float = 100_000.0
    load_model_s: float = 5.0


class EngineStandIn:
    """Stand-in engine; implements `lentilroad.adapters.engine.Engine`.

    Faults are attributes: `hanging` stops all steps, `slow_factor` multiplies their
    duration, `load_frozen` stops updates of the load and `events_stopped` stops cache
    events, `break_after_tokens` breaks each new stream after that many tokens while
    the request continues, `answers_lost` breaks streams before their first token.
    `crash` drops all state and refuses every call until `restart`.

    Parameters
    ----------
    clock : Clock
        Source of time.
    costs : EngineCosts, optional
        Costs and limits.
    models : sequence of str, optional
        Loaded models; if empty, requests for any model are accepted.
    checks_fencing : bool, optional
        Refuse commands with a fencing number below the highest received.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        costs: EngineCosts | None = None,
        models: Sequence[str] = (),
        checks_fencing: bool = True,
    ) -> None:
        self._clock = clock
        self.costs = costs or EngineCosts()
        self.models = list(models)
        self.adapters: list[str] = []
        self.version = ""
        self.role = "mixed"
        self.checks_fencing = checks_fencing
        self.highest_fencing = 0
        self.commands: list[EngineCommand] = []
        self.executions: Counter[str] = Counter()
        self.cancelled: list[str] = []
        self.prefilled_tokens = 0
        self.generated_tokens = 0
        self.hanging = False
        self.dead = False
        self.slow_factor = 1.0
        self.load_frozen = False
        self.events_stopped = False
        self.break_after_tokens: int | None = None
        self.answers_lost = False
        self._reset()

    def _reset(self) -> None:
        self.cache = PrefixCache(
            capacity_tokens=self.costs.memory_tokens, on_change=self._record_event
        )
        self._sequences: dict[str, RunningSequence] = {}
        self._waiting: deque[RunningSequence] = deque()
        self._running: list[RunningSequence] = []
        self._step_task: asyncio.Task[None] | None = None
        self._event_sequence = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=_EVENT_LOG_LENGTH)
        self._loads: deque[tuple[float, EngineLoad]] = deque(maxlen=_LOAD_LOG_LENGTH)
        self._published_load = EngineLoad()
        self._record_load()

    # Requests

    def submit(self, request: EngineRequest) -> RunningSequence:
        """Queue a request and start the step loop if it is not running."""
        self._check_alive()
        if self.models and request.model not in self.models:
            raise NotFoundError(
                f"model {request.model} is not loaded; load the model first"
            )
        if not request.messages:
            raise InvalidRequestError("messages are empty; send at least one message")
        existing = self._sequences.get(request.request_id)
        if existing is not None and not existing.ended:
            raise UpstreamError(
                "request id is in use by a running request; use a new id"
            )
        self.executions[request.request_id] += 1
        self._drop_expired()
        sequence = RunningSequence(request=request)
        self._sequences[request.request_id] = sequence
        self._waiting.append(sequence)
        self._record_load()
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.ensure_future(self._run_steps())
        return sequence

    async def generate(self, request: EngineRequest) -> AsyncIterator[EngineOutput]:
        """Run a completion and yield its output."""
        sequence = self.submit(request)
        async for output in self.read(sequence, offset=len(request.forced_prefix)):
            yield output

    async def resume(
        self, *, request_id: str, offset: int
    ) -> AsyncIterator[EngineOutput]:
        """Yield the output of a completion, starting at character `offset`."""
        async for output in self.read(self.find(request_id), offset=offset):
            yield output

    def find(self, request_id: str) -> RunningSequence:
        """Return the request with this id; raises `NotFoundError` if there is none."""
        self._check_alive()
        sequence = self._sequences.get(request_id)
        if sequence is None:
            raise NotFoundError(
                "request id is unknown or has expired; send the request again"
            )
        return sequence

    async def read(
        self, sequence: RunningSequence, *, offset: int, token_by_token: bool = False
    ) -> AsyncIterator[EngineOutput]:
        """Yield output; with `token_by_token` each item has exactly one token."""
        break_after = 0 if self.answers_lost else self.break_after_tokens
        token_by_token = token_by_token or break_after is not None
        sent = 0
        async for output in sequence.read(offset=offset, token_by_token=token_by_token):
            if break_after is not None and sent + output.tokens > break_after:
                raise UnavailableError("stream broke; resume the stream", outcome="ran")
            sent += output.tokens
            yield output

    async def cancel(self, *, request_id: str) -> None:
        """Stop a completion and free its memory."""
        self._check_alive()
        sequence = self._sequences.get(request_id)
        if sequence is None or sequence.ended:
            return
        self.cancelled.append(request_id)
        if sequence in self._waiting:
            self._waiting.remove(sequence)
        self._end(sequence, reason="cancelled")

    # Steps

    async def _run_steps(self) -> None:
        while self._waiting or self._running:
            self._admit()
            prefills = self._plan_prefill()
            await self._clock.sleep(self._step_duration_s(prefills))
            while self.hanging:
                await self._clock.sleep(self.costs.step_s * 10)
            self._advance(prefills)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.costs.batch_limit:
            sequence = self._waiting[0]
            cached = self.cache.cached_tokens(sequence.path)
            program_id = sequence.request.program_id
            if not self.cache.store(sequence.path, program_id, pin=True):
                if self._running:
                    return
                self._waiting.popleft()
                sequence.fail(
                    UpstreamError("prompt exceeds the memory; shorten the prompt")
                )
                continue
            self._waiting.popleft()
            sequence.admit(cached_tokens=cached)
            self._running.append(sequence)
        self._record_load()

    def _plan_prefill(self) -> list[tuple[RunningSequence, int]]:
        chunk_remaining = self.costs.prefill_chunk_tokens
        plan = []
        for sequence in self._running:
            tokens = min(chunk_remaining, sequence.prefill_remaining_tokens)
            if tokens:
                plan.append((sequence, tokens))
                chunk_remaining -= tokens
        return plan

    def _step_duration_s(self, prefills: list[tuple[RunningSequence, int]]) -> float:
        costs = self.costs
        prefill_tokens = sum(tokens for _, tokens in prefills)
        decoding = len(self._running) - len(prefills)
        duration_s = costs.step_s + costs.per_request_s * decoding
        duration_s += prefill_tokens / costs.prefill_tokens_per_s
        return duration_s * self.slow_factor

    def _advance(self, prefills: list[tuple[RunningSequence, int]]) -> None:
        for sequence, tokens in prefills:
            sequence.prefill_remaining_tokens -= tokens
            self.prefilled_tokens += tokens
        for sequence in list(self._running):
            if sequence.prefill_remaining_tokens or sequence.ended:
                continue
            if not self.cache.allocate(1):
                self._end(sequence, reason="length")
                continue
            sequence.held_tokens += 1
            self.generated_tokens += 1
            sequence.append_token()
            if sequence.complete:
                self._end(sequence, reason=sequence.completion_reason)

    def _end(self, sequence: RunningSequence, *, reason: str) -> None:
        if sequence in self._running:
            self._running.remove(sequence)
            self.cache.free(sequence.held_tokens)
            self.cache.unpin(sequence.path)
            if reason != "cancelled":
                self.cache.store(
                    sequence.answer_path(), sequence.request.program_id, pin=False
                )
        sequence.finish(reason, now_s=self._clock.monotonic_s())
        self._record_load()

    def _drop_expired(self) -> None:
        oldest_s = self._clock.monotonic_s() - _RESUME_WINDOW_S
        for request_id, sequence in list(self._sequences.items()):
            if not sequence.ended or sequence.ended_s > oldest_s:
                return
            del self._sequences[request_id]

    # Load and cache

    async def load(self) -> EngineLoad:
        """Return the last published load."""
        self._check_alive()
        now_s = self._clock.monotonic_s()
        if not self.load_frozen:
            published_until_s = now_s - self.costs.load_lag_s
            while len(self._loads) > 1 and self._loads[1][0] <= published_until_s:
                self._loads.popleft()
            if self._loads[0][0] <= published_until_s:
                self._published_load = self._loads[0][1]
        self._published_load.age_s = self.costs.load_lag_s
        return self._published_load

    def _record_load(self) -> None:
        costs = self.costs
        load = EngineLoad(
            running=len(self._running),
            waiting=len(self._waiting),
            cached_tokens=self.cache.used_tokens,
            cache_capacity_tokens=costs.memory_tokens,
            prefill_tokens_per_s=costs.prefill_tokens_per_s / self.slow_factor,
            time_per_token_s=self._step_duration_s([]),
            models=list(self.models),
            role=self.role,
        )
        self._loads.append((self._clock.monotonic_s(), load))

    def _record_event(self, kind: str, program_id: str, tokens: int) -> None:
        self._event_sequence += 1
        if self.events_stopped:
            return
        drop_every = self.costs.event_gap_every
        if drop_every and self._event_sequence % drop_every == 0:
            return
        event = CacheEvent(
            sequence=self._event_sequence,
            kind=kind,
            program_id=program_id,
            tokens=tokens,
        )
        self._events.append((self._clock.monotonic_s(), event))

    async def cache_events(self, *, after: int) -> CacheEvents:
        """Return published cache events with a sequence number above `after`."""
        self._check_alive()
        published_until_s = self._clock.monotonic_s() - self.costs.event_lag_s
        published = [event for at_s, event in self._events if at_s <= published_until_s]
        last = published[-1].sequence if published else 0
        return CacheEvents(
            events=[event for event in published if event.sequence > after],
            last_sequence=last,
        )

    async def release_program(self, *, program_id: str) -> None:
        """Free the cache entries of a program."""
        self._check_alive()
        self.cache.release(program_id)
        self._record_load()

    async def export_cache(self, *, program_id: str) -> bytes:
        """Return the serialized cache path of a program."""
        self._check_alive()
        path = self.cache.program_path(program_id)
        await self._transfer(path)
        return msgspec.msgpack.encode(path)

    async def import_cache(self, *, program_id: str, data: bytes) -> None:
        """Import a cache; raises `UpstreamError` when memory is insufficient."""
        self._check_alive()
        path = msgspec.msgpack.decode(data, type=list[PathStep])
        await self._transfer(path)
        if path and not self.cache.store(path, program_id, pin=False):
            raise UpstreamError(
                "memory is insufficient for the import; release programs first"
            )
        self._record_load()

    async def _transfer(self, path: list[PathStep]) -> None:
        tokens = sum(step.tokens for step in path)
        await self._clock.sleep(tokens / self.costs.transfer_tokens_per_s)

    # Commands and faults

    async def command(self, command: EngineCommand) -> None:
        """Apply a command; raises `StaleEpochError` for an old fencing number."""
        self._check_alive()
        if self.checks_fencing and command.fencing < self.highest_fencing:
            raise StaleEpochError(
                f"fencing number {command.fencing} is lower than "
                f"{self.highest_fencing}; read the configuration again"
            )
        self.highest_fencing = max(self.highest_fencing, command.fencing)
        self.commands.append(command)
        if command.kind == "set_role":
            self.role = command.value
            return
        await self._clock.sleep(self.costs.load_model_s)
        if command.kind == "load_version":
            self.version = command.value
            return
        loaded = self.models if command.kind == "load_model" else self.adapters
        if command.value not in loaded:
            loaded.append(command.value)

    def crash(self) -> None:
        """Drop all state and refuse every call until `restart`."""
        self.dead = True
        if self._step_task is not None:
            self._step_task.cancel()
        for sequence in self._sequences.values():
            sequence.fail(UnavailableError("engine crashed", outcome="ran"))
        self._reset()

    def restart(self) -> None:
        """Accept calls again, with empty memory."""
        self.dead = False

    def _check_alive(self) -> None:
        if self.dead:
            raise UnavailableError("engine has crashed; use another engine")
