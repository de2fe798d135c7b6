"""Periodic removal of old configuration versions."""

from __future__ import annotations

from collections.abc import Callable

import eliot

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.version.sweep import HistorySweeper

SWEEP_INTERVAL_S = 60.0


async def sweep_history(
    *, sweeper: HistorySweeper, is_watcher: Callable[[], bool], clock: Clock
) -> None:
    """Remove old configuration versions while this entry is a watcher.

    Parameters
    ----------
    sweeper : HistorySweeper
        Removes one batch of versions per call.
    is_watcher : callable
        Returns whether this entry is currently a watcher of its region.
    clock : Clock
        Source of time.
    """
    while True:
        await clock.sleep(SWEEP_INTERVAL_S)
        if not is_watcher():
            continue
        try:
            await sweeper.sweep()
        except LentilroadError as error:
            eliot.log_message(
                message_type="entry:history_not_swept", reason=error.message
            )
