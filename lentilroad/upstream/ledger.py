"""At-most-once records by call id."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Literal

from lentilroad.const import CALL_RECORD_RETENTION_S
from lentilroad.errors import (
    LentilroadError,
    OutcomeUnknownError,
    UnavailableError,
)
from lentilroad.notifier import Notifier
from lentilroad.upstream.const import LEDGER_LIMIT, RETAINED_OUTPUT_LIMIT_BYTES
from lentilroad.upstream.output import OutputBuffer
from lentilroad.wire.convert import to_wire_error
from lentilroad.wire.messages import DispatchRequest, Finished, Refused


@dataclass(slots=True, kw_only=True, eq=False)
class CallRecord:
    """One call that was accepted here."""

    call_id: str
    program_id: str
    request: DispatchRequest
    output: OutputBuffer
    created_s: float
    deadline_s: float | None = None
    started_s: float | None = None
    first_output_s: float = 0.0
    last_output_s: float = 0.0
    tokens: int = 0
    time_per_token_s: float | None = None
    ended_s: float = 0.0
    result: Finished | Refused | None = None
    released: bool = False
    # Open Dispatch streams, and since when there has been none.
    owners: int = 0
    orphaned_s: float = 0.0
    task: asyncio.Task[None] | None = None
    # Whether the task has run its first step.
    begun: bool = False
    timer: asyncio.TimerHandle | None = None
    changed: Notifier = field(default_factory=Notifier)

    @property
    def size_bytes(self) -> int:
        """Approximate size of the retained result."""
        payload = self.result.payload if isinstance(self.result, Finished) else b""
        return self.output.length + len(payload)


@dataclass(slots=True, kw_only=True)
class SettledCall:
    """What remains of a call that must not be sent to the upstream any more."""

    state: Literal["refused", "blocked", "released"]
    expires_s: float
    result: Refused


class Ledger:
    """Remember calls so that none is sent to the upstream twice.

    A record is kept until its owner releases it, and then for
    `CALL_RECORD_RETENTION_S` without its output. So are refused and blocked ids: a
    delayed Dispatch finds the refusal and not an empty ledger. A Dispatch that is
    delayed even longer comes from an owner that has lost its shard and is refused by
    its epoch. When the ledger is full, new calls are refused; records are never
    dropped early.

    Parameters
    ----------
    limit : int, optional
        Records that are kept.
    retained_limit_bytes : int, optional
        Output of ended, unreleased calls that is kept. Above it the output of the
        oldest model calls is dropped.
    """

    def __init__(
        self,
        *,
        limit: int = LEDGER_LIMIT,
        retained_limit_bytes: int = RETAINED_OUTPUT_LIMIT_BYTES,
    ) -> None:
        self._limit = limit
        self._retained_limit_bytes = retained_limit_bytes
        self._retained_bytes = 0
        self.records: dict[str, CallRecord] = {}
        # Ended and not released, oldest first.
        self._ended: OrderedDict[str, CallRecord] = OrderedDict()
        # Ordered by expiry, because all entries are kept equally long.
        self._settled: OrderedDict[str, SettledCall] = OrderedDict()
        self.arrived = Notifier()

    def __len__(self) -> int:
        return len(self.records) + len(self._settled)

    @property
    def full(self) -> bool:
        """Whether no further call can be recorded."""
        return len(self) >= self._limit

    def get(self, call_id: str) -> CallRecord | None:
        """Return the record of a call that is not settled."""
        return self.records.get(call_id)

    def settled(self, call_id: str) -> SettledCall | None:
        """Return what remains of a settled call."""
        return self._settled.get(call_id)

    def add(self, record: CallRecord) -> None:
        """Record an accepted call."""
        self.records[record.call_id] = record
        self.arrived.notify()

    def end(self, record: CallRecord) -> None:
        """Keep the result of an ended call until it is released."""
        self._ended[record.call_id] = record
        self._retained_bytes += record.size_bytes

    def enforce_limit(self, now_s: float) -> None:
        """Drop output of the oldest ended model calls above the limit."""
        for record in list(self._ended.values()):
            if self._retained_bytes <= self._retained_limit_bytes:
                return
            if record.request.kind == "chat":
                self.release(record, now_s=now_s)

    def refuse(
        self, call_id: str, error: LentilroadError, *, now_s: float
    ) -> SettledCall:
        """Record a refusal, so that the call does not run later."""
        return self._settle(call_id, "refused", error, now_s)

    def block(self, call_id: str, *, now_s: float) -> SettledCall:
        """Block a call that was never seen."""
        error = UnavailableError("the call was given up before it arrived; do not wait")
        return self._settle(call_id, "blocked", error, now_s)

    def release(self, record: CallRecord, *, now_s: float) -> None:
        """Drop a call's output and keep its id."""
        self.records.pop(record.call_id, None)
        if self._ended.pop(record.call_id, None) is not None:
            self._retained_bytes -= record.size_bytes
        error = OutcomeUnknownError("the result was released; read the history")
        if isinstance(record.result, Refused):
            error.outcome = record.result.error.outcome
        self._settle(record.call_id, "released", error, now_s)

    def _settle(
        self,
        call_id: str,
        state: Literal["refused", "blocked", "released"],
        error: LentilroadError,
        now_s: float,
    ) -> SettledCall:
        settled = SettledCall(
            state=state,
            expires_s=now_s + CALL_RECORD_RETENTION_S,
            result=Refused(error=to_wire_error(error)),
        )
        if state != "refused" or not self.full:
            self._settled[call_id] = settled
            self._settled.move_to_end(call_id)
        self.arrived.notify()
        return settled

    def sweep(self, now_s: float) -> None:
        """Drop records whose retention has passed."""
        while self._settled:
            call_id = next(iter(self._settled))
            if self._settled[call_id].expires_s > now_s:
                break
            del self._settled[call_id]
        for record in list(self._ended.values()):
            if record.ended_s + CALL_RECORD_RETENTION_S > now_s:
                break
            self.release(record, now_s=now_s)
        self.enforce_limit(now_s)
