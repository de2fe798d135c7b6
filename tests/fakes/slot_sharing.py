"""Engines, entries that share their slots, and coordinators, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from lentilroad.clock import LoopClock
from lentilroad.errors import LentilroadError, UnavailableError
from lentilroad.membership.load_reports import LoadCoordinator
from lentilroad.membership.upstreams import UpstreamDirectory, UpstreamInstance
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.shared_load import SharedLoad
from lentilroad.request.work import PlacementRequest
from tests.fakes.permits import permit_always

SERVICE_TIME_S = 0.2
ENGINE_SLOTS = 6


class Engine:
    """Instance that runs as many requests as it has slots, others wait in order."""

    def __init__(self, number: int) -> None:
        self.instance = UpstreamInstance(
            instance_id=f"i-{number}",
            service="svc",
            address=f"10.0.0.{number}:80",
            availability_zone="a",
            slots=ENGINE_SLOTS,
        )
        self._running = asyncio.Semaphore(ENGINE_SLOTS)
        self.present = 0
        self.most_present = 0
        self.completed = 0

    async def run(self) -> None:
        """Run one request."""
        self.present += 1
        self.most_present = max(self.most_present, self.present)
        try:
            async with self._running:
                await asyncio.sleep(SERVICE_TIME_S)
            self.completed += 1
        finally:
            self.present -= 1


class SharingGroup:
    """Entries before the same engines, and the coordinators that they report to.

    Attributes
    ----------
    unreachable : set of tuple of str
        Pairs of an entry and a coordinator that cannot communicate.
    calls : int
        Reports that arrived.
    """

    def __init__(
        self,
        *,
        entries: int,
        engines: int,
        coordinators: int = 2,
        latency_s: float = 0.012,
        competing: bool = True,
    ) -> None:
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.unreachable: set[tuple[str, str]] = set()
        self.calls = 0
        self.competing = competing
        self.engines = {f"i-{n}": Engine(n) for n in range(engines)}
        self._latency_s = latency_s
        self.addresses = [f"c-{n}" for n in range(coordinators)]
        self._coordinators: dict[str, LoadCoordinator] = {}
        for address in self.addresses:
            self.restart(address)
        self.entries = [SharingEntry(self, f"e-{n}") for n in range(entries)]

    def restart(self, address: str) -> None:
        """Replace a coordinator by one that knows nothing."""
        position = self.addresses.index(address)
        self._coordinators[address] = LoadCoordinator(
            clock=self.clock, position=lambda service: position
        )

    def cut_off(self, entry: SharingEntry) -> None:
        """Cut an entry off from all coordinators."""
        self.unreachable |= {(entry.name, address) for address in self.addresses}

    def completed(self) -> int:
        """Return the requests that all engines completed."""
        return sum(engine.completed for engine in self.engines.values())

    def most_present(self) -> int:
        """Return the most requests that were at one engine at a time, and reset it."""
        most = max(engine.most_present for engine in self.engines.values())
        for engine in self.engines.values():
            engine.most_present = 0
        return most

    def caller(self, entry: str) -> Callable[..., Any]:
        """Return the function by which an entry calls coordinators."""

        async def call(address: str, method: Any, request: Any, timeout_s: float):
            await self.clock.sleep(self._latency_s)
            if (entry, address) in self.unreachable:
                await self.clock.sleep(timeout_s - self._latency_s)
                raise UnavailableError(f"{address} did not answer; ask another one")
            self.calls += 1
            reply = await self._coordinators[address].report(request)
            await self.clock.sleep(self._latency_s)
            return reply

        return call


class SharingEntry:
    """Entry with callers that send requests at a rate.

    Attributes
    ----------
    waits_s : list of float
        Time from the arrival of each request to its slot.
    """

    def __init__(self, group: SharingGroup, name: str) -> None:
        self.name = name
        self.group = group
        self.directory = UpstreamDirectory(clock=group.clock)
        for engine in group.engines.values():
            self.directory.update(engine.instance)
        self.shared = SharedLoad(
            call=group.caller(name),
            coordinators=lambda service: group.addresses,
            other_entries=lambda: [e.name for e in group.entries if e is not self],
            competing=lambda service: group.competing,
            directory=self.directory,
            own_address=name,
            clock=group.clock,
        )
        self.dispatcher = Dispatcher(
            directory=self.directory,
            clock=group.clock,
            availability_zone="a",
            region_of=lambda zone: zone,
            take_permit=permit_always,
            slot_limits=self.shared,
        )
        self.waits_s: list[float] = []
        self.refused = 0
        self._requests: set[asyncio.Task[None]] = set()
        self._loop = asyncio.ensure_future(
            self.shared.report_regularly(
                self.dispatcher.own_loads, self.dispatcher.dispatch_waiting
            )
        )

    async def request(self, remaining_s: float) -> None:
        """Send one request; count it if it is refused."""
        clock = self.group.clock
        began_s = clock.monotonic_s()
        try:
            state = await self.dispatcher.acquire(
                PlacementRequest(
                    service="svc", rank=(0.0, began_s), remaining_s=remaining_s
                )
            )
        except LentilroadError:
            self.refused += 1
            return
        self.waits_s.append(clock.monotonic_s() - began_s)
        try:
            await self.group.engines[state.instance.instance_id].run()
        finally:
            state.record_response_time(clock.monotonic_s() - began_s)
            self.dispatcher.release(state)

    async def send(
        self, per_s: float, for_s: float, *, at_once: int = 1, remaining_s: float = 3.0
    ) -> None:
        """Send groups of requests regularly, regardless of earlier ones."""
        clock = self.group.clock
        until_s = clock.monotonic_s() + for_s
        while clock.monotonic_s() < until_s:
            for _ in range(at_once):
                task = asyncio.ensure_future(self.request(remaining_s))
                self._requests.add(task)
                task.add_done_callback(self._requests.discard)
            await clock.sleep(at_once / per_s)

    def kill(self) -> None:
        """End the entry; what it sent to engines ends as well."""
        self._loop.cancel()
        for task in list(self._requests):
            task.cancel()
