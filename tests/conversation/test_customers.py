"""Conversations and budgets belong to customers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from lentilroad.conversation.allowance import GrantManager
from lentilroad.conversation.turns import TurnManager
from lentilroad.errors import BudgetExhaustedError, NotFoundError
from lentilroad.request.inbound import InboundRequest
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.version.customers import Customer
from tests.fakes.inbound import inbound
from tests.fakes.storage_cluster import StorageCluster

REGIONS = ["dakar", "saint-louis", "thies"]
A = Customer(name="a")
B = Customer(name="b")
MAX_TOKENS = 100


def _entry(cluster: StorageCluster, region: str) -> TurnManager:
    client = cluster.client(region, f"entry-{region}")
    grants = GrantManager(
        reserve=client.reserve, confirm=client.confirm, clock=cluster.clock
    )
    return TurnManager(storage=client, grant_manager=grants, clock=cluster.clock)


def _turn_request(
    customer: Customer | None, turn_id: str, previous: str = "", **fields: Any
) -> InboundRequest:
    return inbound(
        request_id=turn_id,
        body=f"{turn_id} of {customer.name if customer else 'none'}\n".encode(),
        program_id="p",
        previous_turn_id=previous,
        customer=customer,
        max_output_tokens=MAX_TOKENS,
        **fields,
    )


async def _run_turn(
    entry: TurnManager, customer: Customer | None, turn_id: str, *args: str, **fields
) -> bytes:
    request = _turn_request(customer, turn_id, *args, **fields)
    async with entry.begin(request, 20.0, MAX_TOKENS) as turn:
        await turn.store("i-1")
        return turn.body


def _play(scenario: Callable[[StorageCluster], Awaitable[None]]) -> None:
    """Run a scenario on a cluster in virtual time."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        await cluster.form()
        await scenario(cluster)

    run_virtual(run())


@pytest.mark.parametrize("other", [B, None])
def test_turn_of_another_customer_does_not_exist(other: Customer | None) -> None:
    """Guard against a customer that reads what another one said.

    The entry that ran the turn has its history cached; the other one reads the disks.
    """

    async def scenario(cluster: StorageCluster) -> None:
        entries = [_entry(cluster, region) for region in ("dakar", "thies")]
        await _run_turn(entries[0], A, "t1")
        for number, entry in enumerate(entries):
            with pytest.raises(NotFoundError) as raised:
                await _run_turn(entry, other, f"t2{number}", "t1")
            assert raised.value.message.startswith("turn t1 does not exist")
            body = await _run_turn(entry, A, f"t3{number}", "t1")
            assert body == f"t1 of a\nt3{number} of a\n".encode()

    _play(scenario)


def test_same_turn_ids_of_two_customers_are_two_conversations() -> None:
    """Guard against a turn that replaces the stored turn of another customer.

    Turns without a customer keep their ids, by which a new release finds earlier ones.
    """

    async def scenario(cluster: StorageCluster) -> None:
        entry = _entry(cluster, "dakar")
        for customer in (A, B, None):
            stored = any(node.stores("t1") for node in cluster.nodes.values())
            assert not stored
            await _run_turn(entry, customer, "t1")
        assert any(node.stores("t1") for node in cluster.nodes.values())
        reader = _entry(cluster, "thies")
        for customer, name in ((A, b"a"), (B, b"b"), (None, b"none")):
            body = await _run_turn(reader, customer, "t2", "t1")
            assert body == b"t1 of " + name + b"\nt2 of " + name + b"\n"

    _play(scenario)


def test_same_program_ids_of_two_customers_have_two_budgets() -> None:
    """Guard against a customer that uses up the tokens of another's program."""

    async def scenario(cluster: StorageCluster) -> None:
        first, second = _entry(cluster, "dakar"), _entry(cluster, "thies")
        running = _turn_request(A, "t1", budget_tokens=150)
        async with first.begin(running, 20.0, MAX_TOKENS):
            await _run_turn(second, B, "t1", budget_tokens=150)
            with pytest.raises(BudgetExhaustedError):
                await _run_turn(second, A, "t2", budget_tokens=150)

    _play(scenario)
