"""Discrete events in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class EventClock:
    """Queue of timed callbacks; also the clock of the code under measurement."""

    __slots__ = ("_heap", "_sequence", "events", "now_s", "stopped")

    def __init__(self) -> None:
        self.now_s = 0.0
        self.events = 0
        self.stopped = False
        self._sequence = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def monotonic_s(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_s

    def time_s(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_s

    async def sleep(self, delay_s: float) -> None:
        """Refuse to sleep: events have no tasks."""
        raise RuntimeError("call after() instead of sleeping in an event simulation")

    def after(
        self, delay_s: float, callback: Callable[..., None], *arguments: Any
    ) -> None:
        """Run a callback `delay_s` seconds from now; equal times keep their order."""
        self._sequence += 1
        heappush(
            self._heap, (self.now_s + delay_s, self._sequence, callback, arguments)
        )

    def run(self, until_s: float) -> None:
        """Run events in order until the time, a stop or the last event."""
        heap = self._heap
        while heap and not self.stopped:
            time_s, _, callback, arguments = heappop(heap)
            if time_s > until_s:
                break
            self.now_s = time_s
            self.events += 1
            callback(*arguments)
