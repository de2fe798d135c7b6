"""Guard the stop of new work to leaving instances."""

from __future__ import annotations

import asyncio
from random import Random

from lentilroad.adapters.instance_list import Instance
from lentilroad.clock import LoopClock
from lentilroad.const import STOP_NEW_WORK_WITHIN_S
from lentilroad.errors import UnavailableError
from lentilroad.membership.leaving import follow_instance_list
from lentilroad.standins.virtual_loop import run_virtual


class SwitchableList:
    """Instance list that a test changes."""

    def __init__(self):
        self.state = "live"
        self.down = False

    async def read(self):
        """Return one instance."""
        if self.down:
            raise UnavailableError("down")
        return [
            Instance(
                instance_id="i-1",
                address="10.0.0.1",
                region="r1",
                availability_zone="z1",
                state=self.state,
            )
        ]


def test_leaving_is_passed_on_in_time_and_survives_an_outage():
    """An upstream that leaves must get no new work, also if the list goes down."""

    async def main():
        seen = []
        listed = SwitchableList()
        task = asyncio.create_task(
            follow_instance_list(
                instance_list=listed,
                set_leaving=lambda ids: seen.append(list(ids)),
                clock=LoopClock(loop=asyncio.get_running_loop()),
                random=Random(1),
            )
        )
        await asyncio.sleep(10)
        assert seen[-1] == []
        listed.state = "leaving"
        await asyncio.sleep(STOP_NEW_WORK_WITHIN_S)
        assert seen[-1] == ["i-1"]
        listed.down = True
        await asyncio.sleep(10)
        assert seen[-1] == ["i-1"]
        task.cancel()

    run_virtual(main())
