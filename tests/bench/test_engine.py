"""Guard against an engine model that computes or holds the wrong amount."""

from __future__ import annotations

import pytest

from lentilroad.bench.engine import (
    PREFILL_CHUNK,
    PREFILL_PER_TOKEN_S,
    STEP_BASE_S,
    STEP_PER_SEQUENCE_S,
    EngineEvents,
    EngineRequest,
    ModelEngine,
    capacity_turns_per_s,
    step_at_load,
)
from lentilroad.bench.events import EventClock


class Bench:
    """An engine and what its requests reported."""

    def __init__(self, capacity_tokens=100_000):
        self.clock = EventClock()
        self.done = []
        self.failed = []
        self.evicted = []
        self.engine = ModelEngine(
            name="e",
            clock=self.clock,
            capacity_tokens=capacity_tokens,
            events=EngineEvents(
                on_admit=lambda *_: None,
                on_evict=lambda _, key, tokens: self.evicted.append((key, tokens)),
            ),
        )

    def request(self, chain_id, own_tokens=1024, output_tokens=100):
        """Return a request of a chain with a short shared prefix."""
        return EngineRequest(
            chain_id=chain_id,
            shared_key="s",
            shared_tokens=0,
            own_tokens=own_tokens,
            output_tokens=output_tokens,
            on_first=lambda _: None,
            on_done=self.done.append,
            on_failed=self.failed.append,
        )

    def run(self, *requests):
        """Submit the requests and run to the end."""
        for request in requests:
            self.engine.submit(request)
        self.clock.run(1e9)


def test_time_of_one_request_follows_the_documented_costs():
    """Every figure rests on these costs."""
    bench = Bench()
    bench.run(bench.request("p"))
    chunk_s = STEP_BASE_S + PREFILL_CHUNK * PREFILL_PER_TOKEN_S
    expected_s = 4 * chunk_s + 100 * (STEP_BASE_S + STEP_PER_SEQUENCE_S)
    assert bench.clock.now_s == pytest.approx(expected_s)


def test_next_turn_computes_only_new_tokens():
    """A held prefix must not be computed again."""
    bench = Bench()
    bench.run(bench.request("p"))
    bench.run(second := bench.request("p", own_tokens=1024 + 100 + 50))
    assert second.own_cached_tokens == 1124
    assert second.uncached_tokens == 50


def test_memory_is_bounded_and_evicts_the_least_recently_used():
    """Cached and running tokens must fit the memory."""
    bench = Bench(capacity_tokens=2500)
    for chain_id in ("p", "q", "r"):
        bench.run(bench.request(chain_id))
    assert bench.evicted == [("p", 1124)]
    used = bench.engine.cached_tokens + bench.engine.active_tokens
    assert used <= 2500


def test_request_that_does_not_fit_waits_in_order():
    """The engine admits in order of arrival and within its memory."""
    bench = Bench(capacity_tokens=2000)
    requests = [bench.request(chain_id) for chain_id in ("p", "q", "r")]
    for request in requests:
        bench.engine.submit(request)
    assert bench.engine.running == 1
    assert bench.engine.waiting == 2
    bench.clock.run(1e9)
    assert bench.done == requests


def test_death_loses_requests_and_cache():
    """A dead engine must answer nothing and hold nothing."""
    bench = Bench()
    bench.run(bench.request("p"))
    bench.engine.submit(bench.request("q"))
    bench.engine.die()
    bench.run(bench.request("r"))
    assert [request.chain_id for request in bench.failed] == ["q", "r"]
    assert bench.engine.cached_tokens == bench.engine.active_tokens == 0


def test_capacity_is_the_inverse_of_the_step_time():
    """Load 1 must be the load at which a step takes its target time."""
    rate = capacity_turns_per_s(output_tokens=244, new_tokens=350, step_s=0.053)
    step_s = step_at_load(turns_per_s=rate, output_tokens=244, new_tokens=350)
    assert step_s == pytest.approx(0.053)
