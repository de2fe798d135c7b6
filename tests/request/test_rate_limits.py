"""Limits that overloaded instances state in their responses."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from lentilroad.version.routes import Route, RouteKind
from tests.fakes.gateway import ATTEMPT_ID, instance, route_table, serving_gateway
from tests.fakes.raw_server import RawRequest, raw_response, raw_server

LIMIT_PER_S = 4.0
WINDOW_S = 4.0
# Requests that a limited instance tolerates in a window, from all entries together.
ALLOWED_REQUESTS = 1.5 * LIMIT_PER_S * WINDOW_S + 5
HOST = {"Host": "h.example"}


class _LimitedWorker:
    """Worker that states a rate limit in each response."""

    def __init__(self, limit_per_s: float | None = LIMIT_PER_S) -> None:
        self.limit_per_s = limit_per_s
        self.received_s: list[float] = []

    async def answer(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        """Answer one request at once."""
        self.received_s.append(asyncio.get_running_loop().time())
        headers = {
            ATTEMPT_ID: request.headers[ATTEMPT_ID.lower()],
            "Lentilroad-Response-Seal": "s",
        }
        if self.limit_per_s is not None:
            headers["Server-Limit"] = f"{self.limit_per_s}"
        writer.write(raw_response(b"ok", **headers))

    def most_in_a_window(self) -> int:
        """Return the largest number of requests in any window."""
        return max(
            sum(1 for later_s in self.received_s if 0 <= later_s - start_s < WINDOW_S)
            for start_s in self.received_s
        )


def _route() -> Route:
    return Route(
        name="r",
        host="h.example",
        prefix="/r/",
        kind=RouteKind.IDEMPOTENT,
        timeout_s=1.0,
        target_latency_s=0.2,
        attempts=2,
        priority=0,
        services=(("svc", 1),),
    )


async def _request(gateway, number: int) -> int:
    headers = {**HOST, ATTEMPT_ID: f"a{number}"}
    async with gateway.session.get("/r/x", headers=headers) as response:
        await response.read()
        return response.status


async def test_limited_instance_gets_no_more_requests_than_it_stated() -> None:
    """Guard against an instance that gets far more requests than its stated limit."""
    worker = _LimitedWorker()
    async with (
        raw_server(worker.answer) as server,
        serving_gateway(
            [instance(0, server.address)], route_table([_route()])
        ) as gateway,
    ):
        requests = []
        for number in range(120):
            requests.append(asyncio.create_task(_request(gateway, number)))
            await asyncio.sleep(0.04)
        statuses = await asyncio.gather(*requests)
    assert worker.most_in_a_window() <= ALLOWED_REQUESTS
    assert statuses.count(200) >= LIMIT_PER_S * WINDOW_S


async def test_statement_of_another_instance_at_the_address_is_ignored() -> None:
    """Guard against a limit taken from the worker that took over an address."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers[ATTEMPT_ID.lower()]
        writer.write(
            raw_response(
                b"", "421 Wrong", **{ATTEMPT_ID: request_id, "Server-Limit": "0.5"}
            )
        )

    async with (
        raw_server(answer) as server,
        serving_gateway(
            [instance(0, server.address)], route_table([_route()])
        ) as gateway,
    ):
        await _request(gateway, 0)
        state = gateway.directory.find("i-0")
        assert state is not None
        assert state.limit_per_s() is None


async def test_limit_ends_with_the_first_response_that_does_not_state_it() -> None:
    """Guard against a limit that stays in force after the instance withdrew it."""
    worker = _LimitedWorker(limit_per_s=2.0)
    async with (
        raw_server(worker.answer) as server,
        serving_gateway(
            [instance(0, server.address)], route_table([_route()])
        ) as gateway,
    ):
        assert await _request(gateway, 0) == 200
        worker.limit_per_s = None
        assert await _request(gateway, 1) == 200
        statuses = await asyncio.gather(*(_request(gateway, n) for n in range(2, 22)))
        assert statuses.count(200) == 20


async def test_queued_stream_is_refused_before_its_caller_abandons_it() -> None:
    """Guard against streams that are still queued when their callers leave."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(2.5)
        return True

    route = replace(_route(), kind=RouteKind.STREAMING, timeout_s=4.0)
    async with (
        raw_server(answer) as server,
        serving_gateway(
            [instance(0, server.address, slots=1)], route_table([route])
        ) as gateway,
    ):
        running = asyncio.create_task(_request(gateway, 0))
        await asyncio.sleep(0.1)
        sent_s = gateway.clock.monotonic_s()
        assert await _request(gateway, 1) == 503
        assert gateway.clock.monotonic_s() - sent_s < route.abandon_after_gap_s()
        await asyncio.gather(running, return_exceptions=True)
