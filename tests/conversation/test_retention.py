"""A conversation is kept on all of its disks for as long as it goes on."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

import msgspec
import pytest

from lentilroad.conversation.allowance import GrantManager
from lentilroad.conversation.client import StorageClient
from lentilroad.conversation.const import (
    ANNOUNCE_EXTENSION_S,
    LEDGER_RETENTION_S,
    RETENTION_MARGIN_S,
)
from lentilroad.conversation.members import (
    MemberMap,
    decode_members,
    encode_members,
)
from lentilroad.conversation.turns import TurnManager
from lentilroad.errors import BudgetExhaustedError, NotFoundError, UnavailableError
from lentilroad.request.inbound import InboundRequest
from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes.storage_cluster import StorageCluster, StorageNode

CATCH_UP_S = 4.4
REGIONS = ["dakar", "saint-louis", "thies"]
RETENTION_S = 20.0
TURN_INTERVAL_S = 5.0
# Longer than the first turn is kept by itself.
# Unix time of the start of the virtual clock.
WRITTEN_S = 1.7e9
LONG_TALK_S = RETENTION_S + RETENTION_MARGIN_S + 20.0


@dataclass(slots=True, kw_only=True)
class Conversation:
    """Turns of one program through the entries of several regions."""

    cluster: StorageCluster
    name: str
    retention_s: float = RETENTION_S
    has_program: bool = True
    turn_ids: list[str] = field(default_factory=list)

    async def continue_at(self, entry: Entry) -> None:
        """Run one turn through an entry."""
        turn_id = f"{self.name}-{len(self.turn_ids)}"
        inbound = InboundRequest(
            request_id=turn_id,
            method="POST",
            target="/",
            host="h",
            forwarded_headers=[],
            body=f"in {turn_id}\n".encode(),
            program_id=self.name if self.has_program else "",
            previous_turn_id=self.turn_ids[-1] if self.turn_ids else "",
        )
        async with entry.turns.begin(inbound, self.retention_s, 1) as turn:
            expected = [f"in {known}\n" for known in [*self.turn_ids, turn_id]]
            assert turn.body.decode() == "".join(expected)
            await turn.store("i-1")
        self.turn_ids.append(turn_id)

    def holders(self, number: int) -> list[StorageNode]:
        """Return the running members that store a turn."""
        turn_id = self.turn_ids[number]
        return [
            node
            for node in self.cluster.nodes.values()
            if node.running and node.stores(turn_id)
        ]


class Entry:
    """Entry in one region without a cache of earlier requests."""

    def __init__(self, cluster: StorageCluster, region: str) -> None:
        self.client: StorageClient = cluster.client(region, f"entry-{region}")
        self.grants = GrantManager(
            reserve=self.client.reserve,
            confirm=self.client.confirm,
            clock=cluster.clock,
        )
        self.turns = TurnManager(
            storage=self.client, grant_manager=self.grants, clock=cluster.clock
        )


async def _start() -> tuple[StorageCluster, list[Conversation]]:
    """Begin conversations through one region."""
    cluster = StorageCluster(regions=REGIONS, losses_tolerated=1)
    await cluster.form()
    conversations = [Conversation(cluster=cluster, name=f"p{n}") for n in range(12)]
    entry = Entry(cluster, "saint-louis")
    for conversation in conversations:
        await conversation.continue_at(entry)
    return cluster, conversations


async def _talk(
    cluster: StorageCluster, conversations: list[Conversation], duration_s: float
) -> None:
    """Continue the conversations through another region than their beginning."""
    entry = Entry(cluster, "thies")
    end_s = cluster.clock.monotonic_s() + duration_s
    while cluster.clock.monotonic_s() < end_s:
        await cluster.clock.sleep(TURN_INTERVAL_S)
        await entry.client.probe_failed_members()
        for conversation in conversations:
            await conversation.continue_at(entry)


async def _continue_all(
    cluster: StorageCluster, conversations: list[Conversation]
) -> None:
    """Continue each conversation through an entry that has read none of them."""
    entry = Entry(cluster, "dakar")
    for conversation in conversations:
        await conversation.continue_at(entry)


@pytest.mark.parametrize("wiped", ["store-0", "store-1", "store-2"])
def test_long_conversation_survives_the_loss_of_any_disk(wiped: str) -> None:
    """Guard against early turns whose second copy expires (LOST)."""

    async def run() -> None:
        cluster, conversations = await _start()
        await _talk(cluster, conversations, LONG_TALK_S)
        cluster.nodes[wiped].wipe()
        await cluster.clock.sleep(2.0)
        cluster.nodes[wiped].start()
        await cluster.clock.sleep(CATCH_UP_S)
        await _continue_all(cluster, conversations)

    run_virtual(run())


def test_copy_of_an_old_turn_is_kept_as_long_as_its_conversation() -> None:
    """Guard against a copied turn that has already expired when it arrives (LOST)."""

    async def run() -> None:
        cluster, conversations = await _start()
        await _talk(cluster, conversations, LONG_TALK_S)
        for name in ("store-0", "store-1", "store-2"):
            cluster.nodes[name].wipe()
            await cluster.clock.sleep(1.0)
            cluster.nodes[name].start()
            await _talk(cluster, conversations, LONG_TALK_S)
        await _continue_all(cluster, conversations)

    run_virtual(run())


def test_turns_of_a_retired_disk_are_kept_as_long_as_their_conversations() -> None:
    """Guard against old turns that expire at the disks that take them over (LOST)."""

    async def run() -> None:
        cluster, conversations = await _start()
        cluster.add("spare", "dakar").start()
        await _talk(cluster, conversations, LONG_TALK_S)
        await cluster.nodes["store-1"].membership.retire()
        cluster.nodes["store-1"].wipe()
        await _talk(cluster, conversations, LONG_TALK_S)
        for conversation in conversations:
            assert len(conversation.holders(0)) >= 2
        cluster.nodes["store-2"].wipe()
        await cluster.clock.sleep(1.0)
        cluster.nodes["store-2"].start()
        await cluster.clock.sleep(CATCH_UP_S)
        await _continue_all(cluster, conversations)

    run_virtual(run())


def test_restarted_disk_keeps_old_turns_of_conversations_that_go_on() -> None:
    """Guard against a restart that forgets the extended lifetimes (LOST)."""

    async def run() -> None:
        cluster, conversations = await _start()
        await _talk(cluster, conversations, LONG_TALK_S)
        for node in list(cluster.nodes.values()):
            node.kill()
            await cluster.clock.sleep(1.0)
            node.start()
            await _talk(cluster, conversations, 2 * TURN_INTERVAL_S)
        await _talk(cluster, conversations, LONG_TALK_S)
        for conversation in conversations:
            assert len(conversation.holders(0)) >= 2
        await _continue_all(cluster, conversations)

    run_virtual(run())


def test_all_disks_restarted_together_keep_conversations_that_go_on() -> None:
    """Guard against lifetimes that no process remembers after a power loss (LOST)."""

    async def run() -> None:
        cluster, conversations = await _start()
        await _talk(cluster, conversations, LONG_TALK_S)
        for node in cluster.nodes.values():
            node.kill()
        await cluster.clock.sleep(1.0)
        for node in cluster.nodes.values():
            node.start()
        await cluster.clock.sleep(2.0)
        await _talk(cluster, conversations, LONG_TALK_S)
        for conversation in conversations:
            assert len(conversation.holders(0)) >= 2

    run_virtual(run())


def test_records_of_a_replaced_disk_are_kept_by_the_disk_that_copied_them() -> None:
    """Guard against extensions that reach only the disks of the first turns (LOST)."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS * 3, losses_tolerated=1)
        await cluster.form()
        conversations = [Conversation(cluster=cluster, name=f"p{n}") for n in range(12)]
        entry = Entry(cluster, "saint-louis")
        for conversation in conversations:
            await conversation.continue_at(entry)
        cluster.add("spare", "dakar").start()
        await _talk(cluster, conversations, LONG_TALK_S)
        for name in ("store-1", "store-4"):
            cluster.nodes[name].wipe()
            await cluster.clock.sleep(1.0)
            cluster.add(f"new-{name}", "saint-louis").start()
            await _talk(cluster, conversations, LONG_TALK_S)
            for conversation in conversations:
                assert len(conversation.holders(0)) >= 2

    run_virtual(run())


def test_copy_that_a_member_in_use_takes_over_is_kept() -> None:
    """Guard against a copy that is dropped before its lifetime is announced (LOST)."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS * 3, losses_tolerated=1)
        await cluster.form()
        conversations = [Conversation(cluster=cluster, name=f"p{n}") for n in range(24)]
        entry = Entry(cluster, "saint-louis")
        for conversation in conversations:
            await conversation.continue_at(entry)
        cluster.add("spare", "dakar").start()
        await _talk(cluster, conversations, LONG_TALK_S)
        cluster.nodes["store-1"].wipe()
        end_s = cluster.clock.monotonic_s() + RETENTION_S - TURN_INTERVAL_S
        await cluster.clock.sleep(CATCH_UP_S)
        while cluster.clock.monotonic_s() < end_s:
            await cluster.clock.sleep(0.5)
            for conversation in conversations:
                assert len(conversation.holders(0)) >= 2

    run_virtual(run())


def test_conversation_that_moves_with_each_turn_is_kept() -> None:
    """Guard against extensions that each new disk takes for the first one (LOST).

    Without a program, the disks of each turn are chosen anew.
    """

    async def run() -> None:
        regions = [f"region-{number}" for number in range(6)]
        cluster = StorageCluster(regions=regions * 2, losses_tolerated=1)
        await cluster.form()
        conversations = [
            Conversation(
                cluster=cluster, name=f"p{n}", retention_s=40.0, has_program=False
            )
            for n in range(12)
        ]
        for region in regions:
            entry = Entry(cluster, region)
            for conversation in conversations:
                await conversation.continue_at(entry)
            await cluster.clock.sleep(ANNOUNCE_EXTENSION_S - 1.0)
        for conversation in conversations:
            assert len(conversation.holders(0)) >= 2

    run_virtual(run())


@pytest.mark.parametrize("stopped", [False, True])
def test_member_that_heard_nothing_drops_nothing(stopped: bool) -> None:
    """Guard against a member that was cut off and drops what others need (LOST)."""

    async def run() -> None:
        cluster, conversations = await _start()
        away = cluster.nodes["store-1"]
        assert any(away in c.holders(0) for c in conversations)
        held = [c for c in conversations if away in c.holders(0)]
        links = {
            link
            for name in ("store-0", "store-2", "entry-thies")
            for link in ((name, "store-1"), ("store-1", name))
        }
        if stopped:
            away.kill()
        else:
            cluster.cut_links.update(links)
        await _talk(cluster, conversations, LONG_TALK_S)
        cluster.cut_links -= links
        if stopped:
            away.start()
        await _talk(cluster, conversations, LONG_TALK_S)
        for conversation in held:
            assert away in conversation.holders(0)
        other = next(n for n in held[0].holders(0) if n is not away)
        other.wipe()
        await cluster.clock.sleep(1.0)
        other.start()
        await cluster.clock.sleep(CATCH_UP_S)
        await _continue_all(cluster, held)

    run_virtual(run())


def test_conversation_survives_changes_of_its_retention() -> None:
    """Guard against a shorter retention that is applied to earlier turns (LOST)."""

    async def run() -> None:
        cluster, conversations = await _start()
        await _talk(cluster, conversations, LONG_TALK_S)
        for retention_s in (100.0, 10.0):
            for conversation in conversations:
                conversation.retention_s = retention_s
            await _talk(cluster, conversations, LONG_TALK_S)
            for conversation in conversations:
                assert len(conversation.holders(0)) >= 2

    run_virtual(run())


def test_records_of_an_earlier_version_are_read() -> None:
    """Guard against disks and lists that an update makes incomplete or forgets."""

    async def run() -> None:
        cluster, _ = await _start()
        store = cluster.member_store
        members = json.loads(encode_members(store.member_map.member_list))
        for member in members["members"]:
            del member["assignment"], member["replaced_disk_id"]
        for node in cluster.nodes.values():
            node.kill()
            node.journal.records[:] = [
                msgspec.msgpack.encode(record)
                for record in (
                    [None, None, node.replica.disk_id, None],
                    [["t", "", b"in\n", b"out\n", "i-1", [], 60.0, WRITTEN_S], None],
                    [["u", "t", b"in\n", b"out\n", "i-1", [], 60.0, WRITTEN_S], None],
                )
            ]
        store.member_map = MemberMap(
            version=store.member_map.version,
            member_list=decode_members(json.dumps(members).encode()),
        )
        for node in cluster.nodes.values():
            node.start()
        await cluster.clock.sleep(1.0)
        assert all(node.membership.is_complete() for node in cluster.nodes.values())
        client = cluster.client("dakar")
        await client.reserve("p", None)
        found = await client.read_chain("u", key="p")
        assert [record.turn_id for record in found] == ["u", "t"]

    run_virtual(run())


@pytest.mark.parametrize("down", [None, "store-0"])
def test_finished_conversation_expires_on_all_disks(down: str | None) -> None:
    """Guard against disks that fill since one member is down for long."""

    async def run() -> None:
        cluster, conversations = await _start()
        await _talk(cluster, conversations, LONG_TALK_S)
        if down is not None:
            cluster.nodes[down].kill()
        await cluster.clock.sleep(RETENTION_S + RETENTION_MARGIN_S + 30.0)
        for node in cluster.nodes.values():
            assert not node.running or not node.replica.turns()
        with pytest.raises(NotFoundError if down is None else UnavailableError):
            await _continue_all(cluster, conversations)

    run_virtual(run())


def test_nothing_is_dropped_while_too_few_members_are_heard() -> None:
    """Guard against a drop of turns that only unheard members know to be needed."""

    async def run() -> None:
        cluster, conversations = await _start()
        for name in ("store-0", "store-2"):
            cluster.nodes[name].kill()
        kept = cluster.nodes["store-1"]
        count = len(kept.replica.turns())
        assert count
        await cluster.clock.sleep(3 * LONG_TALK_S)
        assert len(kept.replica.turns()) == count

    run_virtual(run())


def test_short_conversations_announce_no_lifetimes() -> None:
    """Guard against messages for conversations that end within the margin."""

    async def run() -> None:
        cluster, conversations = await _start()
        announced: list[str] = []
        for node in cluster.nodes.values():
            _record_announcements(node, announced)
        await _talk(cluster, conversations, ANNOUNCE_EXTENSION_S - TURN_INTERVAL_S)
        await cluster.clock.sleep(30.0)
        assert announced == []
        await _continue_all(cluster, conversations[:1])
        await cluster.clock.sleep(30.0)
        assert set(announced) == {f"c:{conversations[0].turn_ids[0]}"}

    run_virtual(run())


def _record_announcements(node: StorageNode, announced: list[str]) -> None:
    receive = node.lifetimes.receive

    async def record(request: object) -> object:
        announced.extend(lifetime.key for lifetime in request.lifetimes)
        return await receive(request)

    node.lifetimes.receive = record


def test_grants_are_kept_as_long_as_the_program_may_return() -> None:
    """Guard against a budget that is spent twice after a long pause (BUDGET)."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS, losses_tolerated=1)
        await cluster.form()
        retention_s = 2 * LEDGER_RETENTION_S
        entry = Entry(cluster, "dakar")
        await entry.grants.acquire("p", 100, 100, retention_s=retention_s)
        await cluster.clock.sleep(retention_s)
        other = Entry(cluster, "thies")
        with pytest.raises(BudgetExhaustedError):
            await other.grants.acquire("p", 100, 100, retention_s=retention_s)
        await cluster.clock.sleep(retention_s)
        assert any(node.replica.ledgers() for node in cluster.nodes.values())
        await cluster.clock.sleep(2 * retention_s)
        assert not any(node.replica.ledgers() for node in cluster.nodes.values())

    run_virtual(run())


@pytest.mark.parametrize("restarted", [False, True])
def test_grants_of_all_entries_are_kept_while_one_of_them_continues(
    restarted: bool,
) -> None:
    """Guard against a disk that drops the grant of an entry that is idle (BUDGET).

    The disk has not heard of the program since, because other disks formed the quorums.
    """

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS, losses_tolerated=1)
        await cluster.form()
        first = Entry(cluster, "dakar")
        programs = [f"p{number}" for number in range(8)]
        for program in programs:
            await first.grants.acquire(program, 60, 100)
            first.grants.release(program, 60, 60)
        second = Entry(cluster, "thies")
        for step in range(30):
            await cluster.clock.sleep(LEDGER_RETENTION_S / 12)
            for program in programs:
                await second.grants.acquire(program, 1, 100)
                second.grants.release(program, 1, 1)
            if restarted and step % 6 == 5:
                node = cluster.nodes[f"store-{step // 6 % 3}"]
                node.kill()
                await cluster.clock.sleep(1.0)
                node.start()
                await second.client.probe_failed_members()
        for killed in cluster.nodes.values():
            killed.kill()
            for region in REGIONS:
                third = Entry(cluster, region)
                for program in programs:
                    with pytest.raises(BudgetExhaustedError):
                        await third.grants.acquire(program, 20, 100)
            killed.start()
            await cluster.clock.sleep(1.0)

    run_virtual(run())
