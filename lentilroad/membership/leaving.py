"""Stop of new work to instances that the platform lists as leaving."""

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
    """Read the list until cancelled and pass on the ids that are leaving.

    While the list gives no answer, the last one stays in force.

    Parameters
    ----------
    instance_list : InstanceList
        The platform's list.
    set_leaving : callable
        Such as `SidecarDirectory.set_leaving`; an upstream's id is its instance's.
    clock : Clock
        Source of time.
    random : random.Random
        Spreads the reads of many processes.
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
