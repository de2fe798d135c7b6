"""Instances that state in their responses that they are leaving."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from lentilroad.version.routes import RouteKind
from tests.fakes.gateway import instance, route_table, serving_gateway
from tests.fakes.raw_server import RawRequest, raw_server
from tests.fakes.stating_worker import StatingWorker, send, stating_route

# Requests that are not repeated, so that each one is one send.
ROUTE = replace(stating_route(), kind=RouteKind.NON_IDEMPOTENT, attempts=1)
TABLE = route_table([ROUTE])


def _leaving_worker() -> StatingWorker:
    return StatingWorker(Server_Leaving="1")


async def test_instance_that_stated_that_it_leaves_gets_no_further_requests() -> None:
    """Guard against requests to a leaving instance that the list still has as ready."""
    leaving, staying = _leaving_worker(), StatingWorker()
    async with (
        raw_server(leaving.answer) as first,
        raw_server(staying.answer) as second,
        serving_gateway(
            [instance(0, first.address), instance(1, second.address)], TABLE
        ) as gateway,
    ):
        while not leaving.received_s:
            assert await send(gateway.session, len(staying.received_s)) == 200
        for number in range(100, 140):
            assert await send(gateway.session, number) == 200
    assert len(leaving.received_s) == 1


async def test_only_instances_that_leave_serve_until_the_end_of_their_drain() -> None:
    """Guard against refusals while the last instances of a service still accept work.

    After the drain time they get none, and callers are refused at once.
    """
    drain_s = 1.0
    workers = [_leaving_worker(), _leaving_worker()]
    async with (
        raw_server(workers[0].answer) as first,
        raw_server(workers[1].answer) as second,
        serving_gateway(
            [instance(0, first.address), instance(1, second.address)],
            TABLE,
            drain_s=drain_s,
        ) as gateway,
    ):
        for number in range(3):
            assert await send(gateway.session, number) == 200
        await asyncio.sleep(drain_s)
        sent_s = gateway.clock.monotonic_s()
        assert await send(gateway.session, 3) == 503
        assert gateway.clock.monotonic_s() - sent_s < 0.2
    assert sum(len(worker.received_s) for worker in workers) == 3


async def test_leaving_statement_of_another_instance_is_ignored() -> None:
    """Guard against an instance given up for the worker that has its former address."""
    worker = _leaving_worker()
    worker.status = "421 Wrong"
    async with (
        raw_server(worker.answer) as server,
        serving_gateway([instance(0, server.address)], TABLE) as gateway,
    ):
        assert await send(gateway.session, 0) == 503
        state = gateway.directory.find("i-0")
        assert state is not None
        assert not state.leaves()


async def test_statement_that_arrives_after_the_key_came_back_counts() -> None:
    """Guard against a statement lost because the instance's key expired meanwhile."""
    worker = _leaving_worker()
    received, answer_now = asyncio.Event(), asyncio.Event()

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        received.set()
        await answer_now.wait()
        await worker.answer(request, writer)

    async with raw_server(answer) as server:
        upstream = instance(0, server.address)
        async with serving_gateway([upstream], TABLE) as gateway:
            request = asyncio.create_task(send(gateway.session, 0))
            await received.wait()
            gateway.directory.remove("i-0")
            gateway.directory.update(upstream)
            answer_now.set()
            assert await request == 200
            state = gateway.directory.find("i-0")
            assert state is not None
            assert state.leaves()
