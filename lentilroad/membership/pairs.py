"""Heartbeats between the owners and standbys of shards."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.membership.const import (
    MAX_HEARTBEAT_EPOCHS,
    MAX_HEARTBEAT_RECORDS,
    PAIR_CALL_TIMEOUT_S,
    REFUSED_CONNECTION_TTL_S,
)
from lentilroad.membership.members import PeerCall
from lentilroad.membership.shard_state import ShardRecords, ShardState
from lentilroad.wire.messages import PairHeartbeat
from lentilroad.wire.services import PAIR_HEARTBEAT


@dataclass(slots=True, kw_only=True, eq=False)
class _Partner:
    last_seen_s: float
    started_ms: int = 0
    refused_s: float | None = None
    task: asyncio.Task[None] | None = None
    rotation: int = 0


class PairHeartbeats:
    """Heartbeats between owners and standbys, and the time each was last seen.

    An owner sends heartbeats to its standbys. A standby sends them to an owner that
    has not confirmed the record or that has become unresponsive.
    """

    def __init__(self, *, records: ShardRecords, call: PeerCall, clock: Clock) -> None:
        self._records = records
        self._call = call
        self._clock = clock
        self._partners: dict[str, _Partner] = {}

    def unseen_s(self, address: str, *, since_s: float) -> float:
        """Return the seconds since the later of the last contact and `since_s`."""
        partner = self._partners.get(address)
        last_seen_s = since_s if partner is None else max(partner.last_seen_s, since_s)
        return self._clock.monotonic_s() - last_seen_s

    def restarted(self, address: str, started_ms: int) -> bool:
        """Return whether a later process than the given one has answered."""
        partner = self._partners.get(address)
        return partner is not None and partner.started_ms > started_ms > 0

    def refused_connection(self, address: str) -> bool:
        """Return whether an entry refused a connection recently."""
        partner = self._partners.get(address)
        if partner is None or partner.refused_s is None:
            return False
        return self._clock.monotonic_s() - partner.refused_s < REFUSED_CONNECTION_TTL_S

    def record_contact(self, address: str, started_ms: int) -> None:
        """Record that a message from an entry has arrived."""
        partner = self._partner(address)
        partner.last_seen_s = self._clock.monotonic_s()
        partner.started_ms = max(partner.started_ms, started_ms)
        partner.refused_s = None

    def restart_timers(self) -> None:
        """Reset all last-seen times after a pause of this process."""
        now_s = self._clock.monotonic_s()
        for partner in self._partners.values():
            partner.last_seen_s = now_s

    def send(self, address: str, shards: list[ShardState]) -> None:
        """Send a heartbeat in the background unless one to this entry is in flight."""
        partner = self._partner(address)
        if partner.task is not None and not partner.task.done():
            return
        partner.task = asyncio.create_task(self._send(address, partner, shards))

    async def receive(self, request: PairHeartbeat) -> PairHeartbeat:
        """Handle `PAIR_HEARTBEAT`."""
        self.record_contact(request.sender, request.incarnation)
        self._merge(request.sender, request)
        reply = PairHeartbeat(
            sender=self._records.address, incarnation=self._records.started_ms
        )
        for shard in (*request.records, *request.epochs):
            state = self._records.states.get(shard)
            if state is None:
                continue
            reply.epochs[shard] = state.record.epoch
            if state.record.epoch > self._sender_epoch(request, shard):
                reply.records[shard] = state.record
        return reply

    @staticmethod
    def _sender_epoch(request: PairHeartbeat, shard: str) -> int:
        if shard in request.records:
            return request.records[shard].epoch
        return request.epochs[shard]

    async def close(self) -> None:
        """Cancel the heartbeats in flight."""
        tasks = [p.task for p in self._partners.values() if p.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _partner(self, address: str) -> _Partner:
        partner = self._partners.get(address)
        if partner is None:
            partner = _Partner(last_seen_s=self._clock.monotonic_s())
            self._partners[address] = partner
        return partner

    async def _send(
        self, address: str, partner: _Partner, shards: list[ShardState]
    ) -> None:
        request = self._build_heartbeat(partner, shards)
        try:
            reply = await self._call(
                address, PAIR_HEARTBEAT, request, PAIR_CALL_TIMEOUT_S
            )
        except LentilroadError as error:
            if error.outcome == "not_run":
                partner.refused_s = self._clock.monotonic_s()
            return
        self.record_contact(address, reply.incarnation)
        self._merge(address, reply)

    def _build_heartbeat(
        self, partner: _Partner, shards: list[ShardState]
    ) -> PairHeartbeat:
        unconfirmed = [s for s in shards if not s.confirmed][:MAX_HEARTBEAT_RECORDS]
        confirmed = [s for s in shards if s.confirmed]
        epochs = _rotating_window(confirmed, partner.rotation, MAX_HEARTBEAT_EPOCHS)
        partner.rotation += MAX_HEARTBEAT_EPOCHS
        return PairHeartbeat(
            sender=self._records.address,
            incarnation=self._records.started_ms,
            epochs={s.name: s.record.epoch for s in epochs},
            records={s.name: s.record for s in unconfirmed},
        )

    def _merge(self, sender: str, message: PairHeartbeat) -> None:
        for shard, record in message.records.items():
            self._records.merge(shard, record)
            self._confirm_epoch(sender, shard, record.epoch)
        for shard, epoch in message.epochs.items():
            self._confirm_epoch(sender, shard, epoch)

    def _confirm_epoch(self, sender: str, shard: str, epoch: int) -> None:
        """Confirm a record, which may activate it, if the sender reports its epoch."""
        state = self._records.states.get(shard)
        if state is None:
            return
        if sender == state.record.owner:
            self._records.accepts(shard, epoch, sender)
            state.confirmed |= epoch == state.record.epoch
        elif sender == state.record.standby and epoch == state.record.epoch:
            state.confirmed = True
        promise = state.promise
        if promise is not None and sender == promise.record.owner:
            self._records.accepts(shard, epoch, sender)


def _rotating_window(
    states: list[ShardState], start: int, count: int
) -> Iterable[ShardState]:
    if len(states) <= count:
        return states
    start %= len(states)
    return (states + states)[start : start + count]
