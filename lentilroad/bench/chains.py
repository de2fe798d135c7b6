"""State of the programs of one simulated run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lentilroad.bench.workload import ChainSpec, ProgramSpec, TurnSpec


@dataclass(slots=True, kw_only=True, eq=False)
class Program:
    """A program under way and what was measured on it."""

    spec: ProgramSpec
    arrived_s: float
    attained_s: float = 0.0
    refused: bool = False
    refusals: int = 0
    turns: int = 0
    late_turns: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class Chain:
    """A program's own chain or that of one of its sub-agents."""

    chain_id: str
    program: Program
    spec: ChainSpec
    depth: int
    on_end: Callable[[], None]
    position: int = 0
    # History after the shared prefix.
    own_tokens: int = 0
    # Part of the history that some engine has computed before.
    computed_tokens: int = 0
    ended_s: float | None = None
    # Engines that ran a turn; cache events are too late to tell which still hold it.
    used: set[str] = field(default_factory=set)


@dataclass(slots=True, kw_only=True, eq=False)
class Turn:
    """One turn under way; `done` and `refused` end it."""

    call_id: str
    chain: Chain
    spec: TurnSpec
    started_s: float
    done: Callable[[Turn], None]
    refused: Callable[[Turn, float], None]
    first_s: float | None = None
    # Output that the caller has already seen before an engine died.
    produced_tokens: int = 0
    attempts: int = 0
    retry_after_s: float = 0.0
    excluded: set[str] = field(default_factory=set)
    busy: set[str] = field(default_factory=set)

    @property
    def prompt_tokens(self) -> int:
        """Prompt including the shared prefix and output already produced."""
        chain = self.chain
        own = chain.own_tokens + self.spec.new_tokens + self.produced_tokens
        return chain.spec.shared_tokens + own

    @property
    def under_way(self) -> bool:
        """Whether the program has finished a turn before."""
        return self.chain.position > 0 or self.chain.depth > 0
