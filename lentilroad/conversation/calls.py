"""Calls to several storage members at once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import Any


class ConcurrentCalls:
    """Calls that run side by side and are read as they end."""

    __slots__ = ("_ended", "_keep_running", "_open")

    def __init__(self, *, keep_running: bool = False) -> None:
        self._open: set[asyncio.Task[Any]] = set()
        self._ended: asyncio.Queue[Any] = asyncio.Queue()
        self._keep_running = keep_running

    async def __aenter__(self) -> ConcurrentCalls:
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._keep_running:
            return
        for task in self._open:
            task.cancel()

    def start(self, call: Awaitable[Any]) -> None:
        """Start one call."""
        task = asyncio.ensure_future(call)
        self._open.add(task)
        task.add_done_callback(self._finish)

    def open(self) -> bool:
        """Return whether a call or a result is outstanding."""
        return bool(self._open) or not self._ended.empty()

    async def next(self, timeout_s: float) -> list[Any]:
        """Return the results that came within `timeout_s`, at least one if any."""
        results: list[Any] = []
        if self._ended.empty() and timeout_s > 0:
            try:
                async with asyncio.timeout(timeout_s):
                    results.append(await self._ended.get())
            except TimeoutError:
                return results
        while not self._ended.empty():
            results.append(self._ended.get_nowait())
        return results

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._open.discard(task)
        if not task.cancelled():
            self._ended.put_nowait(task.result())
