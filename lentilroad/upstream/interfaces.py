"""Interface of the queue that a call runner uses."""

from __future__ import annotations

from typing import Protocol

from lentilroad.errors import LentilroadError
from lentilroad.upstream.ledger import CallRecord
from lentilroad.wire.messages import Priority


class RunnerQueue(Protocol):
    """Queue in front of an upstream, with a limit on running calls.

    Implemented by `lentilroad.request.queue.CallQueue` and
    `lentilroad.upstream.fifo.FifoQueue`. Deadlines are on the runner's monotonic
    clock; errors have the outcome ``not_run``.
    """

    def __len__(self) -> int:
        """Return the number of queued calls."""
        ...

    def push(
        self,
        call: CallRecord,
        *,
        priority: Priority,
        deadline_s: float | None = None,
    ) -> int:
        """Queue a call and return its position; raises if the queue refuses it."""
        ...

    def pop_ready(self) -> CallRecord | None:
        """Return the next call and acquire a slot; None if no call may start."""
        ...

    def finished(
        self,
        call: CallRecord,
        *,
        service_s: float,
        succeeded: bool = True,
        time_per_token_s: float | None = None,
        engine_queue_s: float = 0.0,
    ) -> None:
        """Release the slot of a call that `pop_ready` returned."""
        ...

    def remove(self, call: CallRecord) -> bool:
        """Remove a queued call and return whether it was queued."""
        ...

    def take_refused(self) -> list[tuple[CallRecord, LentilroadError]]:
        """Remove and return calls refused while queued, with their errors."""
        ...
