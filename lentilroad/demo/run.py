"""Run the demonstration and print its table."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from importlib.resources import files
from pathlib import Path

import uvloop

from lentilroad.cli.load import write_progress
from lentilroad.cli.operator import print_table
from lentilroad.demo.const import PROGRAMS_PER_DEPLOYMENT
from lentilroad.demo.processes import StartError
from lentilroad.demo.scenario import Outcome, Scenario
from lentilroad.load.workloads import HILL_COUNTRY, NDENDE, Deployment

SEED = 7


def _text(deployment: Deployment) -> str:
    path = files("lentilroad.examples").joinpath(f"{deployment.name}.yaml")
    return path.read_text("utf-8")


def _subnet(number: int) -> str:
    # Runs of other processes use other loopback addresses.
    return f"127.{20 + os.getpid() % 200}.{number}"


async def run_demo(folder: Path) -> list[Outcome]:
    """Run both deployments side by side."""
    done = 0

    def on_progress() -> None:
        nonlocal done
        done += 1
        write_progress(done, 2 * PROGRAMS_PER_DEPLOYMENT)

    scenarios = []
    for number, deployment in enumerate((NDENDE, HILL_COUNTRY)):
        own_folder = folder / deployment.name
        own_folder.mkdir(parents=True, exist_ok=True)
        scenarios.append(
            Scenario(
                deployment=deployment,
                text=_text(deployment),
                key=f"example-{deployment.name.replace('_', '-')}-key",
                folder=own_folder,
                subnet=_subnet(number),
                seed=SEED,
                on_progress=on_progress,
            )
        )
    return list(await asyncio.gather(*(scenario.run() for scenario in scenarios)))


def print_outcomes(outcomes: list[Outcome]) -> bool:
    """Print the tables and the JSON line; return whether all is well."""
    measures = [
        "programs",
        "completed",
        "refused",
        "p50_program_latency_s",
        "p95_program_latency_s",
        "late_turns",
        "wasted_cache_tokens",
        "wasted_cache_token_seconds",
        "cross_region_bytes",
    ]
    names = [outcome.name for outcome in outcomes]
    print_table(
        ["measure", *names],
        [[name, *(o.summary.get(name, "") for o in outcomes)] for name in measures],
    )
    sys.stdout.write("\n")
    rows = []
    for index, promise in enumerate(outcomes[0].promises):
        both = [outcome.promises[index] for outcome in outcomes]
        checked = sum(one.checked for one in both)
        violated = sum(one.violated for one in both)
        rows.append([promise.name, checked, violated])
    print_table(["promise", "checked", "violated"], rows)
    for outcome in outcomes:
        for problem in outcome.problems:
            sys.stdout.write(f"{problem}\n")
    totals = {name: _total(outcomes, name) for name in measures}
    totals["promises"] = {
        name: {"checked": checked, "violated": violated}
        for name, checked, violated in rows
    }
    totals["deployments"] = {outcome.name: outcome.summary for outcome in outcomes}
    sys.stdout.write("\n" + json.dumps(totals) + "\n")
    completed = all(
        outcome.summary["completed"] == outcome.summary["programs"]
        for outcome in outcomes
    )
    return completed and all(violated == 0 for _, _, violated in rows)


def _total(outcomes: list[Outcome], name: str) -> float | int:
    values = [outcome.summary.get(name, 0) for outcome in outcomes]
    # Latencies are not added up: the slower deployment counts.
    return max(values) if "latency" in name else sum(values)


def main() -> int:
    """Run the demonstration and return its exit code."""
    with tempfile.TemporaryDirectory(prefix="lentilroad-demo-") as folder:
        kept = os.environ.get("LENTILROAD_DEMO_FOLDER", folder)
        try:
            outcomes = uvloop.run(run_demo(Path(kept)))
        except StartError as error:
            sys.stderr.write(f"{error}\n")
            return 1
        return 0 if print_outcomes(outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
