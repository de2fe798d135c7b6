"""Takeover of shards, and replacement of unresponsive standbys and arbiters."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import eliot

from lentilroad.clock import Clock
from lentilroad.const import PEER_UNRESPONSIVE_AFTER_S
from lentilroad.errors import LentilroadError
from lentilroad.membership.candidates import MapProposals, RoleCandidates
from lentilroad.membership.const import (
    ARBITER_REPLACE_AFTER_S,
    GRANT_TIMEOUT_S,
    MAX_CONCURRENT_GRANTS,
    OWNER_PROBE_AFTER_S,
)
from lentilroad.membership.members import EntryMembership, PeerCall
from lentilroad.membership.pairs import PairHeartbeats
from lentilroad.membership.placement import choose_entry, make_record
from lentilroad.membership.shard_state import Promise, ShardRecords, ShardState
from lentilroad.wire.messages import GrantReply, GrantRequest, ShardRecord
from lentilroad.wire.services import GRANT


class ShardSuccession:
    """Replaces failed entries in the records that give this entry a role."""

    def __init__(
        self,
        *,
        records: ShardRecords,
        pairs: PairHeartbeats,
        members: EntryMembership,
        call: PeerCall,
        clock: Clock,
        map_proposals: MapProposals,
        candidates: RoleCandidates,
    ) -> None:
        self._records = records
        self._pairs = pairs
        self._members = members
        self._call = call
        self._clock = clock
        self._map_proposals = map_proposals
        self._candidates = candidates
        self._grant_slots = asyncio.Semaphore(MAX_CONCURRENT_GRANTS)
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def tick(self) -> None:
        """Start the record changes that unresponsive entries require."""
        # A sole entry owns all shards of its region and has no candidate for a role.
        is_sole_entry = not self._candidates.entries(assigned=[self._records.address])
        for state in self._records.owned_states():
            self._tick_owned(state, is_sole_entry=is_sole_entry)
        for state in self._records.standby_states():
            self._tick_standby(state)

    def heartbeat(self) -> None:
        """Send heartbeats to standbys and to owners with unconfirmed records."""
        partners: dict[str, list[ShardState]] = {}
        for state in self._records.owned_states():
            if state.record.standby:
                partners.setdefault(state.record.standby, []).append(state)
        for state in self._records.standby_states():
            if not state.confirmed:
                partners.setdefault(state.record.owner, []).append(state)
        for address, shards in partners.items():
            self._pairs.send(address, shards)

    async def close(self) -> None:
        """Cancel the changes in flight."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _tick_owned(self, state: ShardState, *, is_sole_entry: bool) -> None:
        record = state.record
        if state.frozen and state.promise is not None:
            self._start_change(state, self._resume_move)
        if not record.standby:
            if not is_sole_entry and self._candidates.entries(assigned=[record.owner]):
                self._add_standby(state)
            return
        if not self._standby_lost(state):
            if self._members.state_of(record.standby) != "draining":
                self._map_proposals.withdraw(state.name, owner=record.owner, standby="")
            if self._needs_arbiter(record):
                self._start_change(state, self._replace_arbiter)
            return
        if record.arbiter:
            self._start_change(state, self._replace_standby)
        else:
            self._propose_to_map(state, owner=record.owner, standby="")

    def _needs_arbiter(self, record: ShardRecord) -> bool:
        # A draining arbiter is replaced while it still answers. If the owner and its
        # arbiter are lost together, no takeover is possible before the recovery.
        return (
            not record.arbiter
            or self._members.state_of(record.arbiter) == "draining"
            or self._candidates.has_ended(
                record.arbiter, record.arbiter_started_ms, for_s=ARBITER_REPLACE_AFTER_S
            )
        )

    def _tick_standby(self, state: ShardState) -> None:
        record = state.record
        unseen_s = self._pairs.unseen_s(record.owner, since_s=state.updated_s)
        restarted = self._pairs.restarted(record.owner, record.owner_started_ms)
        if not restarted:
            if unseen_s < OWNER_PROBE_AFTER_S:
                self._map_proposals.withdraw(
                    state.name, owner=self._records.address, standby=""
                )
                return
            self._pairs.send(record.owner, [state])
            refused = self._pairs.refused_connection(record.owner)
            if unseen_s < PEER_UNRESPONSIVE_AFTER_S and not refused:
                return
        if not state.activated:
            return
        if record.arbiter:
            self._start_change(state, self._take_over)
        else:
            self._propose_to_map(state, owner=self._records.address, standby="")

    async def _resume_move(self, state: ShardState) -> None:
        """Resume a planned move whose grant request was not answered."""
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
        unseen_s = self._pairs.unseen_s(record.standby, since_s=state.updated_s)
        return unseen_s >= PEER_UNRESPONSIVE_AFTER_S

    def _start_change(
        self, state: ShardState, change: Callable[[ShardState], object]
    ) -> None:
        task = self._tasks.get(state.name)
        if task is not None and not task.done():
            return
        self._tasks[state.name] = asyncio.ensure_future(self._run_change(state, change))

    async def _run_change(self, state: ShardState, change: Callable) -> None:
        async with self._grant_slots:
            await change(state)
        self._tasks.pop(state.name, None)

    async def _take_over(self, state: ShardState) -> None:
        base = state.record
        if not self._records.is_standby(base):
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
        if not self._records.is_owner(base):
            return
        await self._propose(
            state, owner=base.owner, standby=base.arbiter, granter=base.arbiter
        )

    async def _replace_arbiter(self, state: ShardState) -> None:
        base = state.record
        if not self._records.is_owner(base):
            return
        arbiter = self._candidates.choose_arbiter(
            state.name, [base.owner, base.standby], excluded=base.arbiter
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
        """Request a grant for the next record from one entry of the record in force."""
        base = state.record
        record = self._next_record(state, owner=owner, standby=standby)
        if record is None:
            return False
        return await self.decide(state, base, record, granter)

    async def decide(
        self, state: ShardState, base: ShardRecord, record: ShardRecord, granter: str
    ) -> bool:
        """Promise a record, get it granted by `granter` and put it in force."""
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
            self._handle_refusal(state, reply)
            return False
        self._records.decide(state.name, record)
        return True

    def _handle_refusal(self, state: ShardState, reply: GrantReply) -> None:
        state.promise = None
        state.frozen = False
        if reply.highest is None:
            return
        state.refused_epoch = max(state.refused_epoch, reply.highest.epoch)
        if reply.in_force:
            self._records.merge(state.name, reply.highest)

    def _next_record(
        self, state: ShardState, *, owner: str, standby: str
    ) -> ShardRecord | None:
        """Return the record to propose; an unanswered proposal is resent."""
        promise = state.promise
        if promise is not None:
            if promise.proposer != self._records.address:
                return None
            if (promise.record.owner, promise.record.standby) == (owner, standby):
                return promise.record
        epoch = self._records.highest_epoch(state.name)
        base = state.record
        excluded = base.owner if owner != base.owner else base.standby
        if standby == base.standby:
            excluded = base.arbiter
        arbiter = self._candidates.choose_arbiter(
            state.name, [owner, standby], excluded=excluded
        )
        record = make_record(
            epoch=epoch + 1,
            owner=owner,
            standby=standby,
            arbiter=arbiter,
            peer_of=self._members.peer,
        )
        self._preserve_process_starts(record, base)
        return record

    def _preserve_process_starts(self, record: ShardRecord, base: ShardRecord) -> None:
        """Keep the process start times of `base`, not those of restarted entries."""
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

    def _add_standby(self, state: ShardState) -> None:
        """Propose a standby for a sole owner."""
        entries = self._candidates.entries(assigned=[state.record.owner])
        standby = choose_entry(
            state.name,
            entries,
            assigned=[state.record.owner],
            peer_of=self._members.peer,
        )
        self._propose_to_map(state, owner=state.record.owner, standby=standby)

    def _propose_to_map(self, state: ShardState, *, owner: str, standby: str) -> None:
        record = make_record(
            epoch=self._records.highest_epoch(state.name) + 1,
            owner=owner,
            standby=standby,
            arbiter=self._candidates.choose_arbiter(
                state.name, [owner, standby], excluded=""
            ),
            peer_of=self._members.peer,
        )
        self._preserve_process_starts(record, state.record)
        record.from_sole_owner = state.record.standby == "" and standby != ""
        self._map_proposals.propose(state.name, state.record, record)
