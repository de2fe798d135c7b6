"""Limits of instances that many entries share, in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from lentilroad.clock import LoopClock
from lentilroad.errors import LentilroadError, OverloadedError
from lentilroad.membership.rate_limits import MAX_REFUSALS_PER_S
from lentilroad.membership.statements import RateLimit
from lentilroad.membership.upstreams import UpstreamDirectory, UpstreamInstance
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.work import PlacementRequest
from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes.permits import CoordinatorGroup

WINDOW_S = 4.0
SERVICE_TIME_S = 0.05
COORDINATOR_LATENCY_S = 0.012
TOLD_S = 0.5


class _Worker:
    """Instance that states its current limit in each response."""

    def __init__(self, number: int, limit_per_s: float | None = None) -> None:
        self.instance = UpstreamInstance(
            instance_id=f"i-{number}",
            service="svc",
            address=f"10.0.0.{number}:80",
            availability_zone="a",
            slots=8,
            started_ms=1,
        )
        self.limit_per_s = limit_per_s
        self.received_s: list[float] = []
        self.from_told_entries_s: list[float] = []

    def most_in_a_window(self, since_s: float) -> int:
        """Return the largest number of requests in any window.

        Entries count from `TOLD_S` after the instance first stated its limit to them.
        """
        times_s = [time_s for time_s in self.from_told_entries_s if time_s >= since_s]
        return max(
            (
                sum(1 for other_s in times_s if 0 <= other_s - start_s < WINDOW_S)
                for start_s in times_s
            ),
            default=0,
        )


class _Entry:
    def __init__(
        self, name: str, workers: list[_Worker], group: CoordinatorGroup
    ) -> None:
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.workers = {worker.instance.instance_id: worker for worker in workers}
        self.directory = UpstreamDirectory(clock=self.clock)
        for worker in workers:
            self.directory.update(worker.instance)
        self.permits = group.client(name)
        self.dispatcher = Dispatcher(
            directory=self.directory,
            clock=self.clock,
            availability_zone="a",
            region_of=lambda zone: zone,
            take_permit=self.permits.take,
        )
        self.served = 0
        self.refused = 0
        # Monotonic times at which an instance first stated a limit to this entry.
        self.told_s: dict[str, float] = {}

    async def request(self, remaining_s: float = 1.0) -> None:
        """Send one request; raises if it is refused."""
        state = await self.dispatcher.acquire(
            PlacementRequest(service="svc", rank=(0.0,), remaining_s=remaining_s)
        )
        worker = self.workers[state.instance.instance_id]
        sent_s = self.clock.monotonic_s()
        instance_id = state.instance.instance_id
        worker.received_s.append(sent_s)
        if sent_s - self.told_s.get(instance_id, sent_s) >= TOLD_S:
            worker.from_told_entries_s.append(sent_s)
        await self.clock.sleep(SERVICE_TIME_S)
        statement = RateLimit(
            per_s=worker.limit_per_s, stated_at_s=self.clock.monotonic_s()
        )
        if worker.limit_per_s is not None:
            self.told_s.setdefault(instance_id, self.clock.monotonic_s())
        if state.record_rate_limit(statement):
            self.permits.report(state)
        state.record_response_time(SERVICE_TIME_S)
        self.dispatcher.release(state)
        self.served += 1

    async def send_regularly(self, rate_per_s: float, for_s: float) -> None:
        """Send requests at a rate, regardless of earlier ones."""
        tasks = []
        until_s = self.clock.monotonic_s() + for_s
        while self.clock.monotonic_s() < until_s:
            tasks.append(asyncio.create_task(self._request_or_refusal()))
            await self.clock.sleep(1.0 / rate_per_s)
        await asyncio.gather(*tasks)

    async def _request_or_refusal(self) -> None:
        try:
            await self.request()
        except LentilroadError:
            self.refused += 1


def _group(count: int = 3) -> CoordinatorGroup:
    return CoordinatorGroup(
        clock=LoopClock(loop=asyncio.get_running_loop()),
        count=count,
        latency_s=COORDINATOR_LATENCY_S,
    )


def _allowed(limit_per_s: float) -> float:
    return 1.5 * limit_per_s * WINDOW_S + 5


async def _load(entries: list[_Entry], rate_per_s: float, for_s: float) -> None:
    await asyncio.gather(
        *(entry.send_regularly(rate_per_s, for_s) for entry in entries)
    )


@pytest.mark.parametrize(
    ("entries", "limit_per_s"),
    [(4, 3.0), (4, 40.0), (26, 6.0), (60, 3.0), (200, 0.5), (60, 0.0)],
)
def test_entries_together_keep_the_limit(entries: int, limit_per_s: float) -> None:
    """Guard against entries that each send as much as the instance stated for all."""

    async def run() -> None:
        group = _group()
        workers = [_Worker(0, limit_per_s), _Worker(1)]
        fleet = [_Entry(f"e-{number}", workers, group) for number in range(entries)]
        await _load(fleet, 240.0 / entries, 20.0)
        limited = workers[0]
        assert limited.most_in_a_window(since_s=2.0) <= _allowed(limit_per_s)
        used = sum(1 for time_s in limited.received_s if 4.0 <= time_s < 20.0)
        assert used >= 0.8 * limit_per_s * 16.0
        # The unlimited instance serves the rest.
        assert sum(entry.refused for entry in fleet) == 0

    run_virtual(run())


def test_limits_of_several_instances_that_change_are_kept() -> None:
    """Guard against entries that follow a former limit of an instance."""

    async def run() -> None:
        group = _group()
        workers = [_Worker(0, 20.0), _Worker(1, 8.0), _Worker(2, 12.0)]
        fleet = [_Entry(f"e-{number}", workers, group) for number in range(12)]
        load = asyncio.create_task(_load(fleet, 10.0, 30.0))
        await asyncio.sleep(10.0)
        workers[0].limit_per_s = 5.0
        workers[1].limit_per_s = None
        await asyncio.sleep(1.0)
        changed_s = fleet[0].clock.monotonic_s()
        await asyncio.sleep(9.0)
        received = sum(1 for time_s in workers[1].received_s if time_s >= changed_s)
        assert received > 8.0 * 9.0 * 2
        await load
        assert workers[0].most_in_a_window(since_s=changed_s) <= _allowed(5.0)
        assert workers[2].most_in_a_window(since_s=2.0) <= _allowed(12.0)

    run_virtual(run())


def test_limit_is_kept_while_coordinators_fail() -> None:
    """Guard against a limit that is granted again by each reachable coordinator."""

    async def run() -> None:
        group = _group()
        limited = _Worker(0, 10.0)
        fleet = [_Entry(f"e-{n}", [limited, _Worker(1)], group) for n in range(8)]
        load = asyncio.create_task(_load(fleet, 12.0, 30.0))
        await asyncio.sleep(5.0)
        group.unreachable = {(f"e-{n}", "c-0") for n in range(4)}
        await asyncio.sleep(8.0)
        group.unreachable = {(f"e-{n}", "c-0") for n in range(8)}
        await asyncio.sleep(4.0)
        group.unreachable = set()
        for _ in range(4):
            group.restart("c-0")
            await asyncio.sleep(0.5)
        await load
        assert limited.most_in_a_window(since_s=2.0) <= _allowed(10.0)

    run_virtual(run())


def test_restarted_instance_has_no_limit() -> None:
    """Guard against the limit of a former incarnation with the same id."""

    async def run() -> None:
        group = _group()
        worker = _Worker(0, 1.0)
        entry = _Entry("e-0", [worker], group)
        await entry.send_regularly(10.0, 5.0)
        worker.instance = replace(worker.instance, started_ms=2)
        worker.limit_per_s = None
        entry.directory.update(worker.instance)
        served = entry.served
        await entry.send_regularly(10.0, 5.0)
        assert entry.served - served >= 50

    run_virtual(run())


def test_request_beyond_all_limits_is_refused_with_the_time_to_return() -> None:
    """Guard against callers held in vain, or sent back before they can be served."""

    async def run() -> None:
        group = _group()
        entry = _Entry("e-0", [_Worker(0, 0.5)], group)
        await entry.request()
        await entry.request()
        before_s = entry.clock.monotonic_s()
        with pytest.raises(OverloadedError) as caught:
            await entry.request(remaining_s=0.3)
        assert entry.clock.monotonic_s() - before_s < 0.1
        assert caught.value.retry_after_ms is not None
        await entry.clock.sleep(caught.value.retry_after_ms / 1000)
        await entry.request(remaining_s=0.3)

    run_virtual(run())


def test_waiting_requests_are_refused_when_a_limit_comes_into_force() -> None:
    """Guard against requests held to their deadline although a new limit is known."""

    async def run() -> None:
        group = _group()
        worker = _Worker(0, 0.5)
        entry = _Entry("e-0", [worker], group)
        started_s = entry.clock.monotonic_s()
        tasks = [asyncio.create_task(entry.request(2.0)) for _ in range(40)]
        results = await asyncio.gather(*tasks, return_exceptions=True)
        refused = [r for r in results if isinstance(r, OverloadedError)]
        assert len(refused) >= 20
        assert entry.clock.monotonic_s() - started_s < 2.5

    run_virtual(run())


def test_calls_to_a_coordinator_do_not_grow_with_the_fleet() -> None:
    """Guard against control traffic that grows with the entries that are refused."""

    async def run() -> None:
        group = _group()
        workers = [_Worker(0, 2.0), _Worker(1)]
        fleet = [_Entry(f"e-{number}", workers, group) for number in range(300)]
        await _load(fleet, 2.0, 5.0)
        calls = group.calls
        await _load(fleet, 2.0, 10.0)
        assert group.calls - calls <= 10.0 * (1.25 * MAX_REFUSALS_PER_S + 2.0)

    run_virtual(run())


def test_statement_that_arrives_during_a_call_is_not_replaced_by_an_older_one() -> None:
    """Guard against a former limit that a coordinator's late reply brings back."""

    async def run() -> None:
        group = CoordinatorGroup(
            clock=LoopClock(loop=asyncio.get_running_loop()), latency_s=0.05
        )
        entry = _Entry("e-0", [_Worker(0, 20.0)], group)
        await entry.request()
        state = entry.directory.find("i-0")
        assert state is not None
        call = asyncio.create_task(entry.permits.take(state))
        await entry.clock.sleep(0.06)
        now_s = entry.clock.monotonic_s()
        state.record_rate_limit(RateLimit(per_s=3.0, stated_at_s=now_s))
        await call
        assert state.limit_per_s() == 3.0

    run_virtual(run())


def test_raised_limit_is_used_at_once() -> None:
    """Guard against waits that were assigned at a former, much lower limit."""

    async def run() -> None:
        worker = _Worker(0, 0.2)
        entry = _Entry("e-0", [worker], _group())
        await entry.request()
        await entry.request()
        # The next permit at the former limit is five seconds away.
        state = entry.directory.find("i-0")
        assert state is not None
        assert not await entry.permits.take(state)
        now_s = entry.clock.monotonic_s()
        worker.limit_per_s = 20.0
        assert state.record_rate_limit(RateLimit(per_s=20.0, stated_at_s=now_s))
        entry.permits.report(state)
        await entry.send_regularly(15.0, 2.0)
        assert entry.refused <= 1
        assert entry.served >= 25

    run_virtual(run())
