"""Heartbeats between the owner and the standby of shards."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.membership.const import (
    HEARTBEAT_EPOCHS,
    HEARTBEAT_RECORDS,
    PAIR_CALL_TIMEOUT_S,
    REFUSED_FOR_S,
)
from lentilroad.membership.members import Call
from lentilroad.membership.shard_state import ShardRecords, ShardState
from lentilroad.wire.messages import PairHeartbeat
from lentilroad.wire.services import PAIR_HEARTBEAT


@dataclass(slots=True, kw_only=True, eq=False)
class _Partner:
    heard_s: float
    started_ms: int = 0
    refused_s: float | None = None
    task: asyncio.Task[None] | None = None
    rotation: int = 0


class PairHeartbeats:
    """Who was heard when, and the messages that owners and standbys exchange.

    The owner sends to its standbys; a standby sends to an owner that has not shown
    that it knows the record, and to one that fell silent.
    """

    def __init__(self, *, records: ShardRecords, call: Call, clock: Clock) -> None:
        self._records = records
        self._call = call
        self._clock = clock
        self._partners: dict[str, _Partner] = {}

    def silent_s(self, address: str, *, since_s: float) -> float:
        """Return seconds since an entry was heard, at most since `since_s`."""
        partner = self._partners.get(address)
        heard_s = since_s if partner is None else max(partner.heard_s, since_s)
        return self._clock.monotonic_s() - heard_s

    def restarted(self, address: str, started_ms: int) -> bool:
        """Return whether an entry answered as a later process than the named one."""
        partner = self._partners.get(address)
        return partner is not None and partner.started_ms > started_ms > 0

    def refused(self, address: str) -> bool:
        """Return whether an entry refused a connection a moment ago."""
        partner = self._partners.get(address)
        if partner is None or partner.refused_s is None:
            return False
        return self._clock.monotonic_s() - partner.refused_s < REFUSED_FOR_S

    def heard(self, address: str, started_ms: int) -> None:
        """Note that an entry gave a sign of life."""
        partner = self._partner(address)
        partner.heard_s = self._clock.monotonic_s()
        partner.started_ms = max(partner.started_ms, started_ms)
        partner.refused_s = None

    def restart_timers(self) -> None:
        """Count silence from now on, after this process itself was paused."""
        now_s = self._clock.monotonic_s()
        for partner in self._partners.values():
            partner.heard_s = now_s

    def send(self, address: str, shards: list[ShardState]) -> None:
        """Start a heartbeat unless one is under way to this entry."""
        partner = self._partner(address)
        if partner.task is not None and not partner.task.done():
            return
        partner.task = asyncio.create_task(self._send(address, partner, shards))

    async def receive(self, request: PairHeartbeat) -> PairHeartbeat:
        """Handle `PAIR_HEARTBEAT`."""
        self.heard(request.sender, request.incarnation)
        self._learn(request.sender, request)
        reply = PairHeartbeat(
            sender=self._records.address, incarnation=self._records.started_ms
        )
        for shard in (*request.records, *request.epochs):
            state = self._records.states.get(shard)
            if state is None:
                continue
            reply.epochs[shard] = state.record.epoch
            if state.record.epoch > self._claimed(request, shard):
                reply.records[shard] = state.record
        return reply

    @staticmethod
    def _claimed(request: PairHeartbeat, shard: str) -> int:
        if shard in request.records:
            return request.records[shard].epoch
        return request.epochs[shard]

    async def close(self) -> None:
        """Stop the heartbeats under way."""
        tasks = [p.task for p in self._partners.values() if p.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _partner(self, address: str) -> _Partner:
        partner = self._partners.get(address)
        if partner is None:
            partner = _Partner(heard_s=self._clock.monotonic_s())
            self._partners[address] = partner
        return partner

    async def _send(
        self, address: str, partner: _Partner, shards: list[ShardState]
    ) -> None:
        request = self._message(partner, shards)
        try:
            reply = await self._call(
                address, PAIR_HEARTBEAT, request, PAIR_CALL_TIMEOUT_S
            )
        except LentilroadError as error:
            if error.outcome == "not_run":
                partner.refused_s = self._clock.monotonic_s()
            return
        self.heard(address, reply.incarnation)
        self._learn(address, reply)

    def _message(self, partner: _Partner, shards: list[ShardState]) -> PairHeartbeat:
        unconfirmed = [s for s in shards if not s.confirmed][:HEARTBEAT_RECORDS]
        confirmed = [s for s in shards if s.confirmed]
        epochs = _rotate(confirmed, partner.rotation, HEARTBEAT_EPOCHS)
        partner.rotation += HEARTBEAT_EPOCHS
        return PairHeartbeat(
            sender=self._records.address,
            incarnation=self._records.started_ms,
            epochs={s.name: s.record.epoch for s in epochs},
            records={s.name: s.record for s in unconfirmed},
        )

    def _learn(self, sender: str, message: PairHeartbeat) -> None:
        for shard, record in message.records.items():
            self._records.merge(shard, record)
            self._note_epoch(sender, shard, record.epoch)
        for shard, epoch in message.epochs.items():
            self._note_epoch(sender, shard, epoch)

    def _note_epoch(self, sender: str, shard: str, epoch: int) -> None:
        """Note that the partner of a shard knows its record, which activates it."""
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


def _rotate(states: list[ShardState], start: int, count: int) -> Iterable[ShardState]:
    if len(states) <= count:
        return states
    start %= len(states)
    return (states + states)[start : start + count]
