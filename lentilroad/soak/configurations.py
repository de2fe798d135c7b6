"""Changes of the configuration during a soak, and checks that entries apply them."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

from lentilroad.soak.world import (
    CLIENT_PORT,
    ProgramProcess,
    World,
    configuration,
    version_prefix,
)

# A confirmed version is in force at every entry in touch after this time.
CONFIG_APPLY_S = 2.5
# An entry is in touch once it has been undisturbed for this time.
STABILITY_WINDOW_S = 4.0
# Versions whose routes are kept by later ones, so that a probe shows an older version.
KEPT_VERSIONS = 10
PROBE_TIMEOUT_S = 2.0
MAX_PROBED_ENTRIES = 20


@dataclass(slots=True, kw_only=True)
class _Version:
    number: int
    confirmed_s: float
    # Time at which the version that dropped this one's route was sent.
    dropped_s: float = float("inf")


@dataclass(slots=True, kw_only=True)
class _Probe:
    entry: ProgramProcess
    version: _Version
    sent_s: float
    ended_s: float
    has_route: bool


@dataclass(slots=True, kw_only=True)
class ConfigurationChecks:
    """Versions that the store confirmed, and what entries answered for their routes."""

    versions: list[_Version] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    probes: int = 0
    checked_probes: int = 0
    # Times at which entries were first seen with a version, by start of the entry.
    _seen: dict[tuple[str, float, int], float] = field(default_factory=dict)

    async def change_regularly(self, world: World, source: random.Random) -> None:
        """Change the configuration in series, some in quick succession."""
        while True:
            gap_s = source.choice([0.05, 0.3, 1.0, 2.0])
            for _ in range(source.randint(1, 6)):
                await self._change(world, source)
                await asyncio.sleep(gap_s)
            await asyncio.sleep(source.uniform(0.5, 4.0))

    async def probe_regularly(
        self, world: World, session: aiohttp.ClientSession, source: random.Random
    ) -> None:
        """Ask entries for the route of the newest version that must be in force."""
        while True:
            await asyncio.sleep(source.uniform(0.1, 0.3))
            entries = source.sample(
                world.entries, min(MAX_PROBED_ENTRIES, len(world.entries))
            )
            await asyncio.gather(
                *(self._probe(world, session, entry) for entry in entries)
            )

    async def _change(self, world: World, source: random.Random) -> None:
        clock = asyncio.get_running_loop().time
        world.configuration_version += source.randint(1, 3)
        number = world.configuration_version
        kept = [version.number for version in self.versions[-KEPT_VERSIONS:]]
        for version in self.versions[:-KEPT_VERSIONS]:
            version.dropped_s = min(version.dropped_s, clock())
        await world.store.put(
            "op/config",
            configuration(
                version=number, kept_versions=kept, retention_s=world.retention_s
            ),
        )
        self.versions.append(_Version(number=number, confirmed_s=clock()))

    async def _probe(
        self, world: World, session: aiohttp.ClientSession, entry: ProgramProcess
    ) -> None:
        clock = asyncio.get_running_loop().time
        sent_s = clock()
        due = [v for v in self.versions if v.confirmed_s + CONFIG_APPLY_S < sent_s]
        if not due:
            return
        version = due[-1]
        try:
            async with (
                asyncio.timeout(PROBE_TIMEOUT_S),
                session.get(
                    f"http://{entry.ip}:{CLIENT_PORT}{version_prefix(version.number)}x",
                    headers={
                        "Host": "soak.example",
                        "Lentilroad-Attempt-Id": f"v{self.probes}-{entry.name}",
                        "Lentilroad-Deadline-Milliseconds": "1000",
                    },
                ) as response,
            ):
                status = response.status
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            # The entry was killed or paused.
            return
        self.probes += 1
        probe = _Probe(
            entry=entry,
            version=version,
            sent_s=sent_s,
            ended_s=clock(),
            has_route=status != 404,
        )
        # An entry that knows no configuration yet answers 503.
        if status != 503 and probe.ended_s < version.dropped_s:
            self._check(world, probe)

    def _check(self, world: World, probe: _Probe) -> None:
        entry, version = probe.entry, probe.version
        start_s = entry.started_s
        seen_key = (entry.name, start_s, version.number)
        in_touch = _is_in_touch(world, entry, probe.sent_s, probe.ended_s)
        self.checked_probes += in_touch
        if probe.has_route:
            if start_s < probe.sent_s:
                self._seen.setdefault(seen_key, probe.ended_s)
            return
        if probe.sent_s > self._seen.get(seen_key, float("inf")):
            self.violations.append(
                f"{entry.name} went back to a version before {version.number}"
            )
        if in_touch:
            late_s = probe.sent_s - version.confirmed_s
            self.violations.append(
                f"{entry.name} lacks version {version.number} {late_s:.1f} s after "
                "it was confirmed"
            )


def _is_in_touch(
    world: World, entry: ProgramProcess, sent_s: float, ended_s: float
) -> bool:
    """Return whether an entry must have each confirmed version.

    It must if it reaches the store, and also if it does not, as long as the storage
    processes are sound and one of them does.
    """
    calm_since_s = sent_s - STABILITY_WINDOW_S

    def is_calm(process: ProgramProcess) -> bool:
        return not any(
            calm_since_s < time_s <= ended_s for time_s in process.disturbed_s
        )

    def reaches_store(process: ProgramProcess) -> bool:
        link = process.store_link
        return link is not None and link.disturbed_until_s <= calm_since_s

    if world.store_disturbed_until_s > calm_since_s or not is_calm(entry):
        return False
    return reaches_store(entry) or (
        all(is_calm(storage) for storage in world.storages)
        and any(reaches_store(storage) for storage in world.storages)
    )
