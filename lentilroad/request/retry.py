"""Retry budget and exponential backoff with jitter."""

from __future__ import annotations

from random import Random

from lentilroad.clock import Clock
from lentilroad.request import const


class RetryBudget:
    """Limit on retries: a share of the successful calls plus a small constant rate.

    A fixed number of attempts per call multiplies the load when all calls fail; the
    budget limits retries to a share of the successful calls.

    Parameters
    ----------
    clock : Clock
        Source of time.
    ratio : float
        Retries added by each successful call.
    constant_per_s : float
        Retries added per second regardless of successes; also the initial balance.
    balance_max : float
        Maximum balance.
    """

    __slots__ = (
        "_balance",
        "_balance_max",
        "_clock",
        "_constant_per_s",
        "_ratio",
        "_updated_s",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float = const.RETRY_RATIO,
        constant_per_s: float = const.RETRY_CONSTANT_PER_S,
        balance_max: float = const.RETRY_BALANCE_MAX,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._constant_per_s = constant_per_s
        self._balance_max = balance_max
        self._balance = constant_per_s
        self._updated_s = clock.monotonic_s()

    def record_success(self) -> None:
        """Record a successful call."""
        self._balance = min(self._balance_max, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the budget is used up."""
        now_s = self._clock.monotonic_s()
        refill = (now_s - self._updated_s) * self._constant_per_s
        self._updated_s = now_s
        self._balance = min(self._balance_max, self._balance + refill)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


def backoff_s(
    *,
    attempt: int,
    random: Random,
    base_s: float = const.BACKOFF_BASE_S,
    cap_s: float = const.BACKOFF_CAP_S,
) -> float:
    """Return a delay drawn uniformly between 0 and the exponential bound.

    Parameters
    ----------
    attempt : int
        Number of attempts that have failed, from 1.
    random : Random
        Source of the jitter.
    base_s : float
        Half of the bound after the first failed attempt, in seconds.
    cap_s : float
        Highest bound, in seconds.
    """
    bound_s = min(cap_s, base_s * 2.0 ** min(attempt, 30))
    return random.uniform(0.0, bound_s)


def next_delay_s(
    *,
    attempt: int,
    now_s: float,
    deadline_s: float | None,
    random: Random,
    retry_after_ms: int | None = None,
    expected_s: float = 0.0,
) -> float | None:
    """Return the delay before the next attempt, None if it would miss the deadline.

    Parameters
    ----------
    attempt : int
        Number of attempts that have failed, from 1.
    now_s, deadline_s : float
        Current time and deadline on the same clock.
    random : Random
        Source of the jitter.
    retry_after_ms : int, optional
        Minimum delay that the upstream requested.
    expected_s : float
        Expected duration of the attempt.
    """
    delay_s = backoff_s(attempt=attempt, random=random)
    if retry_after_ms is not None:
        delay_s += retry_after_ms / 1000.0
    if deadline_s is not None and now_s + delay_s + expected_s > deadline_s:
        return None
    return delay_s
