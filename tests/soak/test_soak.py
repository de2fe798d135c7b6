"""Short seeded soak of entries and storage members under faults."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from lentilroad.soak.main import run_soak


@pytest.mark.parametrize(
    "seed",
    [
        1,
        2,
        3,
        # The check took a late answer of a former start for one of the current start;
        # later, crashes of a request were not counted.
        523,
        # The drain of an instance that restarted while it left began anew.
        1026,
    ],
)
def test_no_guarantee_is_violated_under_faults(seed: int, tmp_path: Path) -> None:
    """Guard against violations that occur only between separate processes.

    Workers state limits and leave while processes are killed, stopped and frozen.

    Each seed that ever failed stays in the parameters, with a line on its cause.
    """
    findings = asyncio.run(
        run_soak(folder=tmp_path, seed=seed, duration_s=15.0, callers=20)
    )
    assert findings.violations == []
    assert findings.served > 0


# CONFIG: entries whose path to the store was silent stayed on an older version.
@pytest.mark.parametrize(
    "seed",
    [
        901,
        902,
        # The drain of an instance that restarted while it left began anew.
        1045,
    ],
)
def test_each_version_is_in_force_in_time_while_paths_to_the_store_fail(
    seed: int, tmp_path: Path
) -> None:
    """Guard against entries that fall behind while connections and the store fail."""
    findings = asyncio.run(
        run_soak(
            folder=tmp_path,
            seed=seed,
            duration_s=20.0,
            callers=6,
            process_fault_series=0,
        )
    )
    assert findings.violations == []
    assert findings.configurations.checked_probes > 0


@pytest.mark.parametrize("seed", [11, 12])
def test_planned_work_on_full_workers_cuts_no_request_off(
    seed: int, tmp_path: Path
) -> None:
    """Guard against requests cut off by planned stops, and lost conversations (LOST).

    Storage machines are replaced and retired meanwhile.
    """
    findings = asyncio.run(
        run_soak(folder=tmp_path, seed=seed, duration_s=20.0, callers=6, planned=True)
    )
    assert findings.violations == []
    assert findings.planned_stops > 0
    assert findings.storage_changes > 0


@pytest.mark.parametrize(
    ("seed", "storages"),
    [
        (13, 3),
        # Crashes of a request were merged, or cleared by a restarted coordinator.
        (2009, 3),
        # A turn was denied by an entry whose list lacked the machines that stored it.
        (2014, 5),
    ],
)
def test_no_conversation_is_lost_while_storage_machines_change(
    seed: int, storages: int, tmp_path: Path
) -> None:
    """Guard against conversations lost by lost answers and changed machines (LOST)."""
    findings = asyncio.run(
        run_soak(
            folder=tmp_path,
            seed=seed,
            duration_s=25.0,
            callers=6,
            storages=storages,
            retention_s=5.0,
        )
    )
    assert findings.violations == []
    assert findings.storage_changes > 0
