"""Relay of one turn from its owner and its sidecar to the caller."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from lentilroad.clock import Clock
from lentilroad.errors import (
    LentilroadError,
    NotOwnerError,
    OutcomeUnknownError,
    UnavailableError,
)
from lentilroad.request.http_const import ATTACH_RETRY_DELAY_S, OWNER_RETRY_DELAY_S
from lentilroad.wire import messages as m
from lentilroad.wire.convert import from_wire_error
from lentilroad.wire.services import ATTACH

RunTurn = Callable[[m.RunTurnRequest], AsyncGenerator[m.TurnEvent, None]]
StreamFunction = Callable[..., AsyncIterator[Any]]
WriteText = Callable[[str, int], Awaitable[None]]


@dataclass(slots=True, kw_only=True)
class RelayPosition:
    """What is known of the answer, and how much of it the caller has been sent.

    ``offset`` counts characters; a resumed stream starts above 0.
    """

    offset: int = 0
    pieces: list[str] = field(default_factory=list)
    length: int = 0

    def text(self) -> str:
        """Return the answer as far as it is known."""
        return "".join(self.pieces)


async def _write_from(
    position: RelayPosition, text: str, offset: int, write: WriteText
) -> None:
    """Write the part of `text` that the caller has not been sent."""
    seen = position.length - offset
    # A chunk beyond the position would leave a gap; the commit supplies the rest.
    if seen < 0 or seen >= len(text):
        return
    new_text = text[seen:] if seen else text
    position.pieces.append(new_text)
    position.length += len(new_text)
    unsent = position.length - position.offset
    if unsent <= 0:
        return
    position.offset = position.length
    await write(new_text[-unsent:], position.offset)


async def _attach(
    *,
    call_id: str,
    sidecar_address: str,
    position: RelayPosition,
    stream: StreamFunction,
    clock: Clock,
    write: WriteText,
    report_broken: Callable[[], Awaitable[None]],
) -> None:
    """Copy a call's output to the caller until it is finished."""
    while True:
        request = m.AttachRequest(call_id=call_id, offset=position.length)
        try:
            async for chunk in stream(sidecar_address, ATTACH, request, None):
                await _write_from(position, chunk.text, chunk.offset, write)
                # The owner reports what became of a call that failed.
                if chunk.finished or chunk.error is not None:
                    return
        except LentilroadError:
            await report_broken()
            await clock.sleep(ATTACH_RETRY_DELAY_S)
        else:
            return


async def _tell_emitted_text(
    request: m.RunTurnRequest, run_turn: RunTurn, position: RelayPosition
) -> None:
    """Tell the owner what the caller has seen, so that another sidecar goes on there.

    Only the front knows it once the sidecar is lost. A repeat with the same key joins
    the turn.
    """
    repeat = msgspec.structs.replace(request, emitted_text=position.text())
    events = run_turn(repeat)
    try:
        async for _ in events:
            return
    except LentilroadError:
        return
    finally:
        await events.aclose()


async def _stop(task: asyncio.Task[None] | None) -> None:
    if task is None:
        return
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def relay_turn(
    *,
    request: m.RunTurnRequest,
    run_turn: RunTurn,
    stream: StreamFunction,
    clock: Clock,
    position: RelayPosition,
    write: WriteText | None,
) -> m.Committed:
    """Run a turn and copy its output to the caller as it is produced.

    The owner is asked again with the same idempotency key when it becomes
    unreachable, so that the turn goes on under the program's next owner.

    Parameters
    ----------
    request : RunTurnRequest
        The turn; ``deadline_time_s`` must be set.
    run_turn : callable
        Sends the request to the program's current owner.
    stream : callable
        Opens a stream to a sidecar.
    clock : Clock
        Source of time.
    position : RelayPosition
        Offset from which the caller wants the output; updated.
    write : callable or None
        Receives text and the offset after it. None leaves the output to the result.

    Returns
    -------
    Committed
        The committed turn with its whole output.

    Raises
    ------
    LentilroadError
        The turn failed; `OutcomeUnknownError` when no owner answered in time.
    """
    attach: asyncio.Task[None] | None = None
    if write is None:
        # Nothing is relayed, so that a lost call may start anew at once.
        request = msgspec.structs.replace(request, emitted_text="")

    async def report_broken() -> None:
        await _tell_emitted_text(request, run_turn, position)

    try:
        while True:
            if position.pieces:
                request = msgspec.structs.replace(request, emitted_text=position.text())
            try:
                async for message in run_turn(request):
                    event = message.event
                    if isinstance(event, m.Failed):
                        raise from_wire_error(event.error)
                    if isinstance(event, m.Committed):
                        await _stop(attach)
                        attach = None
                        if write is not None:
                            await _write_from(position, event.text, 0, write)
                        return event
                    if write is None:
                        continue
                    await _stop(attach)
                    attach = asyncio.create_task(
                        _attach(
                            call_id=event.call_id,
                            sidecar_address=event.sidecar_address,
                            position=position,
                            stream=stream,
                            clock=clock,
                            write=write,
                            report_broken=report_broken,
                        )
                    )
            except (UnavailableError, NotOwnerError) as error:
                if clock.time_s() >= (request.deadline_time_s or 0):
                    raise OutcomeUnknownError(
                        "no owner of the program answered before the deadline; "
                        "repeat the request with the same Idempotency-Key",
                        retry_after_ms=1000,
                    ) from error
            await clock.sleep(OWNER_RETRY_DELAY_S)
    finally:
        await _stop(attach)
