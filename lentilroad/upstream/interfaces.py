"""What the call runner needs from a queue."""

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
        """Return the number of calls that wait."""
        ...

    def push(
        self,
        call: CallRecord,
        *,
        priority: Priority,
        deadline_s: float | None = None,
    ) -> int:
        """Add a call and return its position; raises when it is refused."""
        ...

    def pop_ready(self) -> CallRecord | None:
        """Return the next call and take a slot; None when none may start."""
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
        """Give back the slot of a call that `pop_ready` returned."""
        ...

    def remove(self, call: CallRecord) -> bool:
        """Drop a waiting call; return whether it was waiting."""
        ...

    def pop_refused(self) -> list[tuple[CallRecord, LentilroadError]]:
        """Return the calls refused since they were queued, with their error."""
        ...
