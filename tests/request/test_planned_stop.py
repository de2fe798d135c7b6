"""A planned stop with full workers cuts no request off without an answer."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from lentilroad.process.gateway import drain
from lentilroad.version.routes import Route, RouteKind
from tests.fakes.gateway import ATTEMPT_ID, instance, route_table, serving_gateway
from tests.fakes.raw_server import RawRequest, raw_response, raw_server

GRACE_S = 2.0
TIMEOUT_S = 5.0
SEAL = {"Lentilroad_Response_Seal": "s"}
NOT_RUN = 503
UNKNOWN = 504


def _route(kind: RouteKind) -> Route:
    return Route(
        name=kind.value,
        host="h.example",
        prefix=f"/{kind.value}/",
        kind=kind,
        services=(("svc", 1),),
        timeout_s=TIMEOUT_S,
        target_latency_s=0.01,
        attempts=1 if kind is RouteKind.NON_IDEMPOTENT else 3,
    )


@dataclass(slots=True, kw_only=True)
class Caller:
    """Callers' side of all requests.

    Attributes
    ----------
    outcomes : dict of str to int
        Status by request; 0 for a connection that ended without a complete answer.
    answered_s : dict of str to float
        Loop time of each outcome.
    """

    address: tuple[str, int]
    outcomes: dict[str, int] = field(default_factory=dict)
    answered_s: dict[str, float] = field(default_factory=dict)
    retry_after: dict[str, str] = field(default_factory=dict)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def send(self, name: str, kind: RouteKind = RouteKind.NON_IDEMPOTENT) -> None:
        """Send a request on a new connection."""
        self.tasks.append(asyncio.create_task(self._send(name, kind)))

    async def _send(self, name: str, kind: RouteKind) -> None:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            # The listener is closed: the caller knows that nothing was read.
            return
        try:
            await self.send_on(reader, writer, name, kind)
        finally:
            writer.close()

    async def send_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        name: str,
        kind: RouteKind = RouteKind.NON_IDEMPOTENT,
    ) -> bool:
        """Send a request on an open connection; return whether it stays open."""
        self.outcomes[name] = 0
        head = b""
        try:
            writer.write(
                f"POST /{kind.value}/x HTTP/1.1\r\nHost: h.example\r\n"
                f"{ATTEMPT_ID}: {name}\r\nContent-Length: 1\r\n\r\nb".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(size)
            self.outcomes[name] = int(head.split()[1])
        except (OSError, EOFError):
            return False
        finally:
            self.answered_s[name] = asyncio.get_running_loop().time()
        if b"retry-after" in head.lower():
            self.retry_after[name] = head.decode()
        return b"connection: close" not in head.lower()


class Worker:
    """Worker that takes a given time for each request."""

    def __init__(self, work_s: float) -> None:
        self.work_s = work_s
        self.began_s: dict[str, float] = {}
        self.deadlines_s: dict[str, float] = {}

    async def answer(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        """Answer after the work."""
        name = request.headers[ATTEMPT_ID.lower()]
        self.began_s[name] = asyncio.get_running_loop().time()
        deadline_ms = request.headers["lentilroad-deadline-milliseconds"]
        self.deadlines_s[name] = float(deadline_ms) / 1000
        await asyncio.sleep(self.work_s)
        writer.write(raw_response(name.encode(), Lentilroad_Attempt_Id=name, **SEAL))


@asynccontextmanager
async def _deployment(
    work_s: float, slots: int
) -> AsyncIterator[tuple[SimpleNamespace, Worker, Caller]]:
    worker = Worker(work_s)
    table = route_table([_route(kind) for kind in RouteKind])
    async with raw_server(worker.answer) as server:
        instances = [instance(0, server.address, slots=slots)]
        async with serving_gateway(instances, table) as gateway:
            for state in gateway.directory.instances("svc"):
                state.mean_response_s = work_s
            yield gateway, worker, Caller(address=gateway.runner.addresses[0][:2])


async def _drain(gateway: SimpleNamespace, grace_s: float = GRACE_S) -> None:
    await drain(
        state=gateway.state,
        ingress=gateway.ingress,
        runner=gateway.runner,
        grace_s=grace_s,
        clock=gateway.clock,
    )
    # The process ends here, with all of its connections.
    for connection in list(gateway.runner.server.connections):
        if connection.transport is not None:
            connection.transport.abort()


async def test_waiting_requests_are_refused_before_the_process_ends() -> None:
    """Guard against requests that never ran and are cut off in the queue (LOST)."""
    async with _deployment(work_s=0.3, slots=1) as (gateway, worker, caller):
        for number in range(20):
            caller.send(f"r{number}")
        await asyncio.sleep(0.1)
        stopped_s = asyncio.get_running_loop().time()
        await _drain(gateway)
        await asyncio.gather(*caller.tasks)
    counts = Counter(caller.outcomes.values())
    assert set(counts) == {200, NOT_RUN}, counts
    # Requests that are refused never run, also not later.
    refused = {name for name, status in caller.outcomes.items() if status == NOT_RUN}
    assert not refused & worker.began_s.keys()
    assert refused == caller.retry_after.keys()
    # The requests for which there is no time are known as soon as the stop begins.
    at_once = [n for n in refused if caller.answered_s[n] - stopped_s < 0.1]
    assert len(at_once) >= 10


async def test_requests_at_a_worker_get_an_answer_before_the_process_ends() -> None:
    """Guard against a run whose caller gets no answer at the end of the grace (LOST).

    The outcome is unknown, which the answer states.
    """
    async with _deployment(work_s=4.0, slots=10) as (gateway, worker, caller):
        for number in range(10):
            caller.send(f"r{number}")
        await asyncio.sleep(0.1)
        await _drain(gateway)
        await asyncio.gather(*caller.tasks)
    assert len(worker.began_s) == 10
    assert Counter(caller.outcomes.values()) == {UNKNOWN: 10}


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT])
async def test_request_without_enough_time_left_is_not_passed_on(
    kind: RouteKind,
) -> None:
    """Guard against requests that are passed on late in the grace (LOST)."""
    async with _deployment(work_s=0.4, slots=3) as (gateway, worker, caller):
        stop = asyncio.create_task(_drain(gateway))
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + GRACE_S
        number = 0
        while not stop.done():
            number += 1
            caller.send(f"r{number}", kind)
            await asyncio.sleep(0.05)
        await stop
        await asyncio.gather(*caller.tasks)
    assert set(caller.outcomes.values()) <= {200, NOT_RUN}
    assert 200 in caller.outcomes.values()
    latest_s = max(worker.began_s.values())
    assert ends_s - latest_s > 2 * worker.work_s
    # The worker is told no later deadline than the end of this process.
    for name, began_s in worker.began_s.items():
        assert began_s + worker.deadlines_s[name] <= ends_s


async def test_kept_connections_are_answered_until_they_close() -> None:
    """Guard against a request that arrives while its kept connection closes (LOST)."""
    async with _deployment(work_s=0.05, slots=4) as (gateway, worker, caller):

        async def use_connection(name: str) -> None:
            reader, writer = await asyncio.open_connection(*caller.address)
            number = 0
            try:
                while await caller.send_on(reader, writer, f"{name}-{number}"):
                    number += 1
            finally:
                writer.close()

        users = [asyncio.create_task(use_connection(f"c{n}")) for n in range(12)]
        await asyncio.sleep(0.5)
        await _drain(gateway)
        await asyncio.gather(*users)
    passed_on = {name: caller.outcomes[name] for name in worker.began_s}
    assert len(passed_on) > 20
    assert set(passed_on.values()) == {200}


@pytest.mark.parametrize("grace_s", [0.1, 0.4, 1.0])
async def test_short_grace_period_answers_all_requests(grace_s: float) -> None:
    """Guard against margins that leave no time to answer in a short grace (LOST)."""
    async with _deployment(work_s=3.0, slots=2) as (gateway, worker, caller):
        for number in range(8):
            caller.send(f"r{number}")
        await asyncio.sleep(0.1)
        await _drain(gateway, grace_s)
        await asyncio.gather(*caller.tasks)
    counts = Counter(caller.outcomes.values())
    assert counts == {UNKNOWN: 2, NOT_RUN: 6}


async def test_second_attempt_that_begins_in_the_grace_is_answered() -> None:
    """Guard against a retry whose unknown outcome is reported as not run (REFUSED)."""
    async with _deployment(work_s=0.2, slots=4) as (gateway, worker, caller):
        first = worker.answer

        async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
            name = request.headers[ATTEMPT_ID.lower()]
            if name in worker.began_s:
                await asyncio.sleep(TIMEOUT_S)
            await first(request, writer)
            writer.close()

        worker.answer = answer
        for number in range(4):
            caller.send(f"r{number}", RouteKind.IDEMPOTENT)
        await asyncio.sleep(0.1)
        await _drain(gateway)
        await asyncio.gather(*caller.tasks)
    assert len(worker.began_s) == 4
    assert set(caller.outcomes.values()) <= {200, 502, UNKNOWN}


async def test_new_configuration_in_a_stop_moves_no_deadline() -> None:
    """Guard against a change of a route that takes back the end of the process."""
    async with _deployment(work_s=3.0, slots=2) as (gateway, worker, caller):
        for number in range(4):
            caller.send(f"r{number}")
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(_drain(gateway))
        await asyncio.sleep(0.1)
        table = route_table([_route(kind) for kind in RouteKind], version=2)
        gateway.state.apply_table(table)
        for number in range(4, 8):
            caller.send(f"r{number}")
        await stop
        await asyncio.gather(*caller.tasks)
    assert Counter(caller.outcomes.values()) == {UNKNOWN: 2, NOT_RUN: 6}
