"""Decayed duration histograms for tool pauses and service latencies."""

from __future__ import annotations

import math

# With a growth of 25 % per bucket, 60 buckets span a ratio of 1 to 600,000.
SKETCH_BUCKETS = 60
SKETCH_SHORTEST_S = 0.05
SKETCH_LOG_WIDTH = math.log(1.25)
SKETCH_DECAY_OBSERVATIONS = 500.0
SKETCH_RESCALE_ABOVE = 1e12
# Below this share of the total weight, the tail has too few observations.
SKETCH_TAIL_SHARE = 1e-3
UNKNOWN_DURATION_S = 10.0


class DurationSketch:
    """Decayed histogram of durations with logarithmic buckets.

    Recent durations weigh more: after `decay_observations` further observations, a
    duration has lost about two thirds of its relative weight.

    Parameters
    ----------
    decay_observations : float
        Number of observations over which the weight of an old one decays.
    shortest_s : float
        Upper bound of the first bucket; shorter durations are not distinguished.
    """

    __slots__ = ("_growth", "_next_weight", "_shortest_s", "_total", "_weights")

    def __init__(
        self,
        *,
        decay_observations: float = SKETCH_DECAY_OBSERVATIONS,
        shortest_s: float = SKETCH_SHORTEST_S,
    ) -> None:
        self._shortest_s = shortest_s
        self._weights = [0.0] * SKETCH_BUCKETS
        self._growth = 1.0 + 1.0 / decay_observations
        self._next_weight = 1.0
        self._total = 0.0

    def observe(self, duration_s: float) -> None:
        """Record one duration, in seconds."""
        self._weights[self._bucket(duration_s)] += self._next_weight
        self._total += self._next_weight
        self._next_weight *= self._growth
        if self._next_weight > SKETCH_RESCALE_ABOVE:
            self._rescale()

    def quantile_s(self, quantile: float) -> float | None:
        """Return a quantile in seconds, None without observations."""
        if self._total <= 0.0:
            return None
        remaining_weight = quantile * self._total
        for index, weight in enumerate(self._weights):
            remaining_weight -= weight
            if remaining_weight <= 0.0 and weight > 0.0:
                return self._middle_s(index)
        return self._middle_s(SKETCH_BUCKETS - 1)

    def remaining_s(self, elapsed_s: float) -> float:
        """Return the mean remaining time of a duration that has lasted `elapsed_s`.

        When almost no observed duration was that long, the remaining time is estimated
        as `elapsed_s`, because the durations are heavy-tailed.
        """
        first = self._bucket(elapsed_s) if elapsed_s > 0.0 else 0
        weight_sum = 0.0
        remaining_sum_s = 0.0
        for index in range(first, SKETCH_BUCKETS):
            weight = self._weights[index]
            if weight > 0.0:
                weight_sum += weight
                remaining_sum_s += weight * max(0.0, self._middle_s(index) - elapsed_s)
        if weight_sum <= SKETCH_TAIL_SHARE * self._total:
            return max(UNKNOWN_DURATION_S, elapsed_s)
        return remaining_sum_s / weight_sum

    def _rescale(self) -> None:
        scale = 1.0 / self._next_weight
        self._weights = [weight * scale for weight in self._weights]
        self._total *= scale
        self._next_weight = 1.0

    def _bucket(self, duration_s: float) -> int:
        if duration_s <= self._shortest_s:
            return 0
        index = int(math.log(duration_s / self._shortest_s) / SKETCH_LOG_WIDTH)
        return min(SKETCH_BUCKETS - 1, index)

    def _middle_s(self, index: int) -> float:
        return self._shortest_s * math.exp(SKETCH_LOG_WIDTH * (index + 0.5))
