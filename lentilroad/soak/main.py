"""Randomized soak of the platform's programs under faults.

Usage:
  soak [options]

Options:
  --seed SEED        Seed of programs and faults [default: 1].
  --seconds SECONDS  Duration [default: 20].
  --callers COUNT    Programs at the same time [default: 6].
  --entries COUNT    Entry processes [default: 3].
  --storages COUNT   Storage processes [default: 3].
  --series COUNT     Series of faults of processes that overlap; with 0, only
                     connections and the store fail [default: 2].
  --retention SECONDS  Retention of conversations [default: 60].
  --planned          Only planned work, in calm: entries are stopped with full workers,
                     and storage machines replaced and retired.
  --folder FOLDER    Folder of settings, disks and logs; a new temporary one when
                     omitted. It is kept when a guarantee was violated.

Exit codes:
  0  no guarantee was violated
  1  a guarantee was violated, or no request was served
"""

from __future__ import annotations

import asyncio
import json
import random
import shutil
import signal
import sys
import tempfile
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import aiohttp
from docopt import docopt

from lentilroad.soak.crashes import crash_worker
from lentilroad.soak.members import change_storage_machines, wait_until_complete
from lentilroad.soak.programs import Caller, Findings
from lentilroad.soak.proxy import LinkFault, LinkProxy
from lentilroad.soak.statements import LimitPeriod, StatementChecks
from lentilroad.soak.stops import stop_entries
from lentilroad.soak.world import (
    RETENTION_S,
    WORKER_SLOTS,
    ProgramProcess,
    World,
)

# Starting six processes takes many seconds on a busy machine.
START_TIMEOUT_S = 120.0
# Time after the last first join within which all entries know the list of members.
FORMATION_MARGIN_S = 2.0
# Bound on the catch-up of an empty disk; only after it may another disk be lost.
CATCH_UP_S = 4.4
IN_FLIGHT_WAIT_S = 2.0
# Requests that crash the workers that run them, sent at the same time.
CRASHING_REQUESTS = 2
# Conversations that go on for as long as the soak runs.
LONG_CONVERSATIONS = 4
# Callers of planned work that fill the slots of all workers.
CHARGING_CALLERS = 72
FEW_WORKER_SLOTS = 2
# Shares of a worker's faults: it states a limit, or leaves, also as the list has it.
LIMIT_SHARE = 0.6
LISTED_DRAIN_SHARE = 0.5


async def run_soak(
    *,
    folder: Path,
    seed: int,
    duration_s: float,
    callers: int,
    entries: int = 3,
    storages: int = 3,
    process_fault_series: int = 2,
    retention_s: float = RETENTION_S,
    planned: bool = False,
) -> Findings:
    """Run programs under random faults and return the findings."""
    source = random.Random(seed)
    world = World(
        folder=folder,
        source=source,
        retention_s=retention_s,
        worker_slots=FEW_WORKER_SLOTS if planned else WORKER_SLOTS,
    )
    caller = Caller(world=world, source=source)
    try:
        await world.start(entries=entries, storages=storages)
        await world.wait_ready(START_TIMEOUT_S)
        # The quorums of budgets move while storage machines join for the first time;
        # the platform lets callers in later.
        async with asyncio.timeout(START_TIMEOUT_S):
            await wait_until_complete(world)
        await asyncio.sleep(FORMATION_MARGIN_S)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            # Faults of one series follow one another; the series overlap.
            disk_loss = asyncio.Lock()
            changes = caller.findings.configurations
            work = [
                changes.change_regularly(world, source),
                changes.probe_regularly(world, session, source),
            ]
            if planned:
                work += [
                    stop_entries(world, source),
                    change_storage_machines(world, source, disk_loss, planned=True),
                ]
            else:
                work += _faults(world, caller, source, disk_loss, process_fault_series)
            faults = asyncio.gather(*work)
            crashes = set() if planned else _let_workers_crash(world, caller, source)
            running = [
                asyncio.create_task(run)
                for run in (
                    *(_repeat_programs(caller, session) for _ in range(callers)),
                    *(
                        caller.run_long_conversation(session)
                        for _ in range(LONG_CONVERSATIONS)
                    ),
                    *_further_requests(caller, session, planned=planned),
                )
            ]
            await asyncio.sleep(duration_s)
            for task in (faults, *running):
                task.cancel()
            World.heal(world.links)
            await asyncio.gather(faults, *running, *crashes, return_exceptions=True)
        # Requests still in flight at the workers may complete within this time.
        await asyncio.sleep(IN_FLIGHT_WAIT_S)
    finally:
        await world.close()
    caller.findings.check_runs(world)
    caller.findings.storage_changes = len(world.removed)
    caller.findings.planned_stops = world.planned_stops
    if planned:
        caller.findings.violations += caller.findings.stops.violations(world.log)
    return caller.findings


def _faults(
    world: World,
    caller: Caller,
    source: random.Random,
    disk_loss: asyncio.Lock,
    process_fault_series: int,
) -> list[Coroutine[Any, Any, None]]:
    """Return the series of all faults, which overlap."""
    faults = [
        _inject_store_faults(world, source),
        _inject_store_link_faults(world, source),
        _inject_link_faults(world, source),
    ]
    if process_fault_series:
        faults.append(change_storage_machines(world, source, disk_loss, planned=False))
    faults += [
        _inject_process_faults(world, source, disk_loss)
        for _ in range(process_fault_series)
    ]
    faults += [
        _inject_statements(world, number, source, caller.findings.statements)
        for number in range(len(world.workers))
    ]
    return faults


def _further_requests(
    caller: Caller, session: aiohttp.ClientSession, *, planned: bool
) -> list[Coroutine[Any, Any, None]]:
    """Return requests beside the programs: crashing ones, or ones that fill workers."""
    if planned:
        return [caller.charge_regularly(session) for _ in range(CHARGING_CALLERS)]
    return [caller.send_crashing_request(session) for _ in range(CRASHING_REQUESTS)]


def _let_workers_crash(
    world: World, caller: Caller, source: random.Random
) -> set[asyncio.Task[None]]:
    """Let each worker crash on certain requests; return the crashes under way."""
    under_way: set[asyncio.Task[None]] = set()

    def install(number: int) -> None:
        def crashes_on(body: bytes) -> bool:
            if not caller.findings.crashes.crashes_worker(body):
                return False
            task = asyncio.create_task(crash_worker(world, number, source))
            under_way.add(task)
            task.add_done_callback(under_way.discard)
            return True

        world.workers[number].crashes_on = crashes_on

    for number in range(len(world.workers)):
        install(number)
    return under_way


async def _repeat_programs(caller: Caller, session: aiohttp.ClientSession) -> None:
    while True:
        await caller.run_program(session)


async def _inject_statements(
    world: World, number: int, source: random.Random, checks: StatementChecks
) -> None:
    """Let one worker state limits, or leave and start again, in series."""
    worker = world.workers[number]
    clock = asyncio.get_running_loop().time
    while True:
        await asyncio.sleep(source.uniform(0.5, 4.0))
        if source.random() < LIMIT_SHARE:
            for _ in range(source.randint(1, 2)):
                worker.limit_per_s = round(source.uniform(0.2, 8.0), 1)
                period = LimitPeriod(
                    worker=(worker.instance_id, worker.start_number),
                    limit_per_s=worker.limit_per_s,
                    began_s=clock(),
                )
                checks.periods.append(period)
                await asyncio.sleep(source.uniform(3.0, 12.0))
                period.ended_s = clock()
            worker.limit_per_s = None
            continue
        worker.leaving = True
        if source.random() < LISTED_DRAIN_SHARE:
            await asyncio.sleep(source.uniform(0.0, 3.0))
            await world.register_worker(number, "draining")
        await asyncio.sleep(source.uniform(1.0, 6.0))
        worker.leaving = False
        worker.start_number += 1
        await world.register_worker(number)


async def _inject_process_faults(
    world: World, source: random.Random, disk_loss: asyncio.Lock
) -> None:
    while True:
        await asyncio.sleep(source.uniform(0.3, 1.5))
        kind = source.choice(["kill", "stop", "pause", "wipe", "lost"])
        if kind == "kill":
            await _restart(
                source.choice([*world.entries, *world.storages]),
                signal.SIGKILL,
                source.uniform(0.0, 1.0),
            )
        elif kind == "stop":
            await _restart(source.choice(world.entries), signal.SIGTERM, 0.1)
        elif kind == "pause":
            await _pause(
                source.choice([*world.entries, *world.storages]),
                source.uniform(0.2, 2.5),
            )
        elif kind == "wipe":
            async with disk_loss:
                await _replace_disk(source.choice(world.storages))
                await asyncio.sleep(CATCH_UP_S)
                await wait_until_complete(world)
        else:
            for worker in world.workers:
                worker.lost_reply_share = 0.05
            await asyncio.sleep(1.0)
            for worker in world.workers:
                worker.lost_reply_share = 0.0


async def _inject_store_faults(world: World, source: random.Random) -> None:
    while True:
        await asyncio.sleep(source.uniform(5.0, 15.0))
        kind = source.choice(["refuse", "silence", "delay", "forget", "unanswered"])
        await world.disturb_store(kind, source.uniform(0.5, 3.0), source)


async def _inject_store_link_faults(world: World, source: random.Random) -> None:
    """Cut, silence or reset the paths of some processes to the store, for long."""
    while True:
        await asyncio.sleep(source.uniform(0.5, 5.0))
        processes = [*world.entries, *world.storages]
        links = [
            process.store_link
            for process in source.sample(processes, len(processes) // 3)
            if process.store_link is not None
        ]
        kind = source.choice(["silence", "replies", "reset", "silent_for_good"])
        if kind in ("reset", "silent_for_good"):
            _end_connections(links, kind)
            continue
        for link in links:
            link.fault = LinkFault(drop_requests=kind == "silence", drop_replies=True)
        await asyncio.sleep(source.uniform(1.0, 10.0))
        World.heal(links)


async def _inject_link_faults(world: World, source: random.Random) -> None:
    half_of_links = len(world.links) // 2
    while True:
        await asyncio.sleep(source.uniform(0.3, 2.0))
        sound = [link for link in world.links if link.fault == LinkFault()]
        links = source.sample(sound, min(len(sound), source.randint(1, half_of_links)))
        kind = source.choice(
            ["delay", "requests", "answers", "silence", "reset", "silent_for_good"]
        )
        if kind in ("reset", "silent_for_good"):
            _end_connections(links, kind)
            continue
        fault = LinkFault(
            delay_s=source.uniform(0.02, 0.4) if kind == "delay" else 0.0,
            drop_requests=kind in ("requests", "silence"),
            drop_replies=kind in ("answers", "silence"),
        )
        for link in links:
            link.fault = fault
        await asyncio.sleep(source.uniform(0.2, 3.0))
        World.heal(links)


def _end_connections(links: list[LinkProxy], kind: str) -> None:
    """Reset open connections, or let them fall silent for good."""
    for link in links:
        if kind == "reset":
            link.reset_connections()
        else:
            link.blackhole_connections()


async def _restart(
    process: ProgramProcess, number: signal.Signals, pause_s: float
) -> None:
    async with process.fault_lock:
        # It may have left for good while another fault held the lock.
        if process.removed:
            return
        await process.end(number)
        await asyncio.sleep(pause_s)
        await process.start()


async def _pause(process: ProgramProcess, pause_s: float) -> None:
    async with process.fault_lock:
        process.send(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        process.send(signal.SIGCONT)


async def _replace_disk(process: ProgramProcess) -> None:
    async with process.fault_lock:
        await process.end(signal.SIGKILL)
        process.wipe()
        await process.start()


def main(arguments: list[str]) -> int:
    """Run the command; returns the exit code."""
    options = docopt(__doc__, argv=arguments)
    folder = Path(options["--folder"] or tempfile.mkdtemp(prefix="lentilroad-soak-"))
    findings = asyncio.run(
        run_soak(
            folder=folder,
            seed=int(options["--seed"]),
            duration_s=float(options["--seconds"]),
            callers=int(options["--callers"]),
            entries=int(options["--entries"]),
            storages=int(options["--storages"]),
            process_fault_series=int(options["--series"]),
            retention_s=float(options["--retention"]),
            planned=options["--planned"],
        )
    )
    passed = not findings.violations and findings.served > 0
    print(
        json.dumps(
            {
                "seed": int(options["--seed"]),
                "served": findings.served,
                "refused": findings.refused,
                "failed": findings.failed,
                "versions": len(findings.configurations.versions),
                "storage_changes": findings.storage_changes,
                "planned_stops": findings.planned_stops,
                "version_checks": findings.configurations.checked_probes,
                "violations": findings.violations[:10],
                "folder": "" if passed else str(folder),
            }
        )
    )
    if passed:
        shutil.rmtree(folder, ignore_errors=True)
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
