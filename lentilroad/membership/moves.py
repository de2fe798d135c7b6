"""Rebalancing of shards when entries join or drain."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import eliot

from lentilroad.clock import Clock
from lentilroad.membership.const import REBALANCE_AFTER_S, REBALANCE_INTERVAL_S
from lentilroad.membership.members import EntryMembership
from lentilroad.membership.pairs import PairHeartbeats
from lentilroad.membership.placement import desired_record
from lentilroad.membership.shard_state import ShardRecords, ShardState
from lentilroad.membership.shard_store import ShardMapStore
from lentilroad.membership.succession import ShardSuccession
from lentilroad.wire.messages import ShardRecord

# Copies the programs of a shard to the owner and standby of the record. Called first
# while commits continue, and again with `final` set after commits have stopped.
CopyShard = Callable[[str, ShardRecord, bool], Awaitable[bool]]


class ShardRebalancer:
    """Moves owned shards to the entries that rendezvous hashing assigns them to."""

    def __init__(
        self,
        *,
        region: str,
        records: ShardRecords,
        members: EntryMembership,
        succession: ShardSuccession,
        store: ShardMapStore,
        pairs: PairHeartbeats,
        clock: Clock,
        copy_shard: CopyShard,
    ) -> None:
        self._region = region
        self._records = records
        self._members = members
        self._succession = succession
        self._store = store
        self._pairs = pairs
        self._clock = clock
        self._copy_shard = copy_shard
        # Moved shards whose new owner has not confirmed the record.
        self._unconfirmed: dict[str, ShardState] = {}
        self._entries: list[str] = []
        self._stable_since_s = clock.monotonic_s()

    async def run(self) -> None:
        """Move one shard at a time until cancelled."""
        while True:
            await self._clock.sleep(REBALANCE_INTERVAL_S)
            self._notify_new_owners()
            self._track_entries()
            while self._may_move() and await self._move_next():
                self._track_entries()

    def unconfirmed(self) -> list[str]:
        """Return moved shards whose new owner has not confirmed its record."""
        self._unconfirmed = {
            name: state
            for name, state in self._unconfirmed.items()
            if not state.confirmed and not self._records.is_owner(state.record)
        }
        return list(self._unconfirmed)

    def _notify_new_owners(self) -> None:
        """Resend records to new owners that have not confirmed them."""
        by_owner: dict[str, list[ShardState]] = {}
        for name in self.unconfirmed():
            state = self._unconfirmed[name]
            by_owner.setdefault(state.record.owner, []).append(state)
        for address, states in by_owner.items():
            self._pairs.send(address, states)

    def _track_entries(self) -> None:
        entries = self._members.alive_entries(self._region)
        all_alive = all(self._members.state_of(entry) == "alive" for entry in entries)
        if entries != self._entries or not all_alive:
            self._entries = entries
            self._stable_since_s = self._clock.monotonic_s()

    def _may_move(self) -> bool:
        if not self._store.available or not self._entries:
            return False
        return self._is_draining() or self._is_stable_since(self._stable_since_s)

    def _is_draining(self) -> bool:
        return self._records.address not in self._entries

    def _is_stable_since(self, since_s: float) -> bool:
        return self._clock.monotonic_s() - since_s >= REBALANCE_AFTER_S

    async def _move_next(self) -> bool:
        """Move the first misplaced shard; return whether a shard was moved."""
        for state in self._records.owned_states():
            target = self._target_record(state)
            if target is not None:
                return await self._move(state, target)
        return False

    def _target_record(self, state: ShardState) -> ShardRecord | None:
        # Prevents moving a shard back to an unresponsive entry that has just lost it,
        # before the probes have declared that entry dead.
        if not (self._is_draining() or self._is_stable_since(state.updated_s)):
            return None
        if (
            state.frozen
            or state.promise is not None
            or self._store.has_proposal(state.name)
        ):
            return None
        record = state.record
        if not record.standby:
            return None
        target = desired_record(
            state.name,
            self._entries,
            epoch=self._records.highest_epoch(state.name) + 1,
            peer_of=self._members.peer,
        )
        if (target.owner, target.standby) == (record.owner, record.standby):
            return None
        if not (target.standby or self._pair_is_draining(record)):
            return None
        if not record.arbiter:
            self._propose_to_map(state, target)
            return None
        return target

    def _pair_is_draining(self, record: ShardRecord) -> bool:
        """Return whether owner or standby is draining."""
        pair = (record.owner, record.standby)
        return any(self._members.state_of(address) == "draining" for address in pair)

    def _propose_to_map(self, state: ShardState, target: ShardRecord) -> None:
        """Change the pair of a shard without an arbiter, by CAS.

        Only the present owner or standby can become the owner. The standby has every
        commit, and acknowledges no commit of the old epoch once it has the new record,
        so commits continue until the reply arrives. Other entries get a role only after
        the shard has an arbiter.
        """
        base = state.record
        swapped = target.owner == base.standby and target.standby in ("", base.owner)
        without_standby = target.owner == base.owner and not target.standby
        if swapped or without_standby:
            self._store.propose(state.name, base, target)

    async def _move(self, state: ShardState, target: ShardRecord) -> bool:
        base = state.record
        if not await self._copy_shard(state.name, target, False):
            return False
        if state.record is not base or state.promise is not None:
            return False
        state.frozen = True
        try:
            copied = await self._copy_shard(state.name, target, True)
            if not copied or state.record is not base:
                return False
            moved = await self._decide(state, base, target)
        finally:
            if state.record is base:
                state.frozen = state.promise is not None
        if moved:
            eliot.log_message(
                message_type="membership:shard_moved",
                shard=state.name,
                epoch=target.epoch,
                owner=target.owner,
            )
        return moved

    async def _decide(
        self, state: ShardState, base: ShardRecord, target: ShardRecord
    ) -> bool:
        decided = await self._succession.decide(state, base, target, base.standby)
        if decided:
            self._store.schedule_writes()
            for address in (target.owner, target.standby):
                if address and address != self._records.address:
                    self._pairs.send(address, [state])
            if target.owner != self._records.address:
                self._unconfirmed[state.name] = state
        return decided
