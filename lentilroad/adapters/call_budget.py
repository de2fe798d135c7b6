"""Bound on the calls that one process makes to an outside system."""

from __future__ import annotations

import math

from lentilroad.clock import Clock
from lentilroad.errors import UnavailableError


class CallRateLimiter:
    """Token bucket over calls.

    Parameters
    ----------
    clock : Clock
        Source of time.
    calls_per_s : float
        Long-term rate.
    burst : int
        Calls that may follow each other without a wait.
    """

    __slots__ = ("_burst", "_clock", "_filled_s", "_rate", "_tokens")

    def __init__(self, *, clock: Clock, calls_per_s: float, burst: int) -> None:
        self._clock = clock
        self._rate = calls_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._filled_s = clock.monotonic_s()

    async def acquire(self, *, timeout_s: float) -> None:
        """Wait until a call may be made.

        Raises
        ------
        UnavailableError
            The wait would exceed `timeout_s`; the outcome is ``not_run``.
        """
        now_s = self._clock.monotonic_s()
        gained = (now_s - self._filled_s) * self._rate
        self._tokens = min(self._tokens + gained, self._burst)
        self._filled_s = now_s
        wait_s = max(0.0, (1.0 - self._tokens) / self._rate)
        if wait_s > timeout_s:
            raise UnavailableError(
                "this process is over its rate of key-value calls; retry later",
                outcome="not_run",
                retry_after_ms=math.ceil(wait_s * 1000),
            )
        # The token is taken before the wait, so that waiters queue up in order.
        self._tokens -= 1.0
        if wait_s > 0:
            await self._clock.sleep(wait_s)
