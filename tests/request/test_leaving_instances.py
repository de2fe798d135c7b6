"""Instances that state in their responses that they are leaving."""

from __future__ import annotations

import asyncio

from lentilroad.version.routes import Route, RouteKind
from tests.fakes.gateway import ATTEMPT_ID, instance, route_table, serving_gateway
from tests.fakes.raw_server import RawRequest, raw_response, raw_server

HOST = {"Host": "h.example"}


async def _answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    headers = {
        ATTEMPT_ID: request.headers[ATTEMPT_ID.lower()],
        "Lentilroad-Response-Seal": "s",
    }
    writer.write(raw_response(b"ok", **headers))


async def _answer_leaving(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    headers = {
        ATTEMPT_ID: request.headers[ATTEMPT_ID.lower()],
        "Lentilroad-Response-Seal": "s",
        "Server-Leaving": "1",
    }
    writer.write(raw_response(b"ok", **headers))


def _route() -> Route:
    return Route(
        name="r",
        host="h.example",
        prefix="/r/",
        kind=RouteKind.NON_IDEMPOTENT,
        timeout_s=1.0,
        target_latency_s=0.2,
        services=(("svc", 1),),
    )


async def _request(gateway, number: int) -> int:
    headers = {**HOST, ATTEMPT_ID: f"a{number}"}
    async with gateway.session.post("/r/x", headers=headers) as response:
        await response.read()
        return response.status


async def test_instance_that_stated_that_it_leaves_gets_no_further_requests() -> None:
    """Guard against requests to a leaving instance that the list still has as ready."""
    async with (
        raw_server(_answer_leaving) as leaving,
        raw_server(_answer) as staying,
        serving_gateway(
            [instance(0, leaving.address), instance(1, staying.address)],
            route_table([_route()]),
        ) as gateway,
    ):
        while not leaving.requests:
            assert await _request(gateway, len(staying.requests)) == 200
        for number in range(100, 140):
            assert await _request(gateway, number) == 200
    assert len(leaving.requests) == 1


async def test_only_instances_that_leave_serve_until_the_end_of_their_drain() -> None:
    """Guard against refusals while the last instances of a service still accept work.

    After the drain time they get none, and callers are refused at once.
    """
    drain_s = 1.0
    async with (
        raw_server(_answer_leaving) as first,
        raw_server(_answer_leaving) as second,
        serving_gateway(
            [instance(0, first.address), instance(1, second.address)],
            route_table([_route()]),
            drain_s=drain_s,
        ) as gateway,
    ):
        assert await _request(gateway, 0) == 200
        assert await _request(gateway, 1) == 200
        assert await _request(gateway, 2) == 200
        await asyncio.sleep(drain_s)
        received = len(first.requests) + len(second.requests)
        sent_s = gateway.clock.monotonic_s()
        assert await _request(gateway, 3) == 503
        assert gateway.clock.monotonic_s() - sent_s < 0.2
        assert len(first.requests) + len(second.requests) == received


async def test_leaving_statement_of_another_instance_is_ignored() -> None:
    """Guard against an instance given up for the worker that has its former address."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        headers = {
            ATTEMPT_ID: request.headers[ATTEMPT_ID.lower()],
            "Server-Leaving": "1",
        }
        writer.write(raw_response(b"", "421 Wrong", **headers))

    async with (
        raw_server(answer) as server,
        serving_gateway(
            [instance(0, server.address)], route_table([_route()])
        ) as gateway,
    ):
        assert await _request(gateway, 0) == 503
        state = gateway.directory.find("i-0")
        assert state is not None
        assert not state.leaves()


async def test_statement_that_arrives_after_the_key_came_back_counts() -> None:
    """Guard against a statement lost because the instance's key expired meanwhile."""
    received = asyncio.Event()
    answer_now = asyncio.Event()

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        received.set()
        await answer_now.wait()
        await _answer_leaving(request, writer)

    async with raw_server(answer) as server:
        upstream = instance(0, server.address)
        async with serving_gateway([upstream], route_table([_route()])) as gateway:
            request = asyncio.create_task(_request(gateway, 0))
            await received.wait()
            gateway.directory.remove("i-0")
            gateway.directory.update(upstream)
            answer_now.set()
            assert await request == 200
            state = gateway.directory.find("i-0")
            assert state is not None
            assert state.leaves()
