"""Tests of the polling for leaving instances."""

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
    """Instance list with a settable state and outages."""

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


def test_leaving_instance_is_reported_within_limit_and_stays_so_in_an_outage():
    """Guard against new work for a leaving upstream, also while the list is down."""

    async def main():
        reported = []
        instance_list = SwitchableList()
        task = asyncio.create_task(
            follow_instance_list(
                instance_list=instance_list,
                set_leaving=lambda ids: reported.append(list(ids)),
                clock=LoopClock(loop=asyncio.get_running_loop()),
                random=Random(1),
            )
        )
        await asyncio.sleep(10)
        assert reported[-1] == []
        instance_list.state = "leaving"
        await asyncio.sleep(STOP_NEW_WORK_WITHIN_S)
        assert reported[-1] == ["i-1"]
        instance_list.down = True
        await asyncio.sleep(10)
        assert reported[-1] == ["i-1"]
        task.cancel()

    run_virtual(main())
