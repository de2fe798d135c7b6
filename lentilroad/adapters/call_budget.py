"""Rate limit on the calls that one process makes to an external system."""

from __future__ import annotations

import math

from lentilroad.clock import Clock
from lentilroad.errors import UnavailableError


class CallRateLimiter:
    """Token-bucket rate limiter for calls.

    Parameters
    ----------
    clock : Clock
        Source of time.
    calls_per_s : float
        Average rate.
    burst : int
        Largest number of consecutive calls without a wait.
    """

    __slots__ = ("_burst", "_clock", "_refilled_s", "_rate", "_tokens")

    def __init__(self, *, clock: Clock, calls_per_s: float, burst: int) -> None:
        self._clock = clock
        self._rate = calls_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_s = clock.monotonic_s()

    async def acquire(self, *, timeout_s: float) -> None:
        """Wait until a call may be made.

        Raises
        ------
        UnavailableError
            The wait would exceed `timeout_s`; the outcome is ``not_run``.
        """
        now_s = self._clock.monotonic_s()
        refill = (now_s - self._refilled_s) * self._rate
        self._tokens = min(self._tokens + refill, self._burst)
        self._refilled_s = now_s
        wait_s = max(0.0, (1.0 - self._tokens) / self._rate)
        if wait_s > timeout_s:
            raise UnavailableError(
                "this process exceeds its rate limit for key-value calls; retry later",
                outcome="not_run",
                retry_after_ms=math.ceil(wait_s * 1000),
            )
        # Acquire the token before the wait, so that callers proceed in FIFO order.
        self._tokens -= 1.0
        if wait_s > 0:
            await self._clock.sleep(wait_s)
