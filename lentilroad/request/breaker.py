"""Circuit breaker for one upstream."""

from __future__ import annotations

from typing import Literal

from lentilroad.clock import Clock
from lentilroad.request import const

BreakerState = Literal["closed", "open", "half_open"]


class CircuitBreaker:
    """Circuit breaker that blocks calls to an upstream that fails or hangs.

    Parameters
    ----------
    clock : Clock
        Source of time.
    failures : int
        Consecutive failures that open the breaker.
    open_s : float
        First open time in seconds; it doubles each time that the probe fails.
    hang_s : float, optional
        Time without progress of calls in flight that counts as a hang; None if the
        progress of calls is not reported to the breaker.
    """

    __slots__ = (
        "_clock",
        "_failures_max",
        "_failures",
        "_first_open_s",
        "_hang_s",
        "_in_flight",
        "_last_progress_s",
        "_open_s",
        "_open_until_s",
        "_probing",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        failures: int = const.BREAKER_FAILURES,
        open_s: float = const.BREAKER_OPEN_S,
        hang_s: float | None = const.BREAKER_HANG_S,
    ) -> None:
        self._clock = clock
        self._failures_max = failures
        self._first_open_s = open_s
        self._open_s = open_s
        self._hang_s = hang_s
        self._failures = 0
        self._in_flight = 0
        self._last_progress_s = clock.monotonic_s()
        self._open_until_s: float | None = None
        self._probing = False

    @property
    def state(self) -> BreakerState:
        """Current state; an open breaker becomes half open after its open time."""
        now_s = self._clock.monotonic_s()
        self._check_hang(now_s)
        if self._open_until_s is None:
            return "closed"
        return "open" if now_s < self._open_until_s else "half_open"

    def allows(self) -> bool:
        """Return whether a call may be sent.

        A half-open breaker allows a single call as a probe.
        """
        state = self.state
        return state == "closed" or (state == "half_open" and not self._probing)

    def record_sent(self) -> None:
        """Record that a call was sent."""
        if self._in_flight == 0:
            self._last_progress_s = self._clock.monotonic_s()
        self._in_flight += 1
        if self.state == "half_open":
            self._probing = True
            self._last_progress_s = self._clock.monotonic_s()

    def record_progress(self) -> None:
        """Record progress of any call, such as a streamed token."""
        self._last_progress_s = self._clock.monotonic_s()

    def record_success(self) -> None:
        """Record a call that the upstream answered."""
        self._finish()
        self._failures = 0
        self._open_until_s = None
        self._open_s = self._first_open_s
        self._probing = False

    def record_failure(self) -> None:
        """Record a call that failed at the upstream or was not answered."""
        self._finish()
        self._failures += 1
        if self._probing or self._failures >= self._failures_max:
            self._open(self._clock.monotonic_s())

    def record_abandoned(self) -> None:
        """Record a call that ended without information on the upstream's health."""
        self._finish()
        self._probing = False

    def _finish(self) -> None:
        self._in_flight = max(0, self._in_flight - 1)
        self._last_progress_s = self._clock.monotonic_s()

    def _check_hang(self, now_s: float) -> None:
        if self._hang_s is None or self._in_flight == 0:
            return
        if now_s - self._last_progress_s < self._hang_s:
            return
        if self._open_until_s is None or self._probing:
            self._open(now_s)

    def _open(self, now_s: float) -> None:
        if self._open_until_s is not None:
            self._open_s = min(const.BREAKER_OPEN_MAX_S, 2.0 * self._open_s)
        self._open_until_s = now_s + self._open_s
        self._last_progress_s = now_s
        self._probing = False
