"""Markdown tables of measured runs."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from lentilroad.bench.rows import average, select, spread
from lentilroad.bench.runs import RunResult
from lentilroad.bench.suites import LOADS, MEASURED, MECHANISMS, POLICIES, Runs

Column = tuple[str, Callable[[RunResult], float], str]

COLUMNS: tuple[Column, ...] = (
    ("p50 s", lambda r: r.p50_s, ".1f"),
    ("p95 s", lambda r: r.p95_s, ".0f"),
    ("late turns", lambda r: r.late_share, ".3f"),
    ("held token-s", lambda r: r.held_token_s, ".2g"),
    ("recomputed tokens", lambda r: r.recomputed_tokens, ".2g"),
    ("cross-region bytes", lambda r: r.cross_region_bytes, ".2g"),
    ("goodput", lambda r: r.goodput, ".3f"),
    ("refused", lambda r: r.refused, ".1f"),
    ("dropped", lambda r: r.dropped, ".1f"),
    ("unfinished", lambda r: r.unfinished, ".1f"),
    ("worst caller", lambda r: r.worst_caller, ".2f"),
)


def all_tables(runs: Runs) -> str:
    """Return the tables of every suite that has been run."""
    parts = []
    for deployment in MEASURED:
        if select(runs, deployment=deployment, load=0.3):
            parts.append(_load_table(runs, deployment))
            parts.append(_bound_table(runs, deployment))
    if any(spec.off for spec in runs):
        parts += [_ablation_table(runs, load) for load in (0.95, 1.3)]
    if any(spec.failure != "none" for spec in runs):
        parts.append(_failure_table(runs))
    if any(spec.closed_loop for spec in runs):
        parts.append(_variation_table(runs))
    return "\n\n".join(parts)


def _load_table(runs: Runs, deployment: str) -> str:
    rows = [
        (
            f"{load} {policy}",
            select(runs, deployment=deployment, policy=policy, load=load),
        )
        for load in LOADS
        for policy in POLICIES
    ]
    return _table(f"{deployment}, load and policy", rows)


def _bound_table(runs: Runs, deployment: str) -> str:
    lines = [
        f"### {deployment}, p95 against the lower bounds",
        "",
        "| load | p95 s | idle bound s | bound at load s | to idle | to at load |",
        "|---|---|---|---|---|---|",
    ]
    for load in LOADS:
        results = select(runs, deployment=deployment, policy="lentilroad", load=load)
        cells = [
            average(results, lambda r: r.p95_s),
            average(results, lambda r: r.bound_idle_p95_s),
            average(results, lambda r: r.bound_at_load_p95_s),
            average(results, lambda r: r.p95_s / r.bound_idle_p95_s),
            average(results, lambda r: r.p95_s / r.bound_at_load_p95_s),
        ]
        shown = " | ".join(
            format(cell, ".0f" if number < 3 else ".2f")
            for number, cell in enumerate(cells)
        )
        lines.append(f"| {load} | {shown} |")
    return "\n".join(lines)


def _ablation_table(runs: Runs, load: float) -> str:
    rows = [
        (
            off or "everything on",
            select(runs, deployment="ndende", policy="lentilroad", load=load, off=off),
        )
        for off in ("", *MECHANISMS)
    ]
    return _table(f"ndende at load {load}, one mechanism off", rows)


def _failure_table(runs: Runs) -> str:
    keys = {(s.deployment, s.failure) for s in runs if s.failure != "none"}
    rows = [
        (
            f"{deployment} {failure} {policy}",
            select(runs, deployment=deployment, failure=failure, policy=policy),
        )
        for deployment, failure in sorted(keys)
        for policy in ("lentilroad", "session-sticky")
    ]
    return _table("Failures", rows)


def _variation_table(runs: Runs) -> str:
    rows = []
    for label, fields in (
        ("memory 0.7", {"memory": 0.7}),
        ("memory 1", {}),
        ("memory 1.5", {"memory": 1.5}),
        ("closed loop", {"closed_loop": True}),
    ):
        for policy in ("lentilroad", "session-sticky"):
            found = select(runs, deployment="ndende", policy=policy, load=0.8, **fields)
            rows.append((f"{label} {policy}", found))
    return _table("ndende at load 0.8, memory and closed loop", rows)


def _table(title: str, rows: Iterable[tuple[str, Sequence[RunResult]]]) -> str:
    header = " | ".join(label for label, _, _ in COLUMNS)
    lines = [
        f"### {title}",
        "",
        f"| run | {header} |",
        "|---" * (len(COLUMNS) + 1) + "|",
    ]
    for label, results in rows:
        if not results:
            continue
        cells = [
            f"{average(results, measure):{form}} ± {spread(results, measure):{form}}"
            for _, measure, form in COLUMNS
        ]
        lines.append(f"| {label} | {' | '.join(cells)} |")
    return "\n".join(lines)
