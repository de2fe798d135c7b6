"""Rate limit coordinators in memory, and permits without a limit."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lentilroad.clock import Clock
from lentilroad.errors import UnavailableError
from lentilroad.membership.rate_limits import RateLimitCoordinator
from lentilroad.membership.upstreams import UpstreamInstance, UpstreamState
from lentilroad.request.permits import PermitClient


async def permit_always(state: UpstreamState) -> bool:
    """Grant a permit."""
    return True


class CoordinatorGroup:
    """Coordinators of all instances, in the order in which entries ask them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    count : int
        Number of coordinators.

    Attributes
    ----------
    unreachable : set of tuple of str
        Pairs of an entry and a coordinator that cannot communicate.
    calls : int
        Calls that arrived.
    """

    def __init__(self, *, clock: Clock, count: int = 1, latency_s: float = 0.0) -> None:
        self.unreachable: set[tuple[str, str]] = set()
        self.calls = 0
        self._clock = clock
        self._latency_s = latency_s
        self._addresses = [f"c-{number}" for number in range(count)]
        self._coordinators: dict[str, RateLimitCoordinator] = {}
        for address in self._addresses:
            self.restart(address)

    def restart(self, address: str) -> None:
        """Replace a coordinator by one that knows nothing."""
        position = self._addresses.index(address)
        self._coordinators[address] = RateLimitCoordinator(
            clock=self._clock, position=lambda instance_id, zone: position
        )

    def client(self, entry: str) -> PermitClient:
        """Return the permit client of an entry."""
        return PermitClient(
            call=self._caller(entry),
            coordinators=self._list_addresses,
            own_address=entry,
            clock=self._clock,
        )

    def _list_addresses(self, instance: UpstreamInstance) -> list[str]:
        return self._addresses

    def _caller(self, entry: str) -> Callable[..., Any]:
        async def call(address: str, method: Any, request: Any, timeout_s: float):
            await self._clock.sleep(self._latency_s)
            if (entry, address) in self.unreachable:
                await self._clock.sleep(timeout_s - self._latency_s)
                raise UnavailableError(f"{address} did not answer; ask another one")
            self.calls += 1
            reply = await self._coordinators[address].acquire(request)
            await self._clock.sleep(self._latency_s)
            return reply

        return call
