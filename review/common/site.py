"""A small deployment on loopback, and the record of what happens in it."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from common.client import (
    HOST,
    REPEATED,
    TOKENS_PER_EVENT,
    Answer,
    Program,
    send_turn,
)
from common.machines import ZONES, Machine, Network
from common.store import Store
from common.worker import Worker

READY_WITHIN_S = 25.0
RETRY_PAUSE_S = 0.4
LIMIT_S = 118.0

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Lines of record.txt with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._loop = asyncio.get_running_loop()
        self._began_s = self._loop.time()

    def add(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self._loop.time() - self._began_s:8.3f} {text}\n")
        self._file.flush()

    def elapsed_s(self) -> float:
        """Return the seconds since the start."""
        return self._loop.time() - self._began_s


class Site:
    """Store, workers, entries and storage machines of one run.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings, logs and disks.
    record : Record
        Record of the run.
    retention_s : float
        ``RetentionS`` of the route of turns.
    """

    def __init__(
        self, *, folder: Path, record: Record, retention_s: float = 60.0
    ) -> None:
        self.store = Store()
        self.record = record
        self.workers: list[Worker] = []
        self.entries: dict[str, Machine] = {}
        self.storages: dict[str, Machine] = {}
        self.runs: list[tuple[str, str]] = []
        self._folder = folder
        self._network = Network()
        self._retention_s = retention_s
        self._store_ports: dict[str, str] = {}

    async def add_machine(self, role: str, name: str, zone: str) -> Machine:
        """Add a machine that does not run yet."""
        machine = Machine(
            role=role,
            name=name,
            zone=zone,
            ip=self._network.address(),
            folder=self._folder,
            network=self._network,
            store_address=await self.store.open_port(name),
        )
        machines = self.entries if role == "entry" else self.storages
        machines[name] = machine
        return machine

    async def start(self) -> None:
        """Start one entry and one storage machine in each zone, and wait for them."""
        for number, zone in enumerate(ZONES):
            await self._start_worker(f"w-{number}", zone)
        await self.store.put("op/config", self._configuration())
        for zone in ZONES:
            letter = zone[-1]
            await self.add_machine("storage", f"storage-{letter}", zone)
            await self.add_machine("entry", f"entry-{letter}", zone)
        machines = [*self.storages.values(), *self.entries.values()]
        await asyncio.gather(*(m.start(bootstrap=True) for m in machines))
        self.record.add("all machines started")
        await self.wait_ready()
        # Traffic starts some seconds after the machines, as on the sheets.
        await asyncio.sleep(3.0)

    async def wait_ready(self) -> None:
        """Wait until all entries answer 200 at their readiness address."""
        deadline_s = self.record.elapsed_s() + READY_WITHIN_S
        for name, entry in self.entries.items():
            while not await _is_ready(entry):
                if self.record.elapsed_s() > deadline_s:
                    raise CaseError(f"{name} did not become ready")
                await asyncio.sleep(0.1)
            self.record.add(f"{name} is ready")

    async def turn(
        self, entry: str, program: Program, *, input_bytes: int = 0
    ) -> Answer:
        """Send the next turn of a program once and record it."""
        previous = program.turns[-1] if program.turns else "-"
        answer = await send_turn(self.entries[entry], program, input_bytes=input_bytes)
        self.record.add(
            f"turn {answer.attempt} of {program.name} at {entry} after {previous}: "
            f"status {answer.status}, {'whole' if answer.whole else 'not whole'}, "
            f"{answer.events * TOKENS_PER_EVENT} tokens, "
            f"{program.tokens} of {program.budget} in all"
            + (f"; {answer.text}" if answer.status != 200 else "")
        )
        return answer

    async def turn_with_retries(
        self, entry: str, program: Program, tries: int = 5
    ) -> Answer:
        """Send the next turn until it is answered for good."""
        for number in range(tries):
            if number:
                await asyncio.sleep(RETRY_PAUSE_S)
            answer = await self.turn(entry, program)
            if answer.status not in REPEATED and answer.whole:
                break
        return answer

    async def close(self) -> None:
        """End all processes."""
        machines = [*self.entries.values(), *self.storages.values()]
        await asyncio.gather(*(machine.kill() for machine in machines))
        for worker in self.workers:
            worker.close()
        await self.store.close()
        self.record.add(f"requests that ran: {len(self.runs)}")

    async def _start_worker(self, worker_id: str, zone: str) -> None:
        worker = Worker(worker_id=worker_id, on_run=self._record_run)
        await worker.start()
        self.workers.append(worker)
        await self.store.put(
            f"servers/{worker_id}", worker_entry(worker.address, zone, "ready")
        )

    def _record_run(self, worker_id: str, attempt: str, body: bytes) -> None:
        self.runs.append((worker_id, attempt))
        self.record.add(f"{worker_id} runs {attempt}, {len(body)} bytes")

    def _configuration(self) -> bytes:
        turns = {
            "Name": "turns",
            "Host": HOST,
            "Prefix": "/turn/",
            "Kind": "streaming",
            "Service": "models",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 250,
            "GapAimMs": 150,
            "Attempts": 2,
            "Priority": 0,
            "StickySessions": True,
            "RetainConversation": True,
            "RetentionS": self._retention_s,
        }
        reads = {
            "Name": "reads",
            "Host": HOST,
            "Prefix": "/read/",
            "Kind": "idempotent",
            "Service": "models",
            "TimeoutMs": 1500,
            "TargetLatencyMs": 300,
            "Attempts": 2,
            "Priority": 2,
        }
        models = {
            "Name": "models",
            "HealthCheckPath": "/health",
            "MaxConnections": 150,
            "Engine": {
                "Slots": 8,
                "KvCacheTokens": 97383,
                "TokensPerEvent": TOKENS_PER_EVENT,
            },
        }
        limits = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        }
        return json.dumps(
            {
                "Version": 1,
                "Routes": [turns, reads],
                "Services": [models],
                "Limits": limits,
            }
        ).encode()


def worker_entry(address: str, zone: str, state: str) -> bytes:
    """Return what a worker writes about itself in the store."""
    return json.dumps(
        {
            "Service": "models",
            "Address": address,
            "Zone": zone,
            "Version": "1",
            "Slots": 8,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": 1771000000000,
        }
    ).encode()


def run_case(case: Callable[[Site, bool], Awaitable[int]], **options: float) -> None:
    """Run a case, write record.txt beside it, and exit with its result."""
    folder = Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(asyncio.run(_run(case, folder, trouble, options)))


async def _run(
    case: Callable[[Site, bool], Awaitable[int]],
    folder: Path,
    trouble: bool,
    options: dict[str, float],
) -> int:
    record = Record(folder / "record.txt")
    record.add(f"TROUBLE={int(trouble)}")
    with tempfile.TemporaryDirectory() as temporary:
        site = Site(folder=Path(temporary), record=record, **options)
        try:
            async with asyncio.timeout(LIMIT_S):
                await site.start()
                result = await case(site, trouble)
        except (CaseError, OSError, TimeoutError) as error:
            record.add(f"the case could not run: {error!r}")
            result = COULD_NOT_RUN
        finally:
            await site.close()
            _keep_logs(site)
    record.add(f"exit {result}")
    return result


def _keep_logs(site: Site) -> None:
    """Copy the logs of the processes to the folder that KEEP_LOGS names, if any."""
    keep = os.environ.get("KEEP_LOGS")
    if not keep:
        return
    folder = Path(keep)
    folder.mkdir(parents=True, exist_ok=True)
    for machine in (*site.entries.values(), *site.storages.values()):
        (folder / machine.name).write_text(machine.log_text())


async def _is_ready(entry: Machine) -> bool:
    host, port = entry.ready_address.split(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                return b" 200 " in await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False
