"""Eviction of prefix caches of programs that wait for a tool."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

from lentilroad.clock import Clock
from lentilroad.sketch import DurationSketch
from lentilroad.upstream import retention_const as const

Action = Literal["export", "drop"]


@dataclass(slots=True, kw_only=True)
class Eviction:
    """Eviction of one program's cache: export it or drop it."""

    program_id: str
    action: Action


@dataclass(slots=True, kw_only=True)
class _Paused:
    tool: str
    tokens: int
    since_s: float
    # Whether the next turn has arrived and waits in the queue.
    next_turn_queued: bool = False


class CacheRetention:
    """Select the caches to evict from observed pause lengths by tool.

    Memory and rebuild time are both proportional to the number of cached tokens, so
    the size cancels out: the cache of the program with the longest expected remaining
    pause is evicted first.

    Parameters
    ----------
    clock : Clock
        Source of time.
    can_export : bool
        Whether the upstream can export and import its cache.
    export_capacity_tokens : int
        Capacity for exported caches.
    """

    __slots__ = (
        "_can_export",
        "_clock",
        "_export_free_tokens",
        "_exported",
        "_paused",
        "_sketches",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        can_export: bool = False,
        export_capacity_tokens: int = 0,
    ) -> None:
        self._clock = clock
        self._can_export = can_export
        self._export_free_tokens = export_capacity_tokens
        self._exported: dict[str, int] = {}
        self._paused: dict[str, _Paused] = {}
        self._sketches: OrderedDict[str, DurationSketch] = OrderedDict()

    @property
    def held_tokens(self) -> int:
        """Tokens cached for programs that are paused or wait in the queue."""
        return sum(paused.tokens for paused in self._paused.values())

    def paused(self, program_id: str, *, tool: str, tokens: int) -> None:
        """Record that a turn ended; `tool` is empty if unknown."""
        self._paused[program_id] = _Paused(
            tool=tool, tokens=tokens, since_s=self._clock.monotonic_s()
        )

    def arrived(self, program_id: str) -> None:
        """Record that the program's next turn waits in the queue."""
        paused = self._paused.get(program_id)
        if paused is None or paused.next_turn_queued:
            return
        paused.next_turn_queued = True
        pause_s = self._clock.monotonic_s() - paused.since_s
        self._sketch(paused.tool).observe(pause_s)

    def resumed(self, program_id: str) -> bool:
        """Record that the next turn starts; return whether its cache is exported.

        An exported cache is imported before the call is sent to the upstream.
        """
        self.arrived(program_id)
        self._paused.pop(program_id, None)
        return self._remove_export(program_id)

    def ended(self, program_id: str) -> bool:
        """Remove an ended program; return whether its cache is exported.

        The caller must drop the cache at the upstream at once.
        """
        self._paused.pop(program_id, None)
        return self._remove_export(program_id)

    def evicted(self, program_id: str) -> None:
        """Record that the upstream evicted the cache on its own."""
        paused = self._paused.get(program_id)
        if paused is not None:
            paused.tokens = 0

    def remaining_s(self, program_id: str) -> float:
        """Return the expected time until the program's next turn."""
        paused = self._paused[program_id]
        if paused.next_turn_queued:
            return 0.0
        elapsed_s = self._clock.monotonic_s() - paused.since_s
        return self._sketch(paused.tool).remaining_s(elapsed_s)

    def select_evictions(
        self, *, used_tokens: int, capacity_tokens: int
    ) -> list[Eviction]:
        """Return the caches to evict now, longest remaining pause first.

        Parameters
        ----------
        used_tokens, capacity_tokens : int
            Used and total cache memory of the upstream.
        """
        if used_tokens <= const.HIGH_WATERMARK_SHARE * capacity_tokens:
            return []
        excess_tokens = used_tokens - const.LOW_WATERMARK_SHARE * capacity_tokens
        holders = [item for item, paused in self._paused.items() if paused.tokens]
        ranked = self._by_remaining_pause(holders)
        evictions = []
        for program_id, remaining_s in ranked:
            if excess_tokens <= 0:
                break
            tokens = self._paused[program_id].tokens
            excess_tokens -= tokens
            evictions.append(self._evict(program_id, tokens, remaining_s))
        return evictions

    def _by_remaining_pause(
        self, program_ids: Iterable[str]
    ) -> list[tuple[str, float]]:
        pairs = [(item, self.remaining_s(item)) for item in program_ids]
        return sorted(pairs, key=lambda pair: pair[1], reverse=True)

    def _evict(self, program_id: str, tokens: int, remaining_s: float) -> Eviction:
        paused = self._paused[program_id]
        # The pause continues; its length is recorded when the next turn arrives.
        paused.tokens = 0
        should_export = self._can_export and remaining_s < const.EXPORT_MAX_PAUSE_S
        if should_export and tokens <= self._export_free_tokens:
            self._export_free_tokens -= tokens
            self._exported[program_id] = tokens
            return Eviction(program_id=program_id, action="export")
        return Eviction(program_id=program_id, action="drop")

    def _remove_export(self, program_id: str) -> bool:
        tokens = self._exported.pop(program_id, None)
        if tokens is None:
            return False
        self._export_free_tokens += tokens
        return True

    def _sketch(self, tool: str) -> DurationSketch:
        sketch = self._sketches.get(tool)
        if sketch is None:
            sketch = self._sketches[tool] = DurationSketch()
            if len(self._sketches) > const.MAX_TOOLS:
                self._sketches.popitem(last=False)
        self._sketches.move_to_end(tool)
        return sketch
