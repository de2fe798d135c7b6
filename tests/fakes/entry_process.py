"""One entry as a process on loopback, with a store and a worker."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from lentilroad.soak.world import CLIENT_PORT, ProgramProcess
from lentilroad.standins.platform_store import MetadataStoreStandIn
from tests.fakes.raw_server import RawRequest, raw_server

HOST = "soak.example"
START_GUARD_S = 30.0
ANSWER_GUARD_S = 20.0
RETRY_S = 0.05


def peak_mb(program: ProgramProcess) -> float:
    """Return the largest resident size of a running process so far in MiB."""
    status = Path(f"/proc/{_pid(program)}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the process has ended")


def _pid(program: ProgramProcess) -> int:
    process = program.process
    assert process is not None
    assert process.returncode is None, f"{program.name} has ended"
    return process.pid


@dataclass(slots=True, kw_only=True)
class EntryProcess:
    """Running entry and the figures that the kernel keeps of it."""

    program: ProgramProcess
    memory_mb: int

    def peak_mb(self) -> float:
        """Return the largest resident size so far in MiB."""
        return peak_mb(self.program)

    def open_sockets(self) -> int:
        """Return the number of descriptors that are sockets."""
        folder = Path(f"/proc/{_pid(self.program)}/fd")
        count = 0
        for descriptor in folder.iterdir():
            try:
                count += os.readlink(descriptor).startswith("socket:")
            except FileNotFoundError:
                continue  # Closed meanwhile.
        return count

    async def answer(self, port: int, path: str, accepted: set[int]) -> int:
        """Send one request until it has an accepted status, and return that status."""
        status = 0
        try:
            async with asyncio.timeout(ANSWER_GUARD_S):
                while status not in accepted:
                    status = await self._status_of_request(port, path)
                    await asyncio.sleep(RETRY_S)
        except TimeoutError:
            raise AssertionError(
                f"{path} was not served, last status {status}"
            ) from None
        return status

    async def _status_of_request(self, port: int, path: str) -> int:
        request = (
            f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            "Lentilroad-Attempt-Id: ordinary\r\n\r\n"
        )
        return await self.status_of(port, request.encode())

    async def status_of(self, port: int, request: bytes) -> int:
        """Send one request and return its status; 0 without an answer."""
        try:
            reader, writer = await asyncio.open_connection(self.program.ip, port)
        except ConnectionError:
            return 0
        try:
            writer.write(request)
            async with asyncio.timeout(ANSWER_GUARD_S / 4):
                line = await reader.readline()
            return int(line.split()[1]) if line else 0
        except (ConnectionError, TimeoutError):
            return 0
        finally:
            writer.transport.abort()


@asynccontextmanager
async def entry_process(
    *,
    folder: Path,
    memory_mb: int,
    file_descriptors: int,
    answer_bytes: int = 0,
    client_limits: dict[str, int],
) -> AsyncIterator[EntryProcess]:
    """Start an entry, whose worker answers with `answer_bytes`, and wait for it."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers["lentilroad-attempt-id"]
        writer.write(
            "HTTP/1.1 200 OK\r\n"
            f"Lentilroad-Attempt-Id: {request_id}\r\n"
            "Lentilroad-Instance-Id: i-0\r\n"
            f"Lentilroad-Response-Seal: {request_id}\r\n"
            f"Content-Length: {answer_bytes}\r\n\r\n".encode()
        )
        writer.write(bytes(answer_bytes))

    store = MetadataStoreStandIn()
    await store.start("127.0.0.1", 0)
    async with raw_server(answer) as worker:
        await store.put("servers/i-0", _registration(worker.address))
        await store.put("op/config", _configuration(client_limits))
        program = ProgramProcess(
            role="entry",
            number=0,
            folder=folder,
            store_address=store.address,
            memory_mb=memory_mb,
            file_descriptors=file_descriptors,
        )
        await program.start()
        entry = EntryProcess(program=program, memory_mb=memory_mb)
        try:
            async with asyncio.timeout(START_GUARD_S):
                await entry.answer(CLIENT_PORT, "/read/start", {200})
            yield entry
        finally:
            await program.end(signal.SIGKILL)
            await store.close()


def _registration(address: str) -> bytes:
    return json.dumps(
        {
            "Service": "svc",
            "Address": address,
            "Zone": "north-a",
            "Slots": 64,
            "State": "ready",
            "Sequence": 1,
            "born": 1,
        }
    ).encode()


def _configuration(client_limits: dict[str, int]) -> bytes:
    route = {
        "Name": "read",
        "Host": HOST,
        "Prefix": "/read/",
        "Kind": "idempotent",
        "TimeoutMs": 10_000,
        "TargetLatencyMs": 250,
        "Attempts": 2,
        "Service": "svc",
    }
    return json.dumps(
        {
            "Version": 1,
            "Routes": [route],
            "Services": [{"Name": "svc", "Engine": {"Slots": 64}}],
            "Limits": client_limits,
        }
    ).encode()
