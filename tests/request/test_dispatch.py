"""Who waits and where work goes, by load pattern."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import pytest

from lentilroad.clock import LoopClock
from lentilroad.errors import OverloadedError, UnavailableError
from lentilroad.membership.upstreams import UpstreamDirectory, UpstreamInstance
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.work import PlacementRequest
from lentilroad.standins.virtual_loop import run_virtual


class _Bench:
    def __init__(
        self,
        zones: list[str],
        slots: int = 2,
        random_share: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.directory = UpstreamDirectory(clock=self.clock)
        for number, zone in enumerate(zones):
            self.directory.update(
                UpstreamInstance(
                    instance_id=f"i-{number}",
                    service="svc",
                    address=f"10.0.0.{number}:80",
                    availability_zone=zone,
                    slots=slots,
                )
            )
        self.dispatcher = Dispatcher(
            directory=self.directory,
            clock=self.clock,
            availability_zone="a",
            region_of=lambda zone: zone,
            random_share=random_share,
        )

    async def take(self, rank: float = 0.0, remaining_s: float = 3.0, **fields):
        return await self.dispatcher.acquire(
            PlacementRequest(
                service="svc", rank=(rank,), remaining_s=remaining_s, **fields
            )
        )


def test_burst_of_all_kinds_serves_the_urgent_first() -> None:
    """Guard against urgent work behind less urgent work when all places are taken."""

    async def run() -> None:
        bench = _Bench(["a"], slots=1)
        held = await bench.take()
        order: list[float] = []

        async def one(rank: float) -> None:
            state = await bench.take(rank)
            order.append(rank)
            await bench.clock.sleep(0.1)
            bench.dispatcher.release(state)

        tasks = [asyncio.create_task(one(rank)) for rank in (3.0, 1.0, 2.0, 0.0)]
        await bench.clock.sleep(0.01)
        bench.dispatcher.release(held)
        await asyncio.gather(*tasks)
        assert order == [0.0, 1.0, 2.0, 3.0]

    run_virtual(run())


def test_burst_beyond_all_places_is_refused_at_once_with_a_time() -> None:
    """Guard against requests that wait until their deadline before they are refused."""

    async def run() -> None:
        bench = _Bench(["a"], slots=1)
        held = await bench.take()
        held.note_response(1.0)
        waiting = [asyncio.create_task(bench.take()) for _ in range(2)]
        await bench.clock.sleep(0.01)
        before_s = bench.clock.monotonic_s()
        with pytest.raises(OverloadedError) as caught:
            await bench.take(rank=1.0, remaining_s=0.5)
        assert bench.clock.monotonic_s() == before_s
        assert caught.value.retry_after_ms is not None
        for task in waiting:
            task.cancel()

    run_virtual(run())


def test_no_instance_left_is_refused_at_once() -> None:
    """Guard against a wait for instances that are not there."""

    async def run() -> None:
        bench = _Bench([])
        with pytest.raises(UnavailableError) as caught:
            await bench.take()
        assert caught.value.retry_after_ms is not None

    run_virtual(run())


def test_calm_load_stays_in_the_zone() -> None:
    """Guard against billed bytes between regions while places nearby are free."""

    async def run() -> None:
        bench = _Bench(["b", "a", "c"])
        for _ in range(4):
            state = await bench.take()
            assert state.instance.availability_zone == "a"
            bench.dispatcher.release(state)

    run_virtual(run())


def test_few_requests_at_once_stay_in_the_zone() -> None:
    """Guard against bytes between zones while the zone's instances have room."""

    async def run() -> None:
        bench = _Bench(["a", "b"], slots=6)
        taken = [await bench.take() for _ in range(2)]
        assert [s.instance.availability_zone for s in taken] == ["a", "a"]
        # A zone whose places run out still sends work to its neighbour.
        taken += [await bench.take() for _ in range(4)]
        assert "b" in [s.instance.availability_zone for s in taken]

    run_virtual(run())


def test_requests_for_one_object_meet_within_the_zone() -> None:
    """Guard against objects that draw requests to instances of other zones."""

    async def run() -> None:
        bench = _Bench(["a", "a", "b", "b"], slots=6)
        for number in range(12):
            chosen = set()
            for _ in range(3):
                state = await bench.take(affinity_key=f"object-{number}")
                bench.dispatcher.release(state)
                chosen.add(state)
            assert len(chosen) == 1
            assert chosen.pop().instance.availability_zone == "a"

    run_virtual(run())


def test_entries_that_know_the_same_choose_different_instances() -> None:
    """Guard against a burst of new programs on one instance, seen by all entries."""

    async def run() -> None:
        source = random.Random(1)
        chosen = set()
        for _ in range(24):
            bench = _Bench(["a", "a", "a"], slots=6, random_share=source.random)
            chosen.add((await bench.take()).instance.instance_id)
        assert len(chosen) > 1

    run_virtual(run())


def test_conversation_goes_back_to_the_instance_with_its_history() -> None:
    """Guard against prompts that are read again although a worker keeps them."""

    async def run() -> None:
        bench = _Bench(["a", "a", "a"])
        first = await bench.take()
        bench.dispatcher.release(first)
        for _ in range(3):
            state = await bench.take(
                preferred_instance_id=first.instance.instance_id, history_tokens=2000
            )
            assert state is first
            bench.dispatcher.release(state)

    run_virtual(run())


def test_silent_instance_gets_no_further_work() -> None:
    """Guard against work for an instance that hangs while its health is good."""

    async def run() -> None:
        bench = _Bench(["a", "a"], slots=8)
        silent = await bench.take()
        silent.note_sent("r1", bench.clock.monotonic_s())
        await bench.clock.sleep(1.0)
        for _ in range(6):
            state = await bench.take()
            assert state is not silent
        silent.note_answer("r1", bench.clock.monotonic_s())
        assert not silent.silent(bench.clock.monotonic_s())

    run_virtual(run())


def test_failing_instance_loses_work_and_gets_it_back() -> None:
    """Guard against an instance that fails in part and keeps its share."""

    async def run() -> None:
        bench = _Bench(["a", "a"], slots=8)
        grey = await bench.take()
        bench.dispatcher.release(grey)
        for _ in range(10):
            grey.note_outcome(failed=True)
        taken = [await bench.take() for _ in range(4)]
        assert grey not in taken
        for state in taken:
            bench.dispatcher.release(state)
        for _ in range(60):
            grey.note_outcome(failed=False)
        taken = [await bench.take() for _ in range(6)]
        assert grey in taken

    run_virtual(run())


def test_caller_that_leaves_the_queue_gives_its_place_back() -> None:
    """Guard against places that are lost to callers that are gone."""

    async def run() -> None:
        bench = _Bench(["a"], slots=1)
        held = await bench.take()
        leaving = asyncio.create_task(bench.take())
        await bench.clock.sleep(0.01)
        bench.dispatcher.release(held)
        leaving.cancel()
        await asyncio.gather(leaving, return_exceptions=True)
        assert held.in_flight == 0
        assert await bench.take() is held

    run_virtual(run())


def test_rolling_release_moves_work_to_the_new_instances() -> None:
    """Guard against work for a draining instance, and waiting work left behind."""

    async def run() -> None:
        bench = _Bench(["a"], slots=1)
        held = await bench.take()
        waiting = asyncio.create_task(bench.take())
        await bench.clock.sleep(0.01)
        old = held.instance
        bench.directory.update(
            UpstreamInstance(
                instance_id=old.instance_id,
                service=old.service,
                address=old.address,
                availability_zone="a",
                slots=1,
                draining=True,
            )
        )
        bench.directory.update(
            UpstreamInstance(
                instance_id="i-new",
                service="svc",
                address="10.0.0.99:80",
                availability_zone="a",
                slots=1,
            )
        )
        bench.dispatcher.dispatch_waiting()
        assert (await waiting).instance.instance_id == "i-new"

    run_virtual(run())
