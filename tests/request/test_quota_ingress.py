"""Requests of limited customers at an entry's listener."""

from __future__ import annotations

import asyncio

from lentilroad.errors import RateLimitedError
from lentilroad.version.customers import Customer, CustomerTable
from lentilroad.version.routes import Route, RouteKind, RouteTable
from tests.fakes.gateway import ATTEMPT_ID, instance, route_table, serving_gateway
from tests.fakes.raw_server import RawRequest, raw_response, raw_server

CUSTOMER = Customer(name="c", rate_per_s=1.0, burst=1.0)
HEADERS = {
    "Host": "h.example",
    ATTEMPT_ID: "a1",
    "Authorization": "Bearer key",
}


class _Quotas:
    """Quotas that admit a number of requests and count what is given back."""

    def __init__(self, admits: int) -> None:
        self.left = admits
        self.given_back = 0

    async def admit(self, customer: Customer, *, under_way: bool) -> None:
        assert customer == CUSTOMER
        if not self.left:
            raise RateLimitedError("the customer is at its limit", retry_after_ms=1500)
        self.left -= 1

    def give_back(self, customer: Customer) -> None:
        assert customer == CUSTOMER
        self.given_back += 1


def _table() -> RouteTable:
    route = Route(
        name="r",
        host="h.example",
        prefix="/",
        kind=RouteKind.IDEMPOTENT,
        services=(("svc", 1),),
        timeout_s=1.0,
        target_latency_s=0.3,
    )
    customers = CustomerTable(customers=[(CUSTOMER, ["key"])])
    return route_table([route], 1, customers=customers)


async def test_refusal_does_not_wait_for_the_body() -> None:
    """Callers above their limit must not hold memory and connections of an entry."""
    quotas = _Quotas(0)
    async with serving_gateway([], _table(), quotas=quotas) as gateway:
        host, port = gateway.runner.addresses[0][:2]
        reader, writer = await asyncio.open_connection(host, port)
        lines = [f"{name}: {value}" for name, value in HEADERS.items()]
        head = ["POST /x HTTP/1.1", *lines, "Content-Length: 100000", "", ""]
        writer.write("\r\n".join(head).encode())
        async with asyncio.timeout(0.8):
            status = await reader.readline()
            answer = await reader.readuntil(b"\r\n\r\n")
        writer.close()
    assert b" 429 " in status
    assert b"Retry-After: 1.500" in answer
    assert quotas.given_back == 0


async def test_only_what_may_have_run_counts() -> None:
    """A request that no instance took must not use up its customer's quota."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        seal = {
            "Lentilroad_Attempt_Id": request.headers[ATTEMPT_ID.lower()],
            "Lentilroad_Response_Seal": "s",
        }
        writer.write(raw_response(b"ok", **seal))

    quotas = _Quotas(2)
    async with raw_server(answer) as worker:
        instances = [instance(0, worker.address)]
        async with serving_gateway(instances, _table(), quotas=quotas) as gateway:
            async with gateway.session.get("/x", headers=HEADERS) as response:
                assert response.status == 200
            assert quotas.given_back == 0
            gateway.directory.remove(instances[0].instance_id)
            async with gateway.session.get("/x", headers=HEADERS) as response:
                assert response.status == 503
    assert quotas.given_back == 1
