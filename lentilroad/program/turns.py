"""Programs in the owner's memory and their running turns."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable
from dataclasses import dataclass, field
from typing import TypeVar

from lentilroad.clock import Clock
from lentilroad.errors import DeadlineExceededError, LentilroadError
from lentilroad.program.budget import Account, Spending
from lentilroad.program.records import CallIntent, ProgramState
from lentilroad.wire.convert import to_wire_error
from lentilroad.wire.messages import (
    Admitted,
    Committed,
    Failed,
    Moved,
    RunTurnRequest,
    TurnEvent,
)

Result = TypeVar("Result")
Event = Admitted | Moved | Committed | Failed


class TurnRun:
    """One turn under way, followed by the request that began it and its repeats.

    Parameters
    ----------
    request : RunTurnRequest
        What to run.
    fingerprint : int
        Hash of the request, which a repeat must share.
    deadline_time_s : float
        Unix time at which the turn is given up, in seconds.
    intent : CallIntent, optional
        Open call of an earlier owner that is resolved first.
    """

    def __init__(
        self,
        *,
        request: RunTurnRequest,
        fingerprint: int,
        deadline_time_s: float,
        intent: CallIntent | None = None,
    ) -> None:
        self.request = request
        self.fingerprint = fingerprint
        self.deadline_time_s = deadline_time_s
        self.intent = intent
        # Whether an earlier run under the same key may have reached an upstream.
        self.may_have_run = False
        self.emitted_text: str | None = None
        self.text_arrived = asyncio.Event()
        # Whether a sidecar may have received the call.
        self.dispatched = intent is not None
        # A call that may not be repeated runs to its end once it was dispatched.
        self.interruptible = intent is None or intent.idempotent
        self.announced_call_id: str | None = None
        self.task: asyncio.Task[None] | None = None
        self.aborted: asyncio.Future[LentilroadError] = (
            asyncio.get_running_loop().create_future()
        )
        self._events: list[Event] = []
        self._finished = False
        self._changed = asyncio.Event()

    @property
    def is_finished(self) -> bool:
        """Whether the final event was emitted."""
        return self._finished

    @property
    def was_admitted(self) -> bool:
        """Whether a sidecar was named to the front."""
        return bool(self._events)

    def emit(self, event: Event) -> None:
        """Add an event for all followers; nothing follows a final event."""
        if self._finished:
            return
        self._events.append(event)
        self._finished = isinstance(event, Committed | Failed)
        self._changed.set()
        self._changed = asyncio.Event()

    def abort(self, error: LentilroadError) -> None:
        """Ask the turn to stop waiting."""
        if not self.aborted.done():
            self.aborted.set_result(error)

    def note_emitted_text(self, text: str | None) -> None:
        """Take over what a front has relayed to the caller."""
        if text is None:
            return
        if self.emitted_text is None or len(text) > len(self.emitted_text):
            self.emitted_text = text
        self.text_arrived.set()

    async def follow(self) -> AsyncIterator[TurnEvent]:
        """Yield all events from the first to the final one."""
        position = 0
        while True:
            changed = self._changed
            while position < len(self._events):
                event = self._events[position]
                position += 1
                yield TurnEvent(event=event)
            if self._finished:
                return
            await changed.wait()

    async def wait(
        self, awaitable: Awaitable[Result], *, clock: Clock, grace_s: float = 0.0
    ) -> Result:
        """Wait for something, but not beyond the deadline or an abort.

        Raises
        ------
        LentilroadError
            The error of an abort, or `DeadlineExceededError`.
        """
        remaining_s = self.deadline_time_s + grace_s - clock.time_s()
        task = asyncio.ensure_future(awaitable)
        waiting = {task, self.aborted}
        try:
            await asyncio.wait(
                waiting,
                timeout=max(0.0, remaining_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if task.done():
                return task.result()
        finally:
            task.cancel()
        if self.aborted.done():
            raise self.aborted.result()
        raise deadline_exceeded()


def deadline_exceeded() -> DeadlineExceededError:
    """Return the error of a turn that could not be started in time."""
    return DeadlineExceededError(
        "the deadline passed before the call was finished; repeat the request with a "
        "later deadline"
    )


@dataclass(slots=True, kw_only=True)
class Program:
    """One owned program."""

    state: ProgramState
    account: Account
    parent: Program | None = None
    children: list[Program] = field(default_factory=list)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    runs: dict[str, TurnRun] = field(default_factory=dict)
    # Set from the moment the end was requested, before it is replicated.
    ending: bool = False
    opening: asyncio.Task[None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether new turns are accepted."""
        return self.state.status == "open" and not self.ending

    def root(self) -> Program:
        """Return the program at the top of the tree."""
        program = self
        while program.parent is not None:
            program = program.parent
        return program

    def tree(self) -> list[Program]:
        """Return this program and all its sub-agents."""
        found = [self]
        for program in found:
            found.extend(program.children)
        return found


def final_failure(error: LentilroadError) -> Failed:
    """Return the final event for an error."""
    return Failed(error=to_wire_error(error))


def open_reservation(state: ProgramState) -> Spending:
    """Return what the open call has reserved."""
    return state.open_call.reserved if state.open_call else Spending()
