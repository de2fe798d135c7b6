"""Synced records survive torn, missing and reordered writes after the last sync."""

from __future__ import annotations

from pathlib import Path

import pytest

from lentilroad.clock import SystemClock
from lentilroad.conversation.disk_id import read_disk_id
from lentilroad.conversation.journal import Journal


def _journal(folder: Path, segment_bytes: int = 10**6) -> Journal:
    return Journal(folder=folder, segment_bytes=segment_bytes, clock=SystemClock())


def _append_bytes(folder: Path, data: bytes) -> None:
    segment = next(folder.glob("*.segment"))
    with segment.open("ab") as file:
        file.write(data)


async def test_records_are_read_back_in_order(tmp_path: Path) -> None:
    """Guard against an acknowledged record that is not on the disk."""
    journal = _journal(tmp_path)
    for number in range(20):
        await journal.append(b"record %d" % number)
    journal.close()
    found = [payload for _, payload in _journal(tmp_path).read()]
    assert found == [b"record %d" % number for number in range(20)]


@pytest.mark.parametrize(
    "tail", [b"\x05", b"\xff" * 40, b"\x00" * 12, b"\x03\0\0\0abc"]
)
async def test_torn_tail_ends_only_its_segment(tmp_path: Path, tail: bytes) -> None:
    """Guard against a torn write that hides acknowledged records."""
    journal = _journal(tmp_path)
    await journal.append(b"before")
    journal.close()
    _append_bytes(tmp_path, tail)
    restarted = _journal(tmp_path)
    await restarted.append(b"after")
    restarted.close()
    found = [payload for _, payload in _journal(tmp_path).read()]
    assert found == [b"before", b"after"]


async def test_unused_segments_are_removed(tmp_path: Path) -> None:
    """Guard against a disk that fills up with expired conversations."""
    journal = _journal(tmp_path, segment_bytes=1)
    numbers = [await journal.append(b"x" * 100) for _ in range(3)]
    assert numbers == [1, 2, 3]
    assert journal.remove_before(3) == 2
    assert [number for number, _ in journal.read()] == [3]
    journal.close()


def test_emptied_disk_gets_a_new_identity(tmp_path: Path) -> None:
    """Guard against an emptied disk that is mistaken for the former disk."""
    first, new = read_disk_id(tmp_path)
    assert new
    assert read_disk_id(tmp_path) == (first, False)
    (tmp_path / "disk-id").unlink()
    second, new = read_disk_id(tmp_path)
    assert new
    assert second != first
