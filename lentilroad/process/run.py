"""Life of a process: its background work and its end."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable


async def run_until(
    work: list[Awaitable[None]], stop: asyncio.Event, finish: Callable[[], Awaitable]
) -> None:
    """Run background work until `stop` is set, then `finish`; a failure ends all."""
    tasks = [asyncio.ensure_future(each) for each in work]
    stopping = asyncio.ensure_future(stop.wait())
    done, _ = await asyncio.wait(
        [*tasks, stopping], return_when=asyncio.FIRST_COMPLETED
    )
    for task in done - {stopping}:
        # A task that ends by itself has failed.
        task.result()
    await finish()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
