"""What happens to a program's prefix cache while it waits for a tool."""

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
    """Cache to give up, and how."""

    program_id: str
    action: Action


@dataclass(slots=True, kw_only=True)
class _Paused:
    tool: str
    tokens: int
    since_s: float
    # The next turn has arrived and waits in the queue.
    waiting: bool = False


class CacheRetention:
    """Learned pause lengths by tool, and the paused programs of one upstream.

    Memory and rebuild time both grow with the number of cached tokens, so the size
    cancels out and the cache to give up first is the one of the program with the
    longest expected remaining pause.

    Parameters
    ----------
    clock : Clock
        Source of time.
    can_export : bool
        Whether the upstream can export and import its cache.
    export_capacity_tokens : int
        Room for exported caches.
    """

    __slots__ = (
        "_can_export",
        "_clock",
        "_export_left",
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
        self._export_left = export_capacity_tokens
        self._exported: dict[str, int] = {}
        self._paused: dict[str, _Paused] = {}
        self._sketches: OrderedDict[str, DurationSketch] = OrderedDict()

    @property
    def held_tokens(self) -> int:
        """Tokens cached for programs that are paused or wait in the queue."""
        return sum(paused.tokens for paused in self._paused.values())

    def paused(self, program_id: str, *, tool: str, tokens: int) -> None:
        """Record that a turn ended; `tool` is empty when it is not known."""
        self._paused[program_id] = _Paused(
            tool=tool, tokens=tokens, since_s=self._clock.monotonic_s()
        )

    def arrived(self, program_id: str) -> None:
        """Record that the program's next turn waits in the queue."""
        paused = self._paused.get(program_id)
        if paused is None or paused.waiting:
            return
        paused.waiting = True
        pause_s = self._clock.monotonic_s() - paused.since_s
        self._sketch(paused.tool).observe(pause_s)

    def resumed(self, program_id: str) -> bool:
        """Record that the next turn runs; return whether its cache is exported.

        An exported cache is imported before the call is sent to the upstream.
        """
        self.arrived(program_id)
        self._paused.pop(program_id, None)
        return self._return_export(program_id)

    def ended(self, program_id: str) -> bool:
        """Forget an ended program; return whether its cache is exported.

        The caller drops the cache at the upstream at once.
        """
        self._paused.pop(program_id, None)
        return self._return_export(program_id)

    def evicted(self, program_id: str) -> None:
        """Record that the upstream dropped the cache by itself."""
        paused = self._paused.get(program_id)
        if paused is not None:
            paused.tokens = 0

    def remaining_s(self, program_id: str) -> float:
        """Return the expected time until the program's next turn."""
        paused = self._paused[program_id]
        if paused.waiting:
            return 0.0
        elapsed_s = self._clock.monotonic_s() - paused.since_s
        return self._sketch(paused.tool).remaining_s(elapsed_s)

    def select_evictions(
        self, *, used_tokens: int, capacity_tokens: int
    ) -> list[Eviction]:
        """Return the caches to give up now, longest remaining pause first.

        Parameters
        ----------
        used_tokens, capacity_tokens : int
            Memory of the upstream that is in use, and all of it.
        """
        if used_tokens <= const.PRESSURE_HIGH * capacity_tokens:
            return []
        excess = used_tokens - const.PRESSURE_LOW * capacity_tokens
        holding = [item for item, paused in self._paused.items() if paused.tokens]
        ranked = self._by_remaining_pause(holding)
        found = []
        for program_id, remaining_s in ranked:
            if excess <= 0:
                break
            tokens = self._paused[program_id].tokens
            excess -= tokens
            found.append(self._give_up(program_id, tokens, remaining_s))
        return found

    def _by_remaining_pause(
        self, program_ids: Iterable[str]
    ) -> list[tuple[str, float]]:
        pairs = [(item, self.remaining_s(item)) for item in program_ids]
        return sorted(pairs, key=lambda pair: pair[1], reverse=True)

    def _give_up(self, program_id: str, tokens: int, remaining_s: float) -> Eviction:
        paused = self._paused[program_id]
        # The pause goes on, and its length is still to be learned.
        paused.tokens = 0
        worthwhile = self._can_export and remaining_s < const.EXPORT_PAUSE_MAX_S
        if worthwhile and tokens <= self._export_left:
            self._export_left -= tokens
            self._exported[program_id] = tokens
            return Eviction(program_id=program_id, action="export")
        return Eviction(program_id=program_id, action="drop")

    def _return_export(self, program_id: str) -> bool:
        tokens = self._exported.pop(program_id, None)
        if tokens is None:
            return False
        self._export_left += tokens
        return True

    def _sketch(self, tool: str) -> DurationSketch:
        sketch = self._sketches.get(tool)
        if sketch is None:
            sketch = self._sketches[tool] = DurationSketch()
            if len(self._sketches) > const.TOOLS_MAX:
                self._sketches.popitem(last=False)
        self._sketches.move_to_end(tool)
        return sketch
