"""Checks of requests that ended without an answer around planned stops."""

from __future__ import annotations

from pathlib import Path

import pytest

from lentilroad.soak.stops import StopChecks
from lentilroad.soak.world import ProgramProcess
from lentilroad.standins.platform_worker import Run, RunLog

STARTED_S = 10.0
READY_S = 16.0


def _violations(folder: Path, error: Exception, sent_s: float, ready_s: float) -> int:
    entry = ProgramProcess(
        role="entry", number=0, folder=folder, store_address="127.0.0.1:1"
    )
    entry.started_s = STARTED_S
    entry.ready_s = ready_s
    checks = StopChecks()
    checks.record_unanswered("r", entry, error, sent_s=sent_s, now_s=sent_s + 4.0)
    run = Run(request_id="r", target="/", body=b"", worker=("i", 0), received_s=READY_S)
    return len(checks.violations(RunLog(runs={"r": [run]})))


@pytest.mark.parametrize("ready_s", [READY_S, STARTED_S - 5.0])
def test_caller_that_gives_up_on_a_loading_process_does_not_count(
    ready_s: float, tmp_path: Path
) -> None:
    """Guard against findings on a busy machine about requests that nobody had read."""
    assert _violations(tmp_path, TimeoutError(), STARTED_S + 3.0, ready_s) == 0


# LOST: requests that were cut off, or waited for an entry without an end.
@pytest.mark.parametrize(
    ("error", "sent_s"),
    [
        (ConnectionResetError(), STARTED_S + 3.0),
        (ConnectionResetError(), READY_S + 1.0),
        (TimeoutError(), READY_S + 1.0),
        (TimeoutError(), STARTED_S - 1.0),
    ],
)
def test_request_without_an_answer_counts(
    error: Exception, sent_s: float, tmp_path: Path
) -> None:
    """Guard against a check that excuses a cut connection or a request that hangs."""
    assert _violations(tmp_path, error, sent_s, READY_S) == 1
