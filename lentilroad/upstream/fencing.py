"""Fencing of requests by shard epoch and of engine commands by fencing number."""

from __future__ import annotations

import asyncio

from lentilroad.adapters.engine import Engine, EngineCommand
from lentilroad.errors import LentilroadError, StaleEpochError


class EpochFence:
    """Record the highest epoch of each shard and refuse requests with a lower epoch.

    One epoch is stored per shard. Epochs are not persisted: after a restart of the
    sidecar, which also discards every call, a stale owner can start a call once, and
    the standby refuses the commit of that call.
    """

    __slots__ = ("_highest",)

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}

    def check(self, *, shard: str, epoch: int) -> None:
        """Record the epoch; raises `StaleEpochError` if a higher epoch was seen."""
        highest = self._highest.get(shard, 0)
        if epoch < highest:
            raise StaleEpochError(
                f"epoch {epoch} of shard {shard} is lower than {highest}; "
                "read the shard map again"
            )
        self._highest[shard] = epoch

    def highest(self, shard: str) -> int:
        """Return the highest epoch seen, or 0."""
        return self._highest.get(shard, 0)


class CommandGate:
    """Send commands to an engine in the order of their fencing numbers.

    Commands are sent one at a time, and a command with a lower number than the highest
    sent is refused here, which also protects engines that ignore the number. When the
    answer to a command is lost, the command is resent before any later command.

    With an engine that ignores fencing numbers, an older command can still be applied
    after a newer command: when its connection was lost and it is applied late; when the
    sidecar restarted and has not yet received a command of the current configuration;
    and when a paused earlier process of the sidecar resumes and sends its command. The
    next `send` of the current configuration corrects each case by resending the newest
    command.

    Parameters
    ----------
    engine : Engine
        Engine that receives the commands.
    """

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine
        self._lock = asyncio.Lock()
        self._highest = 0
        self._unacknowledged: EngineCommand | None = None

    @property
    def highest(self) -> int:
        """Return the highest fencing number sent."""
        return self._highest

    async def send(self, command: EngineCommand) -> None:
        """Send a command; raises `StaleEpochError` for a lower fencing number."""
        async with self._lock:
            if command.fencing < self._highest:
                raise StaleEpochError(
                    f"fencing number {command.fencing} is lower than "
                    f"{self._highest}; send the command of the configuration in force"
                )
            self._highest = command.fencing
            if self._unacknowledged is not None and self._unacknowledged != command:
                await self._apply(self._unacknowledged)
            await self._apply(command)

    async def _apply(self, command: EngineCommand) -> None:
        try:
            await self._engine.command(command)
        except LentilroadError as error:
            if error.outcome != "not_run":
                self._unacknowledged = command
            raise
        self._unacknowledged = None
