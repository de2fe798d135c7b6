"""A sidecar in a simulated run: queue, limit and retention of one engine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lentilroad.bench.chains import Turn
from lentilroad.bench.engine import (
    PREFILL_CHUNK,
    TRANSFER_TOKENS_PER_S,
    EngineRequest,
    ModelEngine,
)
from lentilroad.bench.simulation import Simulation
from lentilroad.errors import OverloadedError
from lentilroad.request.concurrency import ConcurrencyLimit
from lentilroad.request.const import CONCURRENCY_INITIAL, DEFAULT_OUTPUT_TOKENS
from lentilroad.request.queue import CallQueue, CallSize, QueueSettings
from lentilroad.upstream.retention import CacheRetention
from lentilroad.wire.messages import LoadReport, Priority


@dataclass(slots=True, kw_only=True, frozen=True)
class Mechanisms:
    """Mechanisms that an ablation switches off."""

    prefix_routing: bool = True
    load_routing: bool = True
    queue_order: bool = True
    fair_share: bool = True
    refusal: bool = True
    concurrency: bool = True
    release: bool = True
    retention: bool = True
    export: bool = True
    cross_region: bool = True
    forced_prefix: bool = True


class AttemptOwner(Protocol):
    """What a sidecar tells the owner of a turn."""

    def attempt_first(self, attempt: Attempt) -> None:
        """Take note of the first token."""
        ...

    def attempt_done(self, attempt: Attempt, request: EngineRequest) -> None:
        """Take note of a finished turn."""
        ...

    def attempt_failed(self, attempt: Attempt) -> None:
        """Take note of an engine that failed."""
        ...

    def attempt_refused(self, attempt: Attempt, error: OverloadedError) -> None:
        """Take note of a refusal."""
        ...


class Attempt:
    """One dispatch of a turn from its owner to a sidecar."""

    __slots__ = ("address", "owner", "popped_s", "turn")

    def __init__(self, *, owner: AttemptOwner, turn: Turn, address: str) -> None:
        self.owner = owner
        self.turn = turn
        self.address = address
        self.popped_s = 0.0

    def priority(self) -> Priority:
        """Return what the sidecar's queue orders by."""
        program = self.turn.chain.program
        return Priority(
            caller_id=program.spec.caller_id,
            attained_service_s=program.attained_s,
            program_started_time_s=program.arrived_s,
            under_way=self.turn.under_way,
            interactive=program.spec.interactive,
            remaining_depth=self.turn.chain.depth,
        )

    def first(self) -> None:
        """Take note of the first token."""
        self.owner.attempt_first(self)

    def done(self, request: EngineRequest) -> None:
        """Finish the turn."""
        self.owner.attempt_done(self, request)

    def failed(self) -> None:
        """Move the turn to another engine."""
        self.owner.attempt_failed(self)

    def refused(self, error: OverloadedError) -> None:
        """Try elsewhere, later, or refuse the program."""
        self.owner.attempt_refused(self, error)


class SidecarModel:
    """Queue, limit and retention of one engine, as the sidecar connects them."""

    def __init__(
        self, *, simulation: Simulation, engine: ModelEngine, mechanisms: Mechanisms
    ) -> None:
        clock = simulation.clock
        self.engine = engine
        self.simulation = simulation
        self.mechanisms = mechanisms
        initial = CONCURRENCY_INITIAL if mechanisms.concurrency else 100_000
        self.limit = ConcurrencyLimit(
            clock=clock,
            initial=initial,
            minimum=1 if mechanisms.concurrency else initial,
            maximum=max(512, initial),
        )
        self.queue: CallQueue[Attempt] = CallQueue(
            clock=clock, concurrency=self.limit, settings=_queue_settings(mechanisms)
        )
        self.retention = CacheRetention(
            clock=clock,
            can_export=mechanisms.export,
            export_capacity_tokens=engine.capacity_tokens,
        )

    def push(self, attempt: Attempt) -> None:
        """Queue an attempt or refuse it."""
        if not self.engine.alive:
            attempt.failed()
            return
        try:
            self.queue.push(
                attempt, priority=attempt.priority(), size=self._size(attempt.turn)
            )
        except OverloadedError as error:
            attempt.refused(error)
            return
        self.retention.arrived(attempt.turn.chain.chain_id)
        self.pump()

    def _size(self, turn: Turn) -> CallSize:
        chain = turn.chain
        held = self.engine.cache.get(chain.chain_id, 0)
        held += self.engine.exported.get(chain.chain_id, 0)
        held += self.engine.shared.get(chain.spec.shared_key, 0)
        own_tokens = turn.prompt_tokens - chain.spec.shared_tokens
        return CallSize(
            prefill_tokens=max(0, turn.prompt_tokens - held),
            memory_tokens=own_tokens + DEFAULT_OUTPUT_TOKENS,
        )

    def observe(self) -> None:
        """Take over what the engine reports and the streams show."""
        engine = self.engine
        if self.limit.in_flight:
            self.limit.observe(time_per_token_s=engine.step_s)
        self.queue.set_upstream(
            memory_tokens=engine.capacity_tokens,
            under_way_tokens=(engine.active_tokens + self.retention.held_tokens),
            prefill_tokens_per_s=PREFILL_CHUNK / engine.step_s,
        )

    def pump(self) -> None:
        """Start what may run and answer what was refused."""
        while self.engine.alive and (attempt := self.queue.pop_ready()) is not None:
            self._start(attempt)
        for attempt, error in self.queue.take_refused():
            attempt.refused(error)

    def report(self) -> LoadReport:
        """Return the load report of this moment."""
        return LoadReport(
            running=self.limit.in_flight,
            queued=len(self.queue),
            limit=self.limit.limit if self.mechanisms.concurrency else 100,
            cached_tokens=self.engine.cached_tokens,
            cache_capacity_tokens=self.engine.capacity_tokens,
            prefill_tokens_per_s=PREFILL_CHUNK / self.engine.step_s,
            time_per_token_s=self.engine.step_s,
            queue_wait_s=self.queue.expected_wait_s(),
        )

    def relieve(self, needed_tokens: int = 0) -> None:
        """Give caches up under memory pressure."""
        if not self.mechanisms.retention:
            return
        engine = self.engine
        used = engine.active_tokens + engine.cached_tokens + needed_tokens
        for victim in self.retention.select_evictions(
            used_tokens=used, capacity_tokens=engine.capacity_tokens
        ):
            if victim.action == "export":
                engine.export(victim.program_id)
            else:
                engine.release(victim.program_id)

    def forget(self, chain_id: str) -> None:
        """Drop what an ended chain holds."""
        self.retention.ended(chain_id)
        if self.mechanisms.release:
            self.engine.release(chain_id)

    def engine_died(self) -> None:
        """Fail the waiting calls; the running ones fail by their connection."""
        self.queue.refuse_all("the engine is down")
        for attempt, _ in self.queue.take_refused():
            attempt.failed()

    def _start(self, attempt: Attempt) -> None:
        clock = self.simulation.clock
        attempt.popped_s = clock.now_s
        chain_id = attempt.turn.chain.chain_id
        tokens = self.engine.exported.get(chain_id, 0)
        self.retention.resumed(chain_id)
        self.relieve(attempt.turn.prompt_tokens)
        clock.after(tokens / TRANSFER_TOKENS_PER_S, self._submit, attempt)

    def _submit(self, attempt: Attempt) -> None:
        turn = attempt.turn
        chain = turn.chain
        self.engine.import_cache(chain.chain_id)
        own = chain.own_tokens + turn.spec.new_tokens + turn.produced_tokens
        self.engine.submit(
            EngineRequest(
                chain_id=chain.chain_id,
                shared_key=chain.spec.shared_key,
                shared_tokens=chain.spec.shared_tokens,
                own_tokens=own,
                output_tokens=max(1, turn.spec.output_tokens - turn.produced_tokens),
                on_first=lambda _: self._first(attempt),
                on_done=lambda request: self._done(attempt, request),
                on_failed=lambda request: self._failed(attempt, request),
            )
        )

    def _first(self, attempt: Attempt) -> None:
        attempt.first()
        self.queue.first_token(attempt)
        self.pump()

    def _done(self, attempt: Attempt, request: EngineRequest) -> None:
        now_s = self.simulation.clock.now_s
        chain = attempt.turn.chain
        prefill_s = request.uncached_tokens / PREFILL_CHUNK * self.engine.step_s
        self.queue.finished(
            attempt,
            service_s=now_s - attempt.popped_s,
            time_per_token_s=(now_s - request.first_s) / request.output_tokens,
            engine_queue_s=max(0.0, request.first_s - request.submitted_s - prefill_s),
        )
        tokens = request.own_tokens + request.output_tokens
        self.retention.paused(
            chain.chain_id, tool=attempt.turn.spec.tool, tokens=tokens
        )
        attempt.done(request)
        self.relieve()
        self.pump()

    def _failed(self, attempt: Attempt, request: EngineRequest) -> None:
        now_s = self.simulation.clock.now_s
        self.queue.finished(
            attempt, service_s=now_s - attempt.popped_s, succeeded=False
        )
        if self.mechanisms.forced_prefix:
            attempt.turn.produced_tokens += request.produced_tokens
        attempt.failed()


def _queue_settings(mechanisms: Mechanisms) -> QueueSettings:
    settings = QueueSettings()
    if not mechanisms.queue_order:
        settings.attained_weight = 0.0
        settings.new_program_delay_s = 0.0
        settings.interactive_advance_s = 0.0
        settings.depth_advance_s = 0.0
        settings.prefill_weight = 0.0
    if not mechanisms.concurrency:
        settings.prefill_tokens_max = 1_000_000_000
    if not mechanisms.fair_share:
        settings.fairness_slack_s = float("inf")
    if not mechanisms.refusal:
        settings.new_program_wait_max_s = float("inf")
        settings.new_program_memory_share = float("inf")
        settings.calls_max = 1_000_000
    return settings
