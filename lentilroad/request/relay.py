"""Relay of a turn's output from its owner and its sidecar to the caller."""

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
    """Text of the response received so far and the part sent to the caller.

    Attributes
    ----------
    offset : int
        Characters that the caller has been sent; a resumed stream starts above 0.
    chunks : list of str
        Text received so far.
    length : int
        Characters received so far.
    """

    offset: int = 0
    chunks: list[str] = field(default_factory=list)
    length: int = 0

    def text(self) -> str:
        """Return the text received so far."""
        return "".join(self.chunks)


async def _write_from(
    position: RelayPosition, text: str, offset: int, write: WriteText
) -> None:
    """Write the part of `text`, which starts at `offset`, that is new."""
    received = position.length - offset
    # A chunk that starts after the received text would leave a gap; the committed turn
    # contains the missing text.
    if received < 0 or received >= len(text):
        return
    new_text = text[received:] if received else text
    position.chunks.append(new_text)
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
    report_lost_stream: Callable[[], Awaitable[None]],
) -> None:
    """Copy a call's output to the caller until the call has finished."""
    while True:
        request = m.AttachRequest(call_id=call_id, offset=position.length)
        try:
            async for chunk in stream(sidecar_address, ATTACH, request, None):
                await _write_from(position, chunk.text, chunk.offset, write)
                # The owner reports the outcome of a failed call.
                if chunk.finished or chunk.error is not None:
                    return
        except LentilroadError:
            await report_lost_stream()
            await clock.sleep(ATTACH_RETRY_DELAY_S)
        else:
            return


async def _report_emitted_text(
    request: m.RunTurnRequest, run_turn: RunTurn, position: RelayPosition
) -> None:
    """Report the emitted text to the owner, so that another sidecar resumes after it.

    Once the sidecar is lost, only this entry has that text. The owner treats a request
    with the same idempotency key as part of the same turn.
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


async def _cancel(task: asyncio.Task[None] | None) -> None:
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

    When the owner becomes unreachable, the request is sent again with the same
    idempotency key, so that the turn continues under the program's next owner.

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
        Offset from which the caller wants the output; updated as output is sent.
    write : callable or None
        Receives text and the offset after that text. With None, the output is only in
        the result.

    Returns
    -------
    Committed
        The committed turn with its complete output.

    Raises
    ------
    LentilroadError
        The turn failed; `OutcomeUnknownError` if no owner responded before the
        deadline.
    """
    attach: asyncio.Task[None] | None = None
    if write is None:
        # Without relayed output, a lost call can restart from the beginning at once.
        request = msgspec.structs.replace(request, emitted_text="")

    async def report_lost_stream() -> None:
        await _report_emitted_text(request, run_turn, position)

    try:
        while True:
            if position.chunks:
                request = msgspec.structs.replace(request, emitted_text=position.text())
            try:
                async for message in run_turn(request):
                    event = message.event
                    if isinstance(event, m.Failed):
                        raise from_wire_error(event.error)
                    if isinstance(event, m.Committed):
                        await _cancel(attach)
                        attach = None
                        if write is not None:
                            await _write_from(position, event.text, 0, write)
                        return event
                    if write is None:
                        continue
                    await _cancel(attach)
                    attach = asyncio.create_task(
                        _attach(
                            call_id=event.call_id,
                            sidecar_address=event.sidecar_address,
                            position=position,
                            stream=stream,
                            clock=clock,
                            write=write,
                            report_lost_stream=report_lost_stream,
                        )
                    )
            except (UnavailableError, NotOwnerError) as error:
                if clock.time_s() >= (request.deadline_time_s or 0):
                    raise OutcomeUnknownError(
                        "no owner of the program responded before the deadline; "
                        "repeat the request with the same Idempotency-Key",
                        retry_after_ms=1000,
                    ) from error
            await clock.sleep(OWNER_RETRY_DELAY_S)
    finally:
        await _cancel(attach)
