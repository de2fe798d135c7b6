"""Limits that overloaded instances state in their responses."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from lentilroad.version.routes import RouteKind
from tests.fakes.gateway import instance, route_table, serving_gateway
from tests.fakes.raw_server import RawRequest, raw_server
from tests.fakes.stating_worker import StatingWorker, send, stating_route

LIMIT_PER_S = 4.0
WINDOW_S = 4.0
# Requests that a limited instance tolerates in a window, from all entries together.
ALLOWED_REQUESTS = 1.5 * LIMIT_PER_S * WINDOW_S + 5
TABLE = route_table([stating_route()])


def _most_in_a_window(times_s: list[float]) -> int:
    return max(
        sum(1 for later_s in times_s if 0 <= later_s - start_s < WINDOW_S)
        for start_s in times_s
    )


async def test_limited_instance_gets_no_more_requests_than_it_stated() -> None:
    """Guard against an instance that gets far more requests than its stated limit."""
    worker = StatingWorker(Server_Limit=f"{LIMIT_PER_S}")
    async with (
        raw_server(worker.answer) as server,
        serving_gateway([instance(0, server.address)], TABLE) as gateway,
    ):
        requests = []
        for number in range(120):
            requests.append(asyncio.create_task(send(gateway.session, number)))
            await asyncio.sleep(0.04)
        statuses = await asyncio.gather(*requests)
    assert _most_in_a_window(worker.received_s) <= ALLOWED_REQUESTS
    assert statuses.count(200) >= LIMIT_PER_S * WINDOW_S


async def test_statement_of_another_instance_at_the_address_is_ignored() -> None:
    """Guard against a limit taken from the worker that took over an address."""
    worker = StatingWorker(Server_Limit="0.5")
    worker.status = "421 Wrong"
    async with (
        raw_server(worker.answer) as server,
        serving_gateway([instance(0, server.address)], TABLE) as gateway,
    ):
        await send(gateway.session, 0)
        state = gateway.directory.find("i-0")
        assert state is not None
        assert state.limit_per_s() is None


async def test_limit_ends_with_the_first_response_that_does_not_state_it() -> None:
    """Guard against a limit that stays in force after the instance withdrew it."""
    worker = StatingWorker(Server_Limit="2.0")
    async with (
        raw_server(worker.answer) as server,
        serving_gateway([instance(0, server.address)], TABLE) as gateway,
    ):
        assert await send(gateway.session, 0) == 200
        worker.statements.clear()
        assert await send(gateway.session, 1) == 200
        statuses = await asyncio.gather(
            *(send(gateway.session, number) for number in range(2, 22))
        )
        assert statuses.count(200) == 20


async def test_queued_stream_is_refused_before_its_caller_abandons_it() -> None:
    """Guard against streams that are still queued when their callers leave."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(2.5)
        return True

    route = replace(stating_route(), kind=RouteKind.STREAMING, timeout_s=4.0)
    async with (
        raw_server(answer) as server,
        serving_gateway(
            [instance(0, server.address, slots=1)], route_table([route])
        ) as gateway,
    ):
        running = asyncio.create_task(send(gateway.session, 0))
        await asyncio.sleep(0.1)
        sent_s = gateway.clock.monotonic_s()
        assert await send(gateway.session, 1) == 503
        assert gateway.clock.monotonic_s() - sent_s < route.abandon_after_gap_s()
        await asyncio.gather(running, return_exceptions=True)
