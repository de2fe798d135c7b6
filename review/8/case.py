"""Bans of a request that crashes its workers are lost when all machines fail.

The request then crashes three more workers each time.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.common2.harness import CannotRunError, Deployment, Worker, run_case

TARGET = "/pule252/charge/x"
BODY = b"deadly"
# "the worker is back after some seconds"
WORKER_DOWN_S = 3.0
# Site files: closing = { kind = "power_off_all", down_s = 1.0 } and the like.
DOWN_S = 1.0
STABILITY_WINDOW_S = 4.0
# The request comes again for this long, then everything fails.
SERIES_S = 14.0
FAILURES = 2
PAUSE_S = 0.5
# Rule BUDGET: more than three retries.
ALLOWED_RETRIES = 3


def _crash_on_request(deployment: Deployment, tasks: set[asyncio.Task[None]]) -> None:
    async def restart(number: int, worker: Worker) -> None:
        await asyncio.sleep(WORKER_DOWN_S)
        await worker.start()
        await deployment.register_worker(number)
        deployment.record.line(f"worker {worker.worker_id} is back")

    for number, worker in enumerate(deployment.workers):

        def begin_restart(number: int = number, worker: Worker = worker) -> None:
            tasks.add(asyncio.ensure_future(restart(number, worker)))

        worker.crashes_on = BODY
        worker.on_crash = begin_restart


async def _send_deadly(deployment: Deployment, for_s: float) -> None:
    """Send the request again and again, to any machine."""
    ends_s = deployment.record.elapsed_s() + for_s
    while deployment.record.elapsed_s() < ends_s:
        entry = deployment.source.choice(deployment.entries)
        await deployment.send(entry, "POST", TARGET, BODY)
        await asyncio.sleep(PAUSE_S)


async def _case(deployment: Deployment, trouble: bool) -> list[str]:
    record = deployment.record
    await deployment.prepare(entries=6, storages=3)
    tasks: set[asyncio.Task[None]] = set()
    _crash_on_request(deployment, tasks)
    await deployment.start_machines()
    if not await deployment.wait_ready(deployment.entries, 20.0):
        raise CannotRunError("the entries are not ready")
    await asyncio.sleep(STABILITY_WINDOW_S)
    await _send_deadly(deployment, SERIES_S)
    if len(deployment.runs) < 3:
        raise CannotRunError("the request crashed fewer than three workers")
    # Runs count from StabilityWindowMs after the third crash.
    counted_from_s = deployment.runs[2].at_s + STABILITY_WINDOW_S
    machines = [*deployment.storages, *deployment.entries]
    for _ in range(FAILURES):
        if trouble:
            await asyncio.gather(*(machine.kill() for machine in machines))
            await asyncio.sleep(DOWN_S)
            await asyncio.gather(*(machine.start() for machine in machines))
            if not await deployment.wait_ready(deployment.entries, 10.0):
                raise CannotRunError("the entries are not ready again")
        # All machines are in touch again before the request comes again.
        await asyncio.sleep(STABILITY_WINDOW_S + 1.0)
        await _send_deadly(deployment, SERIES_S)
    late = [run for run in deployment.runs if run.at_s >= counted_from_s]
    record.line(
        f"{len(deployment.runs)} workers crashed; {len(late)} of these runs were sent "
        "by machines in touch, later than StabilityWindowMs after the third crash"
    )
    for task in tasks:
        task.cancel()
    if len(late) > ALLOWED_RETRIES:
        return [
            f"BUDGET: a request that crashes its workers reached them in {len(late)} "
            f"retries; {ALLOWED_RETRIES} are allowed"
        ]
    return []


if __name__ == "__main__":
    run_case(_case, Path(__file__).resolve().parent)
