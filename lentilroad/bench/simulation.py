"""Driver that runs programs against engines under one policy."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from lentilroad.bench.chains import Chain, Program, Turn
from lentilroad.bench.engine import EngineEvents, EngineRequest, ModelEngine
from lentilroad.bench.events import EventClock
from lentilroad.bench.workload import ChainSpec, Deployment, ProgramSpec
from lentilroad.wire.messages import SidecarRecord

# Targets of the first token and of the time between tokens.
LATE_FIRST_TOKEN_S = 1.9
LATE_TIME_PER_TOKEN_S = 0.053
RETRY_AFTER_FAILURE_S = 0.1
CALLER_RETRIES = 5


class Policy(Protocol):
    """Decides where and when turns run."""

    def send(self, turn: Turn) -> None:
        """Run a turn; call its `done` or `refused` in the end."""
        ...

    def chain_ended(self, chain: Chain) -> None:
        """Take note that a chain has ended."""
        ...

    def preloaded(self, chain: Chain, address: str) -> None:
        """Take note of an engine that holds a chain's history at its start."""
        ...


@dataclass(slots=True, kw_only=True)
class Window:
    """Part of a run that is measured, in seconds."""

    start_s: float
    end_s: float
    stop_s: float


@dataclass(slots=True, kw_only=True)
class Tally:
    """What one run measured."""

    programs: list[Program] = field(default_factory=list)
    latencies_s: list[tuple[Program, float]] = field(default_factory=list)
    turn_latencies: list[tuple[float, float]] = field(default_factory=list)
    turns: int = 0
    late_turns: int = 0
    held_token_s: float = 0.0
    recomputed_tokens: int = 0
    cross_region_bytes: int = 0
    refused_programs: int = 0
    dropped_programs: int = 0
    offered_programs: int = 0
    unfinished_programs: int = 0


class Simulation:
    """Engines, programs and failures of one run.

    Parameters
    ----------
    deployment : Deployment
        Engines and kind of programs.
    capacity_tokens : int
        Memory of each engine.
    window : Window
        Measured part of the run.
    seed : int
        Seed of the policy's choices; the programs come with their own.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        capacity_tokens: int,
        window: Window,
        seed: int,
    ) -> None:
        self.clock = EventClock()
        self.deployment = deployment
        self.window = window
        self.random = Random(seed)
        self.tally = Tally()
        self.engines: dict[str, ModelEngine] = {}
        self.records: dict[str, SidecarRecord] = {}
        # Switched by failures.
        self.reports_frozen = False
        self.cache_events_cut = False
        self.cut_regions: set[str] = set()
        self.on_evicted: Callable[[str, str, int], None] | None = None
        self.policy: Policy
        self._chains: dict[str, Chain] = {}
        self._unfinished = 0
        self._calls = 0
        events = EngineEvents(on_admit=self._on_admit, on_evict=self._on_evict)
        for region, count in deployment.engines:
            for number in range(count):
                name = f"{region}-{number}"
                self.engines[name] = ModelEngine(
                    name=name,
                    clock=self.clock,
                    capacity_tokens=capacity_tokens,
                    events=events,
                )
                self.records[name] = SidecarRecord(
                    address=name,
                    upstream_id=name,
                    kind="engine",
                    names=["model"],
                    region=region,
                    availability_zone=f"{region}-{'abc'[number % 3]}",
                    incarnation=1,
                )

    def arrive(
        self,
        spec: ProgramSpec,
        *,
        on_end: Callable[[], None] | None = None,
        position: int = 0,
    ) -> None:
        """Start a program now, at the turn `position`."""
        now_s = self.clock.now_s
        program = Program(spec=spec, arrived_s=now_s)
        measured = self.window.start_s <= now_s < self.window.end_s
        if measured:
            self._unfinished += 1
            self.tally.offered_programs += 1
            self.tally.programs.append(program)

        def ended() -> None:
            if measured:
                self._finish_program(program)
            if on_end is not None:
                on_end()

        chain = self._chain(spec.program_id, program, spec.chain, 0, ended)
        chain.position = position
        for turn in spec.chain.turns[:position]:
            chain.own_tokens += turn.new_tokens + turn.output_tokens
        if position:
            self._preload(chain)
        self._next_turn(chain)

    def reaches(self, region: str, address: str) -> bool:
        """Return whether a region's entries reach an engine."""
        other = self.records[address].region
        return other == region or not self.cut_regions & {region, other}

    def count_traffic(self, turn: Turn, address: str) -> None:
        """Count the bytes of a turn that leaves its region."""
        if self.records[address].region == turn.chain.program.spec.region:
            return
        if self._in_window():
            tokens = turn.prompt_tokens + turn.spec.output_tokens
            self.tally.cross_region_bytes += 4 * tokens

    def finish_window(self) -> None:
        """Count caches of ended programs that are still held, and what is unfinished.

        The latency of an unfinished program is the time that it has taken so far.
        """
        finished = {id(program) for program, _ in self.tally.latencies_s}
        for program in self.tally.programs:
            if id(program) not in finished and not program.refused:
                latency_s = self.clock.now_s - program.arrived_s
                self.tally.latencies_s.append((program, latency_s))
                self.tally.unfinished_programs += 1
        for engine in self.engines.values():
            for key, tokens in engine.cache.items():
                self._count_held(key, tokens)

    def _preload(self, chain: Chain) -> None:
        """Hold the history of a program that starts in the middle."""
        region = chain.program.spec.region
        local = [e for name, e in self.engines.items() if name.startswith(region)]
        engine = min(local, key=lambda item: item.cached_tokens)
        chain.computed_tokens = chain.own_tokens
        engine.preload(chain)
        self.policy.preloaded(chain, engine.name)

    def _chain(
        self,
        chain_id: str,
        program: Program,
        spec: ChainSpec,
        depth: int,
        on_end: Callable[[], None],
    ) -> Chain:
        chain = Chain(
            chain_id=chain_id, program=program, spec=spec, depth=depth, on_end=on_end
        )
        self._chains[chain_id] = chain
        return chain

    def _next_turn(self, chain: Chain, started_s: float | None = None) -> None:
        self._calls += 1
        self.policy.send(
            Turn(
                call_id=f"c{self._calls}",
                chain=chain,
                spec=chain.spec.turns[chain.position],
                started_s=self.clock.now_s if started_s is None else started_s,
                done=self._turn_done,
                refused=self._turn_refused,
            )
        )

    def _turn_done(self, turn: Turn) -> None:
        chain = turn.chain
        self._measure_turn(turn)
        chain.own_tokens += turn.spec.new_tokens + turn.spec.output_tokens
        chain.computed_tokens = chain.own_tokens
        chain.position += 1
        if chain.position == len(chain.spec.turns):
            self._end_chain(chain)
            return
        sub_agents = turn.spec.sub_agents
        if not sub_agents:
            self.clock.after(turn.spec.pause_s, self._next_turn, chain)
            return
        left = len(sub_agents)

        def sub_agent_ended() -> None:
            nonlocal left
            left -= 1
            if left == 0 and not chain.program.refused:
                self._next_turn(chain)

        for number, spec in enumerate(sub_agents):
            chain_id = f"{chain.chain_id}/{chain.position}.{number}"
            inner = self._chain(
                chain_id, chain.program, spec, chain.depth + 1, sub_agent_ended
            )
            self._next_turn(inner)

    def _turn_refused(self, turn: Turn, retry_after_s: float) -> None:
        chain = turn.chain
        program = chain.program
        program.refusals += 1
        if not turn.under_way and program.refusals <= CALLER_RETRIES:
            # The caller tries again with doubling delays.
            delay_s = retry_after_s * 2.0 ** (program.refusals - 1)
            delay_s *= self.random.uniform(0.75, 1.25)
            self.clock.after(delay_s, self._next_turn, chain, turn.started_s)
            return
        if not program.refused:
            program.refused = True
            if self.window.start_s <= program.arrived_s < self.window.end_s:
                if turn.under_way:
                    self.tally.dropped_programs += 1
                else:
                    self.tally.refused_programs += 1
        self._end_chain(chain)

    def _end_chain(self, chain: Chain) -> None:
        chain.ended_s = self.clock.now_s
        self.policy.chain_ended(chain)
        chain.on_end()

    def _finish_program(self, program: Program) -> None:
        self._unfinished -= 1
        if not program.refused:
            latency_s = self.clock.now_s - program.arrived_s
            self.tally.latencies_s.append((program, latency_s))
        if self._unfinished == 0 and self.clock.now_s >= self.window.end_s:
            self.clock.stopped = True

    def _measure_turn(self, turn: Turn) -> None:
        now_s = self.clock.now_s
        first_s = turn.first_s if turn.first_s is not None else now_s
        time_per_token_s = (now_s - first_s) / max(1, turn.spec.output_tokens)
        late = (
            first_s - turn.started_s > LATE_FIRST_TOKEN_S
            or time_per_token_s > LATE_TIME_PER_TOKEN_S
        )
        turn.chain.program.turns += 1
        turn.chain.program.late_turns += late
        if self._in_window():
            self.tally.turns += 1
            self.tally.late_turns += late
            self.tally.turn_latencies.append((now_s, now_s - turn.started_s))

    def _on_admit(self, address: str, request: EngineRequest) -> None:
        chain = self._chains[request.chain_id]
        if self._in_window():
            lost = chain.computed_tokens - request.own_cached_tokens
            self.tally.recomputed_tokens += max(0, lost)

    def _on_evict(self, address: str, key: str, tokens: int) -> None:
        self._count_held(key, tokens)
        if self.on_evicted is not None and not self.cache_events_cut:
            # Cache events are published late.
            self.clock.after(1.0, self.on_evicted, address, key, tokens)

    def _count_held(self, key: str, tokens: int) -> None:
        chain = self._chains.get(key)
        if chain is None or chain.ended_s is None:
            return
        start_s = max(chain.ended_s, self.window.start_s)
        held_s = min(self.clock.now_s, self.window.end_s) - start_s
        self.tally.held_token_s += tokens * max(0.0, held_s)

    def _in_window(self) -> bool:
        return self.window.start_s <= self.clock.now_s < self.window.end_s
