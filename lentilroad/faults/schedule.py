"""Random schedules of failures, and their execution."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from lentilroad.faults.client import Client
from lentilroad.faults.history import Event
from lentilroad.faults.upstreams import RecordingEngine, RecordingService
from lentilroad.faults.world import REGION, ZONES, EntryNode, World

FAULTS = (
    "entry_kill",
    "entry_pause",
    "sidecar_kill",
    "engine_fail",
    "silent",
    "key_value_outage",
    "key_value_lost_answer",
    "entry_drain",
    "sidecar_drain",
    "upstream_hang",
    "zone_loss",
)
PLANNED = ("entry_drain", "sidecar_drain")
# Both copies of a program may be lost when two entries fail within the time that a
# takeover and the copy to the next standby need; the design excludes this case.
ENTRY_FAULT_SPACING_S = 4.0
MAX_ENTRY_FAULTS = 2
_ENTRY_FAULTS = ("entry_kill", "entry_pause", "entry_drain", "silent", "zone_loss")
WARM_UP_S = 1.6
CLIENTS = 3
QUIET_S = 2.5
# Sidecars drop unconfirmed programs after 60 s.
SWEEP_S = 75.0
LIMIT_S = 120.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """One failure.

    Parameters
    ----------
    kind : str
        One of `FAULTS`.
    at_s : float
        Start after the warm-up, in seconds.
    duration_s : float
        Time until the process is started again or the fault is over.
    target : int
        Number that selects the process or connection.
    """

    kind: str
    at_s: float
    duration_s: float
    target: int


def make_schedule(random: Random, *, kinds: Sequence[str] = FAULTS) -> list[Fault]:
    """Return 2 to 6 random faults in the order of their start."""
    faults: list[Fault] = []
    next_entry_fault_s = 0.0
    entry_faults = 0
    for _ in range(random.randint(2, 6)):
        kind = random.choice(kinds)
        while kind in _ENTRY_FAULTS and entry_faults == MAX_ENTRY_FAULTS:
            kind = random.choice((*kinds, "key_value_lost_answer"))
        entry_faults += kind in _ENTRY_FAULTS
        at_s = round(random.uniform(0.0, 5.0), 4)
        duration_s = round(random.uniform(0.3, 4.0), 4)
        if kind in _ENTRY_FAULTS:
            at_s = round(next_entry_fault_s + at_s / 4, 4)
            duration_s = min(duration_s, 2.0)
            next_entry_fault_s = at_s + duration_s + ENTRY_FAULT_SPACING_S
        target = random.randrange(1_000)
        faults.append(Fault(kind=kind, at_s=at_s, duration_s=duration_s, target=target))
    return sorted(faults, key=lambda fault: fault.at_s)


async def run_schedule(random: Random, faults: Sequence[Fault]) -> list[Event]:
    """Run clients under a schedule and return the history.

    Parameters
    ----------
    random : Random
        Source of all other choices.
    faults : sequence of Fault
        Failures to inject.
    """
    # A zone that is lost leaves two entries in each other zone.
    loses_zone = any(fault.kind == "zone_loss" for fault in faults)
    world = World(random=random, entries=6 if loses_zone else 4)
    await asyncio.sleep(WARM_UP_S)
    history = world.history
    history.note("schedule", kinds=[fault.kind for fault in faults])
    injections = [world.start(_inject(world, fault)) for fault in faults]
    clients = [
        Client(world=world, number=number, random=Random(random.random()))
        for number in range(CLIENTS)
    ]
    running = [
        world.start(client.run(turns=4, sub_agents=1 if number == 0 else 0))
        for number, client in enumerate(clients)
    ]
    _, late = await asyncio.wait(running, timeout=LIMIT_S)
    if late:
        history.note("stuck", clients=len(late))
    await asyncio.wait(injections, timeout=LIMIT_S)
    await asyncio.sleep(QUIET_S)
    for entry in world.entries:
        entry.kill()
    if any(_cached(world)):
        await asyncio.sleep(SWEEP_S)
    for sidecar in world.sidecars.values():
        if isinstance(sidecar.upstream, RecordingEngine):
            held = sorted(sidecar.upstream.cached)
            history.note("cache", upstream=sidecar.upstream.name, programs=held)
    for failure in world.failures:
        history.note("internal_error", reason=repr(failure))
    return history.events


def _cached(world: World) -> list[str]:
    return [
        program
        for sidecar in world.sidecars.values()
        if isinstance(sidecar.upstream, RecordingEngine)
        for program in sidecar.upstream.cached
    ]


async def _inject(world: World, fault: Fault) -> None:
    await asyncio.sleep(fault.at_s)
    roles = _roles(world, fault) if fault.kind in _ENTRY_FAULTS else []
    world.history.note("fault", kind=fault.kind, target=fault.target, roles=roles)
    await _INJECTORS[fault.kind](world, fault)


def _entry(world: World, fault: Fault) -> EntryNode:
    return world.entries[fault.target % len(world.entries)]


def _roles(world: World, fault: Fault) -> list[str]:
    """Return the roles that the struck entry has in the shards that it knows."""
    entry = _entry(world, fault)
    roles = set()
    for shard in entry.table.shards(REGION):
        record = entry.table.record(shard)
        for role in ("owner", "standby", "arbiter"):
            if getattr(record, role) == entry.address:
                roles.add(role)
    return sorted(roles)


async def _entry_kill(world: World, fault: Fault) -> None:
    entry = _entry(world, fault)
    process = entry.process
    entry.kill()
    await asyncio.sleep(fault.duration_s)
    if entry.process is process:
        entry.start()


async def _entry_pause(world: World, fault: Fault) -> None:
    process = _entry(world, fault).process
    process.pause()
    # Past the lease: the standby takes over after 1.5 s.
    await asyncio.sleep(1.0 + fault.duration_s)
    process.resume()


async def _entry_drain(world: World, fault: Fault) -> None:
    entry = _entry(world, fault)
    process = entry.process
    await entry.drain()
    if entry.process is process:
        entry.start()


async def _sidecar_kill(world: World, fault: Fault) -> None:
    sidecars = list(world.sidecars.values())
    sidecar = sidecars[fault.target % len(sidecars)]
    if sidecar.process.is_dead:
        return
    process = sidecar.process
    sidecar.kill()
    await asyncio.sleep(fault.duration_s)
    if sidecar.process is process:
        sidecar.start()


async def _sidecar_drain(world: World, fault: Fault) -> None:
    sidecars = list(world.sidecars.values())
    sidecar = sidecars[fault.target % len(sidecars)]
    if sidecar.process.is_dead or sidecar.record.state != "serving":
        return
    serving = [
        record
        for record in world.directory.values()
        if record.kind == sidecar.record.kind and record.state == "serving"
    ]
    # Operators keep one upstream of each kind.
    if len(serving) < 2:
        return
    process = sidecar.process
    await sidecar.drain()
    await asyncio.sleep(fault.duration_s)
    if sidecar.process is process:
        sidecar.start()
        world.history.note("returned", upstream=sidecar.address)


async def _engine_fail(world: World, fault: Fault) -> None:
    upstreams = [sidecar.upstream for sidecar in world.sidecars.values()]
    upstream = upstreams[fault.target % len(upstreams)]
    if isinstance(upstream, RecordingService):
        upstream.lost_answers += 1
        return
    upstream.is_down = True
    upstream.restart()
    await asyncio.sleep(fault.duration_s)
    upstream.is_down = False


async def _upstream_hang(world: World, fault: Fault) -> None:
    upstreams = [sidecar.upstream for sidecar in world.sidecars.values()]
    upstream = upstreams[fault.target % len(upstreams)]
    upstream.responding.clear()
    # Some hangs outlast the output gap after which the sidecar gives up.
    await asyncio.sleep(fault.duration_s * 4)
    upstream.responding.set()


async def _zone_loss(world: World, fault: Fault) -> None:
    zone = f"z{fault.target % ZONES}"
    entries = [entry for entry in world.entries if entry.zone == zone]
    sidecars = [
        sidecar
        for sidecar in world.sidecars.values()
        if sidecar.record.availability_zone == zone and not sidecar.process.is_dead
    ]
    killed = [(node, node.process) for node in (*entries, *sidecars)]
    for node, _ in killed:
        node.kill()
    await asyncio.sleep(fault.duration_s)
    for node, process in killed:
        if node.process is process:
            node.start()


async def _silent(world: World, fault: Fault) -> None:
    entries = [entry.address for entry in world.entries]
    others = [*entries, *world.sidecars]
    left = entries[fault.target % len(entries)]
    others.remove(left)
    right = others[fault.target // len(entries) % len(others)]
    world.network.silence(left, right)
    await asyncio.sleep(fault.duration_s)
    world.network.restore(left, right)


async def _key_value_outage(world: World, fault: Fault) -> None:
    world.key_value.down = True
    await asyncio.sleep(fault.duration_s)
    world.key_value.down = False


async def _key_value_lost_answer(world: World, fault: Fault) -> None:
    world.key_value.lost_answers += 1


_INJECTORS = {
    "entry_kill": _entry_kill,
    "entry_pause": _entry_pause,
    "entry_drain": _entry_drain,
    "sidecar_kill": _sidecar_kill,
    "sidecar_drain": _sidecar_drain,
    "engine_fail": _engine_fail,
    "silent": _silent,
    "upstream_hang": _upstream_hang,
    "zone_loss": _zone_loss,
    "key_value_outage": _key_value_outage,
    "key_value_lost_answer": _key_value_lost_answer,
}
