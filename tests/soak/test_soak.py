"""A short seeded run of the real programs under faults."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from lentilroad.soak.main import run_soak


@pytest.mark.parametrize("seed", [1])
def test_no_promise_is_broken_under_faults(seed: int, tmp_path: Path) -> None:
    """Guard against faults that only separate processes show.

    Seeds that ever failed are kept here, each with a line on its cause.
    """
    findings = asyncio.run(
        run_soak(folder=tmp_path, seed=seed, duration_s=8.0, callers=4)
    )
    assert findings.violations == []
    assert findings.served > 0
