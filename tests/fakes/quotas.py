"""Entries and coordinators of quotas in virtual time, without a network."""

from __future__ import annotations

import asyncio
import bisect
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from lentilroad.clock import LoopClock
from lentilroad.errors import RateLimitedError, UnavailableError
from lentilroad.membership.quota_bounds import QuotaBounds
from lentilroad.membership.quotas import QuotaCoordinator
from lentilroad.request.quota import QuotaClient
from lentilroad.version.customers import Customer

ONE_WAY_S = 0.012
BOUNDS = QuotaBounds(window_s=5.0, overage=0.1, slack=20.0)


class QuotaFleet:
    """Entries that share the quotas of customers.

    Attributes
    ----------
    customers : dict of str to list of Customer
        Limits of each entry's configuration, which may differ for a while.
    unreachable : set of tuple of str
        Pairs of an entry and a coordinator that cannot communicate.
    calls : int
        Calls that arrived at coordinators.
    admitted_s : dict of str to list of float
        Times at which requests were admitted, by customer.
    refused : dict of str to int
        Refused requests, by customer.
    """

    def __init__(
        self,
        *,
        customers: list[Customer],
        entries: int,
        seed: int,
        bounds: QuotaBounds = BOUNDS,
    ) -> None:
        self.random = random.Random(seed)
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.unreachable: set[tuple[str, str]] = set()
        self.one_way_s: dict[str, float] = {}
        self.calls = 0
        self.admitted_s: dict[str, list[float]] = defaultdict(list)
        self.refused: dict[str, int] = defaultdict(int)
        self.retry_after_s: dict[str, list[float]] = defaultdict(list)
        self.waited_s: list[float] = []
        self.by_kind: dict[tuple[str, bool], list[int]] = defaultdict(lambda: [0, 0])
        self._bounds = bounds
        self.addresses = ["c-0", "c-1", "c-2"]
        self.coordinators: dict[str, QuotaCoordinator] = {}
        for address in self.addresses:
            self.restart_coordinator(address)
        self.names = [f"e-{number}" for number in range(entries)]
        self.customers = {
            name: {customer.name: customer for customer in customers}
            for name in self.names
        }
        self.versions = dict.fromkeys(self.names, 1)
        self.clients: dict[str, QuotaClient] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._requests: set[asyncio.Task[None]] = set()
        for name in self.names:
            self.restart_entry(name)

    def restart_coordinator(self, address: str) -> None:
        """Replace a coordinator by one that knows nothing."""
        self.coordinators[address] = QuotaCoordinator(
            clock=self.clock, bounds=self._bounds
        )

    def restart_entry(self, name: str) -> None:
        """Replace an entry by a process that knows nothing."""
        if name in self._tasks:
            self._tasks[name].cancel()
        client = self.clients[name] = QuotaClient(
            call=self._caller(name),
            coordinators=lambda key: self.addresses,
            member_count=lambda: 9,
            entry_count=lambda: len(self.names) - 1,
            customers=lambda: self.customers[name].values(),
            version=lambda: self.versions[name],
            own_address=name,
            clock=self.clock,
            bounds=self._bounds,
        )
        self._tasks[name] = asyncio.ensure_future(client.report_regularly())

    def cut(self, entries: list[str], addresses: list[str]) -> None:
        """Cut entries off from coordinators."""
        self.unreachable |= {(e, a) for e in entries for a in addresses}

    def set_limit(self, entry: str, customer: Customer, version: int) -> None:
        """Give one entry a newer version with another limit."""
        self.customers[entry][customer.name] = customer
        self.versions[entry] = version

    async def send(
        self,
        customer: str,
        rate_per_s: float,
        for_s: float,
        *,
        weights: list[float] | None = None,
        under_way_share: float = 0.0,
    ) -> None:
        """Send a customer's requests at random times to random entries."""
        ends_s = self.clock.monotonic_s() + for_s
        while True:
            await self.clock.sleep(self.random.expovariate(rate_per_s))
            if self.clock.monotonic_s() >= ends_s:
                return
            entry = self.random.choices(self.names, weights)[0]
            under_way = self.random.random() < under_way_share
            self.start(entry, customer, under_way=under_way)

    def start(self, entry: str, customer: str, *, under_way: bool = False) -> None:
        """Start one request."""
        task = asyncio.ensure_future(self._request(entry, customer, under_way))
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)

    async def finish(self) -> None:
        """Wait for the requests that are open."""
        await asyncio.gather(*self._requests)

    async def _request(self, entry: str, name: str, under_way: bool) -> None:
        began_s = self.clock.monotonic_s()
        customer = self.customers[entry][name]
        counts = self.by_kind[name, under_way]
        try:
            await self.clients[entry].admit(customer, under_way=under_way)
        except RateLimitedError as error:
            assert error.outcome == "not_run" and error.retry_after_ms is not None
            self.refused[name] += 1
            counts[1] += 1
            self.retry_after_s[name].append(error.retry_after_ms / 1000)
        else:
            counts[0] += 1
            self.admitted_s[name].append(self.clock.monotonic_s())
        self.waited_s.append(self.clock.monotonic_s() - began_s)

    def _caller(self, entry: str) -> Callable[..., Any]:
        async def call(address: str, method: Any, request: Any, timeout_s: float):
            one_way_s = self.one_way_s.get(address, ONE_WAY_S)
            if (entry, address) in self.unreachable or one_way_s * 2 > timeout_s:
                await self.clock.sleep(timeout_s)
                raise UnavailableError(f"{address} did not answer; ask another one")
            await self.clock.sleep(one_way_s)
            self.calls += 1
            reply = await self.coordinators[address].report(request)
            await self.clock.sleep(one_way_s)
            return reply

        return call


def most_in_a_window(
    times_s: list[float], window_s: float, since_s: float = 0.0
) -> int:
    """Return the largest number of times in any span, whenever it starts."""
    times_s = sorted(time_s for time_s in times_s if time_s >= since_s)
    return max(
        (
            bisect.bisect_right(times_s, start_s + window_s) - index
            for index, start_s in enumerate(times_s)
        ),
        default=0,
    )


def allowed(customer: Customer, bounds: QuotaBounds = BOUNDS) -> float:
    """Return the requests that may run in any window."""
    limit = customer.rate_per_s * bounds.window_s + customer.burst
    return limit * (1.0 + bounds.overage) + bounds.slack


def with_rate(customer: Customer, rate_per_s: float) -> Customer:
    """Return the customer with another limit."""
    return replace(customer, rate_per_s=rate_per_s, burst=rate_per_s)
