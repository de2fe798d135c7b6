"""Sets of runs and their execution in several processes."""

from __future__ import annotations

from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, fields

from lentilroad.bench.baselines import BASELINES
from lentilroad.bench.failures import FAILURES
from lentilroad.bench.runs import RunResult, RunSpec, run
from lentilroad.bench.sidecar_model import Mechanisms

SEEDS = (1, 2, 3, 4, 5)
LOADS = (0.3, 0.6, 0.8, 0.95, 1.3)
POLICIES = ("lentilroad", *BASELINES)
MEASURED = ("ndende", "hill-country")
MECHANISMS = tuple(field.name for field in fields(Mechanisms))
# The load at which the remaining engines can still carry everything.
FAILURE_LOAD = 0.6
RECOVERY_LOAD = 0.8

Runs = dict[RunSpec, RunResult]


def load_runs() -> list[RunSpec]:
    """Return every policy at every load."""
    return [
        RunSpec(deployment=deployment, policy=policy, load=load, seed=seed)
        for deployment in MEASURED
        for policy in POLICIES
        for load in LOADS
        for seed in SEEDS
    ]


def failure_runs() -> list[RunSpec]:
    """Return the failures for lentilroad and the sticky baseline."""
    return [
        RunSpec(
            deployment=deployment,
            policy=policy,
            load=FAILURE_LOAD,
            seed=seed,
            failure=failure,
        )
        for deployment in MEASURED
        for policy in ("lentilroad", "session-sticky")
        for failure in FAILURES
        if failure != "none"
        for seed in SEEDS
    ]


def recovery_runs() -> list[RunSpec]:
    """Return runs of the larger fleet in which an engine dies."""
    return [
        RunSpec(
            deployment="fleet",
            policy=policy,
            load=RECOVERY_LOAD,
            seed=seed,
            failure="engine-dies",
            warm_up_s=30.0,
            measured_s=125.0,
            stop_s=156.0,
        )
        for policy in ("lentilroad", "session-sticky")
        for seed in SEEDS
    ]


def ablation_runs() -> list[RunSpec]:
    """Return lentilroad with each mechanism off, near and above capacity."""
    return [
        RunSpec(deployment="ndende", policy="lentilroad", load=load, seed=seed, off=off)
        for off in MECHANISMS
        for load in (0.95, 1.3)
        for seed in SEEDS
    ]


def variation_runs() -> list[RunSpec]:
    """Return less and more memory, and closed-loop callers, at load 0.8."""
    specs = []
    for policy in ("lentilroad", "session-sticky"):
        for seed in SEEDS:
            base = {"policy": policy, "load": 0.8, "seed": seed}
            for memory in (0.7, 1.5):
                specs.append(RunSpec(deployment="ndende", memory=memory, **base))
            specs.append(RunSpec(deployment="ndende", closed_loop=True, **base))
    return specs


def ci_runs() -> list[RunSpec]:
    """Return a few short runs with a fixed seed."""
    return [
        RunSpec(
            deployment="ndende",
            policy=policy,
            load=load,
            seed=1,
            warm_up_s=30.0,
            measured_s=60.0,
            stop_s=100.0,
        )
        for policy in ("lentilroad", "session-sticky")
        for load in (0.8, 1.3)
    ]


SUITES = {
    "load": load_runs,
    "failure": failure_runs,
    "recovery": recovery_runs,
    "ablation": ablation_runs,
    "variation": variation_runs,
}


def run_all(specs: Iterable[RunSpec], *, workers: int) -> Runs:
    """Run all specs and return their results; the number of workers has no effect.

    Parameters
    ----------
    specs : iterable of RunSpec
        The runs.
    workers : int
        Processes; with 1 everything runs in this one.
    """
    ordered = list(specs)
    if workers == 1:
        return {spec: run(spec) for spec in ordered}
    with ProcessPoolExecutor(max_workers=workers) as pool:
        return dict(zip(ordered, pool.map(run, ordered), strict=True))


def to_plain(runs: Runs) -> list[dict[str, dict[str, object]]]:
    """Return runs as plain data for a file."""
    return [
        {"spec": asdict(spec), "result": asdict(result)}
        for spec, result in runs.items()
    ]


def from_plain(items: Iterable[dict[str, dict[str, object]]]) -> Runs:
    """Return runs from plain data."""
    return {
        RunSpec(**item["spec"]): RunResult(**item["result"])  # type: ignore[arg-type]
        for item in items
    }
