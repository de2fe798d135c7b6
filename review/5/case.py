"""A conversation outlives the retention of its first turn; then a disk is lost."""

from __future__ import annotations

import asyncio

from common.client import MOST_TOKENS, Program
from common.machines import CATCH_UP_S
from common.site import BROKEN, HELD, CaseError, Site, run_case

PROGRAMS = 30
RETENTION_S = 20.0
TURN_EACH_S = 5.0
# The conversations are this old when the disk is lost.
TALK_S = 86.0
BUDGET = 100 * MOST_TOKENS
WIPED = "storage-a"
DOWN_S = 2.0


async def case(site: Site, trouble: bool) -> int:
    """Continue conversations for some retention times, and lose one disk."""
    loop = asyncio.get_running_loop()
    programs = [Program(name=f"p{n:02d}", budget=BUDGET) for n in range(PROGRAMS)]
    began_s = loop.time()
    # The lines of turns begin in one zone and go on in another one.
    for program in programs:
        await _serve(site, "entry-b", program)
    while loop.time() - began_s < TALK_S:
        await asyncio.sleep(TURN_EACH_S - (loop.time() - began_s) % TURN_EACH_S)
        for program in programs:
            await _serve(site, "entry-c", program)

    if trouble:
        wiped = site.storages[WIPED]
        await wiped.kill()
        wiped.wipe_disk()
        site.record.add(f"{WIPED} lost its disk")
        await asyncio.sleep(DOWN_S)
        await wiped.start(bootstrap=False)
        site.record.add(f"{WIPED} restarted with an empty disk")
    await asyncio.sleep(CATCH_UP_S + 1.0)

    lost = 0
    for program in programs:
        age_s = loop.time() - program.answered_s
        previous = program.turns[-1]
        answer = await site.turn_with_retries("entry-a", program, tries=2)
        if answer.status in (404, 410):
            lost += 1
            site.record.add(
                f"BROKEN: {program.name} got {answer.status} for turn {previous}, "
                f"which was answered whole {age_s:.1f} s ago; RetentionS is "
                f"{RETENTION_S:g}"
            )
    site.record.add(f"{lost} of {PROGRAMS} conversations lost")
    return BROKEN if lost else HELD


async def _serve(site: Site, entry: str, program: Program) -> None:
    answer = await site.turn_with_retries(entry, program)
    if answer.status != 200:
        raise CaseError("a turn was not served before the disruption")


run_case(case, retention_s=RETENTION_S)
