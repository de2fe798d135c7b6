"""Bounds of callers on machines of several sizes."""

from __future__ import annotations

import pytest

from lentilroad.process.caller_bounds import (
    MIN_POOL_BYTES,
    RESERVED_DESCRIPTORS,
    caller_bounds,
)

MIB = 2**20


@pytest.mark.parametrize("memory_mb", [128, 150, 256, 4096])
def test_bounds_stay_within_the_machine(memory_mb: int) -> None:
    """Guard against pools that together exceed the memory of the machine."""
    bounds = caller_bounds(
        memory_mb=memory_mb, file_descriptors=4100, own_bytes=46 * MIB
    )
    held_bytes = bounds.bodies_bytes + bounds.answers_bytes
    assert 46 * MIB + held_bytes < memory_mb * MIB * 7 / 8
    assert bounds.connections >= 300
    # A third of the sockets remains for upstreams, storage members and the store.
    sockets = 4100 - RESERVED_DESCRIPTORS
    assert bounds.connections + 2 * bounds.text_connections <= sockets * 2 / 3


def test_few_descriptors_bound_the_connections() -> None:
    """Guard against callers that leave no descriptor for upstreams."""
    bounds = caller_bounds(memory_mb=256, file_descriptors=280, own_bytes=46 * MIB)
    sockets = bounds.connections + 2 * bounds.text_connections
    assert sockets < 280 - RESERVED_DESCRIPTORS


def test_small_machine_still_admits_one_body() -> None:
    """Guard against a budget of nothing on a machine with hardly any free memory."""
    bounds = caller_bounds(memory_mb=32, file_descriptors=100, own_bytes=46 * MIB)
    assert bounds.bodies_bytes == MIN_POOL_BYTES
    assert bounds.connections > 0
