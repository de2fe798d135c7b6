"""Notification of coroutines that wait for a state change."""

from __future__ import annotations

import asyncio


class Notifier:
    """Let coroutines wait for the next change of some state."""

    __slots__ = ("_waiters",)

    def __init__(self) -> None:
        self._waiters: list[asyncio.Future[None]] = []

    def notify(self) -> None:
        """Wake all waiting coroutines."""
        if not self._waiters:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def future(self) -> asyncio.Future[None]:
        """Return a future that the next `notify` completes."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        return waiter

    async def wait(self) -> None:
        """Wait for the next `notify`."""
        waiter = self.future()
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            raise
