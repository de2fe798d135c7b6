"""Steps that several cases share."""

from __future__ import annotations

import asyncio
import json

from common.client import MOST_TOKENS, Program
from common.site import CaseError, Site

ENTRIES = ("entry-a", "entry-b", "entry-c")
RETIRE_S = 8.4
PAUSE_S = 0.2


async def retire(site: Site, name: str) -> None:
    """Let the operator empty a storage machine, and remove it."""
    request = json.dumps({"DurationS": RETIRE_S}).encode()
    await site.store.put(f"op/retire/{name}", request)
    site.record.add(f"{name} is to be emptied")
    for _ in range(300):
        status = site.store.value(f"status/retire/{name}")
        if status is not None and json.loads(status)["State"] == "completed":
            break
        await asyncio.sleep(0.1)
    else:
        raise CaseError(f"{name} was not emptied")
    machine = site.storages.pop(name)
    await machine.kill()
    site.record.add(f"{name} was emptied and removed")
    await asyncio.sleep(5.0)


async def serve_first_turns(site: Site, for_s: float, name: str) -> tuple[int, int]:
    """Send first turns of new programs; return how many were served and sent."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + for_s
    served = sent = 0
    while loop.time() < until_s:
        program = Program(name=f"{name}-{sent}", budget=3 * MOST_TOKENS)
        answer = await site.turn(ENTRIES[sent % len(ENTRIES)], program)
        sent += 1
        served += answer.status == 200 and answer.whole
        await asyncio.sleep(PAUSE_S)
    site.record.add(f"{name}: {served} of {sent} requests served")
    return served, sent
