"""The project's programs as processes on loopback addresses."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import socket
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
CATCH_UP_S = 4.4
STABILITY_WINDOW_S = 4.0
GRACE_S = 8
ZONES = ("north-a", "north-b", "north-c")
REGION = "north"


class Network:
    """Free ports, and loopback addresses at which they are free."""

    def __init__(self) -> None:
        self._prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._next_host = 1
        self.client_port, self.ready_port, first = self._ports()
        self.internal_ports = (first, first + 15)

    def address(self) -> str:
        """Return a new loopback address."""
        self._next_host += 1
        return f"{self._prefix}.{self._next_host}"

    def _ports(self) -> tuple[int, int, int]:
        while True:
            first = random.randint(12000, 28000)
            try:
                for port in range(first, first + 18):
                    with socket.socket() as probe:
                        probe.bind((f"{self._prefix}.1", port))
            except OSError:
                continue
            return first, first + 1, first + 2


class Machine:
    """One machine that runs one role of the deploy file.

    Parameters
    ----------
    role : str
        Role of the deploy file: ``entry`` or ``storage``.
    name, zone, ip : str
        Name, zone and loopback address.
    folder : Path
        Folder of the settings, the log and the disk.
    network : Network
        Ports of all machines.
    store_address : str
        Address of the platform's store.
    """

    def __init__(
        self,
        *,
        role: str,
        name: str,
        zone: str,
        ip: str,
        folder: Path,
        network: Network,
        store_address: str,
    ) -> None:
        self.name = name
        self.ip = ip
        self.client_address = f"{ip}:{network.client_port}"
        self.ready_address = f"{ip}:{network.ready_port}"
        self._role = role
        self._zone = zone
        self._folder = folder / name
        self._network = network
        self._store_address = store_address
        self._process: asyncio.subprocess.Process | None = None
        self._folder.mkdir(parents=True)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"][role]["run"].split()

    async def start(self, *, bootstrap: bool) -> None:
        """Start the process with the command of the deploy file."""
        settings = self._folder / "settings.toml"
        settings.write_text(self._settings(bootstrap=bootstrap))
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["LENTILROAD_BOOT"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._folder / "log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        self.signal(signal.SIGTERM)
        if self._process is None:
            return
        try:
            async with asyncio.timeout(GRACE_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()

    def wipe_disk(self) -> None:
        """Empty the disk; the process must not run."""
        shutil.rmtree(self._folder / "disk", ignore_errors=True)

    def log_text(self) -> str:
        """Return what the process has logged."""
        return (self._folder / "log").read_text(errors="replace")

    def _settings(self, *, bootstrap: bool) -> str:
        network = self._network
        zones = "\n".join(f'{zone} = "{REGION}"' for zone in ZONES)
        on_entry = self._role == "entry"
        machine_class = "frontend" if on_entry else "storage"
        disk = "" if on_entry else f'DataDirectory = "{self._folder / "disk"}"\n'
        listen = ""
        if on_entry:
            listen = (
                f'Frontend = "{self.client_address}"\nReady = "{self.ready_address}"\n'
            )
        first_port, last_port = network.internal_ports
        return f"""NodeName = "{self.name}"
Role = "{self._role}"
MachineClass = "{machine_class}"
Serves = ["{machine_class}"]
IpAddress = "{self.ip}"
Zone = "{self._zone}"
Region = "{REGION}"
InternalPortRange = [{first_port},{last_port}]
SeedNodes = []
Bootstrap = {str(bootstrap).lower()}
CountsTowardTolerance = {str(not on_entry).lower()}
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatIntervalMs = 1200
{disk}[Zones]
{zones}
[ListenAddresses]
{listen}[Limits]
CpuShare = 0.817
CpuCores = 1
MemoryMb = 300
FileDescriptors = 4100
LinkMbps = 1000.0
DiskMb = {0 if on_entry else 380}
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StabilityWindowMs = {int(1000 * STABILITY_WINDOW_S)}
AckTimeoutMs = 5000
CatchUpS = {CATCH_UP_S}
DrainMs = 2500
GracePeriodS = {GRACE_S}
LossSlackMs = 200
ConfigApplyMs = 2500
RollbackSlackMs = 250
OuterBoundMs = 6000
RecoveryS = 12
PassMs = 250
AgainS = 0
FinishS = 10
SettleMs = 1000
[Platform]
Address = "{self._store_address}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 200
ValueBytes = 1048576
TtlMinMs = 1000
"""
