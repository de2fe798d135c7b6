"""Guard against hedging of calls that must not run twice, or without bound."""

from __future__ import annotations

import pytest

from lentilroad.request.hedging import HedgingPolicy
from lentilroad.request.retry import RetryBudget
from tests.fakes.clock import ManualClock


@pytest.fixture
def hedging():
    """Return a hedging that knows 100 calls of ``read`` from 10 to 1000 ms."""
    budget = RetryBudget(clock=ManualClock(), constant_per_s=0.0)
    hedging = HedgingPolicy(budget=budget)
    for number in range(100):
        hedging.record_answer("read", duration_s=0.01 * (number + 1))
    return hedging


def test_non_idempotent_call_is_never_hedged(hedging):
    """A booking must not be sent twice."""
    assert hedging.delay_s("read", idempotent=False) is None


def test_delay_is_the_learned_quantile(hedging):
    """Only the slowest calls may be sent twice."""
    assert hedging.delay_s("read", idempotent=True) == pytest.approx(0.95, rel=0.15)


def test_unknown_operation_is_not_hedged(hedging):
    """Without experience there is no unusual time."""
    assert hedging.delay_s("other", idempotent=True) is None


def test_second_attempts_are_bounded(hedging):
    """A slow service must not receive twice the load."""
    assert sum(hedging.try_start() for _ in range(100)) in (9, 10)
