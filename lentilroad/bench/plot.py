"""Drawing of program latency against load."""

from __future__ import annotations

from pathlib import Path

from lentilroad.bench.rows import average, select, spread
from lentilroad.bench.suites import LOADS, MEASURED, POLICIES, Runs


def plot_latency(runs: Runs, path: Path) -> None:
    """Draw the p95 program latency of every policy with its spread over seeds."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(MEASURED), figsize=(12, 5), sharey=True)
    for axis, deployment in zip(axes, MEASURED, strict=True):
        for policy in POLICIES:
            groups = [
                select(runs, deployment=deployment, policy=policy, load=load)
                for load in LOADS
            ]
            axis.errorbar(
                LOADS,
                [average(group, lambda r: r.p95_s) for group in groups],
                yerr=[spread(group, lambda r: r.p95_s) for group in groups],
                label=policy,
                marker="o",
                capsize=3,
            )
        bounds = [
            select(runs, deployment=deployment, policy="lentilroad", load=load)
            for load in LOADS
        ]
        axis.plot(
            LOADS,
            [average(group, lambda r: r.bound_at_load_p95_s) for group in bounds],
            "k--",
            label="lower bound at load",
        )
        axis.set_title(deployment)
        axis.set_xlabel("load (share of capacity)")
    axes[0].set_ylabel("p95 program latency (s)")
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
