"""Run one turn: replicate the intent, dispatch, retry or move, commit."""

from __future__ import annotations

import asyncio

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
from lentilroad.program.attempt import (
    Dependencies,
    as_final,
    cancel_call,
    release_call,
    run_attempt,
    start_attempt,
)
from lentilroad.program.budget import Spending
from lentilroad.program.preparation import (
    Work,
    measured,
    prepare,
)
from lentilroad.program.records import TurnFinished
from lentilroad.program.shard_access import not_owner
from lentilroad.program.sidecar_calls import CallOutcome, backoff_s
from lentilroad.program.turns import Program, TurnRun
from lentilroad.wire.messages import (
    Committed,
    Failed,
    Finished,
)

# Another upstream would refuse these as well.
_PERMANENT_ERRORS = (
    ConflictError,
    DeadlineExceededError,
    InvalidRequestError,
    NotFoundError,
    RateLimitedError,
    RequestTooLargeError,
)


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
            error = await start_attempt(dependencies, work)
        if error is None:
            outcome = await run_attempt(dependencies, work)
            work.resolve_first = False
            if outcome.finished is not None:
                return await _commit(dependencies, work, outcome.finished)
            error = await _error_to_give_up_with(dependencies, work, outcome)
        if error is not None:
            return await _fail(dependencies, work, error)


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
    # A lost sidecar or owner is no overload: its calls go on without using the retry
    # budget.
    if outcome.kind == "refused" and not dependencies.may_retry():
        return error
    try:
        await _prepare_move(dependencies, work, outcome)
    except NotOwnerError:
        raise
    except LentilroadError as stop:
        return stop
    return None


def _check_epoch(dependencies: Dependencies, work: Work) -> None:
    """Go on with the same intent in a newer epoch, or drop the shard."""
    shard = work.program.state.shard
    epoch = dependencies.shard_table.owned_epoch(shard)
    if epoch is None or epoch <= work.dispatched_epoch:
        dependencies.on_stale(shard, work.dispatched_epoch)
        raise not_owner(shard)
    # The refused message may have been a repeat of one that was accepted.
    work.resolve_first = True


async def _prepare_move(
    dependencies: Dependencies, work: Work, outcome: CallOutcome
) -> None:
    intent = work.intent
    assert intent is not None
    if outcome.kind != "not_reached":
        work.excluded.add(intent.sidecar_address)
    clock = dependencies.clock
    if work.may_have_run:
        work.moved = True
        cancel_call(dependencies, work, intent)
    if outcome.kind == "lost" and intent.request.kind == "chat" and not outcome.text:
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
    event = as_final(work, error)
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
    release_call(dependencies, work, intent)
