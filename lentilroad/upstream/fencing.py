"""Epochs of shards and fencing numbers of engine commands."""

from __future__ import annotations

import asyncio

from lentilroad.adapters.engine import Engine, EngineCommand
from lentilroad.errors import LentilroadError, StaleEpochError


class EpochFence:
    """Remember the highest epoch of each shard and refuse lower ones.

    The number of shards bounds the memory. A restarted sidecar has forgotten the
    epochs, but also every call: a stale owner can then start a call there once, and
    its commit is refused by the standby.
    """

    __slots__ = ("_highest",)

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}

    def check(self, *, shard: str, epoch: int) -> None:
        """Record the epoch; raises `StaleEpochError` when a higher one is known."""
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

    Commands are sent one at a time and a lower number than the highest sent is
    refused here, so that engines that ignore the number are covered as well. When the
    answer to a command is lost, the command is sent again before any later one.

    For an engine that ignores fencing numbers this remains possible: a command whose
    connection was lost is applied late, after a newer one; a restarted sidecar has
    forgotten the highest number until the first command of the current
    configuration arrives; and a paused earlier process of the sidecar sends the
    command that it was about to send. Each is repaired by the next `send` of the
    current configuration, which repeats the newest command.

    Parameters
    ----------
    engine : Engine
        Engine that receives the commands.
    """

    def __init__(self, *, engine: Engine) -> None:
        self._engine = engine
        self._lock = asyncio.Lock()
        self._highest = 0
        self._unsettled: EngineCommand | None = None

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
                    f"{self._highest}; use the configuration in force"
                )
            self._highest = command.fencing
            if self._unsettled is not None and self._unsettled != command:
                await self._apply(self._unsettled)
            await self._apply(command)

    async def _apply(self, command: EngineCommand) -> None:
        try:
            await self._engine.command(command)
        except LentilroadError as error:
            if error.outcome != "not_run":
                self._unsettled = command
            raise
        self._unsettled = None
