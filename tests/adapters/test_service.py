"""Tests of the HTTP client of a service against the stand-in."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager

import aiohttp
import pytest

from lentilroad.adapters.service import HttpService
from lentilroad.clock import SystemClock
from lentilroad.errors import OutcomeUnknownError, OverloadedError, UnavailableError
from lentilroad.standins.service import ServiceStandIn, build_application
from tests.fakes.http import serving
from tests.fakes.raw_server import RawRequest, raw_server


@asynccontextmanager
async def _service():
    standin = ServiceStandIn(clock=SystemClock(), duration_s=0.0)
    async with serving(build_application(service=standin)) as base_url:
        client = HttpService(base_url=base_url)
        try:
            yield standin, client, base_url
        finally:
            await client.close()


async def test_operation_runs_once_with_its_call_id():
    """Guards against a call without the id by which the service deduplicates calls."""
    async with _service() as (standin, client, base_url):
        reply = await client.call(
            operation="charge", payload=b'{"amount": 5}', call_id="call-1"
        )
        assert reply.status == 200
        assert json.loads(reply.payload)["payload"] == {"amount": 5}
        assert standin.executions == {"call-1": 1}
        async with (
            aiohttp.ClientSession() as session,
            session.get(base_url + "/admin/ledger") as response,
        ):
            ledger = (await response.json())["ledger"]
        assert [entry["call_id"] for entry in ledger] == ["call-1"]


async def test_lost_answer_is_unknown():
    """Guards against `not_run` for an operation whose answer was lost after it ran."""
    async with _service() as (standin, client, _):
        standin.lose_answers = 1
        with pytest.raises(OutcomeUnknownError):
            await client.call(operation="book", payload=b"{}", call_id="call-1")
        assert standin.executions == {"call-1": 1}


async def test_refusal_is_not_run():
    """Guards against an unknown outcome when the service said that it did not run."""
    async with _service() as (standin, client, _):
        standin.refusing = True
        with pytest.raises(OverloadedError) as failure:
            await client.call(operation="book", payload=b"{}", call_id="call-1")
        assert failure.value.outcome == "not_run"
        assert not standin.executions


async def test_error_statuses_of_the_service_are_returned():
    """Guards against an error status that the client hides from the caller."""
    async with _service() as (_, client, _):
        reply = await client.call(operation="dance", payload=b"{}", call_id="call-1")
        assert reply.status == 404
        reply = await client.call(operation="book", payload=b"{", call_id="call-2")
        assert reply.status == 400


@pytest.mark.parametrize("status", ["000", "600", "999"])
async def test_status_outside_the_protocol_is_unknown(status: str):
    """Guards against a status of a service in trouble that reaches callers (MIXED)."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: 2\r\n\r\n{{}}".encode())

    async with raw_server(answer) as server:
        client = HttpService(base_url=f"http://{server.address}")
        with pytest.raises(OutcomeUnknownError):
            await client.call(operation="book", payload=b"{}", call_id="call-1")
        await client.close()


async def test_closed_port_is_not_run():
    """Guards against an unknown outcome when nothing was sent."""
    client = HttpService(base_url="http://127.0.0.1:1")
    with pytest.raises(UnavailableError) as failure:
        await client.call(operation="book", payload=b"{}", call_id="call-1")
    assert failure.value.outcome == "not_run"
    await client.close()
