"""Tests of the membership protocol between entries."""

from __future__ import annotations

import asyncio

from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.wire.messages import PeerRecord, PingRequest
from tests.fakes.entries import Node, running_group


def scenario(run, **options):
    """Run a coroutine function over a running group of five entries."""

    async def main():
        async with running_group(**({"seed": 1, "entries": 5} | options)) as group:
            await run(group, list(group.nodes.values()))

    run_virtual(main())


def states(nodes, address):
    """Return the states of an entry at the other running nodes."""
    return {
        node.members.state_of(address)
        for node in nodes
        if node.alive and node.address != address
    }


def test_entries_discover_each_other_from_the_seeds():
    """Guard against a non-seed entry that other entries do not discover."""

    async def run(group, nodes):
        for node in nodes:
            assert node.members.alive_entries("r1") == sorted(group.nodes)

    scenario(run)


def test_death_and_restart_reach_all_entries():
    """Guard against new work for a dead entry, or none for a restarted one."""

    async def run(group, nodes):
        await nodes[4].kill()
        await asyncio.sleep(10)
        assert states(nodes, nodes[4].address) == {"dead"}
        nodes[4].start()
        await asyncio.sleep(5)
        assert states(nodes, nodes[4].address) == {"alive"}

    scenario(run)


def test_paused_entry_refutes_its_death():
    """Guard against an entry that the group still has as dead after a pause."""

    async def run(group, nodes):
        nodes[3].pause()
        await asyncio.sleep(10)
        assert states(nodes, nodes[3].address) == {"dead"}
        nodes[3].resume()
        await asyncio.sleep(8)
        assert states(nodes, nodes[3].address) == {"alive"}
        # The resumed entry has not declared any other entry dead.
        assert nodes[3].members.alive_entries("r1") == sorted(group.nodes)

    scenario(run)


def test_one_broken_link_makes_no_entry_dead():
    """Guard against a broken link between two entries that is taken for a death.

    The indirect probes must reach the entry via others.
    """

    async def run(group, nodes):
        first, second = nodes[0].address, nodes[1].address
        group.dropped_links |= {(first, second), (second, first)}
        for _ in range(40):
            await asyncio.sleep(0.5)
            assert "dead" not in states(nodes, first) | states(nodes, second)

    scenario(run)


def test_partitioned_halves_merge_again():
    """Guard against a partition that persists once the links are restored.

    Each half has declared the other half dead.
    """

    async def run(group, nodes):
        addresses = list(group.nodes)
        links = {(a, b) for a in addresses[:2] for b in addresses[2:]}
        group.dropped_links |= links | {(b, a) for a, b in links}
        await asyncio.sleep(20)
        assert states(nodes[:2], addresses[4]) == {"dead"}
        group.dropped_links.clear()
        await asyncio.sleep(30)
        for node in nodes:
            assert node.members.alive_entries("r1") == sorted(addresses)

    scenario(run)


def test_draining_state_reaches_all_entries():
    """Guard against new shards or sidecars for an entry that is stopping."""

    async def run(group, nodes):
        nodes[2].members.drain()
        await asyncio.sleep(3)
        assert states(nodes, nodes[2].address) == {"draining"}
        for node in nodes:
            assert nodes[2].address not in node.members.alive_entries("r1")

    scenario(run)


def test_members_and_shard_maps_are_exchanged_between_regions():
    """Guard against entries that cannot find the owner of another region's program."""

    async def run(group, nodes):
        remote = []
        for number in range(3):
            address = f"10.1.0.{number}:7000"
            node = Node(group, address, f"far-{number}", region="r2")
            group.nodes[address] = node
            remote.append(node)
            node.start()
        await asyncio.sleep(20)
        for node in (*nodes, *remote):
            assert len(node.members.alive_entries("r1")) == 5
            assert len(node.members.alive_entries("r2")) == 3
            assert node.table.regions() == ["r1", "r2"]
            for shard in node.table.shards("r2"):
                owner = node.table.record(shard).owner
                assert group.nodes[owner].table.owned_epoch(shard) is not None

    scenario(run)


def test_probe_size_is_bounded_in_a_large_group():
    """Guard against probes that grow with the size of the group."""

    async def run(group, nodes):
        sender = PeerRecord(
            address="10.9.9.9:7000",
            region="r1",
            availability_zone="z1",
            incarnation=1,
        )
        request = PingRequest(
            sender=sender,
            peers=[
                PeerRecord(
                    address=f"10.8.0.{number}:7000",
                    region="r1",
                    availability_zone="z1",
                    incarnation=1,
                )
                for number in range(200)
            ],
        )
        await nodes[0].members.ping(request)
        reply = await nodes[0].members.ping(PingRequest(sender=sender))
        assert len(reply.peers) <= 20
        everything = PingRequest(sender=sender, wants_all=True)
        assert len((await nodes[0].members.ping(everything)).peers) > 200

    scenario(run)
