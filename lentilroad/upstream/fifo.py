"""First-in, first-out queue with a fixed concurrency limit."""

from __future__ import annotations

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError, OverloadedError
from lentilroad.upstream.const import (
    CONCURRENCY_LIMIT,
    QUEUE_LIMIT,
    RETRY_AFTER_MS,
    SMOOTHING,
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
        Calls that may wait.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        limit: int = CONCURRENCY_LIMIT,
        queue_limit: int = QUEUE_LIMIT,
    ) -> None:
        self._clock = clock
        self.limit = limit
        self._queue_limit = queue_limit
        self._waiting: dict[str, CallRecord] = {}
        self._running = 0
        self._service_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def push(
        self,
        call: CallRecord,
        *,
        priority: Priority,
        deadline_s: float | None = None,
    ) -> int:
        """Add a call, unless the queue is full or the wait passes the deadline."""
        wait_s = self._expected_wait_s()
        if self._running >= self.limit and len(self._waiting) >= self._queue_limit:
            raise self._overloaded("the upstream's queue is full", wait_s)
        if deadline_s is not None and self._clock.monotonic_s() + wait_s > deadline_s:
            raise self._overloaded("the expected wait passes the deadline", wait_s)
        self._waiting[call.call_id] = call
        return len(self._waiting) - 1

    def _overloaded(self, message: str, wait_s: float) -> OverloadedError:
        return OverloadedError(
            f"{message}; retry after the given time",
            retry_after_ms=max(RETRY_AFTER_MS, int(wait_s * 1000)),
        )

    def _expected_wait_s(self) -> float:
        if self._running < self.limit:
            return 0.0
        return self._service_s * (len(self._waiting) + 1) / self.limit

    def pop_ready(self) -> CallRecord | None:
        """Return the oldest call when a slot is free."""
        if not self._waiting or self._running >= self.limit:
            return None
        self._running += 1
        return self._waiting.pop(next(iter(self._waiting)))

    def finished(
        self,
        call: CallRecord,
        *,
        service_s: float,
        succeeded: bool = True,
        time_per_token_s: float | None = None,
        engine_queue_s: float = 0.0,
    ) -> None:
        """Free the slot of a call."""
        self._running -= 1
        self._service_s += SMOOTHING * (service_s - self._service_s)

    def remove(self, call: CallRecord) -> bool:
        """Drop a waiting call."""
        return self._waiting.pop(call.call_id, None) is not None

    def pop_refused(self) -> list[tuple[CallRecord, LentilroadError]]:
        """Return nothing; a queued call is never refused here."""
        return []
