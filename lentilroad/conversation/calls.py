"""Concurrent calls to several storage members."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import Any


class ConcurrentCalls:
    """Runs calls concurrently and returns their results in order of completion.

    Parameters
    ----------
    keep_running : bool
        Whether calls in flight continue after the context exits.
    """

    __slots__ = ("_in_flight", "_keep_running", "_results")

    def __init__(self, *, keep_running: bool = False) -> None:
        self._in_flight: set[asyncio.Task[Any]] = set()
        self._results: asyncio.Queue[Any] = asyncio.Queue()
        self._keep_running = keep_running

    async def __aenter__(self) -> ConcurrentCalls:
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._keep_running:
            return
        for task in self._in_flight:
            task.cancel()

    def start(self, call: Awaitable[Any]) -> None:
        """Start one call."""
        task = asyncio.ensure_future(call)
        self._in_flight.add(task)
        task.add_done_callback(self._finish)

    def pending(self) -> bool:
        """Return whether a call is in flight or a result is unread."""
        return bool(self._in_flight) or not self._results.empty()

    async def next_results(self, timeout_s: float) -> list[Any]:
        """Return all completed results; wait up to `timeout_s` for the first."""
        results: list[Any] = []
        if self._results.empty() and timeout_s > 0:
            try:
                async with asyncio.timeout(timeout_s):
                    results.append(await self._results.get())
            except TimeoutError:
                return results
        while not self._results.empty():
            results.append(self._results.get_nowait())
        return results

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._in_flight.discard(task)
        if not task.cancelled():
            self._results.put_nowait(task.result())
