"""Tests of the reports between entries about unresponsive instances."""

from __future__ import annotations

import asyncio
from typing import Any

from lentilroad.errors import UnavailableError
from lentilroad.membership.suspicions import SUSPECTED_FOR_S, SuspicionReporter
from lentilroad.membership.upstreams import UpstreamDirectory, UpstreamInstance
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.work import PlacementRequest
from tests.fakes.clock import ManualClock
from tests.fakes.permits import permit_always


def _instance(number: int, **fields: Any) -> UpstreamInstance:
    return UpstreamInstance(
        instance_id=f"i-{number}",
        service="svc",
        address=f"10.0.0.{number}:80",
        availability_zone="a",
        slots=4,
        **fields,
    )


class _EntryGroup:
    """Entries with the same three instances in their directories."""

    def __init__(self, names: list[str]) -> None:
        self.clock = ManualClock(now_s=100.0)
        self.down: set[str] = set()
        self.directories: dict[str, UpstreamDirectory] = {}
        self.suspicions: dict[str, SuspicionReporter] = {}
        for name in names:
            directory = UpstreamDirectory(clock=self.clock)
            for number in range(3):
                directory.update(_instance(number))
            self.directories[name] = directory
            self.suspicions[name] = SuspicionReporter(
                call=self._call,
                entries=lambda me=name: [n for n in names if n != me],
                directory=directory,
                clock=self.clock,
            )

    async def _call(
        self, address: str, method: Any, request: Any, timeout_s: float
    ) -> Any:
        if address in self.down:
            raise UnavailableError("no answer")
        return await self.suspicions[address].receive(request)

    async def report(self, name: str, instance_id: str) -> None:
        state = self.directories[name].find(instance_id)
        assert state is not None
        self.suspicions[name].report(state)
        await asyncio.sleep(0.01)

    async def chosen_instance(self, name: str) -> str:
        dispatcher = Dispatcher(
            directory=self.directories[name],
            clock=self.clock,
            availability_zone="a",
            region_of=lambda zone: zone,
            take_permit=permit_always,
            random_share=lambda: 0.0,
        )
        state = await dispatcher.acquire(
            PlacementRequest(service="svc", rank=(0.0,), remaining_s=3.0)
        )
        dispatcher.release(state)
        return state.instance.instance_id


async def test_instance_that_hangs_at_one_entry_is_avoided_by_all() -> None:
    """Guard against every entry losing a request to the same hanging instance."""
    group = _EntryGroup(["e1", "e2", "e3"])
    group.down.add("e3")
    assert await group.chosen_instance("e2") == "i-0"
    await group.report("e1", "i-0")
    assert await group.chosen_instance("e2") == "i-1"
    group.clock.now_s += SUSPECTED_FOR_S
    assert await group.chosen_instance("e2") == "i-0"


async def test_report_is_ignored_if_the_instance_answers_the_receiver() -> None:
    """Guard against an entry with a broken network path excluding sound instances."""
    group = _EntryGroup(["e1", "e2"])
    state = group.directories["e2"].find("i-0")
    assert state is not None
    state.record_sent("r", group.clock.now_s)
    state.record_answer("r", group.clock.now_s)
    await group.report("e1", "i-0")
    assert await group.chosen_instance("e2") == "i-0"


async def test_entry_that_reaches_few_instances_sends_no_reports() -> None:
    """Guard against reports by an entry that is itself isolated."""
    group = _EntryGroup(["e1", "e2"])
    for number in range(2):
        state = group.directories["e1"].find(f"i-{number}")
        assert state is not None
        state.excluded_until_s = group.clock.now_s + 1.0
    await group.report("e1", "i-0")
    assert await group.chosen_instance("e2") == "i-0"


async def test_report_about_an_earlier_incarnation_is_ignored() -> None:
    """Guard against a restarted instance avoided for faults before the restart."""
    group = _EntryGroup(["e1", "e2"])
    group.directories["e2"].update(_instance(0, started_ms=7))
    await group.report("e1", "i-0")
    state = group.directories["e2"].find("i-0")
    assert state is not None
    assert state.suspected_until_s == 0.0
