"""Background tasks of a process and its shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable


async def run_until(
    background: list[Awaitable[None]],
    stop: asyncio.Event,
    finish: Callable[[], Awaitable],
) -> None:
    """Run background tasks until `stop` is set, then await `finish`.

    If a background task fails, its exception is raised at once.
    """
    tasks = [asyncio.ensure_future(awaitable) for awaitable in background]
    stop_task = asyncio.ensure_future(stop.wait())
    done, _ = await asyncio.wait(
        [*tasks, stop_task], return_when=asyncio.FIRST_COMPLETED
    )
    for task in done - {stop_task}:
        # Background tasks end only by failing; this raises the exception.
        task.result()
    await finish()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
