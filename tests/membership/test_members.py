"""Guard the probes among entries."""

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
    """Return what the running nodes say about an entry."""
    return {
        node.members.state_of(address)
        for node in nodes
        if node.alive and node.address != address
    }


def test_entries_find_each_other_from_the_seeds():
    """An entry that is nobody's seed must be known everywhere."""

    async def run(group, nodes):
        for node in nodes:
            assert node.members.alive_entries("r1") == sorted(group.nodes)

    scenario(run)


def test_death_is_known_everywhere_and_a_restart_too():
    """A dead entry must get no new work until its next process runs."""

    async def run(group, nodes):
        await nodes[4].kill()
        await asyncio.sleep(10)
        assert states(nodes, nodes[4].address) == {"dead"}
        nodes[4].start()
        await asyncio.sleep(5)
        assert states(nodes, nodes[4].address) == {"alive"}

    scenario(run)


def test_paused_entry_refutes_its_death():
    """An entry that was slow must come back by itself."""

    async def run(group, nodes):
        nodes[3].pause()
        await asyncio.sleep(10)
        assert states(nodes, nodes[3].address) == {"dead"}
        nodes[3].wake()
        await asyncio.sleep(8)
        assert states(nodes, nodes[3].address) == {"alive"}
        # Nobody else was declared dead by the entry that had slept.
        assert nodes[3].members.alive_entries("r1") == sorted(group.nodes)

    scenario(run)


def test_one_silent_link_makes_nobody_dead():
    """The indirect probes must tell a lost link from a lost entry."""

    async def run(group, nodes):
        first, second = nodes[0].address, nodes[1].address
        group.silent_links |= {(first, second), (second, first)}
        for _ in range(40):
            await asyncio.sleep(0.5)
            assert "dead" not in states(nodes, first) | states(nodes, second)

    scenario(run)


def test_two_halves_join_again():
    """A split must not outlast its cause, though each half calls the other dead."""

    async def run(group, nodes):
        addresses = list(group.nodes)
        links = {(a, b) for a in addresses[:2] for b in addresses[2:]}
        group.silent_links |= links | {(b, a) for a, b in links}
        await asyncio.sleep(20)
        assert states(nodes[:2], addresses[4]) == {"dead"}
        group.silent_links.clear()
        await asyncio.sleep(30)
        for node in nodes:
            assert node.members.alive_entries("r1") == sorted(addresses)

    scenario(run)


def test_draining_is_known_everywhere():
    """A stopping entry must get no new shards or sidecars."""

    async def run(group, nodes):
        nodes[2].members.drain()
        await asyncio.sleep(3)
        assert states(nodes, nodes[2].address) == {"draining"}
        for node in nodes:
            assert nodes[2].address not in node.members.alive_entries("r1")

    scenario(run)


def test_regions_know_each_other():
    """Entries must find the owner of a program whose home is another region."""

    async def run(group, nodes):
        far = []
        for number in range(3):
            address = f"10.1.0.{number}:7000"
            node = Node(group, address, f"far-{number}", region="r2")
            group.nodes[address] = node
            far.append(node)
            node.start()
        await asyncio.sleep(20)
        for node in (*nodes, *far):
            assert len(node.members.alive_entries("r1")) == 5
            assert len(node.members.alive_entries("r2")) == 3
            assert node.table.regions() == ["r1", "r2"]
            for shard in node.table.shards("r2"):
                owner = node.table.record(shard).owner
                assert group.nodes[owner].table.owned_epoch(shard) is not None

    scenario(run)


def test_messages_stay_bounded():
    """A large group must not grow the probes."""

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
