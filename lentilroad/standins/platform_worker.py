"""Stand-in for the platform's workers that records the requests it ran."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

EVENTS_PER_TURN = 3
# Header by which callers recognize which start of a worker answered.
START_NUMBER = "Stand-In-Start"


@dataclass(slots=True, kw_only=True)
class Run:
    """One execution of a request by a worker.

    Attributes
    ----------
    worker : tuple of (str, int)
        Instance id and start number of the worker.
    received_s : float
        Loop time at which the request arrived.
    """

    request_id: str
    target: str
    body: bytes
    worker: tuple[str, int]
    received_s: float


@dataclass(slots=True, kw_only=True)
class RunLog:
    """Executions of all workers by request id."""

    runs: dict[str, list[Run]] = field(default_factory=dict)

    def add(self, run: Run) -> None:
        """Record one execution."""
        self.runs.setdefault(run.request_id, []).append(run)


class WorkerStandIn:
    """One worker: streams events under ``/turn/``, sends plain bodies elsewhere.

    Parameters
    ----------
    instance_id : str
        Instance id that requests must name; others get status 421.
    log : RunLog
        Log that records each execution.
    source : random.Random
        Random source of delays and faults.
    """

    def __init__(self, *, instance_id: str, log: RunLog, source: random.Random) -> None:
        self.instance_id = instance_id
        self.address = ""
        # Share of requests whose reply is lost after they have run.
        self.lost_reply_share = 0.0
        # Time that a charge takes, in seconds.
        self.charge_work_s = 0.0
        # Number of the current start; the platform's list has it as well.
        self.start_number = 1
        # Requests per second that the worker states to accept from all callers.
        self.limit_per_s: float | None = None
        # Whether the worker states that it leaves.
        self.leaving = False
        # Receives the body of each request that begins to run; returns whether the
        # worker crashed.
        self.crashes_on: Callable[[bytes], bool] = lambda body: False
        self._log = log
        self._source = source
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        bound_host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{bound_host}:{port}"

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:])
                }
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size)
                if not await self._handle_request(lines[0], headers, body, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The caller closed the connection.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_request(
        self,
        line: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request_id = headers["lentilroad-attempt-id"]
        common = (
            f"Lentilroad-Attempt-Id: {request_id}\r\n"
            f"Lentilroad-Instance-Id: {self.instance_id}\r\n"
            f"{START_NUMBER}: {self.start_number}\r\n"
        )
        if self.limit_per_s is not None:
            common += f"Server-Limit: {self.limit_per_s}\r\n"
        if self.leaving:
            common += "Server-Leaving: 1\r\n"
        if headers.get("lentilroad-expected-instance") != self.instance_id:
            writer.write(
                f"HTTP/1.1 421 Wrong\r\n{common}Content-Length: 0\r\n\r\n".encode()
            )
            return True
        target = line.split(" ")[1]
        self._log.add(
            Run(
                request_id=request_id,
                target=target,
                body=body,
                worker=(self.instance_id, self.start_number),
                received_s=asyncio.get_running_loop().time(),
            )
        )
        work_s = self.charge_work_s if target.startswith("/charge/") else 0.0
        await asyncio.sleep(work_s + self._source.uniform(0.005, 0.05))
        if self.crashes_on(body):
            return False
        if self._source.random() < self.lost_reply_share:
            return False
        sealed_head = (
            f"HTTP/1.1 200 OK\r\n{common}Lentilroad-Response-Seal: {request_id}\r\n"
        )
        if not target.startswith("/turn/"):
            answer = f"answer {request_id}".encode()
            writer.write(
                f"{sealed_head}Content-Length: {len(answer)}\r\n\r\n".encode() + answer
            )
            return True
        writer.write(f"{sealed_head}Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(EVENTS_PER_TURN):
            event = f"id: {number + 1}\ndata: {event_text(request_id, number)}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(0.005)
        writer.write(b"0\r\n\r\n")
        return True


def event_text(request_id: str, number: int) -> str:
    """Return the data of one event of a turn."""
    return f"{request_id}-{number}"


def turn_output(request_id: str) -> bytes:
    """Return the output that a turn appends to its conversation after its input."""
    return b"".join(
        event_text(request_id, number).encode() + b"\n"
        for number in range(EVENTS_PER_TURN)
    )
