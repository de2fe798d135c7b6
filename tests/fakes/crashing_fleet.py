"""Workers that crash while they run certain requests, and come back later."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from lentilroad.membership.upstreams import UpstreamDirectory, UpstreamInstance
from tests.fakes.raw_server import raw_response

RUN_S = 0.04
DOWN_S = 0.5

Crashes = Callable[[bytes, bytes], bool]


class _Worker:
    """One worker; each start has another id at the same address."""

    def __init__(self, fleet: CrashingFleet) -> None:
        self._fleet = fleet
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._port = 0
        self.instance_id = ""

    async def start(self) -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        self.instance_id = f"i-{next(self._fleet.starts)}"
        self._fleet.register(
            UpstreamInstance(
                instance_id=self.instance_id,
                service="svc",
                address=f"127.0.0.1:{self._port}",
                availability_zone="z",
                slots=4,
            )
        )

    def stop(self) -> None:
        """End all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def crash(self) -> None:
        """End as a killed process, and start again later."""
        self._fleet.crashes += 1
        self.stop()
        await asyncio.sleep(DOWN_S)
        self._fleet.unregister(self.instance_id)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = [line.partition(b": ") for line in head.split(b"\r\n")]
        headers = {name.lower(): value.decode() for name, _, value in lines}
        body = await reader.readexactly(int(headers.get(b"content-length", 0)))
        target = head.split(b" ")[1]
        await asyncio.sleep(RUN_S / 2)
        self._fleet.runs.append((target, body))
        if self._fleet.crashes_instance(target, body):
            await asyncio.shield(self._fleet.start_task(self.crash()))
            return
        await asyncio.sleep(RUN_S / 2)
        writer.write(
            raw_response(
                b"data: x\n\n",
                Lentilroad_Attempt_Id=headers[b"lentilroad-attempt-id"],
                Lentilroad_Response_Seal="s",
            )
        )
        await writer.drain()


class CrashingFleet:
    """Workers of one service.

    Parameters
    ----------
    crashes_instance : callable
        Receives the target and the body of a request; returns whether the worker that
        runs it crashes.

    Attributes
    ----------
    directories : list of UpstreamDirectory
        Directories of the entries.
    runs : list of (bytes, bytes)
        Target and body of each request that began to run.
    """

    def __init__(self, *, crashes_instance: Crashes) -> None:
        self.crashes_instance = crashes_instance
        self.directories: list[UpstreamDirectory] = []
        self.runs: list[tuple[bytes, bytes]] = []
        self.crashes = 0
        self.starts = itertools.count()
        self.instances: dict[str, UpstreamInstance] = {}
        self.workers: list[_Worker] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, count: int) -> None:
        """Start workers."""
        self.workers = [_Worker(self) for _ in range(count)]
        for worker in self.workers:
            await worker.start()

    async def close(self) -> None:
        """Stop all workers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for worker in self.workers:
            worker.stop()

    def register(self, instance: UpstreamInstance) -> None:
        """Add a started worker to all directories."""
        self.instances[instance.instance_id] = instance
        for directory in self.directories:
            directory.update(instance)

    def unregister(self, instance_id: str) -> None:
        """Remove an ended worker from all directories."""
        self.instances.pop(instance_id, None)
        for directory in self.directories:
            directory.remove(instance_id)

    def start_task(self, coroutine) -> asyncio.Task[None]:
        """Start a task that outlives the connection of a request."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
