"""The store loses the answer by which a storage machine takes a place."""

from __future__ import annotations

import asyncio

from common.client import MOST_TOKENS, Program
from common.machines import CATCH_UP_S, STABILITY_WINDOW_S
from common.site import BROKEN, HELD, CaseError, Site, run_case

PROGRAMS = 48
ENTRIES = ("entry-a", "entry-b", "entry-c")
BUDGET = 20 * MOST_TOKENS
NEW = "storage-a-2"
WIPED = "storage-b"
# The store loses one in three answers to writes, beginning with the first.
LOST_FOR_S = 4.5
LOST_EACH = 3
DOWN_S = 2.0


async def case(site: Site, trouble: bool) -> int:
    """Replace one storage machine while answers are lost, then wipe another one."""
    loop = asyncio.get_running_loop()
    joined = asyncio.Event()
    lossy_until_s = 0.0
    writes = 0

    def on_write(machine: str) -> None:
        site.record.add(f"{machine} wrote to the store")
        if machine == NEW:
            joined.set()

    def loses_answer(machine: str) -> bool:
        nonlocal writes
        if loop.time() >= lossy_until_s:
            return False
        writes += 1
        lost = writes % LOST_EACH == 1
        site.record.add(
            f"write {writes} of the lossy time, by {machine}: answer "
            + ("lost" if lost else "sent")
        )
        return lost

    site.store.on_write = on_write
    site.store.loses_answer = loses_answer
    new = await site.add_machine("storage", NEW, "north-a")
    await new.start(bootstrap=False)
    site.record.add(f"{NEW} started, to replace storage-a")
    await asyncio.sleep(CATCH_UP_S + STABILITY_WINDOW_S)
    if not joined.is_set():
        raise CaseError(f"{NEW} has not joined")

    programs = [Program(name=f"p{n:02d}", budget=BUDGET) for n in range(PROGRAMS)]
    for number, program in enumerate(programs):
        for _ in range(2):
            entry = ENTRIES[number % len(ENTRIES)]
            answer = await site.turn_with_retries(entry, program)
            if answer.status != 200:
                raise CaseError("a turn was not served before the disruption")

    leaving = asyncio.create_task(site.storages["storage-a"].terminate())
    site.record.add("storage-a gets SIGTERM and leaves for good")
    if trouble:
        lossy_until_s = loop.time() + LOST_FOR_S
    await leaving
    await asyncio.sleep(LOST_FOR_S + CATCH_UP_S + STABILITY_WINDOW_S)

    wiped = site.storages[WIPED]
    await wiped.kill()
    wiped.wipe_disk()
    site.record.add(f"{WIPED} lost its disk")
    await asyncio.sleep(DOWN_S)
    await wiped.start(bootstrap=False)
    site.record.add(f"{WIPED} restarted with an empty disk")
    await asyncio.sleep(CATCH_UP_S + STABILITY_WINDOW_S)

    lost = 0
    for number, program in enumerate(programs):
        age_s = loop.time() - program.answered_s
        previous = program.turns[-1]
        entry = ENTRIES[(number + 1) % len(ENTRIES)]
        answer = await site.turn_with_retries(entry, program)
        if answer.status in (404, 410):
            lost += 1
            site.record.add(
                f"BROKEN: {program.name} got {answer.status} for turn {previous}, "
                f"which was answered whole {age_s:.1f} s ago; RetentionS is 60"
            )
    site.record.add(f"{lost} of {PROGRAMS} conversations lost")
    return BROKEN if lost else HELD


run_case(case)
