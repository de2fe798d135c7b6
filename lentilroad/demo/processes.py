"""Start, watch and stop the processes of a deployment."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from lentilroad.demo.const import (
    POLL_INTERVAL_S,
    START_TIMEOUT_S,
    STOP_TIMEOUT_S,
)
from lentilroad.demo.layout import Instance


class StartError(Exception):
    """A process did not start; the message names its log."""


@dataclass(slots=True, kw_only=True)
class Processes:
    """Processes that the demonstration has started."""

    folder: Path
    running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    exit_codes: dict[str, int] = field(default_factory=dict)

    def start(self, instance: Instance) -> None:
        """Start one process with its output in the folder."""
        with (self.folder / f"{instance.name}.out").open("ab") as output:
            self.running[instance.name] = subprocess.Popen(
                [sys.executable, "-m", "lentilroad", *instance.arguments],
                cwd=self.folder,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def send(self, instance: Instance, number: signal.Signals) -> None:
        """Send a signal to one process that this object started."""
        self.running[instance.name].send_signal(number)

    async def wait_stopped(self, instance: Instance, timeout_s: float) -> int | None:
        """Return the exit code, or None when the process still runs."""
        process = self.running[instance.name]
        waited_s = 0.0
        while process.poll() is None and waited_s < timeout_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            waited_s += POLL_INTERVAL_S
        return process.poll()

    async def stop_all(self) -> None:
        """Ask every process to stop, and end those that do not."""
        for process in self.running.values():
            if process.poll() is None:
                process.terminate()
        await asyncio.gather(*(self._end(name) for name in self.running))

    async def _end(self, name: str) -> None:
        process = self.running[name]
        waited_s = 0.0
        while process.poll() is None:
            if waited_s >= STOP_TIMEOUT_S:
                process.kill()
            await asyncio.sleep(POLL_INTERVAL_S)
            waited_s += POLL_INTERVAL_S
        self.exit_codes[name] = process.returncode

    def check_alive(self, instance: Instance) -> None:
        """Raise `StartError` when a process has ended."""
        if self.running[instance.name].poll() is not None:
            raise StartError(
                f"{instance.name} ended at once; see {self.folder / instance.name}.out"
            )


async def wait_for_url(
    session: aiohttp.ClientSession,
    processes: Processes,
    instance: Instance,
    url: str,
) -> None:
    """Wait until a URL answers with a status below 500.

    Raises
    ------
    StartError
        The process ended or did not answer in time.
    """
    loop = asyncio.get_running_loop()
    give_up_s = loop.time() + START_TIMEOUT_S
    while loop.time() < give_up_s:
        processes.check_alive(instance)
        try:
            async with session.get(url) as response:
                if response.status < 500:
                    return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(POLL_INTERVAL_S)
    raise StartError(
        f"{instance.name} was not ready within {START_TIMEOUT_S:.0f} s; "
        f"see {processes.folder / instance.name}.out"
    )
