"""Measure lentilroad and compare the figures with their targets.

Usage:
  bench [--ci] [--suite NAMES] [--workers N] [--results FILE] [--plot FILE] [--tables]

Options:
  --ci            Run only short deterministic runs with a fixed seed. Misses that
                  KNOWN-RED.txt lists are printed and do not fail the command.
  --suite NAMES   Comma-separated suites: load, failure, recovery, ablation,
                  variation, decision, hedging
                  [default: load,failure,recovery,decision,hedging].
  --workers N     Processes [default: 4].
  --results FILE  Keep the results of all runs in a file and take up those in it.
  --plot FILE     Draw the latency against the load of every policy.
  --tables        Print Markdown tables of all runs after the figures.

Prints one JSON object per line. Exits with 1 when a target is missed.
"""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec
from docopt import docopt

from lentilroad.bench.decision import decision_time_us
from lentilroad.bench.hedged_calls import measure_hedging
from lentilroad.bench.known_red import known_misses
from lentilroad.bench.rows import (
    DECISION_US,
    Row,
    ci_rows,
    failure_rows,
    hedging_rows,
    load_rows,
    make_row,
    recovery_rows,
)
from lentilroad.bench.suites import (
    SEEDS,
    SUITES,
    Runs,
    ci_runs,
    from_plain,
    run_all,
    to_plain,
)
from lentilroad.bench.tables import all_tables

FLEET_WORKERS = 3_900


def main(arguments: list[str] | None = None) -> int:
    """Run the command; return its exit status."""
    options = docopt(__doc__ or "", argv=arguments)
    if options["--ci"]:
        for name in sorted(known_misses()):
            print(f"known miss of the full run: {name}", file=sys.stderr)
        return _print_rows(ci_rows(run_all(ci_runs(), workers=1)), known_misses())
    suites = options["--suite"].split(",")
    runs = _runs(suites, int(options["--workers"]), options["--results"])
    rows = []
    for deployment in sorted({spec.deployment for spec in runs if "load" in suites}):
        if deployment != "fleet":
            rows += load_rows(runs, deployment)
    rows += failure_rows(runs) + recovery_rows(runs)
    if "decision" in suites:
        time_us = decision_time_us(workers=FLEET_WORKERS)
        rows.append(make_row("routing.decision", time_us, "us", target=DECISION_US))
    if "hedging" in suites:
        rows += hedging_rows([measure_hedging(seed) for seed in SEEDS])
    status = _print_rows(rows, set())
    if options["--tables"]:
        print(all_tables(runs))
    if options["--plot"]:
        from lentilroad.bench.plot import plot_latency

        plot_latency(runs, Path(options["--plot"]))
    return status


def _runs(suites: list[str], workers: int, file: str | None) -> Runs:
    path = Path(file) if file else None
    known: Runs = {}
    if path is not None and path.exists():
        known = from_plain(msgspec.json.decode(path.read_bytes()))
    for suite in suites:
        if suite not in SUITES:
            continue
        missing = [spec for spec in SUITES[suite]() if spec not in known]
        known.update(run_all(missing, workers=workers))
        if path is not None:
            path.write_bytes(msgspec.json.encode(to_plain(known)))
    return known


def _print_rows(rows: list[Row], known: set[str]) -> int:
    status = 0
    for row in rows:
        print(msgspec.json.encode(row).decode(), flush=True)
        if row.met is False and row.name in known:
            print(f"known miss: {row.name}", file=sys.stderr)
        elif row.met is False:
            print(f"missed: {row.name}", file=sys.stderr)
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
