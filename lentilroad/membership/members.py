"""Entries of all regions, kept by probes among them as in SWIM."""

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
    CROSS_REGION_PROBE_INTERVAL_S,
    DEAD_PEER_RETENTION_S,
    INDIRECT_PROBES,
    PAUSE_GAP_S,
    PIGGYBACK_RECORDS,
    PIGGYBACK_REPEATS,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    REGION_LINK_ENTRIES,
    REJOIN_INTERVAL_S,
    ROTATING_PEERS,
    SUSPICION_S,
)
from lentilroad.membership.rendezvous import rank
from lentilroad.wire.messages import PeerRecord, PingReply, PingRequest
from lentilroad.wire.services import PING, Method

Call = Callable[[str, Method, Any, float | None], Awaitable[Any]]
# Adds to a message that is about to be sent; the flag asks for everything.
Fill = Callable[[PingRequest | PingReply, bool], None]
# Reads a message from the given address.
Read = Callable[[str, PingRequest | PingReply], None]

_RANKS = {"alive": 0, "draining": 0, "suspect": 1, "dead": 2}


@dataclass(slots=True, kw_only=True, eq=False)
class _Peer:
    record: PeerRecord
    changed_s: float


def _newer(record: PeerRecord, known: PeerRecord) -> bool:
    """Return whether a record replaces the known one of the same address."""
    return (record.incarnation, _RANKS[record.state]) > (
        known.incarnation,
        _RANKS[known.state],
    )


class EntryMembership:
    """Entries by region, kept by probes among them.

    One entry of the region is probed every 500 ms, through two others if it does
    not answer; one that still gives no answer is suspected, and dead 1.5 s later
    unless it refutes. Updates travel on the probes, in bounded number.

    Parameters
    ----------
    record : PeerRecord
        This entry; its incarnation starts at `started_ms`.
    seeds : list[str]
        Addresses of entries to join, from the settings.
    call : callable
        ``call(address, method, request, timeout_s)``.
    clock : Clock
        Source of time.
    random : random.Random
        Order of the probes.
    """

    def __init__(
        self,
        *,
        record: PeerRecord,
        seeds: list[str],
        call: Call,
        clock: Clock,
        random: Random,
    ) -> None:
        self.joined = asyncio.Event()
        self._me = record
        self._seeds = [seed for seed in seeds if seed != record.address]
        self._call = call
        self._clock = clock
        self._random = random
        self._started_s = clock.monotonic_s()
        self._peers: dict[str, _Peer] = {}
        self._updates: dict[str, int] = {}
        self._extensions: list[tuple[Fill, Read]] = []
        self._probe_order: list[str] = []
        self._rotation = 0
        self._background: set[asyncio.Task[None]] = set()

    @property
    def record(self) -> PeerRecord:
        """Return the record of this entry."""
        return self._me

    def add_piggyback(self, fill: Fill, read: Read) -> None:
        """Let another module send and read parts of the probes."""
        self._extensions.append((fill, read))

    def alive_entries(self, region: str) -> list[str]:
        """Return the entries of a region that take new work, sorted."""
        found = [
            address
            for address, peer in self._peers.items()
            if peer.record.region == region
            and peer.record.state in ("alive", "suspect")
        ]
        if self._me.region == region and self._me.state == "alive":
            found.append(self._me.address)
        return sorted(found)

    def state_of(self, address: str) -> str:
        """Return "alive", "suspect", "draining", "dead" or "unknown"."""
        found = self.peer(address)
        return found.state if found else "unknown"

    def peer(self, address: str) -> PeerRecord | None:
        """Return what is known about an entry."""
        if address == self._me.address:
            return self._me
        peer = self._peers.get(address)
        return peer.record if peer else None

    def peers(self) -> list[PeerRecord]:
        """Return all known entries, for ``status``."""
        return [self._me, *(peer.record for peer in self._peers.values())]

    def regions(self) -> list[str]:
        """Return the regions of all known entries, sorted."""
        return sorted({record.region for record in self.peers()})

    def dead_for_s(self, address: str) -> float:
        """Return how long an entry has been dead, or unknown, in seconds."""
        if address == self._me.address:
            return 0.0
        peer = self._peers.get(address)
        if peer is None:
            return self._clock.monotonic_s() - self._started_s
        if peer.record.state != "dead":
            return 0.0
        return self._clock.monotonic_s() - peer.changed_s

    def process_ended(self, address: str, started_ms: int) -> bool:
        """Return whether a later process runs at the address than the given one."""
        peer = self.peer(address)
        return peer is not None and peer.started_ms > started_ms > 0

    def drain(self) -> None:
        """Announce that this entry stops: it gets no new shards or sidecars."""
        self._announce(
            state="draining", draining=True, incarnation=self._me.incarnation + 1
        )

    def set_config_version(self, version: int) -> None:
        """Announce the configuration version that is in force here."""
        if version != self._me.config_version:
            self._announce(config_version=version, incarnation=self._me.incarnation + 1)

    async def ping(self, request: PingRequest) -> PingReply:
        """Handle `PING`, directly or on behalf of the sender."""
        self._read(request.sender.address, request)
        alive = True
        if request.target_address is not None:
            alive = await self._probe_directly(request.target_address)
        reply = PingReply(alive=alive)
        self._fill(reply, everything=request.wants_all)
        known = self._peers.get(request.sender.address)
        if known is not None and known.record.state in ("suspect", "dead"):
            # The sender learns what is said about it and refutes it.
            reply.peers.append(known.record)
        return reply

    async def run(self) -> None:
        """Join and probe until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_rejoin())
                group.create_task(self._run_probes())
                group.create_task(self._run_region_links())
        finally:
            for task in self._background:
                task.cancel()

    async def _run_probes(self) -> None:
        last_s = self._clock.monotonic_s()
        while True:
            await self._clock.sleep(PROBE_INTERVAL_S)
            now_s = self._clock.monotonic_s()
            if now_s - last_s > PROBE_INTERVAL_S + PAUSE_GAP_S:
                # After a pause of this process, nobody's silence counts.
                for peer in self._peers.values():
                    if peer.record.state == "suspect":
                        peer.changed_s = now_s
            last_s = now_s
            self._expire(now_s)
            target = self._next_target()
            if target is not None:
                self._in_background(self._probe(target))

    async def _run_rejoin(self) -> None:
        """Contact seeds, and now and then entries that are believed dead."""
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

    async def _run_region_links(self) -> None:
        while True:
            await self._clock.sleep(CROSS_REGION_PROBE_INTERVAL_S)
            mine = self.alive_entries(self._me.region)
            links = rank(f"link/{self._me.region}", mine)[:REGION_LINK_ENTRIES]
            if self._me.address not in links:
                continue
            for region in self.regions():
                entries = self.alive_entries(region)
                if region != self._me.region and entries:
                    target = self._random.choice(entries)
                    self._in_background(self._probe_across(target))

    async def _probe_across(self, target: str) -> None:
        """Exchange updates; a slow link between regions makes nobody suspect."""
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
            if peer.record.region == self._me.region and peer.record.state != "dead"
        ]
        self._random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    async def _probe(self, target: str) -> None:
        before_s = self._clock.monotonic_s()
        if await self._probe_directly(target):
            return
        helpers = [
            address
            for address in self.alive_entries(self._me.region)
            if address not in (target, self._me.address)
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
            self._learn(msgspec.structs.replace(peer.record, state="suspect"))

    async def _probe_directly(
        self, address: str, *, on_behalf_of: str | None = None, wants_all: bool = False
    ) -> bool:
        request = PingRequest(
            sender=self._me, target_address=on_behalf_of, wants_all=wants_all
        )
        self._fill(request, everything=False)
        request.peers += self._rotating()
        known = self._peers.get(address)
        if known is not None and known.record.state in ("suspect", "dead"):
            # The target learns what is said about it and refutes it.
            request.peers.append(known.record)
        timeout_s = PROBE_TIMEOUT_S if on_behalf_of is None else 2 * PROBE_TIMEOUT_S
        try:
            reply = await self._call(address, PING, request, timeout_s)
        except LentilroadError:
            return False
        self._read(address, reply)
        return reply.alive

    def _fill(self, message: PingRequest | PingReply, *, everything: bool) -> None:
        message.peers = self.peers() if everything else self._take_updates()
        for fill, _ in self._extensions:
            fill(message, everything)

    def _read(self, sender: str, message: PingRequest | PingReply) -> None:
        if isinstance(message, PingRequest):
            self._learn(message.sender)
        for record in message.peers:
            self._learn(record)
        for _, read in self._extensions:
            read(sender, message)

    def _take_updates(self) -> list[PeerRecord]:
        chosen = list(self._updates)[:PIGGYBACK_RECORDS]
        for address in chosen:
            remaining = self._updates.pop(address) - 1
            if remaining > 0:
                # Moves to the end, so that all updates take turns.
                self._updates[address] = remaining
        found = [self.peer(address) for address in chosen]
        return [record for record in found if record is not None]

    def _rotating(self) -> list[PeerRecord]:
        """Return records in turn, which repair updates that gossip lost."""
        addresses = list(self._peers)
        chosen = []
        for _ in range(min(ROTATING_PEERS, len(addresses))):
            self._rotation += 1
            chosen.append(
                self._peers[addresses[self._rotation % len(addresses)]].record
            )
        return chosen

    def _learn(self, record: PeerRecord) -> None:
        if record.address == self._me.address:
            self._refute(record)
            return
        peer = self._peers.get(record.address)
        if peer is not None and not _newer(record, peer.record):
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
        self._updates[record.address] = PIGGYBACK_REPEATS

    def _refute(self, record: PeerRecord) -> None:
        """Outbid what others say about this entry, if it is not so."""
        if record.started_ms > self._me.started_ms:
            return
        if record.incarnation < self._me.incarnation:
            return
        if (
            record.incarnation == self._me.incarnation
            and record.state == self._me.state
        ):
            return
        self._announce(incarnation=record.incarnation + 1)

    def _announce(self, **changes: Any) -> None:
        self._me = msgspec.structs.replace(self._me, **changes)
        self._updates[self._me.address] = PIGGYBACK_REPEATS

    def _expire(self, now_s: float) -> None:
        for address, peer in list(self._peers.items()):
            age_s = now_s - peer.changed_s
            if peer.record.state == "suspect" and age_s > SUSPICION_S:
                self._learn(msgspec.structs.replace(peer.record, state="dead"))
            elif peer.record.state == "dead" and age_s > DEAD_PEER_RETENTION_S:
                del self._peers[address]

    def _in_background(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
