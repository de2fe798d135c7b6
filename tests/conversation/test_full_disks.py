"""Conversations and budgets remain correct while disks refuse every write."""

from __future__ import annotations

import asyncio
import errno
import os
from pathlib import Path

import pytest

from lentilroad.clock import SystemClock
from lentilroad.conversation import journal as journal_module
from lentilroad.conversation.allowance import GrantManager
from lentilroad.conversation.const import DISK_MAX_USED_SHARE
from lentilroad.conversation.errors import DiskRefusedError, MemoryFullError
from lentilroad.conversation.journal import Journal
from lentilroad.conversation.messages import Grant, PutTurns, Reserve
from lentilroad.errors import BudgetExhaustedError
from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes.storage_cluster import StorageCluster, turn

REGIONS = ["dakar", "saint-louis", "thies"]
RECORDS = [b"a" * 40, b"b" * 40, b"c" * 40]
RECORD_BYTES = 12 + 40


class _FullDisk:
    """Disk that refuses writes after a number of bytes, also within a write."""

    def __init__(self, remaining_bytes: int) -> None:
        self.remaining_bytes = remaining_bytes
        self.created = 0

    def write(self, file: int, data: bytes) -> int:
        """Write the bytes for which the disk has space."""
        if self.remaining_bytes <= 0:
            raise OSError(errno.ENOSPC, "No space left on device")
        written = os.write(file, data[: self.remaining_bytes])
        self.remaining_bytes -= written
        return written

    def open(self, path: Path, flags: int, mode: int) -> int:
        """Count the files that are created."""
        self.created += 1
        return os.open(path, flags, mode)


class _OsWithFullDisk:
    """The `os` module with the `write` and `open` of a full disk."""

    def __init__(self, disk: _FullDisk) -> None:
        self._disk = disk

    def __getattr__(self, name: str):
        return getattr(self._disk if name in ("write", "open") else os, name)


@pytest.mark.parametrize("remaining_bytes", range(0, 3 * RECORD_BYTES + 1, 7))
async def test_acknowledged_records_survive_a_full_disk(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, remaining_bytes: int
) -> None:
    """Guard against acknowledged records that are lost after a torn write."""
    disk = _FullDisk(remaining_bytes)
    monkeypatch.setattr(journal_module, "os", _OsWithFullDisk(disk))
    journal = Journal(folder=tmp_path, segment_bytes=10**6, clock=SystemClock())
    acknowledged = []
    for record in RECORDS:
        try:
            await journal.append(record)
            acknowledged.append(record)
        except DiskRefusedError:
            assert journal.refused_since_s is not None
    for _ in range(20):
        if len(acknowledged) < len(RECORDS):
            with pytest.raises(DiskRefusedError):
                await journal.append(b"x")
    assert disk.created == 1
    disk.remaining_bytes = 10**6
    await journal.append(b"later")
    assert journal.refused_since_s is None
    journal.close()
    restarted = Journal(folder=tmp_path, segment_bytes=10**6, clock=SystemClock())
    found = [payload for _, payload in restarted.read()]
    assert found == [*acknowledged, b"later"]


def test_turns_are_stored_and_read_while_a_disk_is_full() -> None:
    """Guard against conversations that stall or are lost because of a full disk."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS, losses_tolerated=1)
        await cluster.form()
        client = cluster.client("dakar")
        await client.put_turn(turn("a"), key="p")
        nearest = cluster.nodes["store-0"]
        assert nearest.stores("a")
        nearest.journal.full = True
        clock = cluster.clock
        await client.put_turn(turn("b", "a"), key="p")
        started_s = clock.monotonic_s()
        await client.put_turn(turn("c", "b"), key="p")
        # Turns are not sent to the full disk again.
        assert clock.monotonic_s() - started_s < 0.06
        assert client.available()
        started_s = clock.monotonic_s()
        found = await client.read_chain("a", key="p")
        assert found[0].turn_id == "a"
        # The nearest member answers reads although its disk is full.
        assert clock.monotonic_s() - started_s < 0.01
        nearest.journal.full = False
        await nearest.replica.retry_refused_write()
        await client.probe_failed_members()
        await client.put_turn(turn("d", "c"), key="p")
        assert nearest.stores("d")

    run_virtual(run())


def test_grant_on_a_full_disk_succeeds_only_after_its_write() -> None:
    """Guard against a repeated reservation that is answered from memory alone."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS, losses_tolerated=1)
        await cluster.form()
        node = cluster.nodes["store-0"]
        node.journal.full = True
        grant = Grant(
            grant_id="g", tokens=10, confirmed_tokens=0, needed_tokens=10, revision=1
        )
        request = Reserve(
            program_id="p",
            map_version=cluster.member_store.member_map.version,
            grant=grant,
            assignment=node.assignment(),
        )
        for _ in range(2):
            with pytest.raises(DiskRefusedError):
                await node.replica.reserve(request)
        node.journal.full = False
        record_count = len(node.journal.records)
        await node.replica.reserve(request)
        assert len(node.journal.records) == record_count + 1
        await node.replica.reserve(request)
        assert len(node.journal.records) == record_count + 1

    run_virtual(run())


def test_repeated_reservation_waits_for_the_first_write() -> None:
    """Guard against a grant that succeeds while its write is pending on a disk."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS, losses_tolerated=1)
        await cluster.form()
        node = cluster.nodes["store-0"]
        node.journal.stalled = True
        grant = Grant(
            grant_id="g", tokens=10, confirmed_tokens=0, needed_tokens=10, revision=1
        )
        request = Reserve(
            program_id="p",
            map_version=cluster.member_store.member_map.version,
            grant=grant,
            assignment=node.assignment(),
        )
        first = asyncio.ensure_future(node.replica.reserve(request))
        await cluster.clock.sleep(0.1)
        second = asyncio.ensure_future(node.replica.reserve(request))
        await cluster.clock.sleep(0.1)
        assert not second.done()
        node.journal.stalled = False
        await asyncio.gather(first, second)

    run_virtual(run())


def test_budgets_hold_while_one_disk_is_full() -> None:
    """Guard against a budget that is exceeded, or refused, because of a full disk."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS, losses_tolerated=1)
        await cluster.form()
        cluster.nodes["store-1"].journal.full = True
        entries = []
        for name in ("e1", "e2"):
            client = cluster.client("dakar", name)
            entries.append(
                GrantManager(
                    reserve=client.reserve, confirm=client.confirm, clock=cluster.clock
                )
            )
        for entry in entries:
            await entry.acquire("p", 40, 100)
        cluster.nodes["store-0"].kill()
        cluster.nodes["store-0"].start()
        await cluster.clock.sleep(1.0)
        with pytest.raises(BudgetExhaustedError):
            await entries[0].acquire("p", 40, 100)

    run_virtual(run())


def test_disk_beyond_its_maximum_use_refuses_turns_and_retains_stored_ones() -> None:
    """Guard against removing acknowledged turns early to free disk space."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS, losses_tolerated=1)
        await cluster.form()
        replica = cluster.nodes["store-0"].replica
        record = turn("a", input=b"x" * 1000)
        await replica.put_turns(PutTurns(turns=[record]))
        replica._disk_bytes = int(1000 / DISK_MAX_USED_SHARE)
        replica.sweep()
        assert not replica.writable()
        with pytest.raises(DiskRefusedError):
            await replica.put_turns(PutTurns(turns=[turn("b")]))
        assert cluster.nodes["store-0"].stores("a")

    run_virtual(run())


def test_memory_full_of_turns_refuses_long_ones_and_keeps_the_member() -> None:
    """Guard against kept turns that end a storage process by its memory."""

    async def run() -> None:
        cluster = StorageCluster(regions=REGIONS, losses_tolerated=1)
        await cluster.form()
        replica = cluster.nodes["store-0"].replica
        replica._memory_bytes = 1_000_000
        long = b"x" * 400_000
        await replica.put_turns(PutTurns(turns=[turn("a", input=long)]))
        # The same turn again, as after a lost reply, takes no further room.
        await replica.put_turns(PutTurns(turns=[turn("a", input=long[:300_000])]))
        assert replica.turn_bytes() == 300_000 + len(b"out-a\n")
        with pytest.raises(MemoryFullError):
            await replica.put_turns(PutTurns(turns=[turn("b", input=long + long)]))
        await replica.put_turns(PutTurns(turns=[turn("c", input=b"x" * 1000)]))
        assert replica.writable()
        assert cluster.nodes["store-0"].stores("a")
        assert cluster.nodes["store-0"].stores("c")

    run_virtual(run())
