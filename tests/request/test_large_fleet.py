"""Choice of instances in a large fleet: close to a full scan, at constant cost."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from lentilroad.clock import LoopClock
from lentilroad.errors import UnavailableError
from lentilroad.membership.upstreams import (
    UpstreamDirectory,
    UpstreamInstance,
    UpstreamState,
)
from lentilroad.request.const import PREFILL_COST_S_PER_TOKEN
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.service_load import NoSlotLimits, SlotLimits
from lentilroad.request.work import PlacementRequest
from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes.permits import permit_always

ZONES = ("a1", "a2", "b1", "b2", "c1", "c2")
SHARED_TOKENS = 512


class _Fleet:
    def __init__(
        self,
        instances: int,
        source: random.Random,
        slot_limits: SlotLimits | None = None,
    ) -> None:
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.directory = UpstreamDirectory(clock=self.clock)
        self.dispatcher = Dispatcher(
            directory=self.directory,
            clock=self.clock,
            availability_zone="a1",
            region_of=lambda zone: zone[0],
            take_permit=permit_always,
            random_share=lambda: 0.0,
            slot_limits=slot_limits,
        )
        for number in range(instances):
            self.directory.update(
                UpstreamInstance(
                    instance_id=f"i-{number}",
                    service="svc",
                    address=f"10.0.{number // 250}.{number % 250}:80",
                    availability_zone=source.choice(ZONES),
                    slots=6,
                )
            )

    def states(self) -> list[UpstreamState]:
        return self.directory.instances("svc")

    def full_scan_cost_s(self, request: PlacementRequest) -> float:
        """Return the lowest cost of all instances with a free slot."""
        now_s = self.clock.monotonic_s()
        service = self.dispatcher._service("svc")
        affinity_instance = self.dispatcher._affinity_instance(service, request)
        return min(
            (
                self.dispatcher._costs.total_s(state, request, affinity_instance)
                for state in self.states()
                if state.usable(now_s)
                and state.in_flight < state.instance.slots
                and state.instance.instance_id not in request.excluded
            ),
            default=float("inf"),
        )


def _placement_request(
    source: random.Random, fleet: _Fleet, number: int
) -> PlacementRequest:
    session = source.randrange(200)
    return PlacementRequest(
        service="svc",
        rank=(float(source.randrange(3)), float(number)),
        remaining_s=3.0,
        prompt_parts=(
            (f"shared-{source.randrange(3)}", SHARED_TOKENS),
            (f"s{session}", source.randrange(100, 3000)),
        ),
        history_tokens=source.choice((0, 500)),
        preferred_instance_id=source.choice(("", f"i-{source.randrange(200)}")),
        affinity_key=source.choice(("", f"o{source.randrange(50)}")),
        excluded={f"i-{source.randrange(100)}" for _ in range(source.randrange(3))},
    )


def _change_random_instance(source: random.Random, fleet: _Fleet) -> None:
    """Change the state of one instance as traffic and the metadata store do."""
    state = source.choice(fleet.states())
    change = source.randrange(6)
    now_s = fleet.clock.monotonic_s()
    if change == 0:
        state.record_response_time(source.uniform(0.02, 1.0))
    elif change == 1:
        state.record_outcome(failed=source.random() < 0.5)
    elif change == 2 and source.random() < 0.2:
        state.exclude(now_s + source.uniform(0.1, 2.0))
    elif change == 3 and source.random() < 0.1 and len(fleet.states()) > 4:
        fleet.directory.remove(state.instance.instance_id)
    elif change == 4:
        state.suspected_until_s = now_s + 1.0


@pytest.mark.parametrize("seed", range(12))
def test_choice_is_as_cheap_as_that_of_a_full_scan(seed: int) -> None:
    """Guard against an index that misses a cheaper instance.

    The cost may exceed the lowest one by the prefill of a part that more instances have
    cached than a choice considers.
    """

    async def run() -> None:
        source = random.Random(seed)
        fleet = _Fleet(source.choice((8, 40, 200)), source)
        tolerance_s = PREFILL_COST_S_PER_TOKEN * SHARED_TOKENS + 1e-9
        held: list[UpstreamState] = []
        chosen_count = 0
        for number in range(400):
            _change_random_instance(source, fleet)
            if source.random() < 0.05:
                await fleet.clock.sleep(0.3)
            if held and source.random() < 0.4:
                fleet.dispatcher.release(held.pop(source.randrange(len(held))))
            request = _placement_request(source, fleet, number)
            service = fleet.dispatcher._service("svc")
            service.index.end_expired_exclusions()
            best_s = fleet.full_scan_cost_s(request)
            state = fleet.dispatcher._choose(service, request)
            if state is None:
                affinity_instance = fleet.dispatcher._affinity_instance(
                    service, request
                )
                nearby_cost_s = fleet.dispatcher._nearby_cost_s(
                    service, request, affinity_instance
                )
                assert nearby_cost_s <= best_s + tolerance_s
                continue
            chosen_count += 1
            affinity_instance = fleet.dispatcher._affinity_instance(service, request)
            cost_s = fleet.dispatcher._costs.total_s(state, request, affinity_instance)
            assert cost_s <= best_s + tolerance_s
            held.append(fleet.dispatcher._acquire_slot(state, request))
        assert chosen_count > 100

    run_virtual(run())


@pytest.mark.parametrize("seed", range(8))
def test_all_waiting_requests_get_a_slot(seed: int) -> None:
    """Guard against requests stuck behind a request that no free slot suits."""

    async def run() -> None:
        source = random.Random(seed)
        fleet = _Fleet(12, source)
        served: list[int] = []

        async def serve(number: int) -> None:
            try:
                state = await fleet.dispatcher.acquire(
                    _placement_request(source, fleet, number)
                )
            except UnavailableError:
                return
            await fleet.clock.sleep(source.uniform(0.02, 0.2))
            served.append(number)
            fleet.dispatcher.release(state)

        async def sweep() -> None:
            while True:
                await fleet.clock.sleep(0.25)
                fleet.dispatcher.dispatch_waiting()

        sweeper = asyncio.ensure_future(sweep())
        tasks = [asyncio.ensure_future(serve(number)) for number in range(300)]
        await asyncio.wait(tasks, timeout=20.0)
        sweeper.cancel()
        assert len(served) == 300
        assert all(state.in_flight == 0 for state in fleet.states())

    run_virtual(run())


def test_request_without_a_usable_slot_does_not_block_others() -> None:
    """Guard against head-of-line blocking in the queue."""

    async def run() -> None:
        fleet = _Fleet(1, random.Random(1))
        only = fleet.states()[0]
        held = [
            await fleet.dispatcher.acquire(
                PlacementRequest(service="svc", rank=(0.0,), remaining_s=3.0)
            )
            for _ in range(6)
        ]
        excluded_id = fleet.states()[0].instance.instance_id
        fleet.directory.update(
            UpstreamInstance(
                instance_id="i-far",
                service="svc",
                address="10.0.9.9:80",
                availability_zone="c1",
                slots=1,
            )
        )
        far = await fleet.dispatcher.acquire(
            PlacementRequest(
                service="svc", rank=(0.0,), remaining_s=3.0, excluded={excluded_id}
            )
        )
        waiting = [
            asyncio.ensure_future(
                fleet.dispatcher.acquire(
                    PlacementRequest(
                        service="svc", rank=(rank,), remaining_s=3.0, excluded=excluded
                    )
                )
            )
            for rank, excluded in ((0.0, {excluded_id}), (1.0, set()))
        ]
        await fleet.clock.sleep(0.01)
        fleet.dispatcher.release(held.pop())
        await fleet.clock.sleep(0.01)
        assert [task.done() for task in waiting] == [False, True]
        assert waiting[1].result() is only
        fleet.dispatcher.release(far)
        await fleet.clock.sleep(0.01)
        assert waiting[0].done()

    run_virtual(run())


def _median_s(samples: list[float]) -> float:
    return sorted(samples)[len(samples) // 2]


def test_run_time_of_a_choice_does_not_grow_with_the_fleet() -> None:
    """Guard against a scan of all instances in each choice (1.2 ms at 390 instances).

    The median at 3,900 instances is compared with that at 39 in the same run.
    """

    async def measure(instances: int) -> float:
        source = random.Random(5)
        fleet = _Fleet(instances, source)
        samples = []
        for number in range(1000):
            request = _placement_request(source, fleet, number)
            began_s = time.perf_counter()
            state = await fleet.dispatcher.acquire(request)
            fleet.dispatcher.release(state)
            samples.append(time.perf_counter() - began_s)
        return _median_s(samples)

    async def run() -> None:
        small_s = await measure(39)
        large_s = await measure(3900)
        assert large_s < 3.0 * small_s

    run_virtual(run())


class _FixedAllowance(NoSlotLimits):
    def __init__(self, allowance: int) -> None:
        self._allowance = allowance

    def allowance(self, service: str) -> int | None:
        return self._allowance


@pytest.mark.parametrize("waiting", [1_000, 10_000])
def test_run_time_of_a_choice_with_many_waiting(waiting: int) -> None:
    """Guard against a choice that takes longer the more requests wait (100 us).

    Load: an allowance is used up, so that each release is followed by one choice.
    """

    async def run() -> None:
        source = random.Random(5)
        fleet = _Fleet(3900, source, slot_limits=_FixedAllowance(60))
        held: list[UpstreamState] = []

        async def acquire(number: int) -> None:
            request = _placement_request(source, fleet, number)
            request.remaining_s = 1e6
            held.append(await fleet.dispatcher.acquire(request))

        tasks = [asyncio.ensure_future(acquire(n)) for n in range(60 + waiting)]
        await fleet.clock.sleep(0.001)
        samples = []
        for _ in range(300):
            state = held.pop(0)
            began_s = time.perf_counter()
            fleet.dispatcher.release(state)
            samples.append(time.perf_counter() - began_s)
            await fleet.clock.sleep(0.0001)
        for task in tasks:
            task.cancel()
        assert len(held) == 60
        # The best third of the run, since other processes interrupt it.
        assert min(_median_s(samples[i::3]) for i in range(3)) < 100e-6

    run_virtual(run())
