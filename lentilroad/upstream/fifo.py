"""First-in, first-out queue with a fixed concurrency limit."""

from __future__ import annotations

from lentilroad.clock import Clock
from lentilroad.errors import DeadlineExceededError, LentilroadError, OverloadedError
from lentilroad.upstream.const import (
    CONCURRENCY_LIMIT,
    QUEUE_LIMIT,
    RETRY_AFTER_MS,
    SMOOTHING,
)
from lentilroad.upstream.interfaces import QueuedCall
from lentilroad.wire.messages import Priority


class FifoQueue:
    """Queue without priorities; implements `interfaces.CallQueue`.

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
        self._waiting: dict[str, QueuedCall] = {}
        self._running = 0
        self._duration_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def refuse_reason(
        self, priority: Priority, deadline_s: float | None
    ) -> LentilroadError | None:
        """Refuse when the queue is full or the expected wait passes the deadline."""
        wait_s = self._expected_wait_s()
        if len(self._waiting) >= self._queue_limit:
            return OverloadedError(
                "the upstream's queue is full; try again later",
                retry_after_ms=max(RETRY_AFTER_MS, int(wait_s * 500)),
            )
        if deadline_s is not None and self._clock.monotonic_s() + wait_s > deadline_s:
            return DeadlineExceededError(
                "the expected wait passes the deadline; allow more time",
                retry_after_ms=max(RETRY_AFTER_MS, int(wait_s * 1000)),
            )
        return None

    def _expected_wait_s(self) -> float:
        if self._running < self.limit:
            return 0.0
        return self._duration_s * (len(self._waiting) + 1) / self.limit

    def push(
        self, call: QueuedCall, priority: Priority, deadline_s: float | None
    ) -> None:
        """Add a call."""
        self._waiting[call.call_id] = call

    def pop_ready(self) -> QueuedCall | None:
        """Return the oldest call when a slot is free."""
        if not self._waiting or self._running >= self.limit:
            return None
        self._running += 1
        return self._waiting.pop(next(iter(self._waiting)))

    def remove(self, call: QueuedCall) -> bool:
        """Take a waiting call out."""
        return self._waiting.pop(call.call_id, None) is not None

    def done(self, call: QueuedCall, *, duration_s: float) -> None:
        """Free the slot of a call."""
        self._running -= 1
        self._duration_s += SMOOTHING * (duration_s - self._duration_s)

    def observe_time_per_token(self, time_per_token_s: float) -> None:
        """Ignore the measurement; the limit is fixed."""
