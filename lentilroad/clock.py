"""Clocks, injected into code that reads the time or sleeps."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for one process."""

    def monotonic_s(self) -> float:
        """Return seconds on a clock that never goes back."""
        ...

    def time_s(self) -> float:
        """Return seconds since the Unix epoch."""
        ...

    async def sleep(self, delay_s: float) -> None:
        """Wait for `delay_s` seconds."""
        ...


class SystemClock:
    """Clock of the operating system."""

    __slots__ = ()

    def monotonic_s(self) -> float:
        """Return seconds on a clock that never goes back."""
        return time.monotonic()

    def time_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, delay_s: float) -> None:
        """Wait for `delay_s` seconds."""
        await asyncio.sleep(delay_s)


class LoopClock:
    """Clock that follows an event loop, real or virtual.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Loop whose ``time()`` is read.
    start_time_s : float
        Unix time that corresponds to loop time 0, in seconds.
    """

    __slots__ = ("_loop", "_start_time_s")

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, start_time_s: float = 1.7e9
    ) -> None:
        self._loop = loop
        self._start_time_s = start_time_s

    def monotonic_s(self) -> float:
        """Return seconds on the loop's clock."""
        return self._loop.time()

    def time_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return self._start_time_s + self._loop.time()

    async def sleep(self, delay_s: float) -> None:
        """Wait for `delay_s` seconds of loop time."""
        await asyncio.sleep(delay_s)
