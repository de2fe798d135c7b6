"""Guard against estimated durations that are wrong, stale or not finite."""

from __future__ import annotations

from random import Random

import pytest

from lentilroad.sketch import DurationSketch


def test_sketch_follows_the_quantiles():
    """An estimated quantile must be close to the exact quantile."""
    random = Random(1)
    sketch = DurationSketch(decay_observations=1e6)
    values = sorted(random.lognormvariate(1.0, 1.0) for _ in range(5000))
    for value in random.sample(values, len(values)):
        sketch.observe(value)
    for quantile in (0.1, 0.5, 0.9):
        exact = values[int(quantile * len(values))]
        assert sketch.quantile_s(quantile) == pytest.approx(exact, rel=0.15)


def test_old_observations_decay():
    """The estimate for a tool that became slow must not follow its old durations."""
    sketch = DurationSketch(decay_observations=50.0)
    for _ in range(1000):
        sketch.observe(0.5)
    for _ in range(200):
        sketch.observe(20.0)
    assert sketch.quantile_s(0.5) == pytest.approx(20.0, rel=0.15)


def test_many_observations_keep_the_weights_finite():
    """Growing weights must be rescaled before they overflow."""
    sketch = DurationSketch(decay_observations=10.0)
    for _ in range(10_000):
        sketch.observe(2.0)
    assert sketch.remaining_s(0.0) == pytest.approx(2.0, rel=0.15)


def test_remaining_time_of_an_unusually_long_pause_grows():
    """A pause longer than any observed one must not be expected to end soon."""
    sketch = DurationSketch()
    for _ in range(100):
        sketch.observe(1.0)
    assert sketch.remaining_s(60.0) >= 60.0
