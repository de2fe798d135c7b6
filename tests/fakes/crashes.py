"""Crash coordinators and entries that share suspects, in memory."""

from __future__ import annotations

import asyncio
from typing import Any

from lentilroad.clock import Clock
from lentilroad.errors import UnavailableError
from lentilroad.membership.crash_causes import CrashCoordinator
from lentilroad.membership.crash_messages import (
    ACQUIRE_TRIAL,
    END_TRIAL,
    REPORT_CRASH,
    SHARE_SUSPECTS,
)
from lentilroad.membership.upstreams import UpstreamDirectory
from lentilroad.request.crash_suspects import CrashSuspects


class CrashCoordinatorGroup:
    """Coordinators of crashes and the entries that call them.

    Attributes
    ----------
    unreachable : set of str
        Addresses that do not answer.
    calls : int
        Calls that arrived.
    """

    def __init__(self, *, clock: Clock, count: int = 2, latency_s: float = 0.0) -> None:
        self.unreachable: set[str] = set()
        self.calls = 0
        self._clock = clock
        self._latency_s = latency_s
        self._coordinators: dict[str, CrashCoordinator] = {}
        self._entries: dict[str, CrashSuspects] = {}
        for number in range(count):
            self.restart(f"c-{number}")

    def restart(self, address: str) -> None:
        """Replace a coordinator by one that knows nothing."""
        self._coordinators[address] = CrashCoordinator(clock=self._clock)

    def coordinator(self, address: str) -> CrashCoordinator:
        """Return the coordinator at an address."""
        return self._coordinators[address]

    def entry(self, address: str, directory: UpstreamDirectory) -> CrashSuspects:
        """Return the suspects of a new entry, which replaces one at its address."""
        entry = CrashSuspects(
            call=self._call,
            coordinators=lambda: list(self._coordinators),
            entries=lambda: [other for other in self._entries if other != address],
            own_address=address,
            directory=directory,
            clock=self._clock,
        )
        self._entries[address] = entry
        return entry

    async def _call(
        self, address: str, method: Any, request: Any, timeout_s: float
    ) -> Any:
        await self._clock.sleep(self._latency_s)
        if address in self.unreachable:
            await asyncio.sleep(timeout_s - self._latency_s)
            raise UnavailableError(f"{address} did not answer; ask another one")
        self.calls += 1
        if address in self._entries:
            return await self._entries[address].receive(request)
        coordinator = self._coordinators[address]
        handlers = {
            REPORT_CRASH: coordinator.report,
            ACQUIRE_TRIAL: coordinator.acquire_trial,
            END_TRIAL: coordinator.end_trial,
            SHARE_SUSPECTS: coordinator.share,
        }
        reply = await handlers[method](request)
        await self._clock.sleep(self._latency_s)
        return reply
