"""Measure the slopes and write docs/capacity-own-interface.md.

Usage:
  capacity [--output=FILE]

Options:
  --output=FILE  Page to write [default: docs/capacity-own-interface.md].
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from pathlib import Path

import aiohttp
from docopt import docopt

from lentilroad.bench.distribution import SIZES, measure
from lentilroad.bench.entry import bench_layout, resident_mb, start
from lentilroad.capacity import measure as slopes
from lentilroad.capacity.fit import Slope, fit_slope
from lentilroad.capacity.page import Measured, render
from lentilroad.capacity.turns import turn_costs
from lentilroad.demo.processes import Processes

CHANGES = 2
IDLE_S = 3.0


async def idle_memory_mb(folder: Path) -> tuple[float, float]:
    """Return the resident memory of an idle entry and an idle sidecar."""
    layout = bench_layout(folder)
    processes = Processes(folder=folder)
    async with aiohttp.ClientSession() as session:
        try:
            await start(session, processes, layout)
            await asyncio.sleep(IDLE_S)
            entry, sidecar = layout.entries[0], layout.sidecars[0]
            return (
                resident_mb(processes.running[entry.name].pid),
                resident_mb(processes.running[sidecar.name].pid),
            )
        finally:
            await processes.stop_all()


def collect() -> Measured:
    """Run all measurements."""
    runs = [
        measure(entry_count=entries, sidecar_count=sidecars, changes=CHANGES)
        for entries, sidecars in SIZES
    ]

    def per_change(name: str, unit: str, figure: str) -> Slope:
        sizes = [run["entries"] + run["sidecars"] for run in runs]
        return fit_slope(name, unit, sizes, [run[figure] for run in runs])

    sidecar_heartbeat, pair_heartbeat = slopes.heartbeat_costs()
    turn_owner, turn_both, turn_bytes = turn_costs()
    with tempfile.TemporaryDirectory(prefix="lentilroad-capacity-") as folder:
        entry_mb, sidecar_mb = asyncio.run(idle_memory_mb(Path(folder)))
    return Measured(
        program=slopes.program_memory(),
        history=slopes.history_memory(),
        directory=slopes.directory_memory(),
        shard=slopes.shard_memory(),
        held_program=slopes.held_program_memory(),
        sidecar_heartbeat=sidecar_heartbeat,
        pair_heartbeat=pair_heartbeat,
        turn_owner=turn_owner,
        turn_both=turn_both,
        turn_bytes=turn_bytes,
        heartbeat_bytes=slopes.encoded_bytes(slopes.heartbeat()),
        pair_bytes=slopes.encoded_bytes(slopes.pair_heartbeat()),
        change_messages=per_change(
            "messages", "messages", "messages_per_process_and_change"
        ),
        change_bytes=per_change("payload", "B", "payload_bytes_per_process_and_change"),
        change_cpu=per_change(
            "processor time, with the simulation",
            "us",
            "simulation_cpu_us_per_process_and_change",
        ),
        change_p99=per_change("p99 from apply to in force", "s", "p99_s"),
        idle_messages_per_s=runs[-1]["idle_messages_per_entry_s"],
        idle_bytes_per_s=runs[-1]["idle_payload_bytes_per_entry_s"],
        key_value=runs[-1]["key_value"],
        key_value_after_outage=runs[-1]["after_outage"],
        entry_idle_mb=entry_mb,
        sidecar_idle_mb=sidecar_mb,
    )


def main(argv: list[str] | None = None) -> int:
    """Write the page."""
    options = docopt(__doc__ or "", argv=argv)
    path = Path(options["--output"])
    path.write_text(render(collect()), encoding="utf-8")
    sys.stdout.write(f"{os.fspath(path)} written\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
