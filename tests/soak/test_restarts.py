"""Restarts of the soak's processes."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from lentilroad.soak.main import _restart
from lentilroad.soak.world import ProgramProcess


def test_machine_that_has_left_is_not_started_again(tmp_path: Path) -> None:
    """Guard against a soak that waits forever for a machine that it has removed."""

    async def run() -> ProgramProcess:
        process = ProgramProcess(
            role="storage", number=0, folder=tmp_path, store_address="127.0.0.1:1"
        )
        async with process.fault_lock:
            restarting = asyncio.create_task(_restart(process, signal.SIGKILL, 0.0))
            await asyncio.sleep(0)
            process.removed = True
        await restarting
        return process

    assert asyncio.run(run()).process is None
