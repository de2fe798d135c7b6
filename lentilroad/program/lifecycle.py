"""Open and end programs, with what an end leaves to clean up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from lentilroad.clock import Clock
from lentilroad.errors import (
    ConflictError,
    InvalidRequestError,
    NotFoundError,
    NotOwnerError,
    RateLimitedError,
)
from lentilroad.program import const
from lentilroad.program.owned import OwnedShards
from lentilroad.program.preparation import ended_error
from lentilroad.program.records import Ended, Opened, ProgramState
from lentilroad.program.shard_access import ShardTable
from lentilroad.program.sidecar_calls import SidecarCalls
from lentilroad.program.turns import Program
from lentilroad.wire.messages import ForgetRequest, OpenProgramRequest
from lentilroad.wire.services import FORGET


class Lifecycle:
    """Open and end the programs of this entry.

    Parameters
    ----------
    owned : OwnedShards
        Programs of this entry.
    shard_table : ShardTable
        Epochs of the shards.
    calls : SidecarCalls
        Sends messages to sidecars.
    shard_of : Callable
        Return the shard of a program id.
    clock : Clock
        Source of time.
    start_task : Callable
        Starts background work that ends with the process.
    """

    def __init__(
        self,
        *,
        owned: OwnedShards,
        shard_table: ShardTable,
        calls: SidecarCalls,
        shard_of: Callable[[str], str],
        clock: Clock,
        start_task: Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]],
    ) -> None:
        self._owned = owned
        self._shard_table = shard_table
        self._calls = calls
        self._shard_of = shard_of
        self._clock = clock
        self._start_task = start_task

    async def open(self, request: OpenProgramRequest) -> Program:
        """Open a program, or return it when the request is a repeat."""
        shard = self._owned.owned_shard(request.program_id)
        existing = self._owned.programs(shard).get(request.program_id)
        if existing is not None:
            return await self._reopen(existing, request)
        parent = self._parent_of(request, shard)
        now_s = self._clock.time_s()
        state = ProgramState(
            program_id=request.program_id,
            caller_id=request.caller_id,
            shard=shard,
            started_time_s=now_s,
            last_active_time_s=now_s,
            parent_program_id=request.parent_program_id,
            budget=request.budget,
            deadline_time_s=request.deadline_time_s,
        )
        program = self._owned.add(state, parent)
        opened = Opened(state=state)
        program.opening = self._start_task(
            self._owned.replicator(shard).append(state, opened)
        )
        await asyncio.shield(program.opening)
        return program

    async def _reopen(self, program: Program, request: OpenProgramRequest) -> Program:
        """Answer a repeated open; it succeeds when it asks for the same program."""
        program = self._owned.find(
            program.state.shard, request.program_id, request.caller_id
        )
        if program.state.parent_program_id != request.parent_program_id:
            raise ConflictError(
                "the program exists with another parent; choose another program id"
            )
        if not program.is_open:
            raise ended_error()
        if program.opening is not None:
            await asyncio.shield(program.opening)
        return program

    def _parent_of(self, request: OpenProgramRequest, shard: str) -> Program | None:
        parent_id = request.parent_program_id
        if parent_id is None:
            return None
        if self._shard_of(parent_id) != shard:
            raise InvalidRequestError(
                "a sub-agent must be in its parent's shard; derive its id from the "
                "parent's id"
            )
        parent = self._owned.find(shard, parent_id, request.caller_id)
        if not parent.is_open:
            raise ended_error()
        if len(parent.root().tree()) > const.MAX_SUB_AGENTS:
            raise RateLimitedError(
                "the program reached its limit of sub-agents; end it and open another"
            )
        return parent

    async def end_single_turn(self, program: Program) -> None:
        """End a program that was opened for one request."""
        try:
            await self.end_tree(program, "ended")
        except (NotOwnerError, NotFoundError):
            return

    async def end_tree(self, program: Program, status: str) -> None:
        """End a program and its sub-agents, the deepest ones first."""
        programs = [entry for entry in program.tree() if entry.state.status == "open"]
        for entry in programs:
            entry.ending = True
            for run in entry.runs.values():
                if run.interruptible or not run.dispatched:
                    run.abort(ended_error())
        replicator = self._owned.replicator(program.state.shard)
        await asyncio.gather(
            *(
                replicator.append(entry.state, Ended(status=status))
                for entry in reversed(programs)
            )
        )
        for entry in programs:
            self.forget_program(entry)

    def forget_program(self, program: Program) -> None:
        """Have all sidecars that the program used drop what it holds there."""
        if program.state.sidecars or program.runs:
            self._start_task(self._forget(program))

    async def _forget(self, program: Program) -> None:
        # A call that may not be interrupted could still leave something behind.
        tasks = [run.task for run in program.runs.values() if run.task is not None]
        current = asyncio.current_task()
        tasks = [task for task in tasks if task is not current]
        if tasks:
            await asyncio.wait(tasks)
        state = program.state
        epoch = self._shard_table.owned_epoch(state.shard)
        if epoch is None:
            return
        request = ForgetRequest(
            program_id=state.program_id, shard=state.shard, epoch=epoch
        )
        await asyncio.gather(
            *(
                self._calls.send(
                    address, FORGET, request, attempts=const.FORGET_ATTEMPTS
                )
                for address in state.sidecars
            )
        )
