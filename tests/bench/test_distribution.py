"""Guard the distribution's targets at a small size, in virtual time."""

from __future__ import annotations

import pytest

from lentilroad.bench.distribution import (
    measure,
    measure_cold_start,
    percentile,
    slope,
)


def test_small_fleet_meets_the_targets():
    """Changes must reach every live process in time and within the service's rate."""
    result = measure(entry_count=24, sidecar_count=96, changes=3, seed=5)
    assert result["missing"] == 0
    assert result["p99_s"] <= 4.0
    assert result["after_outage"]["missing"] == 0
    assert result["after_outage"]["p99_s"] <= 4.0
    assert result["key_value"]["reads_per_s_peak"] < 200
    assert result["key_value"]["writes_per_s_peak"] < 50
    assert result["payload_bytes_per_process_and_change"] < 16_000


def test_percentile_and_slope():
    """A wrong percentile would report a target as met."""
    assert percentile(list(range(1, 101)), 0.99) == 99
    assert percentile([3.0], 0.99) == 3.0
    assert slope([(0, 1), (10, 21), (20, 41)]) == pytest.approx(2.0)


def test_cold_start_finds_the_only_reachable_peer():
    """A cold process must not depend on choosing the right peer by chance."""
    result = measure_cold_start(peer_count=60, trials=10, loss=0.0)
    assert result["max_s"] <= 2.0
