"""Small deployment on loopback: the project's programs, stand-ins and clients.

The programs run with the commands of ``deploy/system.toml``. The platform's store is
the project's stand-in; each machine reaches it through a proxy of its own, so that the
store can turn single machines away.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from lentilroad.standins.platform_store import MetadataStoreStandIn

ROOT = Path(__file__).resolve().parents[2]
REGIONS = ("dakar", "saint-louis", "thies")
HOST = "ficu95.example"
TOKENS_PER_EVENT = 10
EVENTS_PER_TURN = 3
TOKENS_PER_TURN = TOKENS_PER_EVENT * EVENTS_PER_TURN
RETENTION_S = 60.0
GRACE_S = 8.0
DISK_MB = 380
CLIENT_TIMEOUT_S = 8.0
READ_BYTES = 65536
# Bounds of demands/cpd-porting-grown.toml.
TENANT_BOUNDS = """RevokeWhenPartitioned = false
RevokeMs = 5000
QuotaWindowS = 5
QuotaOverage = 0.1
QuotaSlack = 20
"""


class CannotRunError(Exception):
    """The deployment does not work even without a disruption."""


class Record:
    """Lines of ``record.txt``: what was sent, answered and run, with seconds.

    Parameters
    ----------
    path : Path
        File to write.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def elapsed_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.elapsed_s():8.3f}  {text}\n")
        self._file.flush()


class Link:
    """Proxy to one server, with a delay, that can turn its callers away.

    Attributes
    ----------
    delay_s : float
        Delay of each chunk of bytes, one way.
    refusing : bool
        Whether connections are reset.
    """

    def __init__(self, *, target: str, delay_s: float = 0.0) -> None:
        self.address = ""
        self.delay_s = delay_s
        self.refusing = False
        # Monotonic time of the first connection that was reset.
        self.first_refused_s: float | None = None
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Listen on an address "ip:port"; port 0 selects a free port."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        bound_host, bound_port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{bound_host}:{bound_port}"

    def turn_away(self) -> None:
        """Reset all connections, and new ones until `refusing` is set to False."""
        self.refusing = True
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refusing:
            self.first_refused_s = self.first_refused_s or time.monotonic()
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        both = (writer, target_writer)
        self._writers.update(both)
        try:
            await asyncio.gather(
                self._forward(reader, target_writer),
                self._forward(target_reader, writer),
            )
        finally:
            for each in both:
                self._writers.discard(each)
                each.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        loop = asyncio.get_running_loop()

        async def deliver() -> None:
            while True:
                due_s, data = await queue.get()
                await asyncio.sleep(max(0.0, due_s - loop.time()))
                if not data:
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()

        delivery = asyncio.ensure_future(deliver())
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                queue.put_nowait((loop.time() + self.delay_s, data))
        queue.put_nowait((loop.time() + self.delay_s, b""))
        with contextlib.suppress(OSError):
            await delivery


@dataclass(slots=True, kw_only=True)
class Run:
    """One run of a request at a worker."""

    request_id: str
    worker: str
    target: str
    method: str
    body: bytes
    headers: dict[str, str]
    at_s: float


class Worker:
    """Worker of a service: streams events under ``/turn/``, answers elsewhere.

    Attributes
    ----------
    event_gap_s : float
        Time that each event takes.
    work_s : float
        Time that each other answer takes.
    crashes_on : bytes
        Body that crashes the worker as soon as it begins to run; empty for none.
    """

    def __init__(self, *, worker_id: str, runs: list[Run], record: Record) -> None:
        self.worker_id = worker_id
        self.address = ""
        self.crashes_on = b""
        # Called after a crash; starts the worker again.
        self.on_crash: Callable[[], None] = lambda: None
        self.starts = 0
        self.event_gap_s = 0.01
        self.work_s = 0.02
        self._runs = runs
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, or after a crash on the former one."""
        host, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.starts += 1

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The caller closed the connection.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        method, target, _ = head[0].split(" ")
        request_id = headers.get("lentilroad-attempt-id", "")
        echo = f"Lentilroad-Attempt-Id: {request_id}\r\nKeep-Alive: timeout=10\r\n"
        if headers.get("lentilroad-expected-instance") != self.worker_id:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\n{echo}"
                "Lentilroad-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        self._runs.append(
            Run(
                request_id=request_id,
                worker=self.worker_id,
                target=target,
                method=method,
                body=body,
                headers=headers,
                at_s=self._record.elapsed_s(),
            )
        )
        self._record.line(f"worker {self.worker_id} runs {request_id} {target}")
        if self.crashes_on and body == self.crashes_on:
            self._record.line(f"worker {self.worker_id} crashes")
            self.close()
            self.on_crash()
            return False
        sealed = f"HTTP/1.1 200 OK\r\n{echo}Lentilroad-Response-Seal: {request_id}\r\n"
        if "/turn/" not in target:
            await asyncio.sleep(self.work_s)
            answer = f"answer {request_id}"
            writer.write(
                f"{sealed}Content-Length: {len(answer)}\r\n\r\n{answer}".encode()
            )
            await writer.drain()
            return True
        writer.write(
            f"{sealed}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, EVENTS_PER_TURN + 1):
            await asyncio.sleep(self.event_gap_s)
            event = f"id: {number}\ndata: {request_id}-{number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def turn_output(request_id: str) -> bytes:
    """Return what a turn adds to its conversation after its input."""
    return b"".join(
        f"{request_id}-{number}\n".encode() for number in range(1, EVENTS_PER_TURN + 1)
    )


def _run_command(role: str) -> list[str]:
    document = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
    return document["roles"][role]["run"].split()


class Machine:
    """Machine with one process of the project.

    Parameters
    ----------
    role : str
        ``entry`` or ``storage``.
    number : int
        Number within the role; determines the region.
    """

    def __init__(
        self,
        *,
        role: str,
        number: int,
        ip: str,
        ports: tuple[int, int, int, int],
        folder: Path,
        record: Record,
        with_tenants: bool = False,
    ) -> None:
        self.role = role
        self._with_tenants = with_tenants
        kind = "frontend" if role == "entry" else "storage"
        self.region = REGIONS[number % len(REGIONS)]
        self.name = f"{kind}-{self.region}-a-{number // len(REGIONS) + 1}"
        self.ip = ip
        self.client_port, self.ready_port, self.peer_port, self.last_port = ports
        self.store_link: Link | None = None
        self.process: asyncio.subprocess.Process | None = None
        self._first_start = True
        self._folder = folder / self.name
        self._folder.mkdir()
        self._record = record

    async def start(self) -> None:
        """Start the process with the settings that are in effect now."""
        assert self.store_link is not None
        settings = self._folder / "settings.toml"
        settings.write_text(self._settings(), encoding="utf-8")
        self._first_start = False
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["LANG"] = "C.UTF-8"
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["LENTILROAD_BOOT"] = str(settings)
        with (self._folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *_run_command(self.role),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.line(f"{self.name} starts, process {self.process.pid}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self._record.line(f"{self.name} gets {number.name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.send(signal.SIGKILL)
        await self.process.wait()

    def wipe(self) -> None:
        """Empty the disk of a process that does not run."""
        self._record.line(f"{self.name} loses its disk")
        shutil.rmtree(self._folder / "disk", ignore_errors=True)

    def log_text(self) -> str:
        """Return what the process has written."""
        return (self._folder / "log").read_text(encoding="utf-8", errors="replace")

    def _settings(self) -> str:
        zones = "\n".join(f'{region}-a = "{region}"' for region in REGIONS)
        has_disk = self.role == "storage"
        kind = "storage" if has_disk else "frontend"
        disk = f'DataDirectory = "{self._folder / "disk"}"\n' if has_disk else ""
        listen = (
            ""
            if has_disk
            else (
                f'Frontend = "{self.ip}:{self.client_port}"\n'
                f'Ready = "{self.ip}:{self.ready_port}"\n'
            )
        )
        assert self.store_link is not None
        more_contracts = ', "tenants"' if self._with_tenants else ""
        more_bounds = TENANT_BOUNDS if self._with_tenants else ""
        return f"""NodeName = "{self.name}"
Role = "{self.role}"
MachineClass = "{kind}"
Serves = ["{kind}"]
IpAddress = "{self.ip}"
Zone = "{self.region}-a"
Region = "{self.region}"
InternalPortRange = [{self.peer_port}, {self.last_port}]
SeedNodes = []
Bootstrap = {"true" if self._first_start else "false"}
CountsTowardTolerance = {"true" if has_disk else "false"}
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatIntervalMs = 1200
{disk}Contracts = ["base", "drain", "config", "cost", "recover", "agent", "stream", \
"engine", "platform"{more_contracts}]
[Zones]
{zones}
[ListenAddresses]
{listen}[Limits]
CpuShare = 0.817
CpuCores = 1
MemoryMb = 170
FileDescriptors = 4100
LinkMbps = 1000.0
DiskMb = {DISK_MB if has_disk else 0}
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StabilityWindowMs = 4000
AckTimeoutMs = 5000
CatchUpS = 4.4
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
{more_bounds}[Platform]
Address = "{self.store_link.address}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


@dataclass(slots=True, kw_only=True)
class Answer:
    """What a client saw of one attempt.

    Attributes
    ----------
    status : int
        Status, or 0 if the connection ended without one.
    whole : bool
        Whether the answer was complete.
    """

    request_id: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False

    def tokens(self) -> int:
        """Return the tokens of the events that were received."""
        return TOKENS_PER_EVENT * self.body.count(b"\n\n")


class Deployment:
    """All machines and stand-ins of one case."""

    def __init__(self, *, record: Record, folder: Path, seed: int) -> None:
        self.record = record
        self.source = random.Random(seed)
        self.store = MetadataStoreStandIn()
        self.runs: list[Run] = []
        # Time at which each request was sent, by its id.
        self.sent_s: dict[str, float] = {}
        self.workers: list[Worker] = []
        self.entries: list[Machine] = []
        self.storages: list[Machine] = []
        self._folder = folder
        self._links: list[Link] = []
        self._ids = 0
        self._network = f"127.{self.source.randint(20, 220)}"
        self._ports = _free_ports(f"{self._network}.1.1")

    async def prepare(
        self,
        *,
        entries: int = 6,
        storages: int = 3,
        tenants: list[dict[str, object]] | None = None,
    ) -> None:
        """Start the stand-ins, write the first configuration, create the machines."""
        await self.store.start("127.0.0.1", 0)
        for number in range(6):
            worker = Worker(worker_id=f"i-{number}", runs=self.runs, record=self.record)
            await worker.start()
            self.workers.append(worker)
            await self.register_worker(number)
        await self.store.put("op/config", configuration(version=1, tenants=tenants))
        for role, count, machines in (
            ("storage", storages, self.storages),
            ("entry", entries, self.entries),
        ):
            for number in range(count):
                ip = f"{self._network}.{1 if role == 'entry' else 2}.{number + 1}"
                machine = Machine(
                    role=role,
                    number=number,
                    ip=ip,
                    ports=self._ports,
                    folder=self._folder,
                    record=self.record,
                    with_tenants=tenants is not None,
                )
                machine.store_link = await self.open_link(self.store.address)
                machines.append(machine)

    async def open_link(
        self, target: str, *, at: str = "127.0.0.1:0", delay_s: float = 0.0
    ) -> Link:
        """Start a proxy."""
        link = Link(target=target, delay_s=delay_s)
        await link.start(at)
        self._links.append(link)
        return link

    async def register_worker(self, number: int, state: str = "ready") -> None:
        """Write the entry of a worker, as it does itself."""
        worker = self.workers[number]
        region = REGIONS[number % len(REGIONS)]
        entry = {
            "Service": "models" if number < 3 else "app",
            "Address": worker.address,
            "Zone": f"{region}-a",
            "Version": "v1",
            "Slots": 8,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": 1_700_000_000_000 + 1000 * worker.starts + number,
        }
        await self.store.put(f"servers/{worker.worker_id}", json.dumps(entry).encode())

    async def start_machines(self) -> None:
        """Start all processes within 0.3 s."""
        for machine in [*self.storages, *self.entries]:
            await machine.start()
            await asyncio.sleep(0.02)

    async def end_turning_away(self, machines: list[Machine], for_s: float) -> None:
        """Let the store serve machines again `for_s` after it first refused one."""
        links = [machine.store_link for machine in machines]
        first_s: float | None = None
        while first_s is None or time.monotonic() < first_s + for_s:
            await asyncio.sleep(0.02)
            refused_s = [link.first_refused_s for link in links if link is not None]
            first_s = min((s for s in refused_s if s is not None), default=None)
        for link in links:
            assert link is not None
            link.refusing = False
        self.record.line("the store serves all machines again")

    async def wait_ready(self, entries: list[Machine], timeout_s: float) -> bool:
        """Wait until entries report that they are ready; return whether they do."""
        deadline_s = time.monotonic() + timeout_s
        for entry in entries:
            while not await self.is_ready(entry):
                if time.monotonic() > deadline_s:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def is_ready(self, entry: Machine) -> bool:
        """Return whether an entry reports that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    entry.ip, entry.ready_port
                )
                writer.write(
                    b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def new_id(self) -> str:
        """Return a new attempt id."""
        self._ids += 1
        return f"{self._ids:04x}{self.source.getrandbits(48):012x}"

    async def turn(
        self,
        entry: Machine,
        *,
        program: str,
        text: str,
        budget: int,
        previous: str = "",
        leave_after_s: float | None = None,
    ) -> Answer:
        """Send one turn; with `leave_after_s` the client closes its connection."""
        headers = {
            "Lentilroad-Model": "m",
            "Lentilroad-Program-Id": program,
            "Lentilroad-Session-Id": f"s{program}",
            "Lentilroad-Finish-Milliseconds": "20000",
            "Lentilroad-Token-Budget": str(budget),
            "Lentilroad-Token-Counts": f"100,{TOKENS_PER_TURN}",
        }
        if previous:
            headers["Lentilroad-Previous-Turn"] = previous
        return await self.send(
            entry,
            "POST",
            "/lohu930/turn/x",
            text.encode(),
            headers,
            leave_after_s=leave_after_s,
        )

    async def send(
        self,
        entry: Machine,
        method: str,
        target: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        *,
        leave_after_s: float | None = None,
    ) -> Answer:
        """Send one request on a new connection and read the answer."""
        request_id = self.new_id()
        answer = Answer(request_id=request_id)
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"Lentilroad-Attempt-Id: {request_id}",
            "Lentilroad-Deadline-Milliseconds: 3000",
            *(f"{name}: {value}" for name, value in (headers or {}).items()),
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        notes = {
            name: value
            for name, value in (headers or {}).items()
            if name
            in (
                "Lentilroad-Program-Id",
                "Lentilroad-Token-Budget",
                "Lentilroad-Previous-Turn",
            )
        }
        self.sent_s[request_id] = self.record.elapsed_s()
        self.record.line(f"client sends {request_id} to {entry.name} {target} {notes}")
        try:
            async with asyncio.timeout(leave_after_s or CLIENT_TIMEOUT_S):
                await _exchange(entry.ip, entry.client_port, head + body, answer)
        except TimeoutError:
            note = "leaves" if leave_after_s is not None else "gives up waiting"
            self.record.line(f"client {note}, {request_id}")
            return answer
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.record.line(f"connection of {request_id} ends: {error!r}")
            return answer
        self.record.line(
            f"answer to {request_id}: {answer.status}, whole {answer.whole}, "
            f"{answer.tokens()} tokens, "
            f"retry-after {answer.headers.get('retry-after', '-')}"
        )
        return answer

    async def turn_with_retries(
        self,
        entries: list[Machine],
        *,
        program: str,
        text: str,
        budget: int,
        previous: str = "",
        tries: int = 4,
    ) -> Answer:
        """Send a turn until it gets a final answer; each try reaches another entry."""
        answer = Answer(request_id="")
        for number in range(tries):
            answer = await self.turn(
                entries[number % len(entries)],
                program=program,
                text=text,
                budget=budget,
                previous=previous,
            )
            if answer.whole and answer.status not in (408, 421, 429, 502, 503, 504):
                break
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.3")))
        return answer

    async def close(self) -> None:
        """End all processes that this case started."""
        machines = [*self.entries, *self.storages]
        for machine in machines:
            if machine.process is not None and machine.process.returncode is None:
                machine.process.send_signal(signal.SIGCONT)
        await asyncio.gather(*(machine.kill() for machine in machines))
        for link in self._links:
            link.close()
        for worker in self.workers:
            worker.close()
        await self.store.close()


async def _exchange(ip: str, port: int, request: bytes, answer: Answer) -> None:
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(request)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        answer.headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        else:
            size = int(answer.headers.get("content-length", "0"))
            answer.body = await reader.readexactly(size)
        answer.whole = True
    finally:
        writer.transport.abort()


def _free_ports(ip: str) -> tuple[int, int, int, int]:
    """Return ports that are free now; each machine has an address of its own."""
    sockets = []
    for _ in range(4):
        probe = socket.socket()
        probe.bind((ip, 0))
        sockets.append(probe)
    ports = sorted(probe.getsockname()[1] for probe in sockets)
    for probe in sockets:
        probe.close()
    return ports[0], ports[1], ports[2], ports[3]


def configuration(
    *, version: int, tenants: list[dict[str, object]] | None = None
) -> bytes:
    """Return the operator's configuration: turns, charges and lookups."""
    more = {} if tenants is None else {"Tenants": tenants}
    routes = [
        {
            "Name": prefix.strip("/").replace("/", "-"),
            "Host": HOST,
            "Prefix": prefix,
            "Kind": kind,
            "TimeoutMs": 3000,
            "TargetLatencyMs": 250,
            "GapAimMs": 150,
            "Priority": 1,
            "Attempts": 2 if kind != "non_idempotent" else 1,
            "Service": "models" if kind == "streaming" else "app",
            "StickySessions": kind == "streaming",
            "RetainConversation": kind == "streaming",
            "RetentionS": RETENTION_S,
        }
        for kind, prefix in (
            ("streaming", "/lohu930/turn/"),
            ("non_idempotent", "/pule252/charge/"),
            ("idempotent", "/pule252/read/"),
        )
    ]
    return json.dumps(
        {
            **more,
            "Version": version,
            "Routes": routes,
            "Services": [
                {
                    "Name": "models",
                    "HealthCheckPath": "/health",
                    "MaxConnections": 150,
                    "Engine": {
                        "Slots": 8,
                        "KvCacheTokens": 97383,
                        "TokensPerEvent": TOKENS_PER_EVENT,
                    },
                },
                {"Name": "app", "HealthCheckPath": "/health", "MaxConnections": 110},
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }
    ).encode()


def run_case(
    case: Callable[[Deployment, bool], Awaitable[list[str]]],
    folder: Path,
    *,
    limit_s: float = 115.0,
) -> None:
    """Run a case and exit: 1 if it broke its rule, 0 if not, 2 if it could not run.

    Parameters
    ----------
    case : callable
        Receives the deployment and whether to disturb it; returns what broke the rule.
    folder : Path
        Folder of the case, for ``record.txt``.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.line(f"TROUBLE={1 if trouble else 0}")
    work = Path(tempfile.mkdtemp(prefix="case-"))

    async def run() -> list[str]:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.add_signal_handler(signal.SIGINT, task.cancel)
        deployment = Deployment(
            record=record, folder=work, seed=int(time.time()) ^ os.getpid()
        )
        try:
            async with asyncio.timeout(limit_s):
                return await case(deployment, trouble)
        finally:
            await asyncio.shield(deployment.close())

    code = 2
    try:
        broken = asyncio.run(run())
        for line in broken:
            record.line(f"BROKEN: {line}")
        code = 1 if broken else 0
    except CannotRunError as error:
        record.line(f"the case could not run: {error}")
    except (Exception, asyncio.CancelledError) as error:
        record.line(f"the case could not run: {error!r}")
    finally:
        if os.environ.get("KEEP_LOGS"):
            record.line("logs are kept")
            print(work)
        else:
            shutil.rmtree(work, ignore_errors=True)
    result = {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code]
    record.line(f"exit {code}: {result}")
    print(f"exit {code}: {result}; {record.elapsed_s():.0f} s")
    sys.exit(code)
