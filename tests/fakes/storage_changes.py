"""Random overlapping changes and faults of storage members, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from lentilroad.conversation.client import StorageClient
from lentilroad.errors import NotFoundError, UnavailableError
from tests.fakes.storage_cluster import (
    StorageCluster,
    StorageNode,
    WriteOutcome,
    turn,
)

REGIONS = ["north", "south", "west"]
WRITERS_PER_ENTRY = 3
READERS_PER_ENTRY = 2
# Readers prefer recent turns; older ones are checked by their number of copies.
RECENT_TURNS = 60
COMPLETE_POLL_S = 0.2
PROBE_INTERVAL_S = 0.2
NOTIFY_DELAY_S = 0.5
RECOVERY_S = 20.0


class ChangingCluster:
    """Cluster whose members change and fail while turns are stored and read.

    A disk is taken away as soon as all members report that their disks are complete,
    as an operator may do.

    Parameters
    ----------
    seed : int
        Seed of all choices.

    Attributes
    ----------
    violations : list of str
        Turns that were denied, or had too few copies when all disks were complete.
    changes : int
        Number of disks that were taken away.
    """

    def __init__(self, *, seed: int) -> None:
        self.violations: list[str] = []
        self.changes = 0
        self._random = random.Random(seed)
        self._cluster = StorageCluster(regions=REGIONS, losses_tolerated=1)
        self._stored: list[str] = []
        self._count = 0
        self._disk_loss = asyncio.Lock()
        # Members that another fault ends, pauses or takes away.
        self._disturbed: set[str] = set()
        self._removed: set[str] = set()

    async def run(self, duration_s: float) -> None:
        """Change members for a time, let them recover and check all turns."""
        cluster = self._cluster
        await cluster.form()
        cluster.member_store.notify_delay_s = NOTIFY_DELAY_S
        clients = [
            cluster.client(region, f"entry-{number}")
            for number, region in enumerate(REGIONS)
        ]
        work: list[Coroutine[Any, Any, None]] = [
            self._replace_machines(),
            self._empty_disks(),
            self._pause_members(),
            self._pause_members(),
            self._restart_members(),
            self._harm_links(),
            self._stall_disks(),
            self._lose_answers_of_the_store(),
        ]
        for client in clients:
            work.append(self._probe_regularly(client))
            work += [self._store_turns(client) for _ in range(WRITERS_PER_ENTRY)]
            work += [self._read_turns(client) for _ in range(READERS_PER_ENTRY)]
        tasks = [asyncio.create_task(step) for step in work]
        await asyncio.sleep(duration_s)
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
        await self._recover()
        await self._check_stored_turns()

    async def _recover(self) -> None:
        cluster = self._cluster
        cluster.heal()
        cluster.member_store.write_outcome = lambda member_list: WriteOutcome.ANSWERED
        for node in cluster.nodes.values():
            node.journal.stalled = False
            if not node.running and node.name not in self._removed:
                node.start()
        await cluster.clock.sleep(RECOVERY_S)

    async def _check_stored_turns(self) -> None:
        client = self._cluster.client(REGIONS[0], "checker")
        for turn_id in self._stored:
            try:
                await client.read_chain(turn_id, key=turn_id)
            except NotFoundError:
                self.violations.append(f"{turn_id} was lost")
            except UnavailableError:
                # A machine that left for good stays in the list if the changes ended
                # before another one could replace it.
                return

    async def _store_turns(self, client: StorageClient) -> None:
        while True:
            await self._cluster.clock.sleep(self._random.uniform(0.0, 0.4))
            self._count += 1
            turn_id = f"t{self._count}"
            try:
                await client.put_turn(turn(turn_id), key=turn_id)
            except UnavailableError:
                continue
            self._stored.append(turn_id)

    async def _read_turns(self, client: StorageClient) -> None:
        while True:
            await self._cluster.clock.sleep(self._random.uniform(0.0, 0.2))
            if not self._stored:
                continue
            turn_id = self._random.choice(self._stored[-RECENT_TURNS:])
            try:
                await client.read_chain(turn_id, key=turn_id)
            except NotFoundError:
                self.violations.append(f"{turn_id} was denied")
            except UnavailableError:
                continue

    async def _probe_regularly(self, client: StorageClient) -> None:
        while True:
            await self._cluster.clock.sleep(PROBE_INTERVAL_S)
            await client.probe_failed_members()

    async def _replace_machines(self) -> None:
        cluster = self._cluster
        number = 0
        while True:
            await cluster.clock.sleep(self._random.uniform(0.5, 3.0))
            async with self._disk_loss:
                await self._wait_until_complete()
                leaving = self._random.choice(self._present_nodes())
                number += 1
                cluster.add(f"added-{number}", leaving.region).start()
                await self._wait_until_complete()
                while leaving.name in self._disturbed:
                    await cluster.clock.sleep(0.01)
                self._disturbed.add(leaving.name)
                if self._random.random() < 0.3:
                    await leaving.membership.retire()
                leaving.wipe()
                self._removed.add(leaving.name)
                self.changes += 1
                await self._wait_until_complete()

    async def _empty_disks(self) -> None:
        clock = self._cluster.clock
        while True:
            await clock.sleep(self._random.uniform(0.3, 3.0))
            async with self._disk_loss:
                await self._wait_until_complete()
                node = self._random.choice(self._present_nodes())
                if node.name in self._disturbed:
                    continue
                self._disturbed.add(node.name)
                node.wipe()
                self.changes += 1
                await clock.sleep(self._random.uniform(0.1, 2.0))
                node.start()
                self._disturbed.discard(node.name)
                await self._wait_until_complete()

    def _present_nodes(self) -> list[StorageNode]:
        return [
            node
            for node in self._cluster.nodes.values()
            if node.name not in self._removed
        ]

    async def _wait_until_complete(self) -> None:
        """Wait until the list has all machines and each reports a complete disk."""
        store = self._cluster.member_store
        while True:
            await self._cluster.clock.sleep(COMPLETE_POLL_S)
            members = store.member_map.member_list.members
            nodes = self._present_nodes()
            if {member.node for member in members} == {node.name for node in nodes}:
                reports = [
                    node.running
                    and not node.is_paused()
                    and node.membership.is_complete()
                    for node in nodes
                ]
                if all(reports):
                    self._check_copies(nodes)
                    return

    def _check_copies(self, nodes: list[StorageNode]) -> None:
        stored = [{record.turn_id for record in node.replica.turns()} for node in nodes]
        for turn_id in self._stored:
            copies = sum(turn_id in turn_ids for turn_ids in stored)
            if copies < 2:
                self.violations.append(f"{turn_id} has {copies} of 2 copies")

    def _choose_undisturbed(self) -> StorageNode | None:
        nodes = [
            node
            for node in self._cluster.nodes.values()
            if node.name not in self._disturbed
        ]
        return self._random.choice(nodes) if nodes else None

    async def _disturb_members(
        self,
        begin: Callable[[StorageNode], None],
        end: Callable[[StorageNode], None],
        *,
        shortest_s: float,
        longest_s: float,
    ) -> None:
        """Disturb one member after the other for a random time each."""
        clock = self._cluster.clock
        while True:
            await clock.sleep(self._random.uniform(0.3, 3.0))
            node = self._choose_undisturbed()
            if node is None:
                continue
            self._disturbed.add(node.name)
            begin(node)
            await clock.sleep(self._random.uniform(shortest_s, longest_s))
            end(node)
            self._disturbed.discard(node.name)

    async def _pause_members(self) -> None:
        await self._disturb_members(
            StorageNode.pause, StorageNode.resume, shortest_s=0.2, longest_s=2.5
        )

    async def _restart_members(self) -> None:
        await self._disturb_members(
            StorageNode.kill, StorageNode.start, shortest_s=0.3, longest_s=2.0
        )

    async def _harm_links(self) -> None:
        cluster = self._cluster
        while True:
            await cluster.clock.sleep(self._random.uniform(0.3, 3.0))
            members = list(cluster.nodes)
            callers = [f"entry-{number}" for number in range(len(REGIONS))] + members
            links = {
                (self._random.choice(callers), self._random.choice(members))
                for _ in range(self._random.randint(1, 4))
            }
            if self._random.random() < 0.5:
                cluster.cut_links |= links
            else:
                for link in links:
                    cluster.link_delays_s[link] = self._random.uniform(0.02, 0.8)
            await cluster.clock.sleep(self._random.uniform(0.2, 3.0))
            cluster.cut_links -= links
            for link in links:
                cluster.link_delays_s.pop(link, None)

    async def _stall_disks(self) -> None:
        clock = self._cluster.clock
        while True:
            await clock.sleep(self._random.uniform(0.3, 3.0))
            journal = self._random.choice(list(self._cluster.nodes.values())).journal
            journal.stalled = True
            await clock.sleep(self._random.uniform(0.1, 1.0))
            journal.stalled = False

    async def _lose_answers_of_the_store(self) -> None:
        store = self._cluster.member_store
        outcomes = [*WriteOutcome]
        while True:
            await self._cluster.clock.sleep(self._random.uniform(1.0, 5.0))
            store.write_outcome = lambda member_list: self._random.choice(outcomes)
            await self._cluster.clock.sleep(self._random.uniform(0.5, 3.0))
            store.write_outcome = lambda member_list: WriteOutcome.ANSWERED
