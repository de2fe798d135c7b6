"""Run random fault schedules and judge their histories.

Usage:
  faults [--seed=N] [--count=M] [--focus=KINDS] [--jobs=J] [--events]
  faults (-h | --help)

Options:
  --seed=N       Seed of the first schedule; the others follow it [default: 1].
  --count=M      Number of schedules [default: 100].
  --focus=KINDS  Comma-separated kinds of faults to choose from.
  --jobs=J       Processes that run schedules [default: 2].
  --events       Print the history of each schedule.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from random import Random

from docopt import docopt

from lentilroad.faults.checkers import check
from lentilroad.faults.history import Event
from lentilroad.faults.schedule import FAULTS, make_schedule, run_schedule
from lentilroad.standins.virtual_loop import VirtualTimeLoop


class _ScheduleLoop(VirtualTimeLoop):
    """Virtual loop that never polls: schedules do no input or output.

    Polling took a third of the time of a schedule.
    """

    def __init__(self) -> None:
        super().__init__()
        self._selector.select = lambda timeout=None: []  # type: ignore[method-assign]


def run_seed(seed: int, kinds: Sequence[str] = FAULTS) -> tuple[list[Event], list[str]]:
    """Run the schedule of a seed and return its history and its violations."""
    random = Random(seed)
    faults = make_schedule(random, kinds=kinds)
    with asyncio.Runner(loop_factory=_ScheduleLoop) as runner:
        events = runner.run(run_schedule(random, faults))
    return events, check(events)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run schedules; return 1 when one of them violates an invariant."""
    options = docopt(__doc__ or "", argv=arguments)
    focus = options["--focus"]
    kinds = tuple(focus.split(",")) if focus else FAULTS
    unknown = set(kinds) - set(FAULTS)
    if unknown:
        print(f"unknown kinds {sorted(unknown)}; choose from {', '.join(FAULTS)}")
        return 2
    first = int(options["--seed"])
    count = int(options["--count"])
    started_s = time.monotonic()
    failed = 0
    seeds = range(first, first + count)
    for seed, (events, violations) in _run_seeds(seeds, kinds, int(options["--jobs"])):
        failed += bool(violations)
        _print_schedule(seed, events, violations, focus, options["--events"])
    elapsed_s = time.monotonic() - started_s
    summary = {
        "schedules": count,
        "failed": failed,
        "schedules_per_s": round(count / elapsed_s, 1),
    }
    print(json.dumps(summary))
    return 1 if failed else 0


def _run_seeds(
    seeds: Sequence[int], kinds: Sequence[str], jobs: int
) -> Iterator[tuple[int, tuple[list[Event], list[str]]]]:
    """Yield the result of each seed in order."""
    run = partial(run_seed, kinds=kinds)
    if jobs == 1 or len(seeds) == 1:
        _collect_rarely()
        yield from zip(seeds, map(run, seeds), strict=True)
        return
    with ProcessPoolExecutor(max_workers=jobs, initializer=_collect_rarely) as pool:
        yield from zip(seeds, pool.map(run, seeds, chunksize=4), strict=True)


def _collect_rarely() -> None:
    # Most garbage is freed by reference counts; full collections scan all modules.
    gc.freeze()
    gc.set_threshold(50_000)


def _print_schedule(
    seed: int,
    events: list[Event],
    violations: list[str],
    focus: str | None,
    with_events: bool,
) -> None:
    if with_events:
        for event in events:
            print(json.dumps(event))
    outcomes: dict[str, int] = {}
    for event in events:
        if event["event"] == "answer":
            outcome = event["code"] or event["outcome"]
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
    faults = [event["kind"] for event in events if event["event"] == "fault"]
    line = {"seed": seed, "faults": faults, "answers": outcomes}
    if violations:
        line["violations"] = violations
        focus_option = f" --focus={focus}" if focus else ""
        line["repeat"] = f"script/faults --seed={seed} --count=1{focus_option}"
    print(json.dumps(line))


if __name__ == "__main__":
    sys.exit(main())
