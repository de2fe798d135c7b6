"""Polling of the platform's list for instances that are leaving."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import eliot

from lentilroad.adapters.instance_list import InstanceList, leaving_ids
from lentilroad.clock import Clock
from lentilroad.errors import UnavailableError
from lentilroad.membership.const import INSTANCE_LIST_INTERVAL_S


async def follow_instance_list(
    *,
    instance_list: InstanceList,
    set_leaving: Callable[[Iterable[str]], None],
    clock: Clock,
    random: Random,
) -> None:
    """Poll the list until cancelled and report the ids of leaving instances.

    While the list is unavailable, the last reported ids stay in force.

    Parameters
    ----------
    instance_list : InstanceList
        The platform's list.
    set_leaving : callable
        Receives the ids, such as `SidecarDirectory.set_leaving`; an upstream has the
        id of its instance.
    clock : Clock
        Source of time.
    random : random.Random
        Source of the jitter that spreads the polls of many processes.
    """
    while True:
        try:
            set_leaving(leaving_ids(await instance_list.read()))
        except UnavailableError as error:
            eliot.log_message(
                message_type="membership:instance_list_unavailable",
                reason=error.message,
            )
        await clock.sleep(INSTANCE_LIST_INTERVAL_S * random.uniform(0.75, 1.25))
