"""Distribution of streams over instances of different speed, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from lentilroad.clock import LoopClock
from lentilroad.errors import LentilroadError
from lentilroad.membership.upstreams import UpstreamDirectory, UpstreamInstance
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.work import PlacementRequest
from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes.permits import permit_always

SLOTS = 6
EVENTS = 5
EVENT_GAP_S = 0.045
STREAM_S = EVENTS * EVENT_GAP_S


@dataclass(slots=True, kw_only=True)
class _Engine:
    """Instance that runs `SLOTS` streams at once and queues the others."""

    speed: float
    slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(SLOTS))
    completed: list[float] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class _Entry:
    directory: UpstreamDirectory
    dispatcher: Dispatcher


class _Fleet:
    """Entries that share engines and know only their own requests."""

    def __init__(
        self, speeds: list[float], *, entries: int, learn_speeds: bool = True
    ) -> None:
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.engines = {f"i-{n}": _Engine(speed=s) for n, s in enumerate(speeds)}
        self.random = random.Random(7)
        self.learn_speeds = learn_speeds
        self.stream_times_s: list[tuple[float, float]] = []
        self.entries = [self._entry() for _ in range(entries)]

    def _entry(self) -> _Entry:
        directory = UpstreamDirectory(clock=self.clock, learn_speeds=self.learn_speeds)
        dispatcher = Dispatcher(
            directory=directory,
            clock=self.clock,
            availability_zone="a",
            region_of=lambda zone: zone,
            take_permit=permit_always,
            random_share=self.random.random,
        )
        entry = _Entry(directory=directory, dispatcher=dispatcher)
        for instance_id in self.engines:
            self.list_instance(entry, instance_id)
        return entry

    def list_instance(self, entry: _Entry, instance_id: str) -> None:
        entry.directory.update(
            UpstreamInstance(
                instance_id=instance_id,
                service="svc",
                address=f"10.0.0.{instance_id[2:]}:80",
                availability_zone="a",
                slots=SLOTS,
            )
        )

    async def stream(self, entry: _Entry) -> None:
        began_s = self.clock.monotonic_s()
        state = await entry.dispatcher.acquire(
            PlacementRequest(service="svc", rank=(0.0,), remaining_s=3.0)
        )
        sent_s = self.clock.monotonic_s()
        engine = self.engines[state.instance.instance_id]
        observer = state.observe_stream(sent_s, self.clock)
        try:
            async with engine.slots:
                for _ in range(EVENTS):
                    noise = self.random.uniform(0.8, 1.2)
                    await asyncio.sleep(EVENT_GAP_S * noise / engine.speed)
                    if observer is not None:
                        observer.record_events(1)
            if observer is not None:
                observer.record_end()
            state.record_response_time(self.clock.monotonic_s() - sent_s)
        finally:
            entry.dispatcher.release(state)
        now_s = self.clock.monotonic_s()
        engine.completed.append(now_s)
        self.stream_times_s.append((now_s, now_s - began_s))

    async def run(self, rate_per_s: float, for_s: float) -> None:
        """Start streams at random moments, then wait for all of them."""
        tasks = []
        refresh = asyncio.ensure_future(self._refresh_costs())
        ends_s = self.clock.monotonic_s() + for_s
        while self.clock.monotonic_s() < ends_s:
            await asyncio.sleep(self.random.expovariate(rate_per_s))
            entry = self.random.choice(self.entries)
            tasks.append(asyncio.ensure_future(self.stream(entry)))
        results = await asyncio.gather(*tasks, return_exceptions=True)
        refresh.cancel()
        unexpected = [
            r
            for r in results
            if isinstance(r, BaseException) and not isinstance(r, LentilroadError)
        ]
        assert unexpected == []

    async def _refresh_costs(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            for entry in self.entries:
                entry.dispatcher.refresh_learned_costs()

    def shares(self, since_s: float, until_s: float) -> dict[str, float]:
        """Return each engine's share of the streams that ended in a time span."""
        counts = Counter(
            {
                i: sum(1 for at_s in e.completed if since_s <= at_s < until_s)
                for i, e in self.engines.items()
            }
        )
        return {i: count / counts.total() for i, count in counts.items()}

    def mean_time_s(self, since_s: float) -> float:
        """Return the mean time of the streams that ended later than a time."""
        times_s = [time_s for at_s, time_s in self.stream_times_s if at_s >= since_s]
        return sum(times_s) / len(times_s)


def _capacity_per_s(speeds: list[float]) -> float:
    return sum(speeds) * SLOTS / STREAM_S


@pytest.mark.parametrize("entries", [1, 4])
def test_work_follows_the_speeds_of_instances_near_capacity(entries: int) -> None:
    """Load: speeds 0.7, 0.7 and 1.7 at 0.85 of their capacity.

    Guards against equal shares, which overload the slow instances.
    """
    speeds = [0.7, 0.7, 1.7] * 2

    async def run() -> None:
        fleet = _Fleet(speeds, entries=entries)
        began_s = fleet.clock.monotonic_s()
        await fleet.run(0.85 * _capacity_per_s(speeds), 30.0)
        shares = fleet.shares(began_s + 10.0, began_s + 30.0)
        for number, speed in enumerate(speeds):
            ideal = speed / sum(speeds)
            assert shares[f"i-{number}"] == pytest.approx(ideal, abs=0.1)

    run_virtual(run())


def test_streams_prefer_fast_instances_while_these_have_room() -> None:
    """Load: speeds 0.7, 0.7 and 1.7 at a quarter of their capacity.

    Guards against slow streams while faster instances are nearly idle.
    """
    speeds = [0.7, 0.7, 1.7] * 2

    async def mean_time_s(*, learn_speeds: bool) -> float:
        fleet = _Fleet(speeds, entries=4, learn_speeds=learn_speeds)
        began_s = fleet.clock.monotonic_s()
        await fleet.run(0.25 * _capacity_per_s(speeds), 30.0)
        return fleet.mean_time_s(began_s + 10.0)

    async def run() -> None:
        learned_s = await mean_time_s(learn_speeds=True)
        unlearned_s = await mean_time_s(learn_speeds=False)
        assert learned_s < 0.8 * unlearned_s

    run_virtual(run())


def test_instance_that_slows_down_loses_work_and_gets_it_back() -> None:
    """Load: one of four equal instances slows to a third, at 0.7 of the capacity left.

    Guards against a share that follows neither the loss of speed nor its return.
    """

    async def run() -> None:
        fleet = _Fleet([1.0] * 4, entries=4)
        rate_per_s = 0.7 * _capacity_per_s([1.0, 1.0, 1.0, 1 / 3])
        began_s = fleet.clock.monotonic_s()

        async def change_speed() -> None:
            await asyncio.sleep(10.0)
            fleet.engines["i-0"].speed = 1 / 3
            await asyncio.sleep(10.0)
            fleet.engines["i-0"].speed = 1.0

        change = asyncio.ensure_future(change_speed())
        await fleet.run(rate_per_s, 60.0)
        await change
        before = fleet.shares(began_s + 4.0, began_s + 10.0)
        slow = fleet.shares(began_s + 12.0, began_s + 20.0)
        after = fleet.shares(began_s + 45.0, began_s + 60.0)
        assert before["i-0"] == pytest.approx(0.25, abs=0.1)
        assert slow["i-0"] == pytest.approx(0.1, abs=0.1)
        assert after["i-0"] == pytest.approx(0.25, abs=0.1)

    run_virtual(run())


def test_new_instance_is_not_flooded() -> None:
    """Load: an instance joins four busy ones whose speeds are known.

    Guards against all new work going to the only instance without requests.
    """

    async def run() -> None:
        fleet = _Fleet([1.0] * 5, entries=4)
        for entry in fleet.entries:
            entry.directory.remove("i-4")
        rate_per_s = 0.6 * _capacity_per_s([1.0] * 4)
        await fleet.run(rate_per_s, 10.0)
        # A third of the others' speed, which nobody knows yet.
        fleet.engines["i-4"].speed = 1 / 3
        for entry in fleet.entries:
            fleet.list_instance(entry, "i-4")
        streams = asyncio.ensure_future(fleet.run(rate_per_s, 1.0))
        most = 0
        while not streams.done():
            await asyncio.sleep(0.01)
            states = [e.directory.find("i-4") for e in fleet.entries]
            most = max(most, sum(s.in_flight for s in states if s is not None))
        await streams
        assert most <= SLOTS

    run_virtual(run())


def test_equal_instances_are_chosen_as_without_learning() -> None:
    """Guard against noise that moves work between instances of the same speed."""

    async def run() -> None:
        fleet = _Fleet([1.0] * 4, entries=1)
        await fleet.run(0.5 * _capacity_per_s([1.0] * 4), 20.0)
        for instance_id in fleet.engines:
            state = fleet.entries[0].directory.find(instance_id)
            assert state is not None
            assert state.learned_cost_s() == 0.0

    run_virtual(run())


@pytest.mark.parametrize("entries", [1, 4])
def test_slow_instances_are_used_rather_than_a_long_queue(entries: int) -> None:
    """Load: a fifth of the capacity is on four instances nine times slower, at 0.95.

    Guards against requests that wait for fast instances until their deadline while the
    slots of slow ones stay free.
    """
    speeds = [0.2] * 4 + [1.8] * 2

    async def run() -> None:
        fleet = _Fleet(speeds, entries=entries)
        began_s = fleet.clock.monotonic_s()
        await fleet.run(0.95 * _capacity_per_s(speeds), 40.0)
        slow_stream_s = STREAM_S / 0.2
        assert fleet.mean_time_s(began_s + 10.0) < 1.5 * slow_stream_s
        shares = fleet.shares(began_s + 10.0, began_s + 40.0)
        assert sum(shares[f"i-{number}"] for number in range(4)) > 0.05

    run_virtual(run())
