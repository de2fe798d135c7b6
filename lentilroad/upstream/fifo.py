"""First-in, first-out queue with a fixed concurrency limit."""

from __future__ import annotations

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError, OverloadedError
from lentilroad.upstream.const import (
    MAX_RUNNING_CALLS,
    QUEUE_MAX_CALLS,
    RETRY_AFTER_MS,
    SMOOTHING_FACTOR,
)
from lentilroad.upstream.ledger import CallRecord
from lentilroad.wire.messages import Priority


class FifoQueue:
    """Queue without priorities; implements `interfaces.RunnerQueue`.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limit : int, optional
        Calls that may run at the same time.
    queue_limit : int, optional
        Calls that may be queued.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        limit: int = MAX_RUNNING_CALLS,
        queue_limit: int = QUEUE_MAX_CALLS,
    ) -> None:
        self._clock = clock
        self.limit = limit
        self._queue_limit = queue_limit
        self._queued: dict[str, CallRecord] = {}
        self._running = 0
        self._mean_service_s = 0.0

    def __len__(self) -> int:
        return len(self._queued)

    def push(
        self,
        call: CallRecord,
        *,
        priority: Priority,
        deadline_s: float | None = None,
    ) -> int:
        """Queue a call unless the queue is full or the deadline cannot be met."""
        wait_s = self._estimated_wait_s()
        if self._running >= self.limit and len(self._queued) >= self._queue_limit:
            raise self._overloaded("the upstream's queue is full", wait_s)
        if deadline_s is not None and self._clock.monotonic_s() + wait_s > deadline_s:
            raise self._overloaded("the expected wait exceeds the deadline", wait_s)
        self._queued[call.call_id] = call
        return len(self._queued) - 1

    def _overloaded(self, message: str, wait_s: float) -> OverloadedError:
        return OverloadedError(
            f"{message}; retry after the given time",
            retry_after_ms=max(RETRY_AFTER_MS, int(wait_s * 1000)),
        )

    def _estimated_wait_s(self) -> float:
        if self._running < self.limit:
            return 0.0
        return self._mean_service_s * (len(self._queued) + 1) / self.limit

    def pop_ready(self) -> CallRecord | None:
        """Return the oldest call when a slot is free."""
        if not self._queued or self._running >= self.limit:
            return None
        self._running += 1
        return self._queued.pop(next(iter(self._queued)))

    def finished(
        self,
        call: CallRecord,
        *,
        service_s: float,
        succeeded: bool = True,
        time_per_token_s: float | None = None,
        engine_queue_s: float = 0.0,
    ) -> None:
        """Release the slot of a call."""
        self._running -= 1
        self._mean_service_s += SMOOTHING_FACTOR * (service_s - self._mean_service_s)

    def remove(self, call: CallRecord) -> bool:
        """Remove a queued call and return whether it was queued."""
        return self._queued.pop(call.call_id, None) is not None

    def take_refused(self) -> list[tuple[CallRecord, LentilroadError]]:
        """Return an empty list; this queue never refuses a queued call."""
        return []
