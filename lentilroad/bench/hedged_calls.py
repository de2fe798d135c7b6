"""Latency of idempotent service calls with and without hedging, in virtual time.

Seven workers answer one call at a time. A call takes a log-normal time with a median
of 50 ms; one in fifty stalls for a second, as after a lost packet. Calls arrive at
half of the capacity and go to the shorter queue of two random workers.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from random import Random

from lentilroad.bench.events import EventClock
from lentilroad.request.hedging import HedgingPolicy
from lentilroad.request.retry import RetryBudget

WORKERS = 7
MEDIAN_S = 0.05
SIGMA = 0.4
STALL_SHARE = 0.02
STALL_S = 1.0
LOAD = 0.5
CALLS = 20_000


@dataclass(slots=True, kw_only=True, eq=False)
class _Call:
    started_s: float
    answered: bool = False


class _Workers:
    def __init__(self, *, seed: int, hedged: bool) -> None:
        self.clock = EventClock()
        self.latencies_s: list[float] = []
        self.attempts = 0
        self._random = Random(seed)
        self._hedged = hedged
        self._hedging = HedgingPolicy(budget=RetryBudget(clock=self.clock))
        self._queues: list[deque[_Call]] = [deque() for _ in range(WORKERS)]
        mean_s = MEDIAN_S * math.exp(SIGMA * SIGMA / 2.0) + STALL_SHARE * STALL_S
        self._rate = LOAD * WORKERS / mean_s

    def run(self) -> None:
        """Run all calls."""
        self._arrive(0)
        self.clock.run(math.inf)

    def _arrive(self, number: int) -> None:
        if number == CALLS:
            return
        call = _Call(started_s=self.clock.now_s)
        worker = self._attempt(call, excluded=-1)
        delay_s = self._hedging.delay_s("read", idempotent=self._hedged)
        if delay_s is not None:
            self.clock.after(delay_s, self._hedge, call, worker)
        self.clock.after(self._random.expovariate(self._rate), self._arrive, number + 1)

    def _hedge(self, call: _Call, worker: int) -> None:
        if not call.answered and self._hedging.try_start():
            self._attempt(call, excluded=worker)

    def _attempt(self, call: _Call, *, excluded: int) -> int:
        others = [n for n in range(WORKERS) if n != excluded]
        pair = self._random.sample(others, 2)
        worker = min(pair, key=lambda n: len(self._queues[n]))
        self._queues[worker].append(call)
        self.attempts += 1
        if len(self._queues[worker]) == 1:
            self._serve(worker)
        return worker

    def _serve(self, worker: int) -> None:
        queue = self._queues[worker]
        # A waiting attempt of an answered call is cancelled before it starts.
        while queue and queue[0].answered:
            queue.popleft()
        if not queue:
            return
        service_s = self._random.lognormvariate(math.log(MEDIAN_S), SIGMA)
        if self._random.random() < STALL_SHARE:
            service_s += STALL_S
        self.clock.after(service_s, self._finish, worker)

    def _finish(self, worker: int) -> None:
        call = self._queues[worker].popleft()
        if not call.answered:
            call.answered = True
            latency_s = self.clock.now_s - call.started_s
            self.latencies_s.append(latency_s)
            self._hedging.record_success("read", duration_s=latency_s)
        self._serve(worker)


def measure_hedging(seed: int) -> tuple[float, float, float]:
    """Return the p99 with and without hedging in seconds, and attempts per call."""
    values = []
    attempts = 1.0
    for hedged in (True, False):
        workers = _Workers(seed=seed, hedged=hedged)
        workers.run()
        ordered = sorted(workers.latencies_s)
        values.append(ordered[int(0.99 * len(ordered))])
        if hedged:
            attempts = workers.attempts / CALLS
    return values[0], values[1], attempts
