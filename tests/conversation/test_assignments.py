"""A disk counts as complete only for the assignment whose records it has copied."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from lentilroad.conversation.allowance import GrantManager
from lentilroad.conversation.client import StorageClient
from lentilroad.conversation.errors import NotCaughtUpError, StaleMapError
from lentilroad.conversation.members import MemberList, encode_members
from lentilroad.conversation.messages import PROBE, ReadChain, Reserve
from lentilroad.errors import BudgetExhaustedError, NotFoundError
from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes import storage_cluster
from tests.fakes.storage_cluster import (
    StorageCluster,
    StorageNode,
    WriteOutcome,
    turn,
)

CATCH_UP_S = 4.4
REGIONS = ["dakar", "saint-louis", "thies"]
TURNS = [f"t{number}" for number in range(20)]
LOST_OUTCOMES = [WriteOutcome.UNANSWERED, WriteOutcome.LATE]


async def _start_cluster() -> tuple[StorageCluster, StorageClient]:
    cluster = StorageCluster(regions=REGIONS, losses_tolerated=1)
    await cluster.form()
    return cluster, cluster.client("dakar")


async def _add_spare(cluster: StorageCluster) -> StorageNode:
    spare = cluster.add("spare", "dakar")
    spare.start()
    await cluster.clock.sleep(CATCH_UP_S)
    assert spare.membership.is_complete()
    return spare


async def _store_turns(client: StorageClient, turn_ids: list[str] = TURNS) -> None:
    for turn_id in turn_ids:
        await client.put_turn(turn(turn_id), key=turn_id)


async def _spend_budget(
    cluster: StorageCluster, client: StorageClient, program_ids: list[str] = TURNS
) -> None:
    """Reserve the whole budget of 100 tokens of each program."""
    manager = _grant_manager(cluster, client)
    for program_id in program_ids:
        await manager.acquire(program_id, 100, 100)


async def _check_turns(client: StorageClient, turn_ids: list[str] = TURNS) -> None:
    for turn_id in turn_ids:
        found = await client.read_chain(turn_id, key=turn_id)
        assert found[0].turn_id == turn_id


async def _check_turns_and_budgets(
    cluster: StorageCluster, client: StorageClient, turn_ids: list[str] = TURNS
) -> None:
    manager = _grant_manager(cluster, client)
    await _check_turns(client, turn_ids)
    for turn_id in turn_ids:
        with pytest.raises(BudgetExhaustedError):
            await manager.acquire(turn_id, 100, 100)


def _grant_manager(cluster: StorageCluster, client: StorageClient) -> GrantManager:
    return GrantManager(
        reserve=client.reserve, confirm=client.confirm, clock=cluster.clock
    )


async def _counts_as_complete(cluster: StorageCluster, node: StorageNode) -> bool:
    """Ask the disk as a caller that knows the newest member list does."""
    version = cluster.member_store.member_map.version
    chain = await node.replica.read_chain(
        ReadChain(turn_id="unknown", assignment=node.assignment())
    )
    try:
        await node.replica.reserve(
            Reserve(
                program_id="unknown", map_version=version, assignment=node.assignment()
            )
        )
        reserves = True
    except (NotCaughtUpError, StaleMapError):
        reserves = False
    assert chain.complete_disk == reserves
    return reserves


def _once(node: StorageNode, outcome: WriteOutcome) -> Callable[[MemberList], object]:
    """Return outcomes of writes: the first list with the node in a slot is affected."""
    affected = False

    def outcome_of(member_list: MemberList) -> WriteOutcome:
        nonlocal affected
        member = member_list.find(node.replica.disk_id)
        if affected or member is None or member.slot is None:
            return WriteOutcome.ANSWERED
        affected = True
        return outcome

    return outcome_of


@pytest.mark.parametrize("outcome", LOST_OUTCOMES)
def test_unanswered_claim_of_a_slot_loses_no_turns(outcome: WriteOutcome) -> None:
    """Guard against turns lost with a slot that was taken without an answer (LOST)."""

    async def run() -> None:
        cluster, client = await _start_cluster()
        spare = await _add_spare(cluster)
        await _store_turns(client)
        await _spend_budget(cluster, client)
        cluster.member_store.write_outcome = _once(spare, outcome)
        cluster.nodes["store-0"].kill()
        await cluster.clock.sleep(2 * CATCH_UP_S)
        cluster.nodes["store-1"].wipe()
        await cluster.clock.sleep(1.0)
        cluster.nodes["store-1"].start()
        await cluster.clock.sleep(CATCH_UP_S)
        await _check_turns_and_budgets(cluster, cluster.client("thies", "entry-2"))

    run_virtual(run())


def test_member_killed_while_it_copies_is_incomplete_after_its_restart() -> None:
    """Guard against a kill during a catch-up after which budgets are spent twice."""

    async def run() -> None:
        cluster, client = await _start_cluster()
        spare = await _add_spare(cluster)
        await _spend_budget(cluster, client)
        await _store_turns(client)
        cluster.nodes["store-0"].kill()
        await _wait_for_slot(cluster, spare)
        assert not await _counts_as_complete(cluster, spare)
        spare.kill()
        links = {("spare", f"store-{number}") for number in range(3)}
        cluster.cut_links.update(links)
        spare.start()
        await cluster.clock.sleep(CATCH_UP_S)
        assert not await _counts_as_complete(cluster, spare)
        cluster.cut_links -= links
        await cluster.clock.sleep(CATCH_UP_S)
        assert await _counts_as_complete(cluster, spare)
        await _check_turns_and_budgets(cluster, cluster.client("thies", "entry-2"))

    run_virtual(run())


async def _wait_for_slot(cluster: StorageCluster, node: StorageNode) -> None:
    while True:
        member_list = cluster.member_store.member_map.member_list
        member = member_list.find(node.replica.disk_id)
        if member is not None and member.slot is not None:
            return
        await cluster.clock.sleep(0.0005)


@pytest.mark.parametrize("passed_on", [False, True])
def test_disk_that_knows_an_older_list_is_incomplete_for_a_newer_one(
    passed_on: bool,
) -> None:
    """Guard against a disk that counts while its callers already know its new slot."""

    async def run() -> None:
        cluster, client = await _start_cluster()
        spare = await _add_spare(cluster)
        await _spend_budget(cluster, client)
        store = cluster.member_store
        store.write_outcome = _once(spare, WriteOutcome.UNANSWERED)
        store.watchers.remove(spare.membership.update_map)
        cluster.nodes["store-0"].kill()
        await _wait_for_slot(cluster, spare)
        for number in (1, 2):
            cluster.cut_links.add(("spare", f"store-{number}"))
        if passed_on:
            spare.membership.update_encoded_map(
                store.member_map.version,
                encode_members(store.member_map.member_list),
            )
        assert not await _counts_as_complete(cluster, spare)
        await cluster.clock.sleep(CATCH_UP_S)
        assert not await _counts_as_complete(cluster, spare)

    run_virtual(run())


@pytest.mark.parametrize("outcome", LOST_OUTCOMES)
def test_disk_is_not_reported_complete_while_its_claim_has_no_answer(
    outcome: WriteOutcome,
) -> None:
    """Guard against a further disk taken away before the new one has copied (LOST)."""

    async def run() -> None:
        cluster, client = await _start_cluster()
        spare = await _add_spare(cluster)
        await _store_turns(client)
        store = cluster.member_store
        store.write_outcome = _once(spare, outcome)
        store.watchers.remove(spare.membership.update_map)
        cluster.nodes["store-0"].wipe()
        await _wait_for_slot(cluster, spare)
        assert not spare.membership.is_complete()
        while not spare.membership.is_complete():
            await cluster.clock.sleep(0.0005)
        assert spare.replica.has_copied(spare.assignment())
        cluster.nodes["store-1"].wipe()
        await _check_turns(cluster.client("thies", "entry-2"))

    run_virtual(run())


def test_claim_without_an_answer_does_not_take_effect_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a claim that replaces a member long after it is back."""
    monkeypatch.setattr(storage_cluster, "LATE_WRITE_S", 2.0)

    async def run() -> None:
        cluster, _ = await _start_cluster()
        spare = await _add_spare(cluster)
        returning = cluster.nodes["store-0"]
        claimed = asyncio.Event()
        late_once = _once(spare, WriteOutcome.LATE)

        def outcome_of(member_list: MemberList) -> object:
            outcome = late_once(member_list)
            if outcome is WriteOutcome.LATE:
                claimed.set()
            return outcome

        cluster.member_store.write_outcome = outcome_of
        returning.kill()
        await claimed.wait()
        returning.start()
        await cluster.clock.sleep(2 * CATCH_UP_S)
        member_list = cluster.member_store.member_map.member_list
        member = member_list.find(returning.replica.disk_id)
        assert member is not None and member.slot is not None
        assert spare.membership.is_complete()

    run_virtual(run())


def test_disk_in_another_slot_is_incomplete_until_it_has_copied() -> None:
    """Guard against grants of an old slot that count for a new one (BUDGET)."""

    async def run() -> None:
        cluster, client = await _start_cluster()
        spare = await _add_spare(cluster)
        returning = cluster.nodes["store-0"]
        returning.kill()
        await cluster.clock.sleep(CATCH_UP_S)
        assert spare.membership.is_complete()
        await _spend_budget(cluster, client)
        returning.start()
        await cluster.clock.sleep(1.0)
        assert await _counts_as_complete(cluster, returning)
        cluster.nodes["store-1"].kill()
        await _wait_for_slot(cluster, returning)
        assert not await _counts_as_complete(cluster, returning)
        await cluster.clock.sleep(CATCH_UP_S)
        assert await _counts_as_complete(cluster, returning)
        await _check_budgets(cluster)

    run_virtual(run())


async def _check_budgets(cluster: StorageCluster) -> None:
    manager = _grant_manager(cluster, cluster.client("thies", "entry-2"))
    for turn_id in TURNS:
        with pytest.raises(BudgetExhaustedError):
            await manager.acquire(turn_id, 100, 100)


@pytest.mark.parametrize("outcome", LOST_OUTCOMES)
@pytest.mark.parametrize("killed", [False, True])
def test_unanswered_join_of_an_empty_disk_loses_no_turns(
    outcome: WriteOutcome, killed: bool
) -> None:
    """Guard against an empty disk that joined without an answer and stays empty."""

    async def run() -> None:
        cluster, client = await _start_cluster()
        await _store_turns(client)
        await _spend_budget(cluster, client)
        joining = cluster.nodes["store-0"]
        joining.wipe()
        await cluster.clock.sleep(1.0)
        joining.start()
        cluster.member_store.write_outcome = _once(joining, outcome)
        if killed:
            await cluster.clock.sleep(0.3)
            joining.kill()
            await cluster.clock.sleep(0.5)
            joining.start()
        await cluster.clock.sleep(CATCH_UP_S)
        assert await _counts_as_complete(cluster, joining)
        cluster.nodes["store-1"].wipe()
        await _check_turns_and_budgets_after_restart(cluster)

    run_virtual(run())


async def _check_turns_and_budgets_after_restart(cluster: StorageCluster) -> None:
    cluster.nodes["store-1"].start()
    await cluster.clock.sleep(CATCH_UP_S)
    await _check_turns_and_budgets(cluster, cluster.client("thies", "entry-2"))


@pytest.mark.parametrize("outcome", LOST_OUTCOMES)
def test_first_start_with_unanswered_writes_completes_all_disks(
    outcome: WriteOutcome,
) -> None:
    """Guard against a first start after which no disk becomes complete (RECOVER)."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS, losses_tolerated=1)
        cluster.member_store.write_outcome = lambda member_list: outcome
        await cluster.form()
        members = cluster.member_store.member_map.member_list.members
        assert sorted(member.slot for member in members) == [0, 1, 2]
        for node in cluster.nodes.values():
            assert await _counts_as_complete(cluster, node)

    run_virtual(run())


@pytest.mark.parametrize("outcome", [WriteOutcome.ANSWERED, *LOST_OUTCOMES])
def test_replaced_member_returns_with_the_records_of_its_disk(
    outcome: WriteOutcome,
) -> None:
    """Guard against a returning disk whose own records no longer count."""

    async def run() -> None:
        cluster, client = await _start_cluster()
        await _store_turns(client)
        await _add_spare(cluster)
        returning = cluster.nodes["store-0"]
        returning.kill()
        await cluster.clock.sleep(CATCH_UP_S)
        outcomes = [outcome]
        cluster.member_store.write_outcome = lambda member_list: (
            outcomes.pop() if outcomes else WriteOutcome.ANSWERED
        )
        returning.start()
        await cluster.clock.sleep(1.0)
        assert await _counts_as_complete(cluster, returning)
        cluster.nodes["store-1"].wipe()
        for turn_id in TURNS:
            found = await client.read_chain(turn_id, key=turn_id)
            assert found[0].turn_id == turn_id

    run_virtual(run())


def test_entry_with_an_older_list_finds_a_turn_on_added_disks() -> None:
    """Guard against a 404 for a turn that only members of a newer list store (LOST)."""

    async def run() -> None:
        cluster, _ = await _start_cluster()
        outdated = cluster.client("thies", "entry-2")
        cluster.member_store.watchers.remove(outdated.update_map)
        for name, region in (("added-0", "lisbon"), ("added-1", "porto")):
            cluster.add(name, region).start()
        await cluster.clock.sleep(CATCH_UP_S)
        client = cluster.client("lisbon", "entry-3")
        for number in range(3):
            cluster.cut_links.add(("entry-3", f"store-{number}"))
        await client.put_turn(turn("a"), key="p")
        holders = [n.name for n in cluster.nodes.values() if n.stores("a")]
        assert sorted(holders) == ["added-0", "added-1"]
        assert (await outdated.read_chain("a", key="p"))[0].turn_id == "a"
        with pytest.raises(NotFoundError):
            await outdated.read_chain("never", key="p")

    run_virtual(run())


def _delaying_probes(
    cluster: StorageCluster, call: Callable[..., Awaitable[Any]]
) -> Callable[..., Awaitable[Any]]:
    async def delayed(address: str, method: Any, request: Any, timeout_s: float) -> Any:
        if method is PROBE:
            await cluster.clock.sleep(0.06)
        return await call(address, method, request, timeout_s=timeout_s)

    return delayed


def test_caller_that_leaves_ends_no_fetch_of_the_member_list_of_others() -> None:
    """Guard against a request that is cancelled with the fetch that another awaits."""

    async def run() -> None:
        cluster, client = await _start_cluster()
        old_map = cluster.member_store.member_map
        cluster.add("added", "lisbon").start()
        await cluster.clock.sleep(CATCH_UP_S)
        await client.put_turn(turn("a"), key="p")
        for delay_ms in range(0, 120, 3):
            outdated = cluster.client("thies", "entry-2")
            outdated._member_map = old_map
            outdated._call = _delaying_probes(cluster, outdated._call)
            leaving = asyncio.ensure_future(outdated.read_chain("never", key="p"))
            staying = asyncio.ensure_future(outdated.read_chain("never", key="q"))
            await cluster.clock.sleep(delay_ms / 1000)
            leaving.cancel()
            with pytest.raises(NotFoundError):
                await staying
            await asyncio.gather(leaving, return_exceptions=True)

    run_virtual(run())


async def _let_journals_drop_their_first_segments(cluster: StorageCluster) -> None:
    client = cluster.client("dakar")
    nodes = [node for node in cluster.nodes.values() if node.running]
    for node in nodes:
        node.journal.segment_records = 8
    for number in range(4):
        for turn_id in TURNS:
            await client.put_turn(turn(f"{number}-{turn_id}"), key=turn_id)
        await cluster.clock.sleep(200.0)
    for node in nodes:
        assert not node.replica.turns()
        assert len(node.journal.records) <= 16


def test_restarted_disks_count_after_their_first_segments_are_gone() -> None:
    """Guard against disks that are incomplete since their mark was removed (RECOVER).

    After a lost disk they then wait for each other for good.
    """

    async def run() -> None:
        cluster, client = await _start_cluster()
        await _let_journals_drop_their_first_segments(cluster)
        await _store_turns(client)
        await _spend_budget(cluster, client)
        for node in cluster.nodes.values():
            node.kill()
        for name in ("store-0", "store-1"):
            cluster.nodes[name].start()
        cluster.add("spare", "dakar").start()
        await cluster.clock.sleep(2 * CATCH_UP_S)
        await _check_turns_and_budgets(cluster, cluster.client("thies", "entry-2"))

    run_virtual(run())


def test_state_written_by_two_tasks_at_once_is_whole_after_a_restart() -> None:
    """Guard against a record of a list version that takes back a completed copy."""

    async def run() -> None:
        cluster, _ = await _start_cluster()
        node = cluster.nodes["store-0"]
        await asyncio.gather(
            node.replica.mark_copied(70), node.replica.require_map_version(80)
        )
        node.kill()
        node.start()
        assert node.replica.has_copied(70)
        with pytest.raises(StaleMapError):
            await node.replica.reserve(
                Reserve(program_id="p", map_version=79, assignment=70)
            )

    run_virtual(run())


def test_restarted_disk_refuses_callers_with_a_list_before_a_replacement() -> None:
    """Guard against a list version that is forgotten with its segment (BUDGET)."""

    async def run() -> None:
        cluster, _ = await _start_cluster()
        old_version = cluster.member_store.member_map.version
        cluster.nodes["store-0"].kill()
        cluster.add("spare", "dakar").start()
        await cluster.clock.sleep(CATCH_UP_S)
        await _let_journals_drop_their_first_segments(cluster)
        node = cluster.nodes["store-1"]
        node.kill()
        node.start()
        await cluster.clock.sleep(1.0)
        with pytest.raises(StaleMapError):
            await node.replica.reserve(
                Reserve(
                    program_id="p",
                    map_version=old_version,
                    assignment=node.assignment(),
                )
            )

    run_virtual(run())


def test_replacing_disk_restores_the_copies_that_it_shared() -> None:
    """Guard against turns with one copy less after their holder replaced another.

    A member that stores a copy takes the slot of the other holder (LOST).
    """

    async def run() -> None:
        cluster, client = await _start_cluster()
        spare = await _add_spare(cluster)
        await client.probe_failed_members()
        await _store_turns(client)
        lost = cluster.nodes["store-1"]
        shared = [t for t in TURNS if spare.stores(t) and lost.stores(t)]
        assert shared
        lost.wipe()
        await cluster.clock.sleep(2 * CATCH_UP_S)
        assert await _counts_as_complete(cluster, spare)
        for turn_id in shared:
            holders = [n for n in cluster.nodes.values() if n.running]
            assert sum(node.stores(turn_id) for node in holders) >= 2

    run_virtual(run())


@pytest.mark.parametrize("seed", range(25))
def test_random_losses_of_disks_and_answers_lose_nothing(seed: int) -> None:
    """Guard against lost turns or grants after joins and losses in any order."""

    async def run() -> None:
        rng = random.Random(seed)
        cluster, client = await _start_cluster()
        outcomes = [*WriteOutcome, WriteOutcome.ANSWERED]
        cluster.member_store.write_outcome = lambda member_list: rng.choice(outcomes)
        turn_ids: list[str] = []
        for step in range(5):
            if rng.random() < 0.7:
                cluster.add(f"added-{step}", rng.choice(REGIONS)).start()
                await _wait_until_complete(cluster)
            await client.probe_failed_members()
            new_ids = [f"{step}-{turn_id}" for turn_id in TURNS]
            turn_ids += new_ids
            await _store_turns(client, new_ids)
            await _spend_budget(cluster, client, new_ids)
            await _lose_one_member(cluster, rng)
            await _wait_until_complete(cluster)
        cluster.member_store.write_outcome = lambda member_list: WriteOutcome.ANSWERED
        await _check_turns_and_budgets(
            cluster, cluster.client("thies", "entry-2"), turn_ids
        )

    run_virtual(run())


async def _lose_one_member(cluster: StorageCluster, rng: random.Random) -> None:
    """Replace, restart or empty one member; restart another process meanwhile."""
    members = cluster.member_store.member_map.member_list.members
    lost_member = rng.choice(members)
    lost = cluster.nodes[lost_member.node]
    has_spare = any(member.slot is None for member in members)
    if has_spare and lost_member.slot is not None and rng.random() < 0.7:
        lost.wipe()
        await cluster.clock.sleep(CATCH_UP_S)
    else:
        lost.kill()
        if rng.random() < 0.5:
            lost.new_disk()
        await cluster.clock.sleep(rng.uniform(0.1, 3.0))
        lost.start()
    await cluster.clock.sleep(rng.uniform(0.0, 0.5))
    other = rng.choice([node for node in cluster.nodes.values() if node.running])
    other.kill()
    await cluster.clock.sleep(rng.uniform(0.0, 1.0))
    other.start()


async def _wait_until_complete(cluster: StorageCluster) -> None:
    """Wait until each slot has a running member whose disk has copied its records."""
    deadline_s = cluster.clock.monotonic_s() + 60.0
    while True:
        await cluster.clock.sleep(0.2)
        members = cluster.member_store.member_map.member_list.members
        nodes = [cluster.nodes[member.node] for member in members]
        if all(node.running and node.membership.is_complete() for node in nodes):
            return
        assert cluster.clock.monotonic_s() < deadline_s, [
            (member, cluster.nodes[member.node].running) for member in members
        ]
