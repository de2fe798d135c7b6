"""Entries warn each other of instances that leave requests without an answer."""

from __future__ import annotations

import asyncio
from typing import Any

from lentilroad.errors import UnavailableError
from lentilroad.membership.suspicions import SUSPECTED_FOR_S, Suspicions
from lentilroad.membership.upstreams import UpstreamDirectory, UpstreamInstance
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.work import PlacementRequest
from tests.fakes.clock import ManualClock


def _instance(number: int, **fields: Any) -> UpstreamInstance:
    return UpstreamInstance(
        instance_id=f"i-{number}",
        service="svc",
        address=f"10.0.0.{number}:80",
        availability_zone="a",
        slots=4,
        **fields,
    )


class _Fleet:
    """Entries that know the same three instances."""

    def __init__(self, names: list[str]) -> None:
        self.clock = ManualClock(now_s=100.0)
        self.down: set[str] = set()
        self.directories: dict[str, UpstreamDirectory] = {}
        self.suspicions: dict[str, Suspicions] = {}
        for name in names:
            directory = UpstreamDirectory(clock=self.clock)
            for number in range(3):
                directory.update(_instance(number))
            self.directories[name] = directory
            self.suspicions[name] = Suspicions(
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
        return await self.suspicions[address].serve(request)

    async def report(self, name: str, instance_id: str) -> None:
        state = self.directories[name].find(instance_id)
        assert state is not None
        self.suspicions[name].report(state)
        await asyncio.sleep(0.01)

    async def choice(self, name: str) -> str:
        dispatcher = Dispatcher(
            directory=self.directories[name],
            clock=self.clock,
            availability_zone="a",
            region_of=lambda zone: zone,
            random_share=lambda: 0.0,
        )
        state = await dispatcher.acquire(
            PlacementRequest(service="svc", rank=(0.0,), remaining_s=3.0)
        )
        dispatcher.release(state)
        return state.instance.instance_id


async def test_instance_that_hangs_at_one_entry_is_avoided_by_all() -> None:
    """Guard against one lost request for each entry and each hanging instance."""
    fleet = _Fleet(["e1", "e2", "e3"])
    fleet.down.add("e3")
    assert await fleet.choice("e2") == "i-0"
    await fleet.report("e1", "i-0")
    assert await fleet.choice("e2") == "i-1"
    fleet.clock.now_s += SUSPECTED_FOR_S
    assert await fleet.choice("e2") == "i-0"


async def test_instance_that_answers_here_is_not_avoided() -> None:
    """Guard against an entry with a broken way that spoils the others' choice."""
    fleet = _Fleet(["e1", "e2"])
    state = fleet.directories["e2"].find("i-0")
    assert state is not None
    state.note_sent("r", fleet.clock.now_s)
    state.note_answer("r", fleet.clock.now_s)
    await fleet.report("e1", "i-0")
    assert await fleet.choice("e2") == "i-0"


async def test_entry_that_reaches_few_instances_reports_none() -> None:
    """Guard against reports of an entry that is itself cut off."""
    fleet = _Fleet(["e1", "e2"])
    for number in range(2):
        state = fleet.directories["e1"].find(f"i-{number}")
        assert state is not None
        state.excluded_until_s = fleet.clock.now_s + 1.0
    await fleet.report("e1", "i-0")
    assert await fleet.choice("e2") == "i-0"


async def test_report_on_an_earlier_life_is_ignored() -> None:
    """Guard against an instance that restarted and is avoided for its past."""
    fleet = _Fleet(["e1", "e2"])
    fleet.directories["e2"].update(_instance(0, started_ms=7))
    await fleet.report("e1", "i-0")
    state = fleet.directories["e2"].find("i-0")
    assert state is not None
    assert state.suspected_until_s == 0.0
