"""Requests of customers: keys, what instances receive, and what customers share."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, nullcontext
from dataclasses import replace
from functools import partial
from types import SimpleNamespace

import eliot
import pytest

from lentilroad.errors import RateLimitedError, UnauthenticatedError
from lentilroad.request.authentication import identify_customer
from lentilroad.request.fingerprints import request_fingerprint
from lentilroad.request.refusals import refusal_status
from lentilroad.version.customers import Customer, CustomerTable
from lentilroad.version.routes import Route, RouteKind, RouteTable, request_priority
from tests.fakes.gateway import ATTEMPT_ID, instance, route_table, serving_gateway
from tests.fakes.inbound import inbound
from tests.fakes.raw_server import RawRequest, raw_response, raw_server

KEYS = {"a": ["key-a1", "key-a2"], "b": ["key-b"]}


def _table(keys: dict[str, list[str]] = KEYS, version: int = 1) -> RouteTable:
    routes = [
        Route(
            name=name,
            host="h.example",
            prefix=f"/{name}/",
            kind=RouteKind.IDEMPOTENT,
            services=(("svc", 1),),
            timeout_s=2.0,
            target_latency_s=0.3,
            open_to_all=name == "open",
        )
        for name in ("keyed", "open")
    ]
    customers = CustomerTable(
        customers=[(Customer(name=name), known) for name, known in keys.items()]
    )
    return route_table(routes, version, customers=customers)


@asynccontextmanager
async def _gateway(**fields) -> AsyncIterator[SimpleNamespace]:
    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        identity = request.headers[ATTEMPT_ID.lower()]
        seal = {"Lentilroad_Attempt_Id": identity, "Lentilroad_Response_Seal": "s"}
        writer.write(raw_response(b"ok", **seal))

    async with (
        raw_server(answer) as worker,
        serving_gateway([instance(0, worker.address)], _table(), **fields) as gateway,
    ):
        gateway.worker = worker
        yield gateway


async def _status(gateway: SimpleNamespace, path: str, *credentials: str) -> int:
    headers = [("Host", "h.example"), (ATTEMPT_ID, "a1"), ("Lentilroad-Tenant", "b")]
    headers += [("Authorization", credential) for credential in credentials]
    async with gateway.session.get(path, headers=headers) as response:
        await response.read()
        return response.status


async def _raw_status(gateway: SimpleNamespace, head: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(*gateway.runner.addresses[0][:2])
    writer.write(head)
    line = await asyncio.wait_for(reader.readline(), 1.5)
    writer.close()
    return line.split()[1]


async def test_instance_receives_the_customer_and_never_the_key() -> None:
    """Guard against instances that see keys or a name that the caller made up."""
    async with _gateway() as gateway:
        assert await _status(gateway, "/keyed/x", "Bearer key-a2") == 200
        assert await _status(gateway, "/open/x", "Bearer key-a1") == 200
        assert await _status(gateway, "/open/x") == 200
        assert await _status(gateway, "/open/x", "Bearer unknown") == 200
        sent = [request.headers for request in gateway.worker.requests]
    names = [headers.get("lentilroad-tenant") for headers in sent]
    assert names == ["a", "a", None, None]
    assert not any("authorization" in headers for headers in sent)


@pytest.mark.parametrize(
    "credentials",
    [
        (),
        ("Bearer unknown",),
        ("key-a1",),
        ("Bearer key-a1", "Bearer key-a1"),
        ("Bearer key-a1", "Bearer key-b"),
    ],
)
async def test_request_without_one_known_key_is_refused(credentials) -> None:
    """Guard against a request that runs for nobody or for the wrong customer."""
    async with _gateway() as gateway:
        assert await _status(gateway, "/keyed/x", *credentials) == 401
        assert not gateway.worker.requests


async def test_unknown_key_is_refused_before_the_body_arrives() -> None:
    """Guard against callers without a key that make an entry hold their bodies."""
    async with _gateway() as gateway:
        head = (
            b"POST /keyed/x HTTP/1.1\r\nHost: h.example\r\nLentilroad-Attempt-Id: a\r\n"
            b"Authorization: Bearer unknown\r\nContent-Length: 4000000\r\n\r\n"
        )
        assert await _raw_status(gateway, head) == b"401"


async def test_key_that_was_taken_away_ends_on_open_connections() -> None:
    """Guard against a connection that keeps a key in force after its version."""
    async with _gateway() as gateway:
        assert await _status(gateway, "/keyed/x", "Bearer key-a1") == 200
        gateway.state.apply_table(_table({"a": ["key-a2"]}, version=2))
        assert await _status(gateway, "/keyed/x", "Bearer key-a1") == 401
        assert await _status(gateway, "/keyed/x", "Bearer key-a2") == 200


async def test_entry_without_recent_configuration_accepts_no_keys() -> None:
    """Guard against a cut-off entry that serves keys that were taken away."""
    async with _gateway(keys_confirmed=lambda: False) as gateway:
        assert await _status(gateway, "/keyed/x", "Bearer key-a1") == 503
        assert await _status(gateway, "/open/x", "Bearer key-a1") == 503
        assert await _status(gateway, "/keyed/x") == 401
        assert await _status(gateway, "/open/x") == 200


@pytest.mark.parametrize(
    "unparseable", [b"Authorization : Bearer key-a1", b"Authorization: key-a1\x01"]
)
async def test_key_is_in_no_log_line(unparseable: bytes, capfd, caplog) -> None:
    """Guard against keys that readers of the log could use."""
    events: list[dict] = []
    capture = events.append
    eliot.add_destinations(capture)
    try:
        async with _gateway() as gateway:
            await _status(gateway, "/keyed/x", "Bearer key-a1")
            await _status(gateway, "/keyed/x", "Bearer key-no")
            head = b"GET /keyed/x HTTP/1.1\r\n%s\r\n\r\n" % unparseable
            assert await _raw_status(gateway, head) == b"400"
    finally:
        eliot.remove_destination(capture)
    assert {"request_done", "request_refused"} <= {e["event"] for e in events}
    output = capfd.readouterr()
    logged = f"{events}{output.out}{output.err}{caplog.text}"
    assert "key-a1" not in logged
    assert "key-no" not in logged


@pytest.mark.parametrize(
    ("target", "needs_key"),
    [
        ("/open/../keyed/x", True),
        ("/open/%2E./keyed/x?a=b", True),
        ("/open/a%2f..%5Ckeyed/x", True),
        ("/open/..", True),
        ("/open/.well-known/a..b/...?x=/../", False),
    ],
)
def test_path_that_leaves_an_open_route_needs_a_key(
    target: str, *, needs_key: bool
) -> None:
    """Guard against a server that resolves the path to one that needs a key."""
    identify = partial(
        identify_customer,
        table=_table(),
        open_to_all=True,
        keys_confirmed=lambda: True,
    )
    with pytest.raises(UnauthenticatedError) if needs_key else nullcontext():
        identify(inbound(target=target))
    known = inbound(target=target, key="key-a1")
    identify(known)
    assert known.customer == Customer(name="a")


def test_ban_belongs_to_a_customer_and_not_to_a_key() -> None:
    """Guard against a customer that bans another one, or evades a ban by a new key."""
    old = Customer(name="a", rate_per_s=1.0)
    new = Customer(name="a", rate_per_s=2.0)
    first = request_fingerprint(inbound(customer=old))
    assert request_fingerprint(inbound(customer=new)) == first
    for other in (
        inbound(customer=Customer(name="b")),
        inbound(),
        inbound(credential="customer a"),
    ):
        assert request_fingerprint(other) != first


def test_priority_of_a_customer_replaces_that_of_the_route() -> None:
    """Guard against an urgent customer that waits behind a route's own priority."""
    route = _table().match("h.example", "/keyed/")
    assert route is not None
    route = replace(route, priority=2)
    assert request_priority(route, None) == 2
    assert request_priority(route, Customer(name="a")) == 2
    assert request_priority(route, Customer(name="a", priority=0)) == 0


def test_ids_of_two_customers_never_meet() -> None:
    """Guard against a customer that joins another's program or sticky object."""
    ids = {
        inbound(customer=customer).scoped("p")
        for customer in (None, Customer(name="a"), Customer(name="ap"))
    }
    assert len(ids) == 3
    assert inbound(customer=Customer(name="a")).scoped("") == ""


def test_request_over_a_limit_of_its_customer_gets_429() -> None:
    """Guard against a caller that takes its own limit for a fault of the service."""
    assert refusal_status(RateLimitedError("over the quota; wait")) == 429
