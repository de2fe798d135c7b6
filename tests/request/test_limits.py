"""Guard the limits that bound load: callers, retries, breaker and concurrency."""

from __future__ import annotations

from random import Random

import pytest

from lentilroad.errors import RateLimitedError
from lentilroad.request.breaker import CircuitBreaker
from lentilroad.request.concurrency import ConcurrencyLimit
from lentilroad.request.limits import CallerLimit, CallerLimits
from lentilroad.request.prefixes import PrefixTable
from lentilroad.request.retry import RetryBudget, backoff_s, next_delay_s
from tests.fakes.clock import ManualClock


@pytest.fixture
def clock():
    """Return a clock that the test advances."""
    return ManualClock()


def limits_of(clock, share=1.0, **fields):
    """Return limits for caller ``a``."""
    return CallerLimits(clock=clock, limits={"a": CallerLimit(**fields)}, share=share)


def count_admitted(limits, count, tokens=0):
    """Return how many of `count` simultaneous requests are admitted."""
    number = 0
    for _ in range(count):
        try:
            limits.admit_request("a", tokens=tokens)
        except RateLimitedError as error:
            assert error.outcome == "not_run"
            continue
        number += 1
    return number


def test_request_rate_follows_the_share_of_the_entry(clock):
    """Without the share, all entries together would admit more than the limit."""
    limits = limits_of(clock, share=0.5, requests_per_s=10.0)
    count_admitted(limits, 100)
    total = 0
    for _ in range(100):
        clock.now_s += 0.1
        total += count_admitted(limits, 10)
    assert total == pytest.approx(50, abs=1)


def test_retry_after_is_enough(clock):
    """A caller that waits for the returned time must be admitted."""
    limits = limits_of(clock, tokens_per_s=100.0)
    limits.admit_request("a", tokens=200)
    with pytest.raises(RateLimitedError) as refused:
        limits.admit_request("a", tokens=150)
    clock.now_s += refused.value.retry_after_ms / 1000.0
    limits.admit_request("a", tokens=150)


def test_request_above_the_burst_leaves_a_debt(clock):
    """A request above the burst must be admitted and delay the next requests."""
    limits = limits_of(clock, tokens_per_s=100.0)
    limits.admit_request("a", tokens=1000)
    clock.now_s += 5.0
    assert count_admitted(limits, 1, tokens=100) == 0
    clock.now_s += 5.0
    assert count_admitted(limits, 1, tokens=100) == 1


def test_zero_rate_admits_nothing(clock):
    """A limit of zero must refuse all requests, without a retry time."""
    with pytest.raises(RateLimitedError) as refused:
        limits_of(clock, requests_per_s=0.0).admit_request("a")
    assert refused.value.retry_after_ms is None


def test_new_share_grants_no_second_burst(clock):
    """A change of limits or share must not refill an empty bucket."""
    limits = limits_of(clock, requests_per_s=10.0)
    count_admitted(limits, 100)
    limits.replace(share=0.5)
    assert count_admitted(limits, 10) == 0


def test_open_programs_are_bounded(clock):
    """A program above the limit must be refused until another program is closed."""
    limits = limits_of(clock, programs=2)
    limits.open_program("a")
    limits.open_program("a")
    with pytest.raises(RateLimitedError):
        limits.open_program("a")
    limits.close_program("a")
    limits.open_program("a")


def test_retries_stay_below_their_share_of_successes(clock):
    """Retries without a budget multiply the load when all calls fail."""
    budget = RetryBudget(clock=clock, constant_per_s=0.0)
    for _ in range(200):
        budget.record_success()
    assert sum(budget.try_spend() for _ in range(1000)) in (19, 20)


def test_retry_delay_respects_the_deadline_and_retry_after(clock):
    """A retry must not precede the upstream's retry time or miss the deadline."""
    random = Random(1)
    delay_s = next_delay_s(
        attempt=1, now_s=0.0, deadline_s=9.0, random=random, retry_after_ms=2000
    )
    assert delay_s >= 2.0
    late = next_delay_s(
        attempt=1, now_s=8.0, deadline_s=9.0, random=random, retry_after_ms=2000
    )
    assert late is None
    assert all(0.0 <= backoff_s(attempt=n, random=random) <= 5.0 for n in range(99))


def test_hang_opens_the_breaker_and_one_probe_closes_it(clock):
    """An unresponsive upstream must receive no call except a single probe."""
    breaker = CircuitBreaker(clock=clock, hang_s=5.0, open_s=2.0)
    breaker.record_sent()
    clock.now_s = 4.0
    breaker.record_progress()
    clock.now_s = 8.0
    assert breaker.state == "closed"
    clock.now_s = 9.5
    assert breaker.state == "open"
    clock.now_s = 11.6
    assert breaker.allows()
    breaker.record_sent()
    assert not breaker.allows()
    breaker.record_success()
    assert breaker.state == "closed"


def test_idle_upstream_is_not_a_hang(clock):
    """Time without progress must not open the breaker if no call is in flight."""
    breaker = CircuitBreaker(clock=clock)
    clock.now_s = 1000.0
    breaker.record_sent()
    assert breaker.state == "closed"


def test_failed_probe_opens_for_longer(clock):
    """The interval between probes must grow while the upstream keeps failing."""
    breaker = CircuitBreaker(clock=clock, failures=1, open_s=2.0)
    breaker.record_sent()
    breaker.record_failure()
    clock.now_s = 2.5
    breaker.record_sent()
    breaker.record_failure()
    clock.now_s = 5.0
    assert breaker.state == "open"
    clock.now_s = 7.0
    assert breaker.state == "half_open"


def test_limit_converges_to_the_target(clock):
    """The limit must converge to the batch size that meets the target.

    A time per token of 0.05 s is reached at 100 calls in flight.
    """
    limit = ConcurrencyLimit(clock=clock, initial=4, time_per_token_target_s=0.05)
    observed_limits = []
    for _ in range(400):
        while limit.try_acquire():
            pass
        while limit.in_flight > limit.limit:
            limit.release()
        clock.now_s += 0.5
        limit.observe(time_per_token_s=0.01 + 0.0004 * limit.in_flight)
        observed_limits.append(limit.limit)
    assert min(observed_limits[-100:]) >= 85
    assert max(observed_limits[-100:]) <= 115


def test_limit_does_not_grow_while_it_does_not_bind(clock):
    """A limit that grows while it does not bind would admit an overload later."""
    limit = ConcurrencyLimit(clock=clock, initial=8)
    for _ in range(50):
        clock.now_s += 1.0
        limit.observe(time_per_token_s=0.01)
    assert limit.limit == 8


def test_prefix_table_is_bounded_and_consistent():
    """Records must stay within the bounds and be removed with their upstream."""
    table = PrefixTable(records_max=3, holders_max=2)
    for number in range(5):
        table.record(f"p{number}", address="x", tokens=10)
    assert len(table) == 3
    for tokens, address in ((5, "y"), (7, "z")):
        table.record("p4", address=address, tokens=tokens)
    assert dict(table.holders("p4")) == {"x": 10, "z": 7}
    table.remove_upstream("x")
    assert dict(table.holders("p4")) == {"z": 7}
    assert table.remove_key("p4") == ["z"]
    assert len(table) == 0
