"""Run one turn: replicate the intent, dispatch, retry or move, commit."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any

from lentilroad.clock import Clock
from lentilroad.errors import (
    ConflictError,
    DeadlineExceededError,
    InvalidRequestError,
    LentilroadError,
    NotFoundError,
    NotOwnerError,
    RateLimitedError,
    RequestTooLargeError,
    StaleEpochError,
)
from lentilroad.program import const
from lentilroad.program.budget import Spending
from lentilroad.program.history import token_estimate
from lentilroad.program.preparation import (
    CallPolicy,
    Work,
    default_policy,
    measured,
    prepare,
)
from lentilroad.program.records import CallIntent, TurnFinished, TurnStarted
from lentilroad.program.replication import ShardReplicator, ShardTable, not_owner
from lentilroad.program.sidecar_calls import CallOutcome, SidecarCalls, backoff_s
from lentilroad.program.turns import Program, TurnRun, final_failure
from lentilroad.wire.convert import from_wire_error
from lentilroad.wire.messages import (
    Admitted,
    CancelRequest,
    Committed,
    DispatchRequest,
    Failed,
    Finished,
    Moved,
    Priority,
    ReleaseRequest,
    RunTurnRequest,
    SidecarRecord,
)
from lentilroad.wire.services import CANCEL, RELEASE

ChooseUpstream = Callable[..., SidecarRecord | Awaitable[SidecarRecord]]

# Another upstream would refuse these as well.
_PERMANENT_ERRORS = (
    ConflictError,
    DeadlineExceededError,
    InvalidRequestError,
    NotFoundError,
    RateLimitedError,
    RequestTooLargeError,
)


@dataclass(slots=True, kw_only=True)
class Dependencies:
    """What executing a turn needs from its surroundings."""

    shard_table: ShardTable
    calls: SidecarCalls
    choose_upstream: ChooseUpstream
    replicator: Callable[[str], ShardReplicator]
    on_stale: Callable[[str, int], None]
    start_task: Callable[[Coroutine[Any, Any, Any]], Any]
    clock: Clock
    random: Random
    policy_of: Callable[[RunTurnRequest], CallPolicy] = default_policy
    may_retry: Callable[[], bool] = lambda: True
    note_success: Callable[[], None] = lambda: None
    note_in_flight: Callable[[str, int], None] = lambda address, change: None


async def execute_turn(
    dependencies: Dependencies, program: Program, run: TurnRun
) -> Committed | Failed:
    """Run a turn whose predecessors have ended and return its final event.

    Raises
    ------
    LentilroadError
        The turn was not started, or the shard was lost.
    """
    work = prepare(
        program, run, clock=dependencies.clock, policy_of=dependencies.policy_of
    )
    if work.intent is None:
        program.account.reserve(work.reserved)
    while True:
        error = None
        if not work.resolve_first:
            error = await _start_attempt(dependencies, work)
        if error is None:
            outcome = await _run_attempt(dependencies, work)
            work.resolve_first = False
            if outcome.finished is not None:
                return await _commit(dependencies, work, outcome.finished)
            error = await _error_to_give_up_with(dependencies, work, outcome)
        if error is not None:
            return await _fail(dependencies, work, error)


async def _start_attempt(
    dependencies: Dependencies, work: Work
) -> LentilroadError | None:
    """Choose a sidecar and replicate the intent; return an error to give up with."""
    clock = dependencies.clock
    try:
        sidecar = await work.run.wait(_choose(dependencies, work), clock=clock)
    except NotOwnerError:
        raise
    except LentilroadError as error:
        return error
    work.attempt += 1
    work.intent = _new_intent(work, sidecar)
    state = work.program.state
    started = asyncio.ensure_future(
        dependencies.replicator(state.shard).append(
            state, TurnStarted(intent=work.intent)
        )
    )
    try:
        await work.run.wait(asyncio.shield(started), clock=clock)
    except NotOwnerError:
        started.cancel()
        raise
    except LentilroadError as error:
        # The caller gets its answer at once; the intent is voided once it is through.
        work.run.emit(_as_final(work, error))
        await started
        return error
    return None


async def _choose(dependencies: Dependencies, work: Work) -> SidecarRecord:
    request = work.request
    state = work.program.state
    is_chat = request.kind == "chat"
    chosen = dependencies.choose_upstream(
        program_id=state.program_id,
        kind=request.kind,
        name=request.model if is_chat else request.service,
        prompt_tokens=token_estimate([*work.history, *request.messages]),
        excluded=frozenset(work.excluded),
        prefix_sidecars=tuple(state.sidecars) if is_chat else (),
        caller_id=state.caller_id,
    )
    return await chosen if inspect.isawaitable(chosen) else chosen


def _new_intent(work: Work, sidecar: SidecarRecord) -> CallIntent:
    return CallIntent(
        call_id=f"{work.program.state.program_id}/{work.number}.{work.attempt}",
        number=work.number,
        attempt=work.attempt,
        sidecar_address=sidecar.address,
        incarnation=sidecar.incarnation,
        idempotent=work.is_idempotent,
        fingerprint=work.run.fingerprint,
        request=work.request,
        reserved=work.reserved,
        forced_prefix=work.forced_prefix,
    )


async def _run_attempt(dependencies: Dependencies, work: Work) -> CallOutcome:
    intent = work.intent
    assert intent is not None
    shard = work.program.state.shard
    epoch = dependencies.shard_table.my_epoch(shard)
    if epoch is None:
        raise not_owner(shard)
    run = work.run
    work.dispatched_epoch = epoch
    run.dispatched = True
    run.interruptible = intent.idempotent
    address = intent.sidecar_address
    dependencies.note_in_flight(address, 1)
    try:
        return await run.wait(
            dependencies.calls.run(
                address,
                _dispatch_request(work, intent, epoch),
                incarnation=intent.incarnation,
                resolve_first=work.resolve_first,
                on_accepted=lambda: _announce(run, intent),
            ),
            clock=dependencies.clock,
            grace_s=const.DEADLINE_GRACE_S,
        )
    except NotOwnerError:
        raise
    except LentilroadError as error:
        _cancel(dependencies, work, intent)
        work.may_have_run = True
        return CallOutcome(kind="refused", error=_with_outcome(error, "unknown"))
    finally:
        dependencies.note_in_flight(address, -1)


def _dispatch_request(work: Work, intent: CallIntent, epoch: int) -> DispatchRequest:
    state = work.program.state
    request = work.request
    return DispatchRequest(
        call_id=intent.call_id,
        shard=state.shard,
        epoch=epoch,
        program_id=state.program_id,
        caller_id=state.caller_id,
        kind=request.kind,
        idempotent=intent.idempotent,
        priority=Priority(
            caller_id=state.caller_id,
            attained_service_s=state.attained_service_s,
            program_started_time_s=state.started_time_s,
            under_way=state.turn_no > 0 or state.parent_program_id is not None,
            interactive=request.interactive,
        ),
        model=request.model,
        messages=[*work.history, *request.messages],
        forced_prefix=intent.forced_prefix,
        max_tokens=request.max_tokens,
        service=request.service,
        operation=request.operation,
        payload=request.payload,
        deadline_time_s=work.run.deadline_time_s,
        traceparent=request.traceparent,
    )


def _announce(run: TurnRun, intent: CallIntent) -> None:
    """Tell the front where to read the output, once for each attempt."""
    if run.announced_call_id == intent.call_id:
        return
    is_first = run.announced_call_id is None and not intent.forced_prefix
    run.announced_call_id = intent.call_id
    event_type = Admitted if is_first else Moved
    run.emit(
        event_type(
            call_id=intent.call_id,
            sidecar_address=intent.sidecar_address,
            offset=len(intent.forced_prefix),
        )
    )


async def _error_to_give_up_with(
    dependencies: Dependencies, work: Work, outcome: CallOutcome
) -> LentilroadError | None:
    """Return the final error of a failed attempt, or None to try another one."""
    error = outcome.error
    assert error is not None
    if isinstance(error, StaleEpochError):
        return _check_epoch(dependencies, work)
    if outcome.kind == "lost" or error.outcome != "not_run":
        work.may_have_run = True
        if not work.is_idempotent:
            return error
    if isinstance(error, _PERMANENT_ERRORS) or work.run.aborted.done():
        return error
    if work.attempt >= const.MAX_ATTEMPTS:
        return error
    # A lost sidecar is no overload: its calls move without using the retry budget.
    if outcome.kind != "lost" and not dependencies.may_retry():
        return error
    try:
        await _prepare_move(dependencies, work, outcome)
    except NotOwnerError:
        raise
    except LentilroadError as stop:
        return stop
    return None


def _check_epoch(dependencies: Dependencies, work: Work) -> None:
    shard = work.program.state.shard
    epoch = dependencies.shard_table.my_epoch(shard)
    if epoch is None or epoch <= work.dispatched_epoch:
        dependencies.on_stale(shard, work.dispatched_epoch)
        raise not_owner(shard)


async def _prepare_move(
    dependencies: Dependencies, work: Work, outcome: CallOutcome
) -> None:
    intent = work.intent
    assert intent is not None
    work.excluded.add(intent.sidecar_address)
    clock = dependencies.clock
    if work.may_have_run:
        work.moved = True
        _cancel(dependencies, work, intent)
    if outcome.kind == "lost" and intent.request.kind == "chat":
        await _await_emitted_text(dependencies, work)
    else:
        await work.run.wait(
            clock.sleep(backoff_s(work.attempt, dependencies.random)), clock=clock
        )
    known = (work.forced_prefix, outcome.text, work.run.emitted_text or "")
    work.forced_prefix = max(known, key=len)


async def _await_emitted_text(dependencies: Dependencies, work: Work) -> None:
    """Give the front time to send what it relayed from the lost sidecar."""
    run = work.run
    if run.emitted_text is not None or not (run.was_admitted or work.is_resumed):
        return
    clock = dependencies.clock
    waiting = asyncio.wait_for(run.text_arrived.wait(), const.EMITTED_TEXT_WAIT_S)
    try:
        await run.wait(waiting, clock=clock)
    except TimeoutError:
        return


async def _commit(
    dependencies: Dependencies, work: Work, finished: Finished
) -> Committed:
    state = work.program.state
    is_chat = work.request.kind == "chat"
    event = Committed(
        turn_no=state.turn_no + 1 if is_chat else state.turn_no,
        usage=finished.usage,
        finish_reason=finished.finish_reason,
        text=finished.text,
        payload=finished.payload,
        payload_status=finished.payload_status,
    )
    spent = measured(work, finished)
    await _record_end(
        dependencies, work, event, spent, duration_s=finished.duration_s, stored=True
    )
    dependencies.note_success()
    return event


async def _fail(
    dependencies: Dependencies, work: Work, error: LentilroadError
) -> Failed:
    event = _as_final(work, error)
    if work.intent is None:
        work.program.account.settle(work.reserved, Spending())
        return event
    not_run = event.error.outcome == "not_run"
    await _record_end(
        dependencies,
        work,
        event,
        Spending() if not_run else work.reserved,
        stored=not not_run and not work.is_idempotent,
    )
    return event


async def _record_end(
    dependencies: Dependencies,
    work: Work,
    event: Committed | Failed,
    spent: Spending,
    *,
    stored: bool,
    duration_s: float = 0.0,
) -> None:
    intent = work.intent
    assert intent is not None
    state = work.program.state
    body = TurnFinished(
        call_id=intent.call_id,
        event=event,
        spent=spent,
        stored=stored,
        duration_s=duration_s,
    )
    await dependencies.replicator(state.shard).append(state, body)
    work.program.account.settle(work.reserved, spent)
    _release(dependencies, work, intent)


def _as_final(work: Work, error: LentilroadError) -> Failed:
    if work.may_have_run and error.outcome == "not_run":
        error = _with_outcome(error, "unknown")
    return final_failure(error)


def _with_outcome(error: LentilroadError, outcome: str) -> LentilroadError:
    wire_error = final_failure(error).error
    wire_error.outcome = outcome  # type: ignore[assignment]
    return from_wire_error(wire_error)


def _cancel(dependencies: Dependencies, work: Work, intent: CallIntent) -> None:
    _send_later(dependencies, work, intent, CANCEL, CancelRequest)


def _release(dependencies: Dependencies, work: Work, intent: CallIntent) -> None:
    _send_later(dependencies, work, intent, RELEASE, ReleaseRequest)


def _send_later(
    dependencies: Dependencies,
    work: Work,
    intent: CallIntent,
    method: Any,
    request_type: type[CancelRequest] | type[ReleaseRequest],
) -> None:
    shard = work.program.state.shard
    epoch = dependencies.shard_table.my_epoch(shard)
    if epoch is None:
        return
    request = request_type(call_id=intent.call_id, shard=shard, epoch=epoch)
    dependencies.start_task(
        dependencies.calls.send(intent.sidecar_address, method, request, attempts=2)
    )
