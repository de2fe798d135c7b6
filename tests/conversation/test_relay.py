"""Entries that are cut off from the storage members relay calls through others."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import subprocess
import sys
from typing import Any

import msgspec
import pytest

from lentilroad.clock import LoopClock
from lentilroad.conversation.allowance import GrantManager
from lentilroad.conversation.client import Location, StorageClient
from lentilroad.conversation.messages import (
    ANNOUNCE,
    PUT_TURNS,
    RELAY,
    Announcement,
    EntryAddresses,
    PutTurns,
    RelayReply,
    StoreReply,
)
from lentilroad.conversation.relay import EntryRegistry, RelayingCaller
from lentilroad.errors import UnavailableError
from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes.clock import ManualClock
from tests.fakes.storage_cluster import IN_REGION_LATENCY_S, StorageCluster, turn

REGIONS = ["dakar", "saint-louis", "thies"]


class _Entry:
    """Entry that counts the calls that it relays for other entries."""

    def __init__(self, fleet: _Fleet, name: str) -> None:
        self.name = name
        self.relayed_calls = 0
        self._fleet = fleet
        self._direct = fleet.cluster.caller("dakar", name)
        self.calls = RelayingCaller(
            call=self._call,
            clock=fleet.cluster.clock,
            own_address=name,
            losses_tolerated=1,
        )
        self.storage = StorageClient(
            call=self.calls.call,
            clock=fleet.cluster.clock,
            location=Location(availability_zone="dakar-a", region="dakar"),
            losses_tolerated=1,
        )
        self.storage.update_map(fleet.cluster.member_store.member_map)

    async def _call(
        self, address: str, method: Any, request: Any, timeout_s: float
    ) -> Any:
        if method is not RELAY:
            return await self._direct(address, method, request, timeout_s)
        async with asyncio.timeout(timeout_s):
            await self._fleet.cluster.clock.sleep(IN_REGION_LATENCY_S)
            entry = self._fleet.entries[address]
            entry.relayed_calls += 1
            return await entry.calls.serve(request)


class _Fleet:
    """Entries that share one storage cluster."""

    def __init__(self, cluster: StorageCluster, names: list[str]) -> None:
        self.cluster = cluster
        self.entries: dict[str, _Entry] = {}
        for name in names:
            self.entries[name] = _Entry(self, name)

    async def announce(self) -> None:
        for _ in range(2):
            for entry in self.entries.values():
                await entry.calls.announce(entry.storage.addresses())

    def cut_off(self, name: str) -> None:
        """Cut an entry off from all members."""
        self.cluster.cut_links |= {(name, node) for node in self.cluster.nodes}


async def _fleet(*names: str) -> _Fleet:
    cluster = StorageCluster(regions=REGIONS, losses_tolerated=1)
    await cluster.form()
    fleet = _Fleet(cluster, list(names))
    await fleet.announce()
    return fleet


def test_cut_off_entry_stores_turns_through_another_entry() -> None:
    """Guard against refused turns in a zone that is cut off from all members."""

    async def run() -> None:
        fleet = await _fleet("e1", "e2")
        clock = fleet.cluster.clock
        entry = fleet.entries["e1"]
        await entry.storage.put_turn(turn("a"), key="p")
        fleet.cut_off("e1")
        started_s = clock.monotonic_s()
        await entry.storage.put_turn(turn("b", "a"), key="p")
        assert clock.monotonic_s() - started_s < 0.7
        started_s = clock.monotonic_s()
        found = await entry.storage.read_chain("b", key="p")
        assert [record.turn_id for record in found] == ["b", "a"]
        grant_manager = GrantManager(
            reserve=entry.storage.reserve, confirm=entry.storage.confirm, clock=clock
        )
        await grant_manager.acquire("p", 10, 100)
        assert clock.monotonic_s() - started_s < 0.2
        assert entry.storage.available()

    run_virtual(run())


def test_entry_that_is_cut_off_after_its_start_has_relays() -> None:
    """Guard against refused turns because an entry fetches the other entries late."""

    async def run() -> None:
        fleet = await _fleet("e1")
        clock = fleet.cluster.clock
        started = _Entry(fleet, "e2")
        fleet.entries["e2"] = started
        announcing = asyncio.ensure_future(
            started.calls.announce_regularly(started.storage.addresses)
        )
        await clock.sleep(1.5)
        fleet.cut_off("e2")
        await started.storage.put_turn(turn("a"), key="p")
        assert fleet.entries["e1"].relayed_calls > 0
        announcing.cancel()

    run_virtual(run())


def test_entry_opens_few_connections_at_its_start() -> None:
    """Guard against a start whose announcements delay the requests that waited.

    After a power loss, each entry of a fleet announced itself to twelve members at
    once.
    """

    async def run() -> None:
        fleet = await _fleet("e1")
        announced: list[str] = []

        async def call(address, method, request, timeout_s):
            announced.append(address)
            return EntryAddresses(addresses=[])

        calls = RelayingCaller(
            call=call, clock=fleet.cluster.clock, own_address="e2", losses_tolerated=2
        )
        announcing = asyncio.ensure_future(
            calls.announce_regularly(lambda: [f"m{n}" for n in range(24)])
        )
        await fleet.cluster.clock.sleep(0.9)
        assert announced == []
        await fleet.cluster.clock.sleep(3.0)
        assert set(announced) == {"m0", "m1"}
        announcing.cancel()

    run_virtual(run())


def test_first_turn_after_the_cut_needs_no_retry() -> None:
    """Guard against a reservation that times out before the entry detects the cut."""

    async def run() -> None:
        fleet = await _fleet("e1", "e2")
        fleet.cut_off("e1")
        entry = fleet.entries["e1"]
        grant_manager = GrantManager(
            reserve=entry.storage.reserve,
            confirm=entry.storage.confirm,
            clock=fleet.cluster.clock,
        )
        await grant_manager.acquire("p", 10, 100)

    run_virtual(run())


def test_cut_off_entry_is_not_used_as_a_relay() -> None:
    """Guard against a relay that cannot reach the members either."""

    async def run() -> None:
        fleet = await _fleet("e1", "e2", "e3")
        fleet.cut_off("e1")
        fleet.cut_off("e2")
        for number in range(4):
            await fleet.entries["e1"].storage.put_turn(turn(f"t{number}"), key="p")

    run_virtual(run())


def test_failed_relays_leave_no_unretrieved_exception() -> None:
    """Guard against tracebacks in an entry's log.

    asyncio logs the exceptions of failed relays that were not retrieved because another
    relay succeeded.
    """
    unretrieved: list[dict[str, Any]] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: unretrieved.append(context))
        clock = LoopClock(loop=loop)

        async def call(
            address: str, method: Any, request: Any, timeout_s: float
        ) -> Any:
            if method is ANNOUNCE:
                return EntryAddresses(addresses=["e2", "e3", "e4"])
            await clock.sleep(0.01)
            if address != "e2":
                raise UnavailableError("no answer")
            return RelayReply(payload=msgspec.msgpack.encode(StoreReply(disk_id="d")))

        # All three relays complete at the same time; which is processed first varies.
        for _ in range(8):
            calls = RelayingCaller(
                call=call, clock=clock, own_address="e1", losses_tolerated=1
            )
            await calls.announce(["m1", "m2"])
            await calls.probe_unresponsive()
            for member in ("m1", "m2"):
                with contextlib.suppress(UnavailableError):
                    await calls.call(member, PUT_TURNS, PutTurns(turns=[]), 1.0)
            stored = await calls.call("m1", PUT_TURNS, PutTurns(turns=[]), 1.0)
            assert stored.disk_id == "d"
        gc.collect()
        await clock.sleep(1.0)

    run_virtual(run())
    assert unretrieved == []


def test_calls_to_a_single_failed_member_are_not_relayed() -> None:
    """Guard against relayed calls for a member that no entry can reach."""

    async def run() -> None:
        fleet = await _fleet("e1", "e2")
        fleet.cluster.nodes["store-0"].kill()
        for number in range(4):
            await fleet.entries["e1"].storage.put_turn(turn(f"t{number}"), key="p")
        assert fleet.entries["e2"].relayed_calls == 0

    run_virtual(run())


def test_calls_are_direct_again_after_the_cut() -> None:
    """Guard against calls that stay relayed, which costs twice the bytes."""

    async def run() -> None:
        fleet = await _fleet("e1", "e2")
        entry = fleet.entries["e1"]
        fleet.cut_off("e1")
        await entry.storage.put_turn(turn("a"), key="p")
        fleet.cluster.cut_links.clear()
        await entry.calls.probe_unresponsive()
        before = fleet.entries["e2"].relayed_calls
        await entry.storage.put_turn(turn("b"), key="p")
        assert fleet.entries["e2"].relayed_calls == before

    run_virtual(run())


def test_cut_off_entry_without_relays_refuses_turns() -> None:
    """Guard against a wait beyond the timeout when no other entry can relay."""

    async def run() -> None:
        fleet = await _fleet("e1")
        fleet.cut_off("e1")
        started_s = fleet.cluster.clock.monotonic_s()
        with pytest.raises(UnavailableError):
            await fleet.entries["e1"].storage.put_turn(turn("a"), key="p")
        assert fleet.cluster.clock.monotonic_s() - started_s < 1.3

    run_virtual(run())


async def test_entry_that_stops_announcing_expires() -> None:
    """Guard against relaying through entries that no longer exist."""
    clock = ManualClock()
    registry = EntryRegistry(clock=clock)
    await registry.announce(Announcement(address="e1"))
    clock.now_s = 8.0
    found = await registry.announce(Announcement(address="e2", wants_entries=True))
    assert found.addresses == ["e1"]
    clock.now_s = 13.0
    found = await registry.announce(Announcement(address="e2", wants_entries=True))
    assert found.addresses == []


def test_errors_of_members_keep_their_types_at_an_entry() -> None:
    """Guard against treating a member that replies with an error as failed.

    An entry does not import the replica module. Errors that are defined only there
    arrive untyped, and an entry with an outdated member list never fetches the new one.
    """
    script = (
        "import lentilroad.conversation.client, sys\n"
        "from lentilroad.errors import error_class\n"
        "assert 'lentilroad.conversation.replica' not in sys.modules\n"
        "print(error_class('stale_storage_map').code)\n"
        "print(error_class('storage_not_caught_up').code)\n"
    )
    found = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    assert found.stdout.split() == ["stale_storage_map", "storage_not_caught_up"]
