"""Calls at sidecars: dispatch, resolve, and small messages with retries."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from dataclasses import dataclass
from random import Random
from typing import Any, Literal

from lentilroad.clock import Clock
from lentilroad.errors import (
    LentilroadError,
    OutcomeUnknownError,
    StaleEpochError,
    UnavailableError,
)
from lentilroad.program import const
from lentilroad.program.replication import Call
from lentilroad.request import retry
from lentilroad.wire.convert import from_wire_error
from lentilroad.wire.messages import (
    DispatchEvent,
    DispatchRequest,
    Finished,
    Queued,
    Refused,
    ResolveReply,
    ResolveRequest,
    Started,
)
from lentilroad.wire.services import DISPATCH, RESOLVE, Method

Stream = Callable[[str, Method, Any, float | None], AsyncGenerator[Any, None]]


@dataclass(slots=True, kw_only=True)
class CallOutcome:
    """How one attempt ended.

    ``finished`` carries the result, ``refused`` an error with its own outcome and
    the output so far. ``not_reached`` and ``unreachable`` are proof that the call did
    not run: the sidecar never saw it, or no connection came about. ``lost`` means
    that the sidecar cannot tell.
    """

    kind: Literal["finished", "refused", "not_reached", "unreachable", "lost"]
    finished: Finished | None = None
    error: LentilroadError | None = None
    text: str = ""
    # Whether the sidecar held the call before it ended.
    was_accepted: bool = False


def backoff_s(attempt: int, random: Random) -> float:
    """Return a random delay below an exponential limit, in seconds."""
    return retry.backoff_s(
        attempt=attempt,
        random=random,
        base_s=const.BACKOFF_BASE_S,
        cap_s=const.BACKOFF_LIMIT_S,
    )


class SidecarCalls:
    """Run single attempts at sidecars.

    Parameters
    ----------
    call, stream : Callable
        Send messages to a sidecar.
    clock : Clock
        Source of time.
    random : Random
        Source of jitter.
    """

    def __init__(
        self, *, call: Call, stream: Stream, clock: Clock, random: Random
    ) -> None:
        self._call = call
        self._stream = stream
        self._clock = clock
        self._random = random

    async def run(
        self,
        address: str,
        request: DispatchRequest,
        *,
        incarnation: int,
        resolve_first: bool,
        on_accepted: Callable[[], None],
    ) -> CallOutcome:
        """Dispatch a call and follow it to its end.

        A broken stream is followed by `RESOLVE`; a call that still runs is joined by
        sending `DISPATCH` again with the same call id.

        Parameters
        ----------
        address : str
            Sidecar that the replicated intent names.
        request : DispatchRequest
            The call.
        incarnation : int
            Incarnation of the sidecar when it was chosen.
        resolve_first : bool
            Whether an earlier owner may have dispatched the call.
        on_accepted : Callable
            Called when the sidecar holds the call.
        """
        for attempt in range(const.DISPATCH_ATTEMPTS):
            if attempt or resolve_first:
                outcome = await self._resolve(address, request, incarnation)
                if outcome is not None:
                    return outcome
            is_first = attempt == 0 and not resolve_first
            outcome = await self._follow(
                address, request, on_accepted, is_first=is_first
            )
            if outcome is not None:
                if is_first:
                    _note_first_refusal(outcome)
                return outcome
        return await self._resolve(address, request, incarnation) or _lost()

    async def _follow(
        self,
        address: str,
        request: DispatchRequest,
        on_accepted: Callable[[], None],
        *,
        is_first: bool,
    ) -> CallOutcome | None:
        was_accepted = False
        try:
            async with aclosing(
                self._stream(address, DISPATCH, request, None)
            ) as replies:
                async for reply in replies:
                    outcome = _outcome_of(reply)
                    if outcome is not None:
                        outcome.was_accepted = was_accepted
                        return outcome
                    was_accepted = True
                    on_accepted()
        except LentilroadError as error:
            if is_first and not was_accepted and error.outcome == "not_run":
                return CallOutcome(kind="unreachable", error=error)
            return None
        return None

    async def _resolve(
        self, address: str, request: DispatchRequest, incarnation: int
    ) -> CallOutcome | None:
        """Ask what became of the call; None when it still runs."""
        question = ResolveRequest(
            call_id=request.call_id,
            shard=request.shard,
            epoch=request.epoch,
            incarnation=incarnation,
        )
        for attempt in range(const.RESOLVE_ATTEMPTS):
            try:
                reply = await self._call(
                    address, RESOLVE, question, const.RESOLVE_TIMEOUT_S
                )
            except LentilroadError:
                await self._clock.sleep(backoff_s(attempt, self._random))
                continue
            return _outcome_of_resolve(reply)
        return _lost()

    async def send(
        self, address: str, method: Method, request: Any, *, attempts: int
    ) -> bool:
        """Send a small message, retrying while the sidecar is unreachable."""
        for attempt in range(attempts):
            try:
                await self._call(address, method, request, const.SIDECAR_CALL_TIMEOUT_S)
            except LentilroadError:
                await self._clock.sleep(const.FORGET_BACKOFF_S * 2.0**attempt)
                continue
            return True
        return False


def _note_first_refusal(outcome: CallOutcome) -> None:
    """Correct the outcome of a call that this process alone knows was never sent.

    A sidecar that has restarted cannot exclude that its earlier process ran the call.
    """
    error = outcome.error
    if outcome.was_accepted or not isinstance(error, UnavailableError):
        return
    error.outcome = "not_run"


def _lost() -> CallOutcome:
    error = OutcomeUnknownError(
        "the sidecar of the upstream lost its records or cannot be reached; check at "
        "the upstream whether the operation ran before you repeat it"
    )
    return CallOutcome(kind="lost", error=error)


def _not_reached() -> LentilroadError:
    return UnavailableError(
        "the call did not reach its upstream; repeat it", outcome="not_run"
    )


def _outcome_of(reply: DispatchEvent) -> CallOutcome | None:
    event = reply.event
    if isinstance(event, Queued | Started):
        return None
    if isinstance(event, Finished):
        return CallOutcome(kind="finished", finished=event)
    assert isinstance(event, Refused)
    return CallOutcome(
        kind="refused", error=from_wire_error(event.error), text=event.text
    )


def _outcome_of_resolve(reply: ResolveReply) -> CallOutcome | None:
    if reply.state == "running":
        return None
    if reply.state == "done" and reply.finished is not None:
        return CallOutcome(kind="finished", finished=reply.finished)
    error = from_wire_error(reply.error) if reply.error else None
    if reply.state == "never_seen":
        return CallOutcome(kind="not_reached", error=error or _not_reached())
    if error is None:
        return _lost()
    if reply.state == "done" or isinstance(error, StaleEpochError):
        return CallOutcome(kind="refused", error=error, text=reply.text)
    lost = _lost()
    lost.text = reply.text
    return lost
