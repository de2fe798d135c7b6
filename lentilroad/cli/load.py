"""``lentilroad load``: run generated programs and print latency percentiles."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
from pathlib import Path
from typing import Any

import aiohttp

from lentilroad.cli.const import CALLER_KEY_VARIABLE, EXIT_DONE, EXIT_FAULTS
from lentilroad.cli.errors import CommandError
from lentilroad.cli.operator import print_table
from lentilroad.cli.operator_client import URL_VARIABLE
from lentilroad.clock import SystemClock
from lentilroad.load.client import LoadClient
from lentilroad.load.results import ProgramResult, percentile, summarize
from lentilroad.load.workloads import HILL_COUNTRY, NDENDE, generate_programs

DEPLOYMENTS = {"ndende": NDENDE, "hill_country": HILL_COUNTRY}
PROGRESS_WIDTH = 30


def write_progress(done: int, total: int) -> None:
    """Draw a progress bar on standard error when it is a terminal."""
    if not sys.stderr.isatty():
        return
    filled = PROGRESS_WIDTH * done // max(1, total)
    bar = "#" * filled + "-" * (PROGRESS_WIDTH - filled)
    end = "\n" if done == total else ""
    sys.stderr.write(f"\r[{bar}] {done}/{total} programs{end}")
    sys.stderr.flush()


def draw_latencies(results: list[ProgramResult], path: Path) -> None:
    """Draw the distribution of program latencies to a PNG or SVG file.

    Raises
    ------
    CommandError
        matplotlib is not installed or the file type is not supported.
    """
    if path.suffix not in (".png", ".svg"):
        raise CommandError(f"the plot file {path} must end in .png or .svg")
    try:
        from matplotlib.figure import Figure
    except ImportError:
        raise CommandError("install lentilroad[plot] to draw plots") from None
    latencies_s = sorted(result.latency_s for result in results)
    figure = Figure(figsize=(7, 4), layout="constrained")
    axes = figure.add_subplot()
    fractions = [(index + 1) / len(latencies_s) for index in range(len(latencies_s))]
    axes.step(latencies_s, fractions, where="post")
    axes.set_xlabel("program latency (s)")
    axes.set_ylabel("fraction of programs")
    axes.grid(alpha=0.3)
    figure.savefig(path)


def _caller_key(arguments: dict[str, Any]) -> str:
    path = arguments["--key-file"]
    if path is not None:
        try:
            return Path(path).read_text(encoding="utf-8").strip()
        except OSError as error:
            raise CommandError(
                f"cannot read {path}: {error.strerror}; correct --key-file"
            ) from None
    key = os.environ.get(CALLER_KEY_VARIABLE)
    if not key:
        raise CommandError(
            f"no caller key; set {CALLER_KEY_VARIABLE} or use --key-file"
        )
    return key


def _base_url(arguments: dict[str, Any]) -> str:
    url = arguments["--url"] or os.environ.get(URL_VARIABLE)
    if not url:
        raise CommandError(f"no entry address; set {URL_VARIABLE} or use --url")
    return url.rstrip("/").removesuffix("/v1")


def run_load(arguments: dict[str, Any]) -> int:
    """Run ``lentilroad load`` and return its exit code."""
    return asyncio.run(_run_load(arguments))


async def _run_load(arguments: dict[str, Any]) -> int:
    deployment = DEPLOYMENTS.get(arguments["--deployment"])
    if deployment is None:
        raise CommandError(f"--deployment must be one of {sorted(DEPLOYMENTS)}")
    seed = int(arguments["--seed"])
    programs = generate_programs(
        deployment=deployment, count=int(arguments["--programs"]), seed=seed
    )
    concurrency_limit = asyncio.Semaphore(int(arguments["--concurrency"]))
    results: list[ProgramResult] = []
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        client = LoadClient(
            session=session,
            base_urls=[_base_url(arguments)],
            key=_caller_key(arguments),
            clock=SystemClock(),
            random_source=random.Random(seed),
        )

        async def run_program(index: int) -> None:
            async with concurrency_limit:
                results.append(await client.run(programs[index]))
            write_progress(len(results), len(programs))

        await asyncio.gather(*(run_program(index) for index in range(len(programs))))
    print_report(arguments, results)
    failed = any(result.state != "completed" or result.problems for result in results)
    return EXIT_FAULTS if failed else EXIT_DONE


def print_report(arguments: dict[str, Any], results: list[ProgramResult]) -> None:
    """Print the summary, and draw the plot when ``--plot`` is given."""
    if arguments["--plot"]:
        draw_latencies(results, Path(arguments["--plot"]))
    summary = summarize(results)
    if arguments["--json"]:
        sys.stdout.write(json.dumps(summary) + "\n")
        return
    latencies_s = [result.latency_s for result in results]
    first_token_s = [value for result in results for value in result.first_token_s]
    print_table(
        ["measure", "p50", "p90", "p95", "p99"],
        [
            [name, *(f"{percentile(values, q):.3f}" for q in (0.5, 0.9, 0.95, 0.99))]
            for name, values in (
                ("program latency (s)", latencies_s),
                ("first token (s)", first_token_s),
            )
        ],
    )
    sys.stdout.write(
        f"\n{summary['completed']} of {summary['programs']} programs completed, "
        f"{summary['turns']} turns, {summary['tokens']} tokens, "
        f"{summary['late_turns']} late turns\n"
    )
    for result in results:
        for problem in result.problems:
            sys.stdout.write(f"{result.name}: {problem}\n")
