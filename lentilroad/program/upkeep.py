"""Regular work of the owner: sweep, confirm, forget, copy, drain."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from eliot import log_message

from lentilroad.clock import Clock
from lentilroad.const import CONFIRM_PROGRAMS_INTERVAL_S
from lentilroad.errors import LentilroadError, NotOwnerError
from lentilroad.program import const
from lentilroad.program.history import pack_history
from lentilroad.program.lifecycle import Lifecycle
from lentilroad.program.owned import OwnedShards
from lentilroad.program.shard_access import ShardTable
from lentilroad.program.sidecar_calls import SidecarCalls
from lentilroad.program.standby import ProgramStandby
from lentilroad.program.turns import Program
from lentilroad.wire.messages import ConfirmProgramsRequest, ShardRecord
from lentilroad.wire.services import CONFIRM_PROGRAMS


class Upkeep:
    """Keep memory, copies and sidecars in step with the programs.

    Parameters
    ----------
    owned : OwnedShards
        Programs of this entry.
    shard_table : ShardTable
        Epochs of the shards.
    standby : ProgramStandby
        Copies that this entry keeps for other owners.
    calls : SidecarCalls
        Sends messages to sidecars.
    clock : Clock
        Source of time.
    start_task : Callable
        Starts background work that ends with the process.
    lifecycle : Lifecycle
        Ends programs.
    idle_limit_s : float
        Programs without a call for this long are abandoned, in seconds.
    """

    def __init__(
        self,
        *,
        owned: OwnedShards,
        shard_table: ShardTable,
        standby: ProgramStandby,
        calls: SidecarCalls,
        clock: Clock,
        start_task: Callable[[Coroutine[Any, Any, Any]], Any],
        lifecycle: Lifecycle,
        idle_limit_s: float,
    ) -> None:
        self._owned = owned
        self._shard_table = shard_table
        self._standby = standby
        self._calls = calls
        self._clock = clock
        self._start_task = start_task
        self._lifecycle = lifecycle
        self._idle_limit_s = idle_limit_s
        self._copying: set[str] = set()

    async def run(self) -> None:
        """Sweep, confirm and copy until cancelled."""
        next_sweep_s = self._clock.monotonic_s() + const.SWEEP_INTERVAL_S
        next_confirm_s = self._clock.monotonic_s() + CONFIRM_PROGRAMS_INTERVAL_S
        while True:
            await self._clock.sleep(const.FOLLOW_INTERVAL_S)
            self._standby.follow_records()
            if self._clock.monotonic_s() < next_sweep_s:
                continue
            next_sweep_s += const.SWEEP_INTERVAL_S
            self._standby.sweep()
            for shard in self._owned.shards():
                self._sweep_shard(shard)
            if self._clock.monotonic_s() >= next_confirm_s:
                next_confirm_s += CONFIRM_PROGRAMS_INTERVAL_S
                for shard in self._owned.shards():
                    self._confirm_shard(shard)

    def on_adopted(self, shard: str, programs: list[Program]) -> None:
        """Copy gained programs to the new standby and repeat unfinished clean-up."""
        self.start_copy(shard)
        for program in programs:
            if not program.is_open:
                self._lifecycle.forget_program(program)

    async def drain(
        self,
        shard: str,
        deadline_s: float,
        hand_over: Callable[[str], Awaitable[None]] | None,
    ) -> None:
        """Wait for running turns, complete the copies, then hand the shard over."""
        tasks = [
            run.task
            for program in self._owned.programs(shard).values()
            for run in program.runs.values()
            if run.task is not None
        ]
        timeout_s = max(0.0, deadline_s - self._clock.monotonic_s())
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)
        await self._copy_shard(shard)
        if hand_over is not None:
            await hand_over(shard)

    async def stage(self, shard: str, record: ShardRecord, *, final: bool) -> bool:
        """Copy a shard to the entries of a planned record."""
        try:
            replicator = self._owned.replicator(shard)
        except NotOwnerError:
            return False
        states = [program.state for program in self._owned.programs(shard).values()]
        return await replicator.stage(states, record, final=final)

    def _sweep_shard(self, shard: str) -> None:
        now_s = self._clock.time_s()
        self.start_copy(shard)
        for program in list(self._owned.programs(shard).values()):
            state = program.state
            if program.runs or program.ending and state.status == "open":
                continue
            if state.status == "open":
                self._sweep_open(program, now_s)
            elif now_s - state.ended_time_s > const.ENDED_RETENTION_S:
                self._sweep_ended(program)

    def _sweep_open(self, program: Program, now_s: float) -> None:
        state = program.state
        if now_s - state.last_active_time_s > const.PACK_AFTER_IDLE_S:
            pack_history(state.history)
        if program.parent is not None or _is_active(program, now_s, self._idle_limit_s):
            return
        log_message(message_type="program:abandoned", program_id=state.program_id)
        program.ending = True
        self._start_task(self._abandon(program))

    def _sweep_ended(self, program: Program) -> None:
        # Ended sub-agents stay with their root, which counts their spending.
        if program.parent is None or program.root().state.status != "open":
            self._owned.remove(program)

    async def _abandon(self, program: Program) -> None:
        try:
            await self._lifecycle.end_tree(program, "abandoned")
        except NotOwnerError:
            return

    def _confirm_shard(self, shard: str) -> None:
        epoch = self._shard_table.owned_epoch(shard)
        if epoch is None:
            return
        by_sidecar: dict[str, list[str]] = {}
        for program_id, program in self._owned.programs(shard).items():
            if program.is_open:
                for address in program.state.sidecars:
                    by_sidecar.setdefault(address, []).append(program_id)
        for address, program_ids in by_sidecar.items():
            for start in range(0, len(program_ids), const.CONFIRM_BATCH):
                request = ConfirmProgramsRequest(
                    shard=shard,
                    epoch=epoch,
                    program_ids=program_ids[start : start + const.CONFIRM_BATCH],
                )
                self._start_task(
                    self._calls.send(address, CONFIRM_PROGRAMS, request, attempts=2)
                )

    def start_copy(self, shard: str) -> None:
        """Send the programs that the current standby lacks, in the background."""
        if shard not in self._copying:
            self._copying.add(shard)
            self._start_task(self._copy_in_background(shard))

    async def _copy_in_background(self, shard: str) -> None:
        try:
            await self._copy_shard(shard)
        finally:
            self._copying.discard(shard)

    async def _copy_shard(self, shard: str) -> None:
        """Send the programs that the current standby lacks."""
        try:
            replicator = self._owned.replicator(shard)
            if replicator.needs_hello():
                await replicator.hello()
            # Enqueued together, so that they share calls.
            await asyncio.gather(
                *(
                    replicator.copy(program.state)
                    for program in self._owned.programs(shard).values()
                    if not replicator.has_copy(program.state.program_id)
                )
            )
        except LentilroadError:
            return


def _is_active(program: Program, now_s: float, idle_limit_s: float) -> bool:
    return any(
        entry.runs or now_s - entry.state.last_active_time_s <= idle_limit_s
        for entry in program.tree()
        if entry.state.status == "open"
    )
