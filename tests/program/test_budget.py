"""Budgets under concurrency, repeats and lost answers."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from lentilroad.errors import BudgetExhaustedError
from lentilroad.program.budget import Account, Spending
from lentilroad.program.preparation import CallPolicy
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.wire.messages import Budget, Committed
from tests.program.cluster import (
    Cluster,
    booking,
    chat,
    final,
    open_program,
    read_program,
    tokens,
)


def test_reservation_in_a_full_ancestor_changes_nothing():
    """A refused reservation must not stay in the accounts below the refusal."""
    root = Account(budget=Budget(tokens=10))
    child = Account(budget=Budget(tokens=100), parent=root)
    with pytest.raises(BudgetExhaustedError):
        child.reserve(Spending(completion_tokens=11))
    assert child.reserved == root.reserved == Spending()


def test_random_reservations_never_exceed_any_budget():
    """Spent and reserved together must stay below each limit of the tree."""
    random = Random(3)
    root = Account(budget=Budget(tokens=500, turns=40))
    children = [Account(budget=Budget(tokens=200), parent=root) for _ in range(4)]
    open_calls = []
    for _ in range(2_000):
        account = random.choice([root, *children])
        amount = Spending(completion_tokens=random.randint(1, 60), turns=1)
        try:
            account.reserve(amount)
        except BudgetExhaustedError:
            pass
        else:
            open_calls.append((account, amount))
        if open_calls and random.random() < 0.5:
            account, amount = open_calls.pop(random.randrange(len(open_calls)))
            used = random.randint(0, amount.completion_tokens)
            account.settle(amount, Spending(completion_tokens=used, turns=1))
        for entry in [root, *children]:
            assert entry.spent.tokens + entry.reserved.tokens <= entry.budget.tokens
        assert root.spent.turns + root.reserved.turns <= 40
        assert root.spent.tokens == sum(
            child.spent.tokens for child in children
        ) + _own(root, children)


def _own(root, children):
    return root.spent.tokens - sum(child.spent.tokens for child in children)


def test_concurrent_sub_agents_share_the_budget_of_their_root():
    """Parallel sub-agents must not spend the same remainder twice."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        await open_program(a, budget=tokens(320))
        names = [f"q{number}" for number in range(6)]
        for name in names:
            await open_program(a, name, parent_program_id="p")
        events = await asyncio.gather(
            *(final(a, chat("k", program_id=name)) for name in names)
        )
        committed = [event for event in events if isinstance(event, Committed)]
        refused = [event for event in events if not isinstance(event, Committed)]
        assert committed
        assert refused
        assert {event.error.code for event in refused} == {"budget_exhausted"}
        assert {event.error.outcome for event in refused} == {"not_run"}
        reply = await read_program(a)
        assert reply.spent.prompt_tokens + reply.spent.completion_tokens <= 320
        assert reply.reserved.completion_tokens == 0

    run_virtual(main())


def test_declared_price_is_reserved_and_spent_once():
    """A repeat of a paid operation must not be charged again."""

    async def main():
        cluster = Cluster(policy_of=lambda request: CallPolicy(price_micro=60))
        a = cluster.entries["a"]
        await open_program(a, budget=Budget(money_micro=100))
        await final(a, booking("k"))
        await final(a, booking("k"))
        assert (await read_program(a)).spent.money_micro == 60
        event = await final(a, booking("k2"))
        assert (event.error.code, event.error.outcome) == (
            "budget_exhausted",
            "not_run",
        )

    run_virtual(main())


def test_unknown_outcome_counts_as_spent():
    """A charge that may have happened must not be available again."""

    async def main():
        cluster = Cluster(policy_of=lambda request: CallPolicy(price_micro=60))
        a = cluster.entries["a"]
        await open_program(a, budget=Budget(money_micro=100))
        running = asyncio.create_task(final(a, booking("k")))
        await asyncio.sleep(0.02)
        cluster.sidecars["s1"].process.kill()
        event = await running
        assert event.error.code == "outcome_unknown"
        assert (await read_program(a)).spent.money_micro == 60
        assert await final(a, booking("k")) == event

    run_virtual(main())


def test_open_reservation_counts_after_a_takeover():
    """The new owner must not give away what a running call may use."""

    async def main():
        cluster = Cluster(policy_of=lambda request: CallPolicy(price_micro=60))
        a, b = cluster.entries["a"], cluster.entries["b"]
        await open_program(a, budget=Budget(money_micro=100))
        await open_program(a, "q", parent_program_id="p")
        cluster.sidecars["s1"].hangs = True
        running = asyncio.create_task(final(a, booking("k")))
        await asyncio.sleep(0.02)
        cluster.take_over()
        assert (await read_program(b)).reserved.money_micro == 60
        event = await final(b, booking("k2", program_id="q"))
        assert event.error.code == "budget_exhausted"
        running.cancel()

    run_virtual(main())
