"""Budgets are not exceeded across entries, restarts and losses."""

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
MAX_TOKENS = 100


def _entry(cluster: StorageCluster, region: str, name: str) -> GrantManager:
    client = cluster.client(region, name)
    return GrantManager(
        reserve=client.reserve, confirm=client.confirm, clock=cluster.clock
    )


def test_budget_is_exhausted_after_its_tokens() -> None:
    """Guard against a turn that runs although the remaining budget is too small."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        await cluster.form()
        entry = _entry(cluster, "dakar", "entry")
        for _ in range(5):
            await entry.acquire("p", MAX_TOKENS, 550)
            entry.release("p", MAX_TOKENS, MAX_TOKENS)
        with pytest.raises(BudgetExhaustedError):
            await entry.acquire("p", MAX_TOKENS, 550)

    run_virtual(run())


def test_unused_tokens_are_released() -> None:
    """Guard against reservations that count although the turn used less."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        await cluster.form()
        entry = _entry(cluster, "dakar", "entry")
        for _ in range(21):
            await entry.acquire("p", MAX_TOKENS, 300)
            entry.release("p", MAX_TOKENS, 10)
        with pytest.raises(BudgetExhaustedError):
            await entry.acquire("p", MAX_TOKENS, 300)

    run_virtual(run())


def test_idle_grants_of_another_entry_are_released() -> None:
    """Guard against a 402 while another entry retains tokens that it does not need."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        await cluster.form()
        first = _entry(cluster, "dakar", "entry-1")
        second = _entry(cluster, "thies", "entry-2")

        async def release_idle_grants() -> None:
            while True:
                await cluster.clock.sleep(0.25)
                await first.release_idle_grants()

        task = asyncio.create_task(release_idle_grants())
        # With a large budget, the grant includes the next turn's tokens.
        await first.acquire("p", MAX_TOKENS, 500)
        first.release("p", MAX_TOKENS, 20)
        await second.acquire("p", 400, 500)
        task.cancel()

    run_virtual(run())


def test_restarted_entry_counts_tokens_used_before() -> None:
    """Guard against an entry that counts from zero after a restart."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        await cluster.form()
        before = _entry(cluster, "dakar", "entry")
        await before.acquire("p", MAX_TOKENS, 150)
        before.release("p", MAX_TOKENS, MAX_TOKENS)
        after = _entry(cluster, "dakar", "entry")
        with pytest.raises(BudgetExhaustedError):
            await after.acquire("p", MAX_TOKENS, 150)

    run_virtual(run())


def test_entry_with_an_outdated_list_reads_the_new_list_before_it_reserves() -> None:
    """Guard against two quorums that share no member after a replacement."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        await cluster.form()
        client = cluster.client("dakar", "entry-1")
        cluster.member_store.watchers.remove(client.update_map)
        entry = GrantManager(
            reserve=client.reserve, confirm=client.confirm, clock=cluster.clock
        )
        await entry.acquire("p", MAX_TOKENS, 10 * MAX_TOKENS)
        cluster.nodes["store-0"].kill()
        cluster.add("store-3", "dakar").start()
        await cluster.clock.sleep(5.0)
        # This entry was not notified of the replacement, like a process that resumes
        # while it is cut off, and still has the outdated list.
        await entry.acquire("p", 4 * MAX_TOKENS, 10 * MAX_TOKENS)
        other_entry = _entry(cluster, "thies", "entry-2")
        with pytest.raises(BudgetExhaustedError):
            await other_entry.acquire("p", 6 * MAX_TOKENS, 10 * MAX_TOKENS)

    run_virtual(run())


def test_replica_refuses_a_list_from_before_a_replacement() -> None:
    """Guard against a quorum of a list in which a failed member still counts."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        await cluster.form()
        old = cluster.member_store.member_map
        cluster.nodes["store-0"].kill()
        cluster.add("store-3", "dakar").start()
        await cluster.clock.sleep(5.0)
        assert cluster.member_store.member_map.version > old.version
        client = cluster.client("thies", "entry-9")
        client._member_map = MemberMap(version=old.version, member_list=old.member_list)
        with pytest.raises(LentilroadError):
            await client._try_reserve("p", None)

    run_virtual(run())


def test_no_grant_without_a_member_list() -> None:
    """Guard against an empty quorum at an entry that has no member list."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS)
        client = cluster.client("dakar")
        client._member_map = MemberMap(version=0, member_list=MemberList())
        entry = GrantManager(
            reserve=client.reserve, confirm=client.confirm, clock=cluster.clock
        )
        with pytest.raises(LentilroadError) as raised:
            await entry.acquire("p", MAX_TOKENS, 1000)
        assert raised.value.outcome == "not_run"

    run_virtual(run())


@pytest.mark.parametrize("seed", range(60))
def test_random_schedules_never_exceed_the_budget(seed: int) -> None:
    """Guard against budgets that concurrent entries, losses and restarts exceed."""
    run_budget_schedule(seed, ["wipe", "kill", "cut", "entry"])


@pytest.mark.parametrize("seed", range(5000, 5040))
def test_random_schedules_with_bad_disks_never_exceed_the_budget(seed: int) -> None:
    """Guard against grants that succeed before, or without, their write."""
    run_budget_schedule(seed, ["wipe", "kill", "entry", "full", "stalled"])


def run_budget_schedule(seed: int, fault_kinds: list[str]) -> None:
    """Run one program at several entries while faults of the given kinds occur."""

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
        budget = source.randint(4, 12) * MAX_TOKENS
        used_tokens: list[int] = []

        async def program() -> None:
            for _ in range(8):
                name = source.choice(list(entries))
                entry = entries[name]
                max_tokens = source.randint(20, MAX_TOKENS)
                try:
                    await entry.acquire("p", max_tokens, budget)
                except LentilroadError:
                    await cluster.clock.sleep(source.uniform(0.0, 0.3))
                    continue
                used = source.randint(0, max_tokens)
                used_tokens.append(used)
                await cluster.clock.sleep(source.uniform(0.0, 0.3))
                entry.release("p", max_tokens, used)

        async def inject_faults() -> None:
            for _ in range(5):
                await cluster.clock.sleep(source.uniform(0.1, 0.5))
                fault_kind = source.choice(fault_kinds)
                name = source.choice(list(cluster.nodes))
                if fault_kind == "entry":
                    entry_name = source.choice(list(entries))
                    entries[entry_name] = _entry(cluster, "dakar", entry_name)
                elif fault_kind == "cut":
                    pair = (source.choice(list(entries)), name)
                    cluster.cut_links.add(pair)
                    await cluster.clock.sleep(source.uniform(0.1, 1.0))
                    cluster.cut_links.discard(pair)
                elif fault_kind in ("full", "stalled"):
                    journal = cluster.nodes[name].journal
                    setattr(journal, fault_kind, True)
                    await cluster.clock.sleep(source.uniform(0.1, 1.5))
                    setattr(journal, fault_kind, False)
                else:
                    node = cluster.nodes[name]
                    node.wipe() if fault_kind == "wipe" else node.kill()
                    await cluster.clock.sleep(source.uniform(0.2, 1.0))
                    node.start()
                    # The next loss is tolerated after the catch-up time.
                    await cluster.clock.sleep(4.4)

        faults = asyncio.create_task(inject_faults())
        await asyncio.gather(*(program() for _ in range(6)))
        faults.cancel()
        assert sum(used_tokens) <= budget

    run_virtual(run())
