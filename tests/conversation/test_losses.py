"""Turns and grants survive all losses that the deployment tolerates."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.conversation.allowance import GrantManager
from lentilroad.errors import (
    BudgetExhaustedError,
    NotFoundError,
    UnavailableError,
)
from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes.storage_cluster import StorageCluster, turn

# Maximum catch-up time of the deployment with the shorter one.
CATCH_UP_S = 4.4
REGIONS = ["dakar", "saint-louis", "thies"]


async def _start_cluster(
    regions: list[str] = REGIONS, losses_tolerated: int = 1
) -> StorageCluster:
    cluster = StorageCluster(regions=regions, losses_tolerated=losses_tolerated)
    await cluster.form()
    return cluster


def test_first_start_assigns_slots_and_completes_all_disks() -> None:
    """Guard against a member that waits for copies that no other disk stores."""

    async def run() -> None:
        cluster = await _start_cluster()
        assert sorted(
            m.slot for m in cluster.member_store.member_map.member_list.members
        ) == [
            0,
            1,
            2,
        ]
        assert all(node.membership.is_complete() for node in cluster.nodes.values())

    run_virtual(run())


def test_large_deployment_forms_with_few_writes() -> None:
    """Guard against write conflicts when all instances join at the same time.

    Without randomly spread writes, 24 instances needed about 300 attempts and 5 s.
    """

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS * 8, losses_tolerated=2)
        for node in cluster.nodes.values():
            node.start(first_start=True)
        await cluster.clock.sleep(2.0)
        assert len(cluster.member_store.member_map.member_list.members) == 24
        assert cluster.member_store.write_attempts <= 3 * 24

    run_virtual(run())


def test_copies_are_restored_while_members_are_notified_late() -> None:
    """Guard against turns of a second lost disk that are not restored.

    One instance replaces two members, and the other members are notified of changes
    a second late.
    """

    async def run() -> None:
        cluster = await _start_cluster(REGIONS * 4, losses_tolerated=2)
        client = cluster.client("dakar")
        turns = [f"t{number}" for number in range(40)]
        for turn_id in turns:
            await client.put_turn(turn(turn_id), key=turn_id)
        lost = [cluster.nodes["store-1"], cluster.nodes["store-4"]]
        surviving = [node for node in cluster.nodes.values() if node not in lost]
        only_on_second = [
            turn_id
            for turn_id in turns
            if lost[1].stores(turn_id) and not lost[0].stores(turn_id)
        ]
        assert only_on_second
        cluster.member_store.notify_delay_s = 1.0
        for node in lost:
            node.kill()
        replacement = cluster.add("store-99", "saint-louis")
        replacement.start()
        await cluster.clock.sleep(CATCH_UP_S + 1.0)
        for turn_id in only_on_second:
            copies = sum(node.stores(turn_id) for node in surviving)
            assert copies == 3 or replacement.stores(turn_id), turn_id

    run_virtual(run())


@pytest.mark.parametrize("wiped", ["store-0", "store-1", "store-2"])
def test_turn_survives_the_loss_of_any_disk(wiped: str) -> None:
    """Guard against acknowledging a turn whose copies are all on one disk."""

    async def run() -> None:
        cluster = await _start_cluster()
        client = cluster.client("dakar")
        await client.put_turn(turn("a"), key="p")
        await client.put_turn(turn("b", "a"), key="p")
        cluster.nodes[wiped].wipe()
        found = await client.read_chain("b", key="p")
        assert [record.turn_id for record in found] == ["b", "a"]

    run_virtual(run())


def test_wiped_disk_catches_up_before_the_next_loss() -> None:
    """Guard against copies that are not restored before a second loss."""

    async def run() -> None:
        cluster = await _start_cluster()
        client = cluster.client("dakar")
        await client.put_turn(turn("a"), key="p")
        holders = [n for n in cluster.nodes.values() if n.stores("a")]
        assert len(holders) == 2
        holders[0].wipe()
        await cluster.clock.sleep(1.0)
        holders[0].start()
        await cluster.clock.sleep(CATCH_UP_S)
        holders[1].wipe()
        assert (await client.read_chain("a", key="p"))[0].turn_id == "a"

    run_virtual(run())


def test_new_member_replaces_an_unresponsive_member() -> None:
    """Guard against a new member that waits for the member that it replaces.

    When two machines were replaced in sequence, the new members waited for them, and
    no quorum remained.
    """

    async def run() -> None:
        cluster = await _start_cluster()
        client = cluster.client("dakar")
        await client.put_turn(turn("a"), key="p")
        for old, new in (("store-0", "store-3"), ("store-2", "store-4")):
            cluster.nodes[old].kill()
            await cluster.clock.sleep(1.0)
            cluster.add(new, cluster.nodes[old].region).start()
            await cluster.clock.sleep(CATCH_UP_S)
            assert cluster.nodes[new].membership.is_complete()
        names = {m.node for m in cluster.member_store.member_map.member_list.members}
        assert names == {"store-1", "store-3", "store-4"}
        assert (await client.read_chain("a", key="p"))[0].turn_id == "a"

    run_virtual(run())


def test_retired_instance_leaves_enough_stored_copies() -> None:
    """Guard against lost turns because a retirement counts holders without a copy."""

    async def run() -> None:
        cluster = await _start_cluster([*REGIONS, "dakar"])
        client = cluster.client("thies")
        ids = [f"t{number}" for number in range(20)]
        for turn_id in ids:
            await client.put_turn(turn(turn_id), key=turn_id)
        retired = cluster.nodes["store-2"]
        await retired.membership.retire()
        retired.wipe()
        cluster.nodes["store-1"].wipe()
        for turn_id in ids:
            assert (await client.read_chain(turn_id, key=turn_id))[0].turn_id == turn_id

    run_virtual(run())


def test_turn_that_is_synced_late_in_a_retirement_is_copied() -> None:
    """Guard against a copy that goes with a retired disk although it was counted.

    The disk accepts the turn before it refuses new ones, and syncs it after the last
    copy of its records (LOST).
    """

    async def run() -> None:
        cluster = await _start_cluster()
        client = cluster.client("dakar")
        retired = cluster.nodes["store-0"]
        cluster.cut_links.add(("entry", "store-2"))
        retired.journal.stalled = True
        storing = asyncio.create_task(client.put_turn(turn("a"), key="p"))
        await cluster.clock.sleep(0.01)
        retiring = asyncio.create_task(retired.membership.retire())
        await cluster.clock.sleep(0.5)
        retired.journal.stalled = False
        await storing
        await retiring
        retired.wipe()
        assert all(cluster.nodes[f"store-{n}"].stores("a") for n in (1, 2))

    run_virtual(run())


def test_retired_instance_stores_no_turns() -> None:
    """Guard against a copy on a disk that is about to be removed."""

    async def run() -> None:
        cluster = await _start_cluster()
        client = cluster.client("thies")
        cluster.member_store.watchers.remove(client.update_map)
        await cluster.nodes["store-2"].membership.retire()
        # The entry still has the outdated member list.
        await client.put_turn(turn("late"), key="p")
        holders = [name for name, node in cluster.nodes.items() if node.stores("late")]
        assert "store-2" not in holders
        assert len(holders) >= 2

    run_virtual(run())


def test_turn_is_not_found_only_when_every_member_replies() -> None:
    """Guard against a 404 while an unresponsive member may store a copy."""

    async def run() -> None:
        cluster = await _start_cluster()
        client = cluster.client("dakar")
        with pytest.raises(NotFoundError):
            await client.read_chain("never", key="p")
        cluster.nodes["store-1"].kill()
        with pytest.raises(UnavailableError) as caught:
            await client.read_chain("never", key="p")
        assert caught.value.outcome == "not_run"
        assert caught.value.retry_after_ms is not None

    run_virtual(run())


def test_wiped_disk_does_not_make_a_turn_not_found() -> None:
    """Guard against a wiped disk whose reply counts before the disk has caught up."""

    async def run() -> None:
        cluster = await _start_cluster()
        client = cluster.client("dakar")
        await client.put_turn(turn("a"), key="p")
        holders = [n for n in cluster.nodes.values() if n.stores("a")]
        other = next(n for n in cluster.nodes.values() if not n.stores("a"))
        holders[0].wipe()
        holders[1].kill()
        holders[0].start()
        await cluster.clock.sleep(1.0)
        assert not holders[0].membership.is_complete()
        assert other.membership.is_complete()
        with pytest.raises(UnavailableError):
            await client.read_chain("a", key="p")

    run_virtual(run())


def test_turns_and_grants_survive_a_power_loss_of_all_members() -> None:
    """Guard against acknowledging turns or grants that are not synced."""

    async def run() -> None:
        cluster = await _start_cluster()
        client = cluster.client("dakar")
        await client.put_turn(turn("a"), key="p")
        grant_manager = _grant_manager(cluster, client)
        await grant_manager.acquire("p", 100, 150)
        for node in cluster.nodes.values():
            node.kill()
        await cluster.clock.sleep(1.0)
        for node in cluster.nodes.values():
            node.start()
        await cluster.clock.sleep(2.0)
        after = cluster.client("thies", "entry-2")
        assert (await after.read_chain("a", key="p"))[0].turn_id == "a"
        with pytest.raises(BudgetExhaustedError):
            await _grant_manager(cluster, after).acquire("p", 100, 150)

    run_virtual(run())


def test_replaced_member_rejoins_with_its_disk() -> None:
    """Guard against discarding a disk because its process was unresponsive."""

    async def run() -> None:
        cluster = await _start_cluster()
        client = cluster.client("dakar")
        await client.put_turn(turn("a"), key="p")
        cluster.nodes["store-1"].kill()
        cluster.add("store-3", "dakar").start()
        await cluster.clock.sleep(5.0)
        cluster.nodes["store-1"].start()
        await cluster.clock.sleep(3.0)
        slots = {
            m.node: m.slot for m in cluster.member_store.member_map.member_list.members
        }
        assert slots["store-1"] is None
        assert slots["store-3"] is not None

    run_virtual(run())


def test_isolated_new_instance_replaces_no_member() -> None:
    """Guard against an isolated new instance that replaces live members."""

    async def run() -> None:
        cluster = await _start_cluster()
        cluster.cut_links.update(("store-3", f"store-{number}") for number in range(3))
        cluster.add("store-3", "dakar").start()
        await cluster.clock.sleep(10.0)
        slots = {
            m.node: m.slot for m in cluster.member_store.member_map.member_list.members
        }
        assert [slots[f"store-{n}"] for n in range(3)].count(None) == 0

    run_virtual(run())


def test_entry_refuses_immediately_without_a_quorum() -> None:
    """Guard against turns that wait before they are refused.

    Two of six entries that were cut off from the storage members delayed each turn
    by a second.
    """

    async def run() -> None:
        cluster = await _start_cluster()
        client = cluster.client("dakar")
        grant_manager = _grant_manager(cluster, client)
        cluster.cut_links.update(("entry", f"store-{number}") for number in range(3))
        with pytest.raises(UnavailableError):
            await grant_manager.acquire("p", 100, 1000)
        assert not client.available()
        before_s = cluster.clock.monotonic_s()
        with pytest.raises(UnavailableError) as caught:
            await grant_manager.acquire("q", 100, 1000)
        assert cluster.clock.monotonic_s() == before_s
        assert caught.value.outcome == "not_run"
        cluster.cut_links.clear()
        await client.probe_failed_members()
        assert client.available()
        await grant_manager.acquire("q", 100, 1000)

    run_virtual(run())


def test_stalled_disk_does_not_delay_turns() -> None:
    """Guard against a write that waits for an unresponsive disk."""

    async def run() -> None:
        cluster = await _start_cluster()
        client = cluster.client("dakar")
        cluster.nodes["store-0"].journal.stalled = True
        before_s = cluster.clock.monotonic_s()
        await client.put_turn(turn("a"), key="p")
        assert cluster.clock.monotonic_s() - before_s < 0.25
        await cluster.clock.sleep(1.0)
        await client.probe_failed_members()
        before_s = cluster.clock.monotonic_s()
        await client.put_turn(turn("b", "a"), key="p")
        assert cluster.clock.monotonic_s() - before_s < 0.25

    run_virtual(run())


def test_turns_survive_two_simultaneous_losses() -> None:
    """Guard against fewer copies than the tolerated losses require."""

    async def run() -> None:
        regions = [REGIONS[number % 3] for number in range(11)]
        cluster = await _start_cluster(regions, losses_tolerated=2)
        client = cluster.client("dakar")
        for number in range(30):
            await client.put_turn(turn(f"t{number}"), key=f"t{number}")
        for name in ("store-0", "store-3"):
            cluster.nodes[name].wipe()
        for number in range(30):
            assert await client.read_chain(f"t{number}", key=f"t{number}")

    run_virtual(run())


def _grant_manager(cluster: StorageCluster, client) -> GrantManager:
    return GrantManager(
        reserve=client.reserve, confirm=client.confirm, clock=cluster.clock
    )


def test_two_wiped_disks_do_not_make_a_turn_not_found() -> None:
    """Guard against a 404 after two wiped disks caught up from each other.

    The last disk with the turn is only unreachable.
    """

    async def run() -> None:
        cluster = await _start_cluster(
            regions=["a", "a", "b", "b", "c", "c"], losses_tolerated=2
        )
        client = cluster.client("a")
        await client.put_turn(turn("t"), key="p")
        await cluster.clock.sleep(1.0)
        holders = [node for node in cluster.nodes.values() if node.stores("t")]
        assert len(holders) == 3
        holders[2].kill()
        for node in holders[:2]:
            node.wipe()
        await cluster.clock.sleep(0.5)
        for node in holders[:2]:
            node.start()
        await cluster.clock.sleep(CATCH_UP_S)
        with pytest.raises(UnavailableError):
            await client.read_chain("t", key="p")
        holders[2].start()
        await cluster.clock.sleep(CATCH_UP_S)
        assert (await client.read_chain("t", key="p"))[0].turn_id == "t"
        assert holders[0].stores("t")
        assert holders[1].stores("t")

    run_virtual(run())
