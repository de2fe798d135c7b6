"""Owner of programs: orders the turns of each and answers for their outcome."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable, Coroutine
from random import Random
from typing import Any

from lentilroad.clock import Clock
from lentilroad.errors import (
    ConflictError,
    LentilroadError,
    RateLimitedError,
)
from lentilroad.program import const
from lentilroad.program.attempt import ChooseUpstream, Dependencies
from lentilroad.program.budget import as_usage
from lentilroad.program.execution import execute_turn
from lentilroad.program.history import read_history
from lentilroad.program.lifecycle import Lifecycle
from lentilroad.program.owned import OwnedShards
from lentilroad.program.preparation import CallPolicy, default_policy, ended_error
from lentilroad.program.records import (
    ProgramState,
    fingerprint_of,
    unpack_result,
)
from lentilroad.program.replication import Call, ShardTable, not_owner
from lentilroad.program.sidecar_calls import SidecarCalls, Stream
from lentilroad.program.standby import ProgramStandby
from lentilroad.program.turns import Program, TurnRun, final_failure
from lentilroad.program.upkeep import Upkeep
from lentilroad.wire.convert import to_wire_error
from lentilroad.wire.messages import (
    Committed,
    EndProgramReply,
    EndProgramRequest,
    Failed,
    OpenProgramReply,
    OpenProgramRequest,
    ProgramSummary,
    ReadProgramReply,
    ReadProgramRequest,
    RunTurnRequest,
    ShardRecord,
    TurnEvent,
)


class ProgramOwner:
    """Serve the programs of the shards that this entry owns.

    Parameters
    ----------
    address : str
        Address of this entry.
    shard_table : ShardTable
        Says which shards this entry owns and who holds the second copy.
    standby : ProgramStandby
        Copies that become owned programs when a shard is gained.
    call, stream : Callable
        Send messages to peers and sidecars; raise `UnavailableError`.
    choose_upstream : Callable
        Plain or async function that returns a `SidecarRecord` or raises
        `OverloadedError`. Keyword arguments: ``program_id``, ``kind``, ``name``,
        ``prompt_tokens``, ``excluded``, ``prefix_sidecars``, ``caller_id``.
    shard_of : Callable
        Return the shard of a program id.
    clock : Clock
        Source of time.
    random : Random
        Source of jitter.
    policy_of : Callable, optional
        Return the `CallPolicy` of a request.
    may_retry, note_success : Callable, optional
        Retry budget: take one retry; count a success.
    note_in_flight : Callable, optional
        Told of each call that begins (+1) or ends (-1) at a sidecar address.
    idle_limit_s : float
        Programs without a call for this long are abandoned, in seconds.
    """

    def __init__(
        self,
        *,
        address: str,
        shard_table: ShardTable,
        standby: ProgramStandby,
        call: Call,
        stream: Stream,
        choose_upstream: ChooseUpstream,
        shard_of: Callable[[str], str],
        clock: Clock,
        random: Random,
        policy_of: Callable[[RunTurnRequest], CallPolicy] = default_policy,
        may_retry: Callable[[], bool] = lambda: True,
        note_success: Callable[[], None] = lambda: None,
        note_in_flight: Callable[[str, int], None] = lambda address, change: None,
        idle_limit_s: float = const.IDLE_LIMIT_S,
    ) -> None:
        self._clock = clock
        self._tasks: set[asyncio.Task[Any]] = set()
        self._draining = False
        self._owned = OwnedShards(
            address=address,
            shard_table=shard_table,
            standby=standby,
            call=call,
            shard_of=shard_of,
            clock=clock,
            on_adopted=self._on_adopted,
        )
        calls = SidecarCalls(call=call, stream=stream, clock=clock, random=random)
        self._lifecycle = Lifecycle(
            owned=self._owned,
            shard_table=shard_table,
            calls=calls,
            shard_of=shard_of,
            clock=clock,
            start_task=self._start_task,
        )
        self._upkeep = Upkeep(
            owned=self._owned,
            shard_table=shard_table,
            standby=standby,
            calls=calls,
            clock=clock,
            start_task=self._start_task,
            lifecycle=self._lifecycle,
            idle_limit_s=idle_limit_s,
        )
        self._dependencies = Dependencies(
            shard_table=shard_table,
            calls=calls,
            choose_upstream=choose_upstream,
            replicator=self._owned.replicator,
            on_stale=self._owned.drop_stale,
            start_task=self._start_task,
            clock=clock,
            random=random,
            policy_of=policy_of,
            may_retry=may_retry,
            note_success=note_success,
            note_in_flight=note_in_flight,
        )

    async def open_program(self, request: OpenProgramRequest) -> OpenProgramReply:
        """Open a program or a sub-agent; handler of `OPEN_PROGRAM`."""
        try:
            await self._open(request)
        except LentilroadError as error:
            return OpenProgramReply(error=to_wire_error(error))
        return OpenProgramReply()

    async def end_program(self, request: EndProgramRequest) -> EndProgramReply:
        """End a program and its sub-agents; handler of `END_PROGRAM`."""
        try:
            program = self._find(request.program_id, request.caller_id)
            await self._lifecycle.end_tree(program, request.reason)
        except LentilroadError as error:
            return EndProgramReply(error=to_wire_error(error))
        return EndProgramReply()

    async def read_program(self, request: ReadProgramRequest) -> ReadProgramReply:
        """Return state and history of a program; handler of `READ_PROGRAM`."""
        try:
            program = self._find(request.program_id, request.caller_id)
        except LentilroadError as error:
            return ReadProgramReply(error=to_wire_error(error))
        state = program.state
        return ReadProgramReply(
            state=state.status,
            turn_no=state.turn_no,
            budget=state.budget,
            spent=as_usage(program.account.spent),
            reserved=as_usage(program.account.reserved),
            history=read_history(state.history) if request.with_history else [],
        )

    async def run_turn(
        self, request: RunTurnRequest
    ) -> AsyncGenerator[TurnEvent, None]:
        """Run one turn or service call; handler of `RUN_TURN`.

        A failure is the last event and not an exception. The turn goes on when the
        reader of the events goes away; a repeat with its key joins it.
        """
        try:
            run = await self._join_or_begin(request)
        except LentilroadError as error:
            yield TurnEvent(event=final_failure(error))
            return
        if not isinstance(run, TurnRun):
            yield TurnEvent(event=run)
            return
        async for event in run.follow():
            yield event

    def on_gained(self, shard: str, record: ShardRecord) -> None:
        """Own the copies of a shard; called by the shard table."""
        self._owned.on_gained(shard, record)

    def on_lost(self, shard: str) -> None:
        """Drop the programs of a shard; called by the shard table."""
        self._owned.on_lost(shard)

    def on_changed(self, shard: str, record: ShardRecord) -> None:
        """Copy to the new standby; called when the pair of an owned shard changes."""
        self._owned.on_changed(shard, record)
        self._upkeep.start_copy(shard)

    async def copy_shard(self, shard: str, record: ShardRecord, final: bool) -> bool:
        """Copy a shard to the entries of a planned record; see `ShardTable`."""
        return await self._upkeep.stage(shard, record, final=final)

    def shards_held(self) -> list[str]:
        """Return the shards whose programs are here, also while a move holds them."""
        return self._owned.shards()

    def list_programs(self) -> list[ProgramSummary]:
        """Return the programs that this entry owns, for operators."""
        return [
            ProgramSummary(
                program_id=program.state.program_id,
                caller_id=program.state.caller_id,
                state=program.state.status,
                turn_no=program.state.turn_no,
                shard=shard,
            )
            for shard in self._owned.shards()
            for program in self._owned.programs(shard).values()
        ]

    async def run(self) -> None:
        """Do the regular work until cancelled: sweep, confirm, copy to standbys."""
        await self._upkeep.run()

    async def drain(
        self,
        *,
        hand_over: Callable[[str], Awaitable[None]] | None = None,
        timeout_s: float = const.DRAIN_TIMEOUT_S,
    ) -> None:
        """Prepare a planned stop: finish running turns and complete the copies.

        New turns are refused with `NotOwnerError`, so that the front repeats them at
        the next owner.

        Parameters
        ----------
        hand_over : Callable, optional
            Called with each shard as soon as it is ready.
        timeout_s : float
            A turn that runs longer is left to the next owner, which joins its call
            at the sidecar.
        """
        self._draining = True
        deadline_s = self._clock.monotonic_s() + timeout_s
        shards = self._owned.shards()
        await asyncio.gather(
            *(self._upkeep.drain(shard, deadline_s, hand_over) for shard in shards)
        )

    async def close(self) -> None:
        """Stop all tasks; what runs at sidecars is left to the next owner."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _find(self, program_id: str, caller_id: str) -> Program:
        shard = self._owned.owned_shard(program_id)
        return self._owned.find(shard, program_id, caller_id)

    def _start_task(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _on_adopted(self, shard: str, programs: list[Program]) -> None:
        for program in programs:
            intent = program.state.open_call
            if intent is None:
                continue
            run = TurnRun(
                request=intent.request,
                fingerprint=intent.fingerprint,
                deadline_time_s=self._deadline_of(program.state, intent.request),
                intent=intent,
            )
            self._begin(program, run)
        self._upkeep.on_adopted(shard, programs)

    async def _open(self, request: OpenProgramRequest) -> Program:
        shard = self._owned.owned_shard(request.program_id)
        if self._draining and request.program_id not in self._owned.programs(shard):
            raise not_owner(shard)
        return await self._lifecycle.open(request)

    async def _join_or_begin(
        self, request: RunTurnRequest
    ) -> TurnRun | Committed | Failed:
        fingerprint = fingerprint_of(request)
        program = await self._program_for(request)
        key = request.idempotency_key
        stored = program.state.results.get(key)
        if stored is not None:
            _check_same(stored.fingerprint, fingerprint)
            return unpack_result(stored)
        run = program.runs.get(key)
        if run is not None:
            _check_same(run.fingerprint, fingerprint)
            run.note_emitted_text(request.emitted_text)
            return run
        self._check_accepts(program)
        run = TurnRun(
            request=request,
            fingerprint=fingerprint,
            deadline_time_s=self._deadline_of(program.state, request),
        )
        run.may_have_run = key in program.state.ran_keys
        run.note_emitted_text(request.emitted_text)
        self._begin(program, run)
        return run

    async def _program_for(self, request: RunTurnRequest) -> Program:
        shard = self._owned.owned_shard(request.program_id)
        programs = self._owned.programs(shard)
        if request.single_turn and request.program_id not in programs:
            opening = OpenProgramRequest(
                caller_id=request.caller_id, program_id=request.program_id
            )
            return await self._open(opening)
        program = self._owned.find(shard, request.program_id, request.caller_id)
        if program.opening is not None and not program.opening.done():
            await asyncio.shield(program.opening)
        return program

    def _check_accepts(self, program: Program) -> None:
        if not program.is_open:
            raise ended_error()
        if self._draining:
            raise not_owner(program.state.shard)
        if len(program.runs) >= const.MAX_QUEUED_TURNS:
            raise RateLimitedError(
                "too many turns of this program wait for each other; send the next "
                "one when an earlier one has been answered",
                retry_after_ms=const.QUEUE_FULL_RETRY_AFTER_MS,
            )

    def _deadline_of(self, state: ProgramState, request: RunTurnRequest) -> float:
        deadlines = [self._clock.time_s() + const.DEFAULT_TURN_TIMEOUT_S]
        if request.deadline_time_s is not None:
            deadlines.append(request.deadline_time_s)
        if state.deadline_time_s is not None:
            deadlines.append(state.deadline_time_s)
        return min(deadlines)

    def _begin(self, program: Program, run: TurnRun) -> None:
        program.runs[run.request.idempotency_key] = run
        run.task = self._start_task(self._run(program, run))

    async def _run(self, program: Program, run: TurnRun) -> None:
        """Wait for the predecessors, run the turn, and emit its final event."""
        event: Committed | Failed
        key = run.request.idempotency_key
        acquired = False
        try:
            await run.wait(program.lock.acquire(), clock=self._clock)
            acquired = True
            self._check_still_owned(program)
            event = await execute_turn(self._dependencies, program, run)
        except LentilroadError as error:
            event = final_failure(error)
            may_have_run = run.dispatched or run.may_have_run
            if may_have_run and event.error.outcome == "not_run":
                event.error.outcome = "unknown"
        finally:
            if acquired:
                program.lock.release()
            program.runs.pop(key, None)
        if run.request.single_turn:
            await self._lifecycle.end_single_turn(program)
        run.emit(event)

    def _check_still_owned(self, program: Program) -> None:
        state = program.state
        if self._owned.programs(state.shard).get(state.program_id) is not program:
            raise not_owner(state.shard)


def _check_same(stored: int, fingerprint: int) -> None:
    if stored != fingerprint:
        raise ConflictError(
            "the idempotency key was used for another request; choose a new key"
        )
