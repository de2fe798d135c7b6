"""Clock that tests advance manually."""

from __future__ import annotations


class ManualClock:
    """Clock whose time only changes when a test sets it."""

    def __init__(self, now_s: float = 0.0) -> None:
        self.now_s = now_s

    def monotonic_s(self) -> float:
        """Return the time set by the test, in seconds."""
        return self.now_s

    def time_s(self) -> float:
        """Return the time set by the test, in seconds."""
        return self.now_s

    async def sleep(self, delay_s: float) -> None:
        """Advance the time by `delay_s` without waiting."""
        self.now_s += delay_s
