"""Logical entries and sidecars that run the real distribution code."""

from __future__ import annotations

import asyncio
import random as random_module
from collections.abc import Callable, Sequence
from functools import lru_cache

from lentilroad.bench.memory_key_value import MemoryKeyValueStore
from lentilroad.bench.peer_network import PeerNetwork
from lentilroad.clock import LoopClock
from lentilroad.const import HEARTBEAT_INTERVAL_S, PEER_UNRESPONSIVE_AFTER_S
from lentilroad.version.distribution import ConfigurationDistributor
from lentilroad.version.model import Configuration, ConfigurationVersion, Head
from lentilroad.version.parts import join_configuration
from lentilroad.version.store import ConfigurationStore
from lentilroad.version.watch import is_watcher

REGION_COUNT = 3
BETWEEN_ZONES_S = 0.001
BETWEEN_REGIONS_S = 0.012
# Time after which the membership protocol has removed a dead entry.
MEMBERSHIP_DETECTS_S = 3.0
SIDECAR_DIGEST_INTERVAL_S = 5.0
HEARTBEAT_SLOTS = 50


@lru_cache(maxsize=4)
def _build_once(parts: tuple[bytes, ...]) -> Configuration:
    return join_configuration(parts)


def _build(head: Head, parts: Sequence[bytes]) -> Configuration:
    """Share one immutable configuration between all logical processes."""
    return _build_once(tuple(parts))


class Fleet:
    """Entries in three regions, sidecars with two home entries each.

    Parameters
    ----------
    entry_count, sidecar_count : int
        Logical processes.
    random : random.Random
        Source of every random choice.
    loss : float
        Share of lost messages.
    """

    def __init__(
        self,
        *,
        entry_count: int,
        sidecar_count: int,
        random: random_module.Random,
        loss: float = 0.01,
    ) -> None:
        self.random = random
        self.loss = loss
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.network = PeerNetwork(
            clock=self.clock, random=random, latency_s=self._latency_s, loss=loss
        )
        self.key_value = MemoryKeyValueStore(clock=self.clock, random=random)
        self.entries = [f"e{i}.{i % REGION_COUNT}" for i in range(entry_count)]
        self.sidecars = [f"s{i}.{i % REGION_COUNT}" for i in range(sidecar_count)]
        self.by_region = [self.entries[i::REGION_COUNT] for i in range(REGION_COUNT)]
        self.distributions: dict[str, ConfigurationDistributor] = {}
        self.homes: dict[str, list[str]] = {}
        # Dead entries that the membership protocol has not removed yet are not in it.
        self.removed: set[str] = set()
        # Time at which each version came into force, by process.
        self.in_force: dict[int, dict[str, float]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all processes."""
        for address in self.entries:
            self.start_entry(address)
        for address in self.sidecars:
            self._start_sidecar(address)
        self._tasks.append(asyncio.create_task(self._heartbeats()))

    async def stop(self) -> None:
        """Stop all processes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def store_of(self, address: str, *, offers: bool) -> ConfigurationStore:
        """Return the store of one entry; without offers it dies after its write."""
        distribution = self.distributions[address]
        return ConfigurationStore(
            key_value=self.key_value,
            clock=self.clock,
            random=self.random,
            on_applied=distribution.distribute if offers else None,
            local_part=distribution.local_part,
        )

    def kill(self, addresses: set[str]) -> None:
        """Make these processes unreachable; those killed before come back."""
        self.network.dead = set(addresses)
        self.removed = set()
        loop = asyncio.get_running_loop()
        loop.call_later(MEMBERSHIP_DETECTS_S, self._detect, frozenset(addresses))
        loop.call_later(PEER_UNRESPONSIVE_AFTER_S, self._new_homes)

    def alive(self) -> list[str]:
        """Return the processes that can be reached."""
        everyone = [*self.entries, *self.sidecars]
        return [one for one in everyone if one not in self.network.dead]

    def _detect(self, dead: frozenset[str]) -> None:
        if dead == self.network.dead:
            self.removed = set(dead)

    def _new_homes(self) -> None:
        for sidecar, homes in self.homes.items():
            lost = [home for home in homes if home in self.network.dead]
            if lost:
                self.homes[sidecar] = self._choose_homes(sidecar)

    def _choose_homes(self, sidecar: str) -> list[str]:
        region = self.by_region[int(sidecar.rsplit(".", 1)[1])]
        alive = [entry for entry in region if entry not in self.network.dead]
        return self.random.sample(alive, min(2, len(alive)))

    def _latency_s(self, left: str, right: str) -> float:
        same = left.rsplit(".", 1)[1] == right.rsplit(".", 1)[1]
        return BETWEEN_ZONES_S if same else BETWEEN_REGIONS_S

    def _known(self, addresses: Sequence[str]) -> list[str]:
        if not self.removed:
            return list(addresses)
        return [one for one in addresses if one not in self.removed]

    def _record(self, address: str) -> Callable[[ConfigurationVersion], None]:
        def record(version: ConfigurationVersion) -> None:
            times = self.in_force.setdefault(version.version, {})
            times.setdefault(address, self.clock.monotonic_s())

        return record

    def _run(self, address: str, distribution: ConfigurationDistributor) -> None:
        distribution.on_change(self._record(address))
        self.distributions[address] = distribution
        self.network.handlers[address] = distribution.handlers()
        self._tasks.append(asyncio.create_task(distribution.run()))

    def start_entry(self, address: str) -> None:
        """Start one entry."""
        region = int(address.rsplit(".", 1)[1])
        near = self.by_region[region]
        far = [one for one in self.entries if one not in set(near)]
        distribution = ConfigurationDistributor(
            call=self.network.call_from(address),
            clock=self.clock,
            random=self.random,
            peers=lambda: self._known(near),
            remote_region_peers=lambda: self._known(far),
            address=address,
            key_value=self.key_value,
            is_watcher=lambda: (
                address not in self.network.dead
                and is_watcher(address, self._known(near))
            ),
            build=_build,
        )
        self._run(address, distribution)

    def _start_sidecar(self, address: str) -> None:
        self.homes[address] = self._choose_homes(address)
        distribution = ConfigurationDistributor(
            call=self.network.call_from(address),
            clock=self.clock,
            random=self.random,
            peers=lambda: self.homes[address],
            digest_interval_s=SIDECAR_DIGEST_INTERVAL_S,
            build=_build,
        )
        self._run(address, distribution)

    async def _heartbeats(self) -> None:
        """Carry the homes' versions to their sidecars, as heartbeat replies do."""
        slots = [self.sidecars[i::HEARTBEAT_SLOTS] for i in range(HEARTBEAT_SLOTS)]
        loop = asyncio.get_running_loop()
        while True:
            for slot in slots:
                for sidecar in slot:
                    self._heartbeat(loop, sidecar)
                await self.clock.sleep(HEARTBEAT_INTERVAL_S / HEARTBEAT_SLOTS)

    def _heartbeat(self, loop: asyncio.AbstractEventLoop, sidecar: str) -> None:
        dead = self.network.dead
        own = self.distributions[sidecar]
        for home in self.homes[sidecar]:
            version = self.distributions[home].version
            if version <= own.version or home in dead or sidecar in dead:
                continue
            if self.random.random() < 1 - (1 - self.loss) ** 2:
                continue
            loop.call_later(2 * BETWEEN_ZONES_S, own.handle_peer_version, home, version)
