"""Changes of the storage machines: added, replaced, retired and emptied ones."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import signal

import aiohttp

from lentilroad.soak.world import METRICS_PORT, ProgramProcess, World

MEMBERS_KEY = "lentilroad/storage"
COMPLETE_POLL_S = 0.2
# The list of members changes within this time after a machine has left for good.
SETTLING_S = 3.0
RETIRE_DURATION_S = 8.4


async def change_storage_machines(
    world: World, source: random.Random, disk_loss: asyncio.Lock, *, planned: bool
) -> None:
    """Add a machine and remove another one for good, again and again.

    Parameters
    ----------
    disk_loss : asyncio.Lock
        Held while the deployment tolerates no further loss of a disk.
    planned : bool
        Whether machines are only replaced and retired as planned; otherwise they are
        also lost without notice.
    """
    while True:
        await asyncio.sleep(source.uniform(0.5, 3.0))
        async with disk_loss:
            leaving = source.choice(world.storages)
            await world.add_storage(region=leaving.region)
            await wait_until_complete(world)
            kinds = ["replaced", "retired"]
            kind = source.choice(kinds if planned else [*kinds, "lost"])
            async with leaving.fault_lock:
                if kind == "retired":
                    await _retire(world, leaving)
                await leaving.end(
                    signal.SIGTERM if kind == "replaced" else signal.SIGKILL
                )
                leaving.wipe()
                leaving.removed = True
                world.storages.remove(leaving)
                world.removed.append(leaving)
            await asyncio.sleep(SETTLING_S)
            await wait_until_complete(world)


async def _retire(world: World, process: ProgramProcess) -> None:
    key = f"status/retire/{process.name}"
    request = json.dumps({"DurationS": RETIRE_DURATION_S}).encode()
    await world.store.put(f"op/retire/{process.name}", request)
    while True:
        item = world.store.items.get(key)
        if item is not None and b"completed" in base64.b64decode(item["Value"]):
            return
        await asyncio.sleep(COMPLETE_POLL_S)


async def wait_until_complete(world: World) -> None:
    """Wait until the disk of each listed member has copied its records."""
    async with aiohttp.ClientSession() as session:
        while True:
            await asyncio.sleep(COMPLETE_POLL_S)
            item = world.store.items.get(MEMBERS_KEY)
            if item is None:
                continue
            members = json.loads(base64.b64decode(item["Value"]))["members"]
            listed = {member["node"] for member in members}
            if listed != {process.name for process in world.storages}:
                continue
            states = await asyncio.gather(
                *(_is_complete(session, process) for process in world.storages)
            )
            if all(states):
                return


async def _is_complete(session: aiohttp.ClientSession, process: ProgramProcess) -> bool:
    try:
        async with (
            asyncio.timeout(1.0),
            session.get(f"http://{process.ip}:{METRICS_PORT}/metrics") as response,
        ):
            return "disk_complete 1" in await response.text()
    except (aiohttp.ClientError, TimeoutError):
        # The process is starting or paused.
        return False
