"""One attempt of a call: choose a sidecar, replicate the intent, dispatch."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any

from lentilroad.clock import Clock
from lentilroad.errors import (
    LentilroadError,
    NotOwnerError,
)
from lentilroad.program import const
from lentilroad.program.history import token_estimate
from lentilroad.program.preparation import (
    CallPolicy,
    Work,
    default_policy,
)
from lentilroad.program.records import CallIntent, TurnStarted
from lentilroad.program.replication import ShardReplicator
from lentilroad.program.shard_access import ShardTable
from lentilroad.program.sidecar_calls import CallOutcome, SidecarCalls
from lentilroad.program.turns import TurnRun, final_failure
from lentilroad.wire.convert import from_wire_error
from lentilroad.wire.messages import (
    Admitted,
    CancelRequest,
    DispatchRequest,
    Failed,
    Moved,
    Priority,
    ReleaseRequest,
    RunTurnRequest,
    SidecarRecord,
)
from lentilroad.wire.services import CANCEL, RELEASE

ChooseUpstream = Callable[..., SidecarRecord | Awaitable[SidecarRecord]]


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


async def start_attempt(
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
        work.run.emit(as_final(work, error))
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


async def run_attempt(dependencies: Dependencies, work: Work) -> CallOutcome:
    """Dispatch the call of the replicated intent and follow it to its end."""
    intent = work.intent
    assert intent is not None
    run = work.run
    shard = work.program.state.shard
    epoch = await _epoch_to_use(dependencies, shard)
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
        cancel_call(dependencies, work, intent)
        work.may_have_run = True
        return CallOutcome(kind="refused", error=_with_outcome(error, "unknown"))
    finally:
        dependencies.note_in_flight(address, -1)


async def _epoch_to_use(dependencies: Dependencies, shard: str) -> int:
    """Return the epoch of the shard, waiting while a planned move holds it."""
    while True:
        epoch = dependencies.shard_table.owned_epoch(shard)
        if epoch is not None:
            return epoch
        # Raises when the shard was lost.
        dependencies.replicator(shard)
        await dependencies.clock.sleep(const.OWNERSHIP_POLL_S)


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
        incarnation=intent.incarnation,
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


def as_final(work: Work, error: LentilroadError) -> Failed:
    """Return the final event; it never says `not_run` of a call that may have run."""
    if work.may_have_run and error.outcome == "not_run":
        error = _with_outcome(error, "unknown")
    return final_failure(error)


def _with_outcome(error: LentilroadError, outcome: str) -> LentilroadError:
    wire_error = final_failure(error).error
    wire_error.outcome = outcome  # type: ignore[assignment]
    return from_wire_error(wire_error)


def cancel_call(dependencies: Dependencies, work: Work, intent: CallIntent) -> None:
    """Have the sidecar stop a call that nobody waits for."""
    _send_later(dependencies, work, intent, CANCEL, CancelRequest)


def release_call(dependencies: Dependencies, work: Work, intent: CallIntent) -> None:
    """Have the sidecar drop the output of a call that has its final event."""
    _send_later(dependencies, work, intent, RELEASE, ReleaseRequest)


def _send_later(
    dependencies: Dependencies,
    work: Work,
    intent: CallIntent,
    method: Any,
    request_type: type[CancelRequest] | type[ReleaseRequest],
) -> None:
    shard = work.program.state.shard
    epoch = dependencies.shard_table.owned_epoch(shard)
    if epoch is None:
        return
    request = request_type(call_id=intent.call_id, shard=shard, epoch=epoch)
    dependencies.start_task(
        dependencies.calls.send(intent.sidecar_address, method, request, attempts=2)
    )
