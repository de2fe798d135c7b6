"""Entries and storage members as processes on loopback, with stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import aiohttp

from lentilroad.soak.proxy import LinkFault, LinkProxy
from lentilroad.standins.platform_store import MetadataStoreStandIn
from lentilroad.standins.platform_worker import EVENTS_PER_TURN, RunLog, WorkerStandIn

REGIONS = ("north", "south", "west")
CLIENT_PORT = 18080
READY_PORT = 18081
PEER_PORTS = (18090, 18099)
METRICS_PORT = PEER_PORTS[1]
TOKENS_PER_EVENT = 10
MAX_TOKENS_PER_TURN = EVENTS_PER_TURN * TOKENS_PER_EVENT
RETENTION_S = 60.0
GRACE_S = 4.0
WORKER_SLOTS = 8
MEMORY_MB = 256
READY_POLL_S = 0.1
START_INTERVAL_S = 0.05
# Loopback networks of concurrent runs, and pairs of third octets within each.
NETWORKS = 200
MAX_THIRD_OCTETS = 120


class ProgramProcess:
    """Process of an entry or a storage member, which can be ended and restarted.

    Parameters
    ----------
    role : str
        ``entry`` or ``storage``.
    number : int
        Number within the role; determines the address and the region.
    folder : Path
        Folder of settings, disk and log.
    store_address : str
        Address of the metadata store.
    added_in : str
        Region of a machine that is added to a running deployment; empty for the
        machines of its first start.
    memory_mb : int
        Memory of the machine.
    file_descriptors : int
        Descriptors that the process may open.
    """

    def __init__(
        self,
        *,
        role: str,
        number: int,
        folder: Path,
        store_address: str,
        added_in: str = "",
        memory_mb: int = MEMORY_MB,
        file_descriptors: int = 4100,
    ) -> None:
        self.role = role
        self.name = f"{role}-{number}"
        # Each machine has its own loopback address, so that all use the same ports.
        # Concurrent runs use different networks: process ids that are close together
        # differ in the second octet, others in the third one.
        third_octet = 2 * (os.getpid() // NETWORKS % MAX_THIRD_OCTETS)
        third_octet += 0 if role == "entry" else 1
        self.ip = f"127.{10 + os.getpid() % NETWORKS}.{third_octet}.{number + 1}"
        self.region = added_in or REGIONS[number % len(REGIONS)]
        self.process: asyncio.subprocess.Process | None = None
        # Loop times of starts and signals; a process need not know what came before.
        self.disturbed_s: list[float] = []
        self.started_s = float("-inf")
        # Loop time at which the process was last seen to be ready.
        self.ready_s = float("-inf")
        self.store_link: LinkProxy | None = None
        # Held by the fault that ends or pauses the process.
        self.fault_lock = asyncio.Lock()
        # Whether the machine has left the deployment for good.
        self.removed = False
        self._folder = folder / self.name
        self._store_address = store_address
        self._first_start = not added_in
        self._memory_mb = memory_mb
        self._file_descriptors = file_descriptors
        self._folder.mkdir(parents=True)

    async def start(self) -> None:
        """Start the process with its settings."""
        settings = self._folder / "settings.toml"
        settings.write_text(self._settings(), encoding="utf-8")
        self._first_start = False
        self.started_s = asyncio.get_running_loop().time()
        self.disturbed_s.append(self.started_s)
        with (self._folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lentilroad.platform",
                self.role,
                "--settings",
                str(settings),
                stdout=log,
                stderr=log,
            )

    def was_loading(self, time_s: float) -> bool:
        """Return whether the newest process had started, but was not ready, at a time.

        An entry listens before it has loaded its modules.
        """
        if time_s < self.started_s:
            return False
        return self.ready_s < self.started_s or time_s < self.ready_s

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        self.disturbed_s.append(asyncio.get_running_loop().time())
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: signal.Signals) -> None:
        """Send a signal and wait for the exit; sends SIGKILL after `GRACE_S`."""
        if self.process is None:
            return
        self.send(number)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()

    def wipe(self) -> None:
        """Empty the disk of a process that is not running."""
        shutil.rmtree(self._folder / "disk", ignore_errors=True)

    def _settings(self) -> str:
        zones = "\n".join(f'{region}-a = "{region}"' for region in REGIONS)
        first = "true" if self._first_start else "false"
        return f"""NodeName = "{self.name}"
IpAddress = "{self.ip}"
Zone = "{self.region}-a"
Region = "{self.region}"
InternalPortRange = [{PEER_PORTS[0]}, {PEER_PORTS[1]}]
Bootstrap = {first}
DataDirectory = "{self._folder / "disk"}"
[Zones]
{zones}
[ListenAddresses]
Frontend = "{self.ip}:{CLIENT_PORT}"
Ready = "{self.ip}:{READY_PORT}"
[Limits]
MemoryMb = {self._memory_mb}
FileDescriptors = {self._file_descriptors}
DiskMb = 64
[FaultTolerance]
Machines = 1
[Bounds]
DrainMs = 2500
GracePeriodS = {GRACE_S}
ConfigApplyMs = 2500
CatchUpS = 4.4
PassMs = 250
[Platform]
Address = "{self._store_address}"
"""


class World:
    """All processes, stand-ins and links of one run.

    Parameters
    ----------
    folder : Path
        Folder of settings, disks and logs; retained after the run.
    source : random.Random
        Source of all random choices.
    retention_s : float
        Retention of conversations.
    worker_slots : int
        Slots of each worker.
    memory_mb : int
        Memory of each machine.
    """

    def __init__(
        self,
        *,
        folder: Path,
        source: random.Random,
        retention_s: float = RETENTION_S,
        worker_slots: int = WORKER_SLOTS,
        memory_mb: int = MEMORY_MB,
    ) -> None:
        self.retention_s = retention_s
        self._worker_slots = worker_slots
        self._memory_mb = memory_mb
        self.store = MetadataStoreStandIn()
        self.log = RunLog()
        self.entries: list[ProgramProcess] = []
        self.storages: list[ProgramProcess] = []
        # Storage machines that have left for good.
        self.removed: list[ProgramProcess] = []
        self.planned_stops = 0
        self.workers: list[WorkerStandIn] = []
        # One link to each worker, and one from each process to the metadata store.
        self.links: list[LinkProxy] = []
        self.worker_links: list[LinkProxy] = []
        self.configuration_version = 1
        # Loop time until which the store was disturbed; infinite during a disturbance.
        self.store_disturbed_until_s = float("-inf")
        self._worker_addresses: list[str] = []
        self._folder = folder
        self._source = source

    async def register_worker(self, number: int, state: str = "ready") -> None:
        """Write a worker's entry of the platform's list."""
        worker = self.workers[number]
        entry = _encode_worker(
            self._worker_addresses[number],
            number,
            worker.start_number,
            state,
            slots=self._worker_slots,
        )
        await self.store.put(f"servers/i-{number}", entry)

    async def start(self, *, entries: int = 3, storages: int = 3) -> None:
        """Start all stand-ins and processes and write the first configuration."""
        await self.store.start("127.0.0.1", 0)
        for number in range(4):
            worker = WorkerStandIn(
                instance_id=f"i-{number}", log=self.log, source=self._source
            )
            await worker.start("127.0.0.1")
            self.workers.append(worker)
            link = await self._open_link(worker.address)
            self.worker_links.append(link)
            self._worker_addresses.append(link.address)
            await self.register_worker(number)
        await self.store.put(
            "op/config", configuration(version=1, retention_s=self.retention_s)
        )
        for role, count, processes in (
            ("storage", storages, self.storages),
            ("entry", entries, self.entries),
        ):
            for number in range(count):
                if number:
                    # Starting all processes at once would exhaust the processor.
                    await asyncio.sleep(START_INTERVAL_S)
                processes.append(await self._start_process(role, number))

    async def add_storage(self, *, region: str) -> ProgramProcess:
        """Add a storage machine with an empty disk at a new address."""
        number = len(self.storages) + len(self.removed)
        process = await self._start_process("storage", number, region=region)
        self.storages.append(process)
        return process

    async def _start_process(
        self, role: str, number: int, *, region: str = ""
    ) -> ProgramProcess:
        link = await self._open_link(self.store.address)
        process = ProgramProcess(
            role=role,
            number=number,
            folder=self._folder,
            store_address=link.address,
            added_in=region,
            memory_mb=self._memory_mb,
        )
        process.store_link = link
        await process.start()
        return process

    async def _open_link(self, target: str) -> LinkProxy:
        link = LinkProxy(target=target)
        await link.start("127.0.0.1")
        self.links.append(link)
        return link

    async def disturb_store(
        self, kind: str, for_s: float, source: random.Random
    ) -> None:
        """Let the store refuse, lose or delay its replies, or forget its history.

        With ``unanswered``, only the replies to writes are lost.
        """
        self.store_disturbed_until_s = float("inf")
        try:
            if kind == "refuse":
                self.store.refusing = True
            elif kind == "silence":
                self.store.silent = True
            elif kind == "unanswered":
                self.store.loses_write_replies = True
            elif kind == "delay":
                self.store.delay_s = source.uniform(0.1, 0.4)
            else:
                self.store.hides_changes = True
            await asyncio.sleep(for_s)
        finally:
            self.store.refusing = self.store.silent = False
            self.store.loses_write_replies = False
            self.store.delay_s = 0.0
            if kind == "forget":
                await self.store.discard_history()
            self.store_disturbed_until_s = asyncio.get_running_loop().time()

    @staticmethod
    def heal(links: Sequence[LinkProxy]) -> None:
        """End the faults of links; connections that lost bytes are reset."""
        for link in links:
            if link.fault.drop_requests or link.fault.drop_replies:
                link.reset_connections()
            link.fault = LinkFault()

    async def wait_ready(self, timeout_s: float) -> None:
        """Wait until every entry is ready; raises `TimeoutError`."""
        async with asyncio.timeout(timeout_s):
            for entry in self.entries:
                await wait_until_ready(entry)

    async def close(self) -> None:
        """End all processes that this run started."""
        processes = [*self.entries, *self.storages, *self.removed]
        for process in processes:
            process.send(signal.SIGCONT)
        await asyncio.gather(*(p.end(signal.SIGKILL) for p in processes))
        for link in self.links:
            link.close()
        for worker in self.workers:
            worker.close()
        await self.store.close()


async def wait_until_ready(entry: ProgramProcess) -> None:
    """Wait until an entry is ready."""
    async with aiohttp.ClientSession() as session:
        while True:
            if await _is_ready(session, f"http://{entry.ip}:{READY_PORT}/readiness"):
                entry.ready_s = asyncio.get_running_loop().time()
                return
            await asyncio.sleep(READY_POLL_S)


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        # The process is not listening yet.
        return False


def version_prefix(version: int) -> str:
    """Return the path prefix of the route that a version of the configuration adds."""
    return f"/version-{version}/"


def configuration(
    *,
    version: int,
    kept_versions: Sequence[int] = (),
    retention_s: float = RETENTION_S,
) -> bytes:
    """Return the operators' configuration.

    Parameters
    ----------
    version : int
        Version, which adds a route of its own.
    kept_versions : sequence of int
        Earlier versions whose routes are kept.
    retention_s : float
        Retention of conversations.
    """
    added = [
        ("idempotent", version_prefix(number)) for number in (*kept_versions, version)
    ]
    routes = [
        {
            "Name": prefix.strip("/"),
            "Host": "soak.example",
            "Prefix": prefix,
            "Kind": kind,
            "TimeoutMs": 3000,
            "TargetLatencyMs": 250,
            "Attempts": 2,
            "Service": "svc",
            "RetainConversation": kind == "streaming",
            "RetentionS": retention_s,
        }
        for kind, prefix in (
            ("streaming", "/turn/"),
            ("non_idempotent", "/charge/"),
            ("idempotent", "/read/"),
            *added,
        )
    ]
    engine = {"Slots": 8, "TokensPerEvent": TOKENS_PER_EVENT}
    return json.dumps(
        {
            "Version": version,
            "Routes": routes,
            "Services": [{"Name": "svc", "Engine": engine}],
        }
    ).encode()


def _encode_worker(
    address: str, number: int, start_number: int, state: str, *, slots: int
) -> bytes:
    region = REGIONS[number % len(REGIONS)]
    return json.dumps(
        {
            "Service": "svc",
            "Address": address,
            "Zone": f"{region}-a",
            "Slots": slots,
            "State": state,
            "Sequence": 1,
            "born": start_number,
        }
    ).encode()
