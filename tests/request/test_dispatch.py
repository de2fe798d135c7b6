"""Choice of instances and order of waiting requests under different load."""

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
from tests.fakes.permits import permit_always


class _DispatcherHarness:
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
            take_permit=permit_always,
            random_share=random_share,
        )

    async def acquire(self, rank: float = 0.0, remaining_s: float = 3.0, **fields):
        return await self.dispatcher.acquire(
            PlacementRequest(
                service="svc", rank=(rank,), remaining_s=remaining_s, **fields
            )
        )


def test_waiting_requests_are_served_by_rank() -> None:
    """Guard against urgent requests queued behind less urgent ones."""

    async def run() -> None:
        harness = _DispatcherHarness(["a"], slots=1)
        held = await harness.acquire()
        order: list[float] = []

        async def serve(rank: float) -> None:
            state = await harness.acquire(rank)
            order.append(rank)
            await harness.clock.sleep(0.1)
            harness.dispatcher.release(state)

        tasks = [asyncio.create_task(serve(rank)) for rank in (3.0, 1.0, 2.0, 0.0)]
        await harness.clock.sleep(0.01)
        harness.dispatcher.release(held)
        await asyncio.gather(*tasks)
        assert order == [0.0, 1.0, 2.0, 3.0]

    run_virtual(run())


def test_request_that_would_miss_its_deadline_is_refused_at_once() -> None:
    """Guard against requests that wait until their deadline before they are refused.

    The refusal states after which time to send the request again.
    """

    async def run() -> None:
        harness = _DispatcherHarness(["a"], slots=1)
        held = await harness.acquire()
        held.record_response_time(1.0)
        waiting = [asyncio.create_task(harness.acquire()) for _ in range(2)]
        await harness.clock.sleep(0.01)
        before_s = harness.clock.monotonic_s()
        with pytest.raises(OverloadedError) as caught:
            await harness.acquire(rank=1.0, remaining_s=0.5)
        assert harness.clock.monotonic_s() == before_s
        assert caught.value.retry_after_ms is not None
        for task in waiting:
            task.cancel()

    run_virtual(run())


def test_request_without_any_instance_is_refused_at_once() -> None:
    """Guard against requests that wait although the service has no instance."""

    async def run() -> None:
        harness = _DispatcherHarness([])
        with pytest.raises(UnavailableError) as caught:
            await harness.acquire()
        assert caught.value.retry_after_ms is not None

    run_virtual(run())


def test_low_load_stays_in_the_zone() -> None:
    """Guard against billed traffic between regions while slots nearby are free."""

    async def run() -> None:
        harness = _DispatcherHarness(["b", "a", "c"])
        for _ in range(4):
            state = await harness.acquire()
            assert state.instance.availability_zone == "a"
            harness.dispatcher.release(state)

    run_virtual(run())


def test_few_concurrent_requests_stay_in_the_zone() -> None:
    """Guard against traffic between zones while the own zone has free slots."""

    async def run() -> None:
        harness = _DispatcherHarness(["a", "b"], slots=6)
        taken = [await harness.acquire() for _ in range(2)]
        assert [s.instance.availability_zone for s in taken] == ["a", "a"]
        # A zone that runs out of slots still sends requests to another zone.
        taken += [await harness.acquire() for _ in range(4)]
        assert "b" in [s.instance.availability_zone for s in taken]

    run_virtual(run())


def test_affinity_key_selects_an_instance_of_the_zone() -> None:
    """Guard against affinity keys that send requests to instances of other zones."""

    async def run() -> None:
        harness = _DispatcherHarness(["a", "a", "b", "b"], slots=6)
        for number in range(12):
            chosen = set()
            for _ in range(3):
                state = await harness.acquire(affinity_key=f"object-{number}")
                harness.dispatcher.release(state)
                chosen.add(state)
            assert len(chosen) == 1
            assert chosen.pop().instance.availability_zone == "a"

    run_virtual(run())


def test_entries_with_equal_information_choose_different_instances() -> None:
    """Guard against all entries sending a burst of new programs to one instance.

    Entries with the same information would otherwise make the same choice.
    """

    async def run() -> None:
        source = random.Random(1)
        chosen = set()
        for _ in range(24):
            harness = _DispatcherHarness(
                ["a", "a", "a"], slots=6, random_share=source.random
            )
            chosen.add((await harness.acquire()).instance.instance_id)
        assert len(chosen) > 1

    run_virtual(run())


def test_conversation_returns_to_the_instance_that_cached_its_history() -> None:
    """Guard against prefilling a history again that an instance has cached."""

    async def run() -> None:
        harness = _DispatcherHarness(["a", "a", "a"])
        first = await harness.acquire()
        harness.dispatcher.release(first)
        for _ in range(3):
            state = await harness.acquire(
                preferred_instance_id=first.instance.instance_id, history_tokens=2000
            )
            assert state is first
            harness.dispatcher.release(state)

    run_virtual(run())


def test_unresponsive_instance_gets_no_further_requests() -> None:
    """Guard against requests to an instance that hangs but passes health checks."""

    async def run() -> None:
        harness = _DispatcherHarness(["a", "a"], slots=8)
        unresponsive = await harness.acquire()
        unresponsive.record_sent("r1", harness.clock.monotonic_s())
        await harness.clock.sleep(1.0)
        for _ in range(6):
            state = await harness.acquire()
            assert state is not unresponsive
        unresponsive.record_answer("r1", harness.clock.monotonic_s())
        assert not unresponsive.unresponsive(harness.clock.monotonic_s())

    run_virtual(run())


def test_failing_instance_gets_fewer_requests_until_it_recovers() -> None:
    """Guard against a partly failing instance that keeps its share of requests."""

    async def run() -> None:
        harness = _DispatcherHarness(["a", "a"], slots=8)
        failing = await harness.acquire()
        harness.dispatcher.release(failing)
        for _ in range(10):
            failing.record_outcome(failed=True)
        taken = [await harness.acquire() for _ in range(4)]
        assert failing not in taken
        for state in taken:
            harness.dispatcher.release(state)
        for _ in range(60):
            failing.record_outcome(failed=False)
        taken = [await harness.acquire() for _ in range(6)]
        assert failing in taken

    run_virtual(run())


def test_slot_granted_to_a_cancelled_request_is_released() -> None:
    """Guard against slots leaked to callers that have disconnected."""

    async def run() -> None:
        harness = _DispatcherHarness(["a"], slots=1)
        held = await harness.acquire()
        leaving = asyncio.create_task(harness.acquire())
        await harness.clock.sleep(0.01)
        harness.dispatcher.release(held)
        leaving.cancel()
        await asyncio.gather(leaving, return_exceptions=True)
        assert held.in_flight == 0
        assert await harness.acquire() is held

    run_virtual(run())


def test_waiting_requests_move_to_new_instances_in_a_rolling_release() -> None:
    """Guard against requests to a draining instance and requests that stay queued."""

    async def run() -> None:
        harness = _DispatcherHarness(["a"], slots=1)
        held = await harness.acquire()
        waiting = asyncio.create_task(harness.acquire())
        await harness.clock.sleep(0.01)
        old = held.instance
        harness.directory.update(
            UpstreamInstance(
                instance_id=old.instance_id,
                service=old.service,
                address=old.address,
                availability_zone="a",
                slots=1,
                draining=True,
            )
        )
        harness.directory.update(
            UpstreamInstance(
                instance_id="i-new",
                service="svc",
                address="10.0.0.99:80",
                availability_zone="a",
                slots=1,
            )
        )
        harness.dispatcher.dispatch_waiting()
        assert (await waiting).instance.instance_id == "i-new"

    run_virtual(run())


def test_request_that_got_no_slot_in_time_is_refused() -> None:
    """Guard against requests that stay queued after their callers have left."""

    async def run() -> None:
        harness = _DispatcherHarness(["a"], slots=1)
        held = await harness.acquire()
        before_s = harness.clock.monotonic_s()
        with pytest.raises(OverloadedError) as caught:
            await harness.acquire(remaining_s=0.5)
        assert harness.clock.monotonic_s() - before_s == pytest.approx(0.5)
        assert caught.value.retry_after_ms is not None
        assert harness.dispatcher.waiting_count("svc") == 0
        harness.dispatcher.release(held)
        assert held.in_flight == 0

    run_virtual(run())
