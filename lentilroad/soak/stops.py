"""Planned stops of entries while their workers are full, and the checks of them."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass, field

from lentilroad.soak.world import ProgramProcess, World, wait_until_ready
from lentilroad.standins.platform_worker import RunLog

# Work of a charge, so that the slots of all workers are taken.
MAX_WORK_S = 2.5
RESTART_PAUSE_S = 0.1


@dataclass(slots=True, kw_only=True)
class StopChecks:
    """Requests that ended without a complete answer.

    Attributes
    ----------
    unanswered : dict of str to str
        What is known of each such request, by request id.
    """

    unanswered: dict[str, str] = field(default_factory=dict)

    def record_unanswered(
        self,
        request_id: str,
        entry: ProgramProcess,
        error: Exception,
        *,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record a request whose connection ended without a complete answer.

        A caller that gives up has waited past its deadline. That counts unless the
        request waited in the backlog of a listener whose process was still loading.
        """
        if isinstance(error, TimeoutError) and entry.was_loading(sent_s):
            return
        self.unanswered[request_id] = (
            f"{entry.name}, {type(error).__name__} after {now_s - sent_s:.2f} s"
        )

    def violations(self, log: RunLog) -> list[str]:
        """Return the requests that reached a worker and got no complete answer."""
        return [
            f"{request_id} reached a worker and got no answer ({reason})"
            for request_id, reason in self.unanswered.items()
            if request_id in log.runs
        ]


async def stop_entries(world: World, source: random.Random) -> None:
    """Stop and start entries as planned, with repeated and other signals between."""
    while True:
        await asyncio.sleep(source.uniform(0.2, 2.0))
        for worker in world.workers:
            worker.charge_work_s = source.uniform(0.0, MAX_WORK_S)
        entry = source.choice(world.entries)
        async with entry.fault_lock:
            await _stop(entry, source)
            world.planned_stops += 1
            await asyncio.sleep(RESTART_PAUSE_S)
            await entry.start()
            # The next stop begins when this entry serves again.
            await wait_until_ready(entry)


async def _stop(entry: ProgramProcess, source: random.Random) -> None:
    ending = asyncio.create_task(entry.end(signal.SIGTERM))
    for _ in range(source.randint(0, 3)):
        await asyncio.sleep(source.uniform(0.0, 1.0))
        entry.send(source.choice([signal.SIGTERM, signal.SIGHUP]))
    await ending
