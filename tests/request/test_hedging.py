"""Guard against hedging of non-idempotent calls, and against unbounded hedging."""

from __future__ import annotations

import pytest

from lentilroad.request.hedging import HedgingPolicy
from lentilroad.request.retry import RetryBudget
from tests.fakes.clock import ManualClock


@pytest.fixture
def hedging():
    """Return a policy with 100 recorded calls of ``read`` that took 10 to 1000 ms."""
    budget = RetryBudget(clock=ManualClock(), constant_per_s=0.0)
    hedging = HedgingPolicy(budget=budget)
    for number in range(100):
        hedging.record_success("read", duration_s=0.01 * (number + 1))
    return hedging


def test_non_idempotent_call_is_never_hedged(hedging):
    """A second attempt of a non-idempotent call would repeat its effect."""
    assert hedging.delay_s("read", idempotent=False) is None


def test_delay_is_the_quantile_of_recorded_durations(hedging):
    """A shorter delay would send more than the slowest 5 % of the calls twice."""
    assert hedging.delay_s("read", idempotent=True) == pytest.approx(0.95, rel=0.15)


def test_operation_without_recorded_durations_is_not_hedged(hedging):
    """Without recorded durations no call can be classified as slow."""
    assert hedging.delay_s("other", idempotent=True) is None


def test_second_attempts_are_bounded(hedging):
    """Unbounded second attempts would double the load of a slow service."""
    assert sum(hedging.try_start() for _ in range(100)) in (9, 10)
