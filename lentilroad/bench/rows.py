"""Figures with their targets, one JSON object per line."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from statistics import mean, pstdev
from typing import Literal

import msgspec

from lentilroad.bench.baselines import BASELINES
from lentilroad.bench.runs import RunResult
from lentilroad.bench.suites import Runs

Better = Literal["lower", "higher"]
Measure = Callable[[RunResult], float]

# Targets of the design page.
P95_TO_BASELINE = 0.5
P95_TO_BOUND = 1.3
WASTED_TO_BASELINE = 0.2
LATE_TO_BASELINE = 0.3
GOODPUT_OVERLOADED = 0.95
RECOVERY_S = 10.0
WORST_CALLER = 1.5
DECISION_US = 100.0


class Row(msgspec.Struct, kw_only=True):
    """One figure; `baseline` is what it is compared with, None if nothing."""

    name: str
    # Mean over the seeds; `spread` is their standard deviation.
    value: float | None
    unit: str
    target: float | None
    better: Better
    met: bool | None
    baseline: float | None = None
    spread: float | None = None


def make_row(
    name: str,
    value: float,
    unit: str,
    *,
    target: float | None = None,
    better: Better = "lower",
    baseline: float | None = None,
    spread: float | None = None,
) -> Row:
    """Return a row; a value that is not finite misses every target."""
    met: bool | None = None
    if target is not None:
        met = value <= target if better == "lower" else value >= target
    return Row(
        name=name,
        value=_rounded(value),
        unit=unit,
        target=target,
        better=better,
        met=met,
        baseline=None if baseline is None else _rounded(baseline),
        spread=None if spread is None else _rounded(spread),
    )


def wasted(result: RunResult) -> float:
    """Return token-seconds held for ended programs plus recomputed tokens."""
    return result.held_token_s + result.recomputed_tokens


def select(runs: Runs, **fields: object) -> list[RunResult]:
    """Return the results whose spec has the given fields, others as default."""
    wanted = {"failure": "none", "off": "", "memory": 1.0, "closed_loop": False}
    wanted.update(fields)
    return [
        result
        for spec, result in runs.items()
        if all(getattr(spec, key) == value for key, value in wanted.items())
    ]


def average(results: Iterable[RunResult], measure: Measure) -> float:
    """Return the mean of a measure over seeds."""
    values = [measure(result) for result in results]
    return mean(values) if values else math.nan


def spread(results: Iterable[RunResult], measure: Measure) -> float:
    """Return the standard deviation of a measure over seeds."""
    values = [measure(result) for result in results]
    return pstdev(values) if values else math.nan


def load_rows(runs: Runs, deployment: str) -> list[Row]:
    """Return the comparison with the best baseline at load 0.8 and the overload."""
    ours = select(runs, deployment=deployment, policy="lentilroad", load=0.8)
    over = select(runs, deployment=deployment, policy="lentilroad", load=1.3)
    name = f"policy.{deployment}"
    rows = [
        _against_best(runs, f"{name}.{label}", deployment, measure, target)
        for label, measure, target in (
            ("p95_to_best_baseline", lambda r: r.p95_s, P95_TO_BASELINE),
            ("wasted_cache_to_best_baseline", wasted, WASTED_TO_BASELINE),
            ("late_turns_to_best_baseline", lambda r: r.late_share, LATE_TO_BASELINE),
        )
    ]
    for label, measure in (
        ("p95_to_idle_bound", lambda r: r.p95_s / r.bound_idle_p95_s),
        ("p95_to_bound_at_load", lambda r: r.p95_s / r.bound_at_load_p95_s),
    ):
        rows.append(
            make_row(
                f"{name}.{label}",
                average(ours, measure),
                "ratio",
                target=P95_TO_BOUND,
                spread=spread(ours, measure),
            )
        )
    sticky = select(runs, deployment=deployment, policy="session-sticky", load=0.8)
    sticky_bytes = average(sticky, lambda r: r.cross_region_bytes)
    rows.append(
        make_row(
            f"{name}.cross_region_bytes",
            average(ours, lambda r: r.cross_region_bytes),
            "bytes",
            target=sticky_bytes,
            baseline=sticky_bytes,
        )
    )
    rows.append(
        make_row(
            f"{name}.worst_caller",
            average(ours, lambda r: r.worst_caller),
            "ratio",
            target=WORST_CALLER,
            spread=spread(ours, lambda r: r.worst_caller),
        )
    )
    rows.append(
        make_row(
            f"{name}.goodput_at_1.3",
            average(over, lambda r: r.goodput),
            "share",
            target=GOODPUT_OVERLOADED,
            better="higher",
            baseline=max(
                average(
                    select(runs, deployment=deployment, policy=policy, load=1.3),
                    lambda r: r.goodput,
                )
                for policy in _baselines_in(runs)
            ),
            spread=spread(over, lambda r: r.goodput),
        )
    )
    dropped = sum(result.dropped for result in over + ours)
    rows.append(make_row(f"{name}.programs_dropped", dropped, "programs", target=0))
    return rows


def ci_rows(runs: Runs) -> list[Row]:
    """Return what holds in short runs already.

    Latencies are left out: most programs are longer than these runs.
    """
    fields = {"deployment": "ndende", "load": 0.8}
    ours = select(runs, policy="lentilroad", **fields)
    sticky = select(runs, policy="session-sticky", **fields)
    baseline = average(sticky, wasted)
    sticky_bytes = average(sticky, lambda r: r.cross_region_bytes)
    dropped = sum(r.dropped for spec, r in runs.items() if spec.policy == "lentilroad")
    return [
        make_row(
            "ci.wasted_cache_to_sticky",
            average(ours, wasted) / baseline,
            "ratio",
            target=WASTED_TO_BASELINE,
            baseline=baseline,
        ),
        make_row(
            "ci.cross_region_bytes",
            average(ours, lambda r: r.cross_region_bytes),
            "bytes",
            target=sticky_bytes,
            baseline=sticky_bytes,
        ),
        make_row("ci.programs_dropped", dropped, "programs", target=0),
    ]


def recovery_rows(runs: Runs) -> list[Row]:
    """Return the time until turns are back to normal after an engine's death."""
    fields = {"deployment": "fleet", "failure": "engine-dies"}
    ours = select(runs, policy="lentilroad", **fields)
    sticky = select(runs, policy="session-sticky", **fields)
    if not ours:
        return []
    return [
        make_row(
            "policy.fleet.recovery",
            average(ours, _recovery_s),
            "s",
            target=RECOVERY_S,
            baseline=average(sticky, _recovery_s),
            spread=spread(ours, _recovery_s),
        ),
        make_row(
            "policy.fleet.recovery_to_level_of_remaining_engines",
            average(ours, _settled_s),
            "s",
            baseline=average(sticky, _settled_s),
            spread=spread(ours, _settled_s),
        ),
    ]


def hedging_rows(measured: list[tuple[float, float, float]]) -> list[Row]:
    """Return the p99 of hedged calls and what it costs, from one triple per seed."""
    hedged, plain, attempts = (list(values) for values in zip(*measured, strict=True))
    return [
        make_row(
            "hedging.p99",
            mean(hedged),
            "s",
            baseline=mean(plain),
            spread=pstdev(hedged),
        ),
        make_row("hedging.attempts_per_call", mean(attempts), "ratio", baseline=1.0),
    ]


def failure_rows(runs: Runs) -> list[Row]:
    """Return the p95 under each failure and the programs that it dropped."""
    rows = []
    groups = {
        (spec.deployment, spec.failure)
        for spec in runs
        if spec.failure != "none" and spec.deployment != "fleet"
    }
    for deployment, failure in sorted(groups):
        fields = {"deployment": deployment, "failure": failure}
        ours = select(runs, policy="lentilroad", **fields)
        sticky = select(runs, policy="session-sticky", **fields)
        name = f"policy.{deployment}.{failure}"
        rows.append(
            make_row(
                f"{name}.p95",
                average(ours, lambda r: r.p95_s),
                "s",
                baseline=average(sticky, lambda r: r.p95_s),
                spread=spread(ours, lambda r: r.p95_s),
            )
        )
        dropped = sum(result.dropped for result in ours)
        rows.append(make_row(f"{name}.dropped", dropped, "programs", target=0))
    return rows


def _against_best(
    runs: Runs, name: str, deployment: str, measure: Measure, target: float
) -> Row:
    ours = average(
        select(runs, deployment=deployment, policy="lentilroad", load=0.8), measure
    )
    best = min(
        average(select(runs, deployment=deployment, policy=policy, load=0.8), measure)
        for policy in _baselines_in(runs)
    )
    ratio = ours / best if best > 0.0 else (0.0 if ours == 0.0 else math.inf)
    return make_row(name, ratio, "ratio", target=target, baseline=best)


def _baselines_in(runs: Runs) -> list[str]:
    present = {spec.policy for spec in runs}
    return [policy for policy in BASELINES if policy in present]


def _recovery_s(result: RunResult) -> float:
    return math.nan if result.recovery_s is None else result.recovery_s


def _settled_s(result: RunResult) -> float:
    return math.nan if result.settled_s is None else result.settled_s


def _rounded(value: float) -> float | None:
    if not math.isfinite(value):
        return None
    return float(f"{value:.4g}")
