"""Every combination of route properties against workers that fail once.

Routes differ in whether the conversation is retained, streams may be resumed, tokens
count against a budget, sessions are sticky, how many attempts a request has, and
whether two services share the load. The guarantees to callers hold for each
combination.
"""

from __future__ import annotations

import asyncio
import itertools
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import aiohttp
import pytest

from lentilroad.clock import SystemClock
from lentilroad.conversation.allowance import GrantManager
from lentilroad.conversation.turns import TurnManager
from lentilroad.version.routes import Route, RouteKind
from tests.fakes.gateway import (
    ATTEMPT_ID,
    instance,
    route_table,
    serving_gateway,
)
from tests.fakes.raw_server import RawRequest, raw_response, raw_server
from tests.fakes.turn_storage import TurnStorage

EVENTS = 5
BUDGET_TOKENS = 100
MAX_TOKENS = 20
FAULTS = (
    "none",
    "refused",
    "broken_before",
    "broken_after",
    "cut_inside",
    "silent",
    "silent_after",
)


@dataclass(slots=True, kw_only=True)
class FailingWorkers:
    """Two workers, the first run of which fails with one kind of fault."""

    fault: str
    runs: list[str] = field(default_factory=list)

    async def answer(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> bool | None:
        """Answer one request; the fault applies to the first one."""
        request_id = request.headers[ATTEMPT_ID.lower()]
        fault = "none" if self.runs else self.fault
        self.runs.append(request_id)
        if fault == "refused":
            self.runs[-1] = ""
            refused = raw_response(b"", "503 Busy", Lentilroad_Not_Executed="1")
            writer.write(refused)
            return None
        if fault == "broken_before":
            return True
        if fault == "silent":
            await asyncio.sleep(3.0)
            return True
        head = f"{ATTEMPT_ID}: {request_id}\r\nLentilroad-Response-Seal: s\r\n"
        if "/stream" not in request.head:
            writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Length: 2\r\n\r\n".encode())
            if fault in ("broken_after", "cut_inside"):
                return True
            if fault == "silent_after":
                await asyncio.sleep(3.0)
            writer.write(b"ok")
            return None
        writer.write(
            f"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        after = int(request.headers.get("last-event-id", 0))
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: e{number}\n\n"
            if fault == "cut_inside" and number == 2:
                event = event[:9]
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(0.005)
            if fault == "broken_after" or (fault == "cut_inside" and number == 2):
                return True
            if fault == "silent_after":
                await asyncio.sleep(3.0)
        writer.write(b"0\r\n\r\n")
        return None

    def run_count(self) -> int:
        """Return the number of requests that ran."""
        return sum(1 for run in self.runs if run)


def _routes() -> list[Route]:
    flags = (False, True)
    streams = itertools.product(
        [RouteKind.STREAMING], flags, flags, flags, flags, (1, 2, 3)
    )
    calls = itertools.product(
        [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT],
        [False],
        [False],
        flags,
        flags,
        (1, 2, 3),
    )
    return [
        Route(
            name=f"{kind.value} kept={kept} resume={resumable} sticky={sticky} "
            f"split={split} attempts={attempts}",
            host="h.example",
            prefix="/stream/" if kind is RouteKind.STREAMING else "/call/",
            kind=kind,
            services=(("svc", 1), ("svc", 1)) if split else (("svc", 1),),
            timeout_s=1.2,
            target_latency_s=0.1,
            attempts=attempts,
            sticky=sticky,
            retains_conversation=kept,
            retention_s=60.0,
            resumable=resumable,
            target_event_gap_s=0.05,
        )
        for kind, kept, resumable, sticky, split, attempts in itertools.chain(
            streams, calls
        )
    ]


def _expected_status(route: Route, fault: str) -> int | str:
    """Return the status of the response; "cut" for a response that is broken off."""
    if fault in ("none", "refused"):
        return 200
    if route.repeatable() and route.attempts > 1:
        # Only the wait for the first bytes of a buffered response is short.
        if fault == "silent_after" and route.kind is not RouteKind.STREAMING:
            return 504
        return 200
    if route.kind is RouteKind.STREAMING and fault in (
        "broken_after",
        "cut_inside",
        "silent_after",
    ):
        return "cut"
    return 504 if fault in ("silent", "silent_after") else 502


async def _check(route: Route, fault: str, *, budget: bool) -> None:
    workers = FailingWorkers(fault=fault)
    storage = TurnStorage()
    clock = SystemClock()
    turns = TurnManager(
        storage=storage,  # type: ignore[arg-type]
        grant_manager=GrantManager(
            reserve=storage.reserve, confirm=storage.confirm, clock=clock
        ),
        clock=clock,
    )
    headers = {
        "Host": "h.example",
        ATTEMPT_ID: "a1",
        "Lentilroad-Program-Id": "p1",
        "Lentilroad-Token-Counts": f"10,{MAX_TOKENS}",
        "Cookie": "Lentilroad-Affinity-Key=o1",
    }
    if budget:
        headers["Lentilroad-Token-Budget"] = str(BUDGET_TOKENS)
    async with AsyncExitStack() as stack:
        servers = [
            await stack.enter_async_context(raw_server(workers.answer))
            for _ in range(2)
        ]
        gateway = await stack.enter_async_context(
            serving_gateway(
                [instance(n, server.address) for n, server in enumerate(servers)],
                route_table([route]),
                turns=turns,
            )
        )
        body = b""
        async with gateway.session.post(
            f"{route.prefix}x", headers=headers, data=b"in"
        ) as response:
            status: int | str = response.status
            try:
                async for chunk in response.content.iter_any():
                    body += chunk
            except aiohttp.ClientError:
                status = "cut"
    label = f"{route.name} budget={budget} {fault}"
    assert status == _expected_status(route, fault), label
    assert workers.run_count() <= (route.attempts if route.repeatable() else 1), label
    if route.kind is not RouteKind.STREAMING:
        assert status != 200 or body == b"ok", label
        return
    events = [line for line in body.split(b"\n") if line.startswith(b"data: ")]
    expected = [b"data: e%d" % number for number in range(1, EVENTS + 1)]
    assert events == expected[: len(events)], label
    assert status != 200 or events == expected, label
    record = storage.turns.get("a1")
    assert (record is not None) == (status == 200 and route.retains_conversation), label
    if record is not None:
        assert record.output == b"".join(b"e%d\n" % n for n in range(1, EVENTS + 1))
    assert bool(storage.grants) == budget, label
    program = turns._grant_manager._programs.get("p1")
    if program is not None:
        assert program.used_tokens == len(events), label
        assert program.reserved_tokens == 0, label


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("budget", [False, True], ids=["free", "budget"])
async def test_guarantees_hold_for_every_combination(fault: str, budget: bool) -> None:
    """Guard against guarantees that hold only for some routes.

    For example, tokens of streams with a budget but no conversation were not counted.
    """
    results = await asyncio.gather(
        *(_check(route, fault, budget=budget) for route in _routes()),
        return_exceptions=True,
    )
    failed = [str(result) for result in results if isinstance(result, Exception)]
    assert not failed, "\n".join(failed[:5])
