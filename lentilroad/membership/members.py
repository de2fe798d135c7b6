"""Group membership of the entries of all regions, by the SWIM protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import eliot
import msgspec

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.membership.const import (
    CROSS_REGION_ENTRIES,
    CROSS_REGION_PROBE_INTERVAL_S,
    DEAD_PEER_RETENTION_S,
    INDIRECT_PROBES,
    MAX_PIGGYBACK_RECORDS,
    PAUSE_THRESHOLD_S,
    PIGGYBACK_REPEATS,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    REJOIN_INTERVAL_S,
    ROTATING_PEERS,
    SUSPICION_TIMEOUT_S,
)
from lentilroad.membership.rendezvous import rank
from lentilroad.wire.messages import PeerRecord, PingReply, PingRequest
from lentilroad.wire.services import PING, Method

PeerCall = Callable[[str, Method, Any, float | None], Awaitable[Any]]
# Adds data to an outgoing message; the flag asks for all data instead of updates.
FillProbe = Callable[[PingRequest | PingReply, bool], None]
# Processes a message received from the given address.
ReadProbe = Callable[[str, PingRequest | PingReply], None]

_STATE_RANKS = {"alive": 0, "draining": 0, "suspect": 1, "dead": 2}


@dataclass(slots=True, kw_only=True, eq=False)
class _Peer:
    record: PeerRecord
    changed_s: float


def _supersedes(record: PeerRecord, known: PeerRecord) -> bool:
    """Return whether a record supersedes the known record of the same address."""
    return (record.incarnation, _STATE_RANKS[record.state]) > (
        known.incarnation,
        _STATE_RANKS[known.state],
    )


class EntryMembership:
    """Entries by region, with failure detection by SWIM.

    One entry of the region is probed every 500 ms, and indirectly via two other
    entries if it does not answer. An entry that does not answer either way becomes
    suspect, and dead after 1.5 s unless it refutes the suspicion. Probes carry a
    bounded number of updates.

    Parameters
    ----------
    record : PeerRecord
        Record of this entry; its incarnation starts at `started_ms`.
    seeds : list[str]
        Addresses of entries to join, from the settings.
    call : callable
        ``call(address, method, request, timeout_s)``.
    clock : Clock
        Source of time.
    random : random.Random
        Source of the probe order and the jitter.
    """

    def __init__(
        self,
        *,
        record: PeerRecord,
        seeds: list[str],
        call: PeerCall,
        clock: Clock,
        random: Random,
    ) -> None:
        self.joined = asyncio.Event()
        self._record = record
        self._seeds = [seed for seed in seeds if seed != record.address]
        self._call = call
        self._clock = clock
        self._random = random
        self._started_s = clock.monotonic_s()
        self._peers: dict[str, _Peer] = {}
        self._pending_updates: dict[str, int] = {}
        self._extensions: list[tuple[FillProbe, ReadProbe]] = []
        self._probe_order: list[str] = []
        self._rotation_position = 0
        self._background: set[asyncio.Task[None]] = set()

    @property
    def record(self) -> PeerRecord:
        """Return the record of this entry."""
        return self._record

    def add_piggyback(self, fill_probe: FillProbe, read_probe: ReadProbe) -> None:
        """Register another component that adds data to probes and processes it."""
        self._extensions.append((fill_probe, read_probe))

    def alive_entries(self, region: str) -> list[str]:
        """Return the entries of a region that accept new work, sorted."""
        found = [
            address
            for address, peer in self._peers.items()
            if peer.record.region == region
            and peer.record.state in ("alive", "suspect")
        ]
        if self._record.region == region and self._record.state == "alive":
            found.append(self._record.address)
        return sorted(found)

    def state_of(self, address: str) -> str:
        """Return "alive", "suspect", "draining", "dead" or "unknown"."""
        found = self.peer(address)
        return found.state if found else "unknown"

    def peer(self, address: str) -> PeerRecord | None:
        """Return the record of an entry, or None if it is unknown."""
        if address == self._record.address:
            return self._record
        peer = self._peers.get(address)
        return peer.record if peer else None

    def peers(self) -> list[PeerRecord]:
        """Return the records of all known entries, for ``status``."""
        return [self._record, *(peer.record for peer in self._peers.values())]

    def regions(self) -> list[str]:
        """Return the regions of all known entries, sorted."""
        return sorted({record.region for record in self.peers()})

    def dead_for_s(self, address: str) -> float:
        """Return for how many seconds an entry has been dead or unknown."""
        if address == self._record.address:
            return 0.0
        peer = self._peers.get(address)
        if peer is None:
            return self._clock.monotonic_s() - self._started_s
        if peer.record.state != "dead":
            return 0.0
        return self._clock.monotonic_s() - peer.changed_s

    def process_ended(self, address: str, started_ms: int) -> bool:
        """Return whether a later process than the given one runs at the address."""
        peer = self.peer(address)
        return peer is not None and peer.started_ms > started_ms > 0

    def drain(self) -> None:
        """Announce that this entry stops and must get no new shards or sidecars."""
        self._update_record(
            state="draining", draining=True, incarnation=self._record.incarnation + 1
        )

    def set_config_version(self, version: int) -> None:
        """Announce the configuration version that is in force at this entry."""
        if version != self._record.config_version:
            self._update_record(
                config_version=version, incarnation=self._record.incarnation + 1
            )

    async def ping(self, request: PingRequest) -> PingReply:
        """Handle `PING`, directly or on behalf of the sender."""
        self._read_probe(request.sender.address, request)
        alive = True
        if request.target_address is not None:
            alive = await self._probe_directly(request.target_address)
        reply = PingReply(alive=alive)
        self._fill_probe(reply, everything=request.wants_all)
        known = self._peers.get(request.sender.address)
        if known is not None and known.record.state in ("suspect", "dead"):
            # Lets the sender refute its reported state.
            reply.peers.append(known.record)
        return reply

    async def run(self) -> None:
        """Join and probe until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_rejoin())
                group.create_task(self._run_probes())
                group.create_task(self._run_cross_region_probes())
        finally:
            for task in self._background:
                task.cancel()

    async def _run_probes(self) -> None:
        last_s = self._clock.monotonic_s()
        while True:
            await self._clock.sleep(PROBE_INTERVAL_S)
            now_s = self._clock.monotonic_s()
            if now_s - last_s > PROBE_INTERVAL_S + PAUSE_THRESHOLD_S:
                # Restarts the suspicion timers: answers may have been missed while
                # this process was paused.
                for peer in self._peers.values():
                    if peer.record.state == "suspect":
                        peer.changed_s = now_s
            last_s = now_s
            self._expire(now_s)
            target = self._next_target()
            if target is not None:
                self._start_background(self._probe(target))

    async def _run_rejoin(self) -> None:
        """Probe the seeds until joined, then unknown seeds and dead entries."""
        while True:
            for seed in self._rejoin_targets():
                if await self._probe_directly(seed, wants_all=not self.joined.is_set()):
                    self.joined.set()
            if not self._seeds:
                self.joined.set()
            interval_s = REJOIN_INTERVAL_S if self.joined.is_set() else 0.5
            await self._clock.sleep(interval_s * self._random.uniform(0.75, 1.25))

    def _rejoin_targets(self) -> list[str]:
        if not self.joined.is_set():
            return self._seeds
        lost = [seed for seed in self._seeds if self.state_of(seed) == "unknown"]
        lost += [
            address
            for address, peer in self._peers.items()
            if peer.record.state == "dead"
        ]
        return [self._random.choice(lost)] if lost else []

    async def _run_cross_region_probes(self) -> None:
        while True:
            await self._clock.sleep(CROSS_REGION_PROBE_INTERVAL_S)
            local_entries = self.alive_entries(self._record.region)
            probers = rank(f"link/{self._record.region}", local_entries)[
                :CROSS_REGION_ENTRIES
            ]
            if self._record.address not in probers:
                continue
            for region in self.regions():
                entries = self.alive_entries(region)
                if region != self._record.region and entries:
                    target = self._random.choice(entries)
                    self._start_background(self._probe_region(target))

    async def _probe_region(self, target: str) -> None:
        """Exchange updates with another region.

        A missing answer makes no entry suspect, since links between regions are slow.
        """
        await self._probe_directly(target)

    def _next_target(self) -> str | None:
        while self._probe_order:
            address = self._probe_order.pop()
            peer = self._peers.get(address)
            if peer is not None and peer.record.state != "dead":
                return address
        self._probe_order = [
            address
            for address, peer in self._peers.items()
            if peer.record.region == self._record.region and peer.record.state != "dead"
        ]
        self._random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    async def _probe(self, target: str) -> None:
        before_s = self._clock.monotonic_s()
        if await self._probe_directly(target):
            return
        helpers = [
            address
            for address in self.alive_entries(self._record.region)
            if address not in (target, self._record.address)
        ]
        self._random.shuffle(helpers)
        answers = await asyncio.gather(
            *(
                self._probe_directly(helper, on_behalf_of=target)
                for helper in helpers[:INDIRECT_PROBES]
            )
        )
        paused = self._clock.monotonic_s() - before_s > 4 * PROBE_TIMEOUT_S
        peer = self._peers.get(target)
        if any(answers) or paused or peer is None:
            return
        if peer.record.state in ("alive", "draining"):
            self._merge(msgspec.structs.replace(peer.record, state="suspect"))

    async def _probe_directly(
        self, address: str, *, on_behalf_of: str | None = None, wants_all: bool = False
    ) -> bool:
        request = PingRequest(
            sender=self._record, target_address=on_behalf_of, wants_all=wants_all
        )
        self._fill_probe(request, everything=False)
        request.peers += self._rotating_records()
        known = self._peers.get(address)
        if known is not None and known.record.state in ("suspect", "dead"):
            # Lets the target refute its reported state.
            request.peers.append(known.record)
        timeout_s = PROBE_TIMEOUT_S if on_behalf_of is None else 2 * PROBE_TIMEOUT_S
        try:
            reply = await self._call(address, PING, request, timeout_s)
        except LentilroadError:
            return False
        self._read_probe(address, reply)
        return reply.alive

    def _fill_probe(
        self, message: PingRequest | PingReply, *, everything: bool
    ) -> None:
        message.peers = self.peers() if everything else self._next_updates()
        for fill_probe, _ in self._extensions:
            fill_probe(message, everything)

    def _read_probe(self, sender: str, message: PingRequest | PingReply) -> None:
        if isinstance(message, PingRequest):
            self._merge(message.sender)
        for record in message.peers:
            self._merge(record)
        for _, read_probe in self._extensions:
            read_probe(sender, message)

    def _next_updates(self) -> list[PeerRecord]:
        chosen = list(self._pending_updates)[:MAX_PIGGYBACK_RECORDS]
        for address in chosen:
            remaining = self._pending_updates.pop(address) - 1
            if remaining > 0:
                # Moves the update to the end, so that all updates are sent in rotation.
                self._pending_updates[address] = remaining
        found = [self.peer(address) for address in chosen]
        return [record for record in found if record is not None]

    def _rotating_records(self) -> list[PeerRecord]:
        """Return the next records in rotation, which repair lost gossip."""
        addresses = list(self._peers)
        chosen = []
        for _ in range(min(ROTATING_PEERS, len(addresses))):
            self._rotation_position += 1
            chosen.append(
                self._peers[addresses[self._rotation_position % len(addresses)]].record
            )
        return chosen

    def _merge(self, record: PeerRecord) -> None:
        if record.address == self._record.address:
            self._refute(record)
            return
        peer = self._peers.get(record.address)
        if peer is not None and not _supersedes(record, peer.record):
            return
        if peer is None and record.state == "dead":
            return
        if peer is None or peer.record.state != record.state:
            eliot.log_message(
                message_type="membership:entry_state",
                address=record.address,
                state=record.state,
            )
        self._peers[record.address] = _Peer(
            record=record, changed_s=self._clock.monotonic_s()
        )
        self._pending_updates[record.address] = PIGGYBACK_REPEATS

    def _refute(self, record: PeerRecord) -> None:
        """Announce a higher incarnation if a record of this entry is wrong."""
        if record.started_ms > self._record.started_ms:
            return
        if record.incarnation < self._record.incarnation:
            return
        if (
            record.incarnation == self._record.incarnation
            and record.state == self._record.state
        ):
            return
        self._update_record(incarnation=record.incarnation + 1)

    def _update_record(self, **changes: Any) -> None:
        self._record = msgspec.structs.replace(self._record, **changes)
        self._pending_updates[self._record.address] = PIGGYBACK_REPEATS

    def _expire(self, now_s: float) -> None:
        for address, peer in list(self._peers.items()):
            age_s = now_s - peer.changed_s
            if peer.record.state == "suspect" and age_s > SUSPICION_TIMEOUT_S:
                self._merge(msgspec.structs.replace(peer.record, state="dead"))
            elif peer.record.state == "dead" and age_s > DEAD_PEER_RETENTION_S:
                del self._peers[address]

    def _start_background(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
