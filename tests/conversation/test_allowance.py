"""Budgets hold over all entries, restarts and losses."""

from __future__ import annotations

import asyncio
import random

import pytest

from lentilroad.conversation.allowance import GrantManager
from lentilroad.conversation.members import MemberList, MemberMap
from lentilroad.errors import BudgetExhaustedError, LentilroadError
from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes.storage_cluster import StorageCluster

REGIONS = ["dakar", "saint-louis", "thies"]
MOST = 100


def _entry(cluster: StorageCluster, region: str, name: str) -> GrantManager:
    client = cluster.client(region, name)
    return GrantManager(
        reserve=client.reserve, confirm=client.confirm, clock=cluster.clock
    )


def test_budget_ends_after_its_tokens() -> None:
    """Guard against a turn that runs although the budget does not hold it."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        await cluster.form()
        entry = _entry(cluster, "dakar", "entry")
        for _ in range(5):
            await entry.acquire("p", MOST, 550)
            entry.release("p", MOST, MOST)
        with pytest.raises(BudgetExhaustedError):
            await entry.acquire("p", MOST, 550)

    run_virtual(run())


def test_unused_tokens_are_given_back() -> None:
    """Guard against reservations that count although the turn used less."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        await cluster.form()
        entry = _entry(cluster, "dakar", "entry")
        for _ in range(21):
            await entry.acquire("p", MOST, 300)
            entry.release("p", MOST, 10)
        with pytest.raises(BudgetExhaustedError):
            await entry.acquire("p", MOST, 300)

    run_virtual(run())


def test_tokens_that_another_entry_holds_idle_are_handed_back() -> None:
    """Guard against a 402 while another entry keeps tokens that it does not need."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        await cluster.form()
        first = _entry(cluster, "dakar", "entry-1")
        second = _entry(cluster, "thies", "entry-2")

        async def hand_back() -> None:
            while True:
                await cluster.clock.sleep(0.25)
                await first.release_idle_grants()

        task = asyncio.create_task(hand_back())
        # A large budget prepays the next turn.
        await first.acquire("p", MOST, 500)
        first.release("p", MOST, 20)
        await second.acquire("p", 400, 500)
        task.cancel()

    run_virtual(run())


def test_restarted_entry_does_not_forget_what_was_used() -> None:
    """Guard against an entry that counts from zero after a restart."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        await cluster.form()
        before = _entry(cluster, "dakar", "entry")
        await before.acquire("p", MOST, 150)
        before.release("p", MOST, MOST)
        after = _entry(cluster, "dakar", "entry")
        with pytest.raises(BudgetExhaustedError):
            await after.acquire("p", MOST, 150)

    run_virtual(run())


def test_entry_with_an_old_list_learns_the_new_one_before_it_reserves() -> None:
    """Guard against two quorums that share no member after a replacement."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        await cluster.form()
        client = cluster.client("dakar", "entry-1")
        cluster.stored.watchers.remove(client.update_map)
        entry = GrantManager(
            reserve=client.reserve, confirm=client.confirm, clock=cluster.clock
        )
        await entry.acquire("p", MOST, 10 * MOST)
        cluster.nodes["store-0"].kill()
        cluster.add("store-3", "dakar").start()
        await cluster.clock.sleep(5.0)
        # The old process wakes behind a cut and would still decide with the old list.
        await entry.acquire("p", 4 * MOST, 10 * MOST)
        reached = _entry(cluster, "thies", "entry-2")
        with pytest.raises(BudgetExhaustedError):
            await reached.acquire("p", 6 * MOST, 10 * MOST)

    run_virtual(run())


def test_replica_refuses_the_list_before_a_replacement() -> None:
    """Guard against a member that decides by the list in which a dead one counts."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        await cluster.form()
        old = cluster.stored.known
        cluster.nodes["store-0"].kill()
        cluster.add("store-3", "dakar").start()
        await cluster.clock.sleep(5.0)
        assert cluster.stored.known.version > old.version
        client = cluster.client("thies", "entry-9")
        client._member_map = MemberMap(version=old.version, member_list=old.member_list)
        with pytest.raises(LentilroadError):
            await client._try_reserve("p", None)

    run_virtual(run())


def test_no_list_of_members_means_no_grant() -> None:
    """Guard against a quorum of nobody at an entry that knows no member yet."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        client = cluster.client("dakar")
        client._member_map = MemberMap(version=0, member_list=MemberList())
        entry = GrantManager(
            reserve=client.reserve, confirm=client.confirm, clock=cluster.clock
        )
        with pytest.raises(LentilroadError) as caught:
            await entry.acquire("p", MOST, 1000)
        assert caught.value.outcome == "not_run"

    run_virtual(run())


@pytest.mark.parametrize("seed", range(60))
def test_random_schedules_never_exceed_the_budget(seed: int) -> None:
    """Guard against budgets that concurrent entries, losses and restarts exceed."""
    run_budget_schedule(seed, ["wipe", "kill", "cut", "entry"])


@pytest.mark.parametrize("seed", range(5000, 5040))
def test_random_schedules_with_bad_disks_never_exceed_the_budget(seed: int) -> None:
    """Guard against grants that count before, or without, their write."""
    run_budget_schedule(seed, ["wipe", "kill", "entry", "full", "stalled"])


def run_budget_schedule(seed: int, kinds: list[str]) -> None:
    """Play one program through several entries beside troubles of some kinds."""

    async def run() -> None:
        source = random.Random(seed)
        losses_tolerated = source.choice([1, 1, 2])
        cluster = StorageCluster(
            regions=[REGIONS[n % 3] for n in range(2 * losses_tolerated + 1)],
            losses_tolerated=losses_tolerated,
        )
        await cluster.form()
        entries = {
            f"entry-{n}": _entry(cluster, source.choice(REGIONS), f"entry-{n}")
            for n in range(4)
        }
        budget = source.randint(4, 12) * MOST
        handed: list[int] = []

        async def program() -> None:
            for _ in range(8):
                name = source.choice(list(entries))
                entry = entries[name]
                most = source.randint(20, MOST)
                try:
                    await entry.acquire("p", most, budget)
                except LentilroadError:
                    await cluster.clock.sleep(source.uniform(0.0, 0.3))
                    continue
                used = source.randint(0, most)
                handed.append(used)
                await cluster.clock.sleep(source.uniform(0.0, 0.3))
                entry.release("p", most, used)

        async def trouble() -> None:
            for _ in range(5):
                await cluster.clock.sleep(source.uniform(0.1, 0.5))
                kind = source.choice(kinds)
                name = source.choice(list(cluster.nodes))
                if kind == "entry":
                    which = source.choice(list(entries))
                    entries[which] = _entry(cluster, "dakar", which)
                elif kind == "cut":
                    pair = (source.choice(list(entries)), name)
                    cluster.cut.add(pair)
                    await cluster.clock.sleep(source.uniform(0.1, 1.0))
                    cluster.cut.discard(pair)
                elif kind in ("full", "stalled"):
                    journal = cluster.nodes[name].journal
                    setattr(journal, kind, True)
                    await cluster.clock.sleep(source.uniform(0.1, 1.5))
                    setattr(journal, kind, False)
                else:
                    node = cluster.nodes[name]
                    node.wipe() if kind == "wipe" else node.kill()
                    await cluster.clock.sleep(source.uniform(0.2, 1.0))
                    node.start()
                    # The next loss is tolerated after the catch-up time.
                    await cluster.clock.sleep(4.4)

        troubles = asyncio.create_task(trouble())
        await asyncio.gather(*(program() for _ in range(6)))
        troubles.cancel()
        assert sum(handed) <= budget

    run_virtual(run())
