"""Crowds of callers that do not behave, against the entry as a process.

The bounds come from the machine: a process may use its memory less an eighth, and 200
of its descriptors are not for sockets. Nothing here depends on the machine's speed: the
times are guards only.
"""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from lentilroad.soak.world import CLIENT_PORT, METRICS_PORT, READY_PORT, World
from tests.fakes import hostile_crowd as crowds
from tests.fakes.entry_process import (
    START_GUARD_S,
    EntryProcess,
    entry_process,
    peak_mb,
)

MEMORY_MB = 128
PEAK_MB = MEMORY_MB * 7 / 8
FILE_DESCRIPTORS = 500
FEW_DESCRIPTORS = 280
RESERVED_DESCRIPTORS = 200
CROWD = 60
LARGE_CROWD = 300
# Each machine of a storage member; the disk takes more than that is free of it.
STORAGE_MEMORY_MB = 96
SLOW_ANSWER_BYTES = 2 * 2**20
CLIENT_LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": crowds.BODY_BYTES,
    "HeaderTimeoutMs": 1000,
    "IdleTimeoutMs": 2000,
}
# Port and path; every one can be reached by outsiders.
DOORS = {
    "route": (CLIENT_PORT, "/read/x"),
    "no route": (CLIENT_PORT, "/none"),
    "readiness": (READY_PORT, "/readiness"),
    "metrics": (METRICS_PORT, "/metrics"),
}
CALLERS = (
    crowds.body_in_one_piece,
    crowds.body_in_small_pieces,
    crowds.body_in_chunks,
    crowds.body_far_over_the_limit,
    crowds.chunks_far_over_the_limit,
    crowds.many_fields,
    crowds.requests_ahead,
    crowds.slow_sending,
    crowds.half_way,
    crowds.half_a_head,
    crowds.tiny_chunks,
    crowds.fields_ahead,
    crowds.endless_head,
)


async def _play(
    *,
    folder: Path,
    caller: crowds.Caller,
    door: str,
    size: int = CROWD,
    file_descriptors: int = FILE_DESCRIPTORS,
    answer_bytes: int = 0,
) -> None:
    """Play a crowd, and check the process beside it and after it."""
    port, path = DOORS[door]
    async with entry_process(
        folder=folder,
        memory_mb=MEMORY_MB,
        file_descriptors=file_descriptors,
        answer_bytes=answer_bytes,
        client_limits=CLIENT_LIMITS,
    ) as entry:
        async with crowds.open_crowd(
            caller=caller, ip=entry.program.ip, port=port, path=path, size=size
        ):
            await _check(entry, file_descriptors)
        await _check(entry, file_descriptors)


async def _check(entry: EntryProcess, file_descriptors: int) -> None:
    assert entry.open_sockets() <= file_descriptors - RESERVED_DESCRIPTORS
    await entry.answer(CLIENT_PORT, "/read/ordinary", {200})
    # Without storage members, the entry answers that it is not ready.
    await entry.answer(READY_PORT, "/readiness", {503})
    assert entry.open_sockets() <= file_descriptors - RESERVED_DESCRIPTORS
    assert entry.peak_mb() <= PEAK_MB


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("caller", CALLERS, ids=lambda caller: caller.__name__)
async def test_crowd_leaves_memory_and_service(
    tmp_path: Path, caller: crowds.Caller, door: str
) -> None:
    """Guard against a crowd that ends the process by its memory or its descriptors."""
    await _play(folder=tmp_path, caller=caller, door=door)


@pytest.mark.parametrize("framing", ["length", "chunks"])
async def test_single_body_of_the_largest_size_is_served(
    tmp_path: Path, framing: str
) -> None:
    """Guard against bounds that refuse a request inside the limits in calm."""
    async with entry_process(
        folder=tmp_path,
        memory_mb=MEMORY_MB,
        file_descriptors=FILE_DESCRIPTORS,
        client_limits=CLIENT_LIMITS,
    ) as entry:
        body = crowds.largest_body(in_chunks=framing == "chunks")
        assert await entry.status_of(CLIENT_PORT, body) == 200


async def test_large_crowd_of_bodies_leaves_memory_and_service(tmp_path: Path) -> None:
    """Guard against bytes that are held for each of many connections."""
    await _play(
        folder=tmp_path,
        caller=crowds.body_in_one_piece,
        door="route",
        size=LARGE_CROWD,
        file_descriptors=4100,
    )


async def test_slow_readers_leave_memory_and_service(tmp_path: Path) -> None:
    """Guard against answers that callers request and do not read."""
    await _play(
        folder=tmp_path,
        caller=crowds.slow_reading,
        door="route",
        answer_bytes=SLOW_ANSWER_BYTES,
    )


async def test_kept_turns_leave_the_memory_of_storage_members(tmp_path: Path) -> None:
    """Guard against conversations that fill the memory of the storage members."""
    world = World(folder=tmp_path, source=random.Random(1), memory_mb=STORAGE_MEMORY_MB)
    try:
        await world.start(entries=1)
        await world.wait_ready(START_GUARD_S)
        ip = world.entries[0].ip
        async with crowds.open_crowd(
            caller=crowds.complete_turn,
            ip=ip,
            port=CLIENT_PORT,
            path="/turn/x",
            size=2 * CROWD,
        ):
            entry = EntryProcess(program=world.entries[0], memory_mb=STORAGE_MEMORY_MB)
            await entry.answer(CLIENT_PORT, "/read/ordinary", {200})
            await entry.answer(READY_PORT, "/readiness", {200})
        for process in [*world.entries, *world.storages]:
            assert peak_mb(process) <= STORAGE_MEMORY_MB * 7 / 8, process.name
    finally:
        await world.close()


@pytest.mark.parametrize("door", ["route", "readiness", "metrics"])
async def test_silent_connections_leave_descriptors(tmp_path: Path, door: str) -> None:
    """Guard against connections that send nothing and use up the descriptors."""
    await _play(
        folder=tmp_path,
        caller=crowds.silence,
        door=door,
        size=2 * CROWD,
        file_descriptors=FEW_DESCRIPTORS,
    )
