"""Ledger of calls by call id, for at-most-once execution."""

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
from lentilroad.upstream.const import LEDGER_MAX_RECORDS, RETAINED_OUTPUT_LIMIT_BYTES
from lentilroad.upstream.output import OutputBuffer
from lentilroad.wire.convert import to_wire_error
from lentilroad.wire.messages import DispatchRequest, Finished, Refused


@dataclass(slots=True, kw_only=True, eq=False)
class CallRecord:
    """One call that this sidecar accepted."""

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
    # Number of open Dispatch streams, and when the last was closed.
    dispatch_streams: int = 0
    orphaned_since_s: float = 0.0
    task: asyncio.Task[None] | None = None
    # Whether the task has run its first step.
    task_started: bool = False
    timer: asyncio.TimerHandle | None = None
    changed: Notifier = field(default_factory=Notifier)

    @property
    def size_bytes(self) -> int:
        """Approximate size of the retained result."""
        payload = self.result.payload if isinstance(self.result, Finished) else b""
        return self.output.length + len(payload)


@dataclass(slots=True, kw_only=True)
class CallTombstone:
    """Record of a call that must never be sent to the upstream again."""

    state: Literal["refused", "blocked", "released"]
    expires_s: float
    result: Refused


class Ledger:
    """Record calls so that no call is sent to the upstream twice.

    A call is retained until its owner releases it, and then for
    `CALL_RECORD_RETENTION_S` as a tombstone without output. Refused and blocked ids
    are retained as tombstones for the same time, so that a delayed Dispatch gets the
    refusal. A Dispatch delayed for longer comes from an owner that has lost its shard
    and is refused because of its epoch. When the ledger is full, new calls are
    refused; records are never evicted early.

    Parameters
    ----------
    limit : int, optional
        Maximum number of records and tombstones.
    retained_limit_bytes : int, optional
        Maximum output of ended, unreleased calls. Above this limit, the output of the
        oldest model calls is discarded.
    """

    def __init__(
        self,
        *,
        limit: int = LEDGER_MAX_RECORDS,
        retained_limit_bytes: int = RETAINED_OUTPUT_LIMIT_BYTES,
    ) -> None:
        self._limit = limit
        self._retained_limit_bytes = retained_limit_bytes
        self._retained_bytes = 0
        self.records: dict[str, CallRecord] = {}
        # Ended calls that are not released, oldest first.
        self._ended: OrderedDict[str, CallRecord] = OrderedDict()
        # Ordered by expiry, because all tombstones have the same retention.
        self._tombstones: OrderedDict[str, CallTombstone] = OrderedDict()
        self.changed = Notifier()

    def __len__(self) -> int:
        return len(self.records) + len(self._tombstones)

    @property
    def full(self) -> bool:
        """Whether the ledger has no capacity for another call."""
        return len(self) >= self._limit

    def get(self, call_id: str) -> CallRecord | None:
        """Return the record of a call that has no tombstone."""
        return self.records.get(call_id)

    def tombstone(self, call_id: str) -> CallTombstone | None:
        """Return the tombstone of a call."""
        return self._tombstones.get(call_id)

    def add(self, record: CallRecord) -> None:
        """Record an accepted call."""
        self.records[record.call_id] = record
        self.changed.notify()

    def end(self, record: CallRecord) -> None:
        """Retain the result of an ended call until it is released."""
        self._ended[record.call_id] = record
        self._retained_bytes += record.size_bytes

    def enforce_limit(self, now_s: float) -> None:
        """Discard output of the oldest ended model calls above the limit."""
        for record in list(self._ended.values()):
            if self._retained_bytes <= self._retained_limit_bytes:
                return
            if record.request.kind == "chat":
                self.release(record, now_s=now_s)

    def refuse(
        self, call_id: str, error: LentilroadError, *, now_s: float
    ) -> CallTombstone:
        """Record a refusal, so that the call does not run later."""
        return self._add_tombstone(call_id, "refused", error, now_s)

    def block(self, call_id: str, *, now_s: float) -> CallTombstone:
        """Block a call that was never received."""
        error = UnavailableError(
            "the call was cancelled or resolved before its dispatch; do not wait for it"
        )
        return self._add_tombstone(call_id, "blocked", error, now_s)

    def release(self, record: CallRecord, *, now_s: float) -> None:
        """Discard a call's output and retain its id as a tombstone."""
        self.records.pop(record.call_id, None)
        if self._ended.pop(record.call_id, None) is not None:
            self._retained_bytes -= record.size_bytes
        error = OutcomeUnknownError(
            "the result was released; read the program's history"
        )
        if isinstance(record.result, Refused):
            error.outcome = record.result.error.outcome
        self._add_tombstone(record.call_id, "released", error, now_s)

    def _add_tombstone(
        self,
        call_id: str,
        state: Literal["refused", "blocked", "released"],
        error: LentilroadError,
        now_s: float,
    ) -> CallTombstone:
        tombstone = CallTombstone(
            state=state,
            expires_s=now_s + CALL_RECORD_RETENTION_S,
            result=Refused(error=to_wire_error(error)),
        )
        if state != "refused" or not self.full:
            self._tombstones[call_id] = tombstone
            self._tombstones.move_to_end(call_id)
        self.changed.notify()
        return tombstone

    def sweep(self, now_s: float) -> None:
        """Expire records and tombstones whose retention has passed."""
        while self._tombstones:
            call_id = next(iter(self._tombstones))
            if self._tombstones[call_id].expires_s > now_s:
                break
            del self._tombstones[call_id]
        for record in list(self._ended.values()):
            if record.ended_s + CALL_RECORD_RETENTION_S > now_s:
                break
            self.release(record, now_s=now_s)
        self.enforce_limit(now_s)
