"""Takeover of shards, and replacement of silent standbys and arbiters."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import eliot

from lentilroad.clock import Clock
from lentilroad.const import PEER_UNRESPONSIVE_AFTER_S
from lentilroad.errors import LentilroadError
from lentilroad.membership.candidates import Candidates, MapChanges
from lentilroad.membership.const import (
    ARBITER_LOST_AFTER_S,
    CONCURRENT_GRANTS,
    GRANT_TIMEOUT_S,
    OWNER_PROBE_AFTER_S,
)
from lentilroad.membership.members import Call, Members
from lentilroad.membership.pairs import PairHeartbeats
from lentilroad.membership.placement import choose, make_record
from lentilroad.membership.shard_state import Promise, ShardRecords, ShardState
from lentilroad.wire.messages import GrantReply, GrantRequest, ShardRecord
from lentilroad.wire.services import GRANT


class Succession:
    """Changes of the records that name this entry."""

    def __init__(
        self,
        *,
        records: ShardRecords,
        pairs: PairHeartbeats,
        members: Members,
        call: Call,
        clock: Clock,
        map_changes: MapChanges,
        candidates: Candidates,
    ) -> None:
        self._records = records
        self._pairs = pairs
        self._members = members
        self._call = call
        self._clock = clock
        self._map_changes = map_changes
        self._candidates = candidates
        self._slots = asyncio.Semaphore(CONCURRENT_GRANTS)
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def tick(self) -> None:
        """Start whatever the silence of other entries requires."""
        # A sole entry owns all shards of its region and has nobody to name.
        alone = not self._candidates.entries(taken=[self._records.address])
        for state in self._records.owned():
            self._tick_owned(state, alone=alone)
        for state in self._records.standing_by():
            self._tick_standing_by(state)

    def heartbeat(self) -> None:
        """Send heartbeats to standbys, and records to owners that may lack them."""
        partners: dict[str, list[ShardState]] = {}
        for state in self._records.owned():
            if state.record.standby:
                partners.setdefault(state.record.standby, []).append(state)
        for state in self._records.standing_by():
            if not state.confirmed:
                partners.setdefault(state.record.owner, []).append(state)
        for address, shards in partners.items():
            self._pairs.send(address, shards)

    async def close(self) -> None:
        """Stop the changes under way."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _tick_owned(self, state: ShardState, *, alone: bool) -> None:
        record = state.record
        if state.frozen and state.promise is not None:
            self._start(state, self._finish_move)
        if not record.standby:
            if not alone and self._candidates.entries(taken=[record.owner]):
                self._extend(state)
            return
        if not self._standby_lost(state):
            if self._members.state_of(record.standby) != "draining":
                self._map_changes.withdraw(state.name, owner=record.owner, standby="")
            if self._needs_arbiter(record):
                self._start(state, self._replace_arbiter)
            return
        if record.arbiter:
            self._start(state, self._replace_standby)
        else:
            self._propose_to_map(state, owner=record.owner, standby="")

    def _needs_arbiter(self, record: ShardRecord) -> bool:
        # A draining arbiter is replaced while it still answers: an owner that dies
        # together with its arbiter has no takeover before the recovery.
        return (
            not record.arbiter
            or self._members.state_of(record.arbiter) == "draining"
            or self._candidates.gone(
                record.arbiter, record.arbiter_started_ms, for_s=ARBITER_LOST_AFTER_S
            )
        )

    def _tick_standing_by(self, state: ShardState) -> None:
        record = state.record
        silent_s = self._pairs.silent_s(record.owner, since_s=state.learned_s)
        restarted = self._pairs.restarted(record.owner, record.owner_started_ms)
        if not restarted:
            if silent_s < OWNER_PROBE_AFTER_S:
                self._map_changes.withdraw(
                    state.name, owner=self._records.address, standby=""
                )
                return
            self._pairs.send(record.owner, [state])
            refused = self._pairs.refused(record.owner)
            if silent_s < PEER_UNRESPONSIVE_AFTER_S and not refused:
                return
        if not state.activated:
            return
        if record.arbiter:
            self._start(state, self._take_over)
        else:
            self._propose_to_map(state, owner=self._records.address, standby="")

    async def _finish_move(self, state: ShardState) -> None:
        """Go on with a planned move whose decision was not answered."""
        promise = state.promise
        if promise is None:
            return
        if self._members.state_of(promise.record.owner) == "alive":
            base = state.record
            await self.decide(state, base, promise.record, base.standby)
        else:
            await self._replace_arbiter(state)

    def _standby_lost(self, state: ShardState) -> bool:
        record = state.record
        if self._pairs.restarted(record.standby, record.standby_started_ms):
            return True
        silent_s = self._pairs.silent_s(record.standby, since_s=state.learned_s)
        return silent_s >= PEER_UNRESPONSIVE_AFTER_S

    def _start(self, state: ShardState, change: Callable[[ShardState], object]) -> None:
        task = self._tasks.get(state.name)
        if task is not None and not task.done():
            return
        self._tasks[state.name] = asyncio.ensure_future(self._run_change(state, change))

    async def _run_change(self, state: ShardState, change: Callable) -> None:
        async with self._slots:
            await change(state)
        self._tasks.pop(state.name, None)

    async def _take_over(self, state: ShardState) -> None:
        base = state.record
        if not self._records.stands_by(base):
            return
        decided = await self._propose(
            state,
            owner=self._records.address,
            standby=base.arbiter,
            granter=base.arbiter,
        )
        if decided:
            eliot.log_message(
                message_type="membership:takeover",
                shard=state.name,
                epoch=state.record.epoch,
                silent_owner=base.owner,
            )
            self._pairs.send(state.record.standby, [state])

    async def _replace_standby(self, state: ShardState) -> None:
        base = state.record
        if not self._records.owns(base):
            return
        await self._propose(
            state, owner=base.owner, standby=base.arbiter, granter=base.arbiter
        )

    async def _replace_arbiter(self, state: ShardState) -> None:
        base = state.record
        if not self._records.owns(base):
            return
        arbiter = self._candidates.choose_arbiter(
            state.name, [base.owner, base.standby], lost=base.arbiter
        )
        if not arbiter:
            return
        if not base.arbiter:
            self._propose_to_map(state, owner=base.owner, standby=base.standby)
            return
        await self._propose(
            state, owner=base.owner, standby=base.standby, granter=base.standby
        )

    async def _propose(
        self, state: ShardState, *, owner: str, standby: str, granter: str
    ) -> bool:
        """Ask one entry of the record in force for the next one."""
        base = state.record
        record = self._next_record(state, owner=owner, standby=standby)
        if record is None:
            return False
        return await self.decide(state, base, record, granter)

    async def decide(
        self, state: ShardState, base: ShardRecord, record: ShardRecord, granter: str
    ) -> bool:
        """Promise a record to oneself, ask `granter`, and put it in force."""
        promise = state.promise
        if promise is None or promise.record != record:
            promise = Promise(record=record, proposer=self._records.address)
            state.promise = promise
        request = GrantRequest(
            shard=state.name,
            record=record,
            base=base,
            proposer=self._records.address,
        )
        try:
            reply = await self._call(granter, GRANT, request, GRANT_TIMEOUT_S)
        except LentilroadError:
            return False
        if state.record is not base or state.promise is not promise:
            return False
        if not reply.granted:
            self._refused(state, reply)
            return False
        self._records.decide(state.name, record)
        return True

    def _refused(self, state: ShardState, reply: GrantReply) -> None:
        state.promise = None
        state.frozen = False
        if reply.highest is None:
            return
        state.refused_epoch = max(state.refused_epoch, reply.highest.epoch)
        if reply.in_force:
            self._records.learn(state.name, reply.highest)

    def _next_record(
        self, state: ShardState, *, owner: str, standby: str
    ) -> ShardRecord | None:
        """Return the record to propose; an unanswered proposal is sent again."""
        promise = state.promise
        if promise is not None:
            if promise.proposer != self._records.address:
                return None
            if (promise.record.owner, promise.record.standby) == (owner, standby):
                return promise.record
        epoch = self._records.highest_epoch(state.name)
        base = state.record
        lost = base.owner if owner != base.owner else base.standby
        if standby == base.standby:
            lost = base.arbiter
        arbiter = self._candidates.choose_arbiter(
            state.name, [owner, standby], lost=lost
        )
        record = make_record(
            epoch=epoch + 1,
            owner=owner,
            standby=standby,
            arbiter=arbiter,
            peer_of=self._members.peer,
        )
        self._keep_starts(record, base)
        return record

    def _keep_starts(self, record: ShardRecord, base: ShardRecord) -> None:
        """Name the same processes as `base`, and not their successors."""
        starts = {
            base.arbiter: base.arbiter_started_ms,
            base.standby: base.standby_started_ms,
            base.owner: base.owner_started_ms,
            self._records.address: self._records.started_ms,
        }
        record.owner_started_ms = starts.get(record.owner, record.owner_started_ms)
        record.standby_started_ms = starts.get(
            record.standby, record.standby_started_ms
        )

    def _extend(self, state: ShardState) -> None:
        """Name a standby for a sole owner."""
        entries = self._candidates.entries(taken=[state.record.owner])
        standby = choose(
            state.name,
            entries,
            taken=[state.record.owner],
            peer_of=self._members.peer,
        )
        self._propose_to_map(state, owner=state.record.owner, standby=standby)

    def _propose_to_map(self, state: ShardState, *, owner: str, standby: str) -> None:
        record = make_record(
            epoch=self._records.highest_epoch(state.name) + 1,
            owner=owner,
            standby=standby,
            arbiter=self._candidates.choose_arbiter(
                state.name, [owner, standby], lost=""
            ),
            peer_of=self._members.peer,
        )
        self._keep_starts(record, state.record)
        record.from_sole_owner = state.record.standby == "" and standby != ""
        self._map_changes.propose(state.name, state.record, record)
