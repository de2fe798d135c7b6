"""Turns keep their copies while members change and fail at the same time."""

from __future__ import annotations

import pytest

from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes.storage_changes import ChangingCluster

DURATION_S = 40.0


@pytest.mark.parametrize(
    "seed",
    [
        *range(4),
        # A disk was reported complete while its claim of a slot had no answer.
        5,
        8,
    ],
)
def test_overlapping_changes_leave_each_turn_its_copies(seed: int) -> None:
    """Guard against turns lost or denied while they are stored during changes (LOST).

    Machines are added, replaced, retired, emptied, paused and restarted, links and
    disks are slow, and answers of the store are lost, all at the same time.
    """

    async def run() -> ChangingCluster:
        cluster = ChangingCluster(seed=seed)
        await cluster.run(DURATION_S)
        return cluster

    cluster = run_virtual(run())
    assert cluster.violations == []
    assert cluster.changes > 0
