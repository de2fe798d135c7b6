"""Planned moves of shards when entries join or drain."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import eliot

from lentilroad.clock import Clock
from lentilroad.membership.const import REBALANCE_AFTER_S, REBALANCE_INTERVAL_S
from lentilroad.membership.members import Members
from lentilroad.membership.pairs import PairHeartbeats
from lentilroad.membership.placement import desired_record
from lentilroad.membership.shard_state import ShardRecords, ShardState
from lentilroad.membership.shard_store import ShardMapStore
from lentilroad.membership.succession import Succession
from lentilroad.wire.messages import ShardRecord

# Copies the programs of a shard to the owner and standby of the record; called once
# while commits go on, and once more with `final` set after they have stopped.
CopyShard = Callable[[str, ShardRecord, bool], Awaitable[bool]]


class PlannedMoves:
    """Moves owned shards to the entries that rendezvous hashing gives them."""

    def __init__(
        self,
        *,
        region: str,
        records: ShardRecords,
        members: Members,
        succession: Succession,
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
        # Moved shards whose new owner has not said that it knows.
        self._unconfirmed: dict[str, ShardState] = {}
        self._entries: list[str] = []
        self._stable_since_s = clock.monotonic_s()

    async def run(self) -> None:
        """Move one shard at a time until cancelled."""
        while True:
            await self._clock.sleep(REBALANCE_INTERVAL_S)
            self._announce()
            self._note_entries()
            while self._may_move() and await self._move_some():
                self._note_entries()

    def unconfirmed(self) -> list[str]:
        """Return moved shards whose new owner may not know yet that it owns them."""
        self._unconfirmed = {
            name: state
            for name, state in self._unconfirmed.items()
            if not state.confirmed and not self._records.owns(state.record)
        }
        return list(self._unconfirmed)

    def _announce(self) -> None:
        """Tell new owners of their shards again until they answer."""
        by_owner: dict[str, list[ShardState]] = {}
        for name in self.unconfirmed():
            state = self._unconfirmed[name]
            by_owner.setdefault(state.record.owner, []).append(state)
        for address, states in by_owner.items():
            self._pairs.send(address, states)

    def _note_entries(self) -> None:
        entries = self._members.alive_entries(self._region)
        if entries != self._entries:
            self._entries = entries
            self._stable_since_s = self._clock.monotonic_s()

    def _may_move(self) -> bool:
        if not self._store.available or not self._entries:
            return False
        if self._records.address not in self._entries:
            return True
        stable_s = self._clock.monotonic_s() - self._stable_since_s
        return stable_s >= REBALANCE_AFTER_S

    async def _move_some(self) -> bool:
        """Move shards that are out of place; return whether any moved.

        A pass ends at the first move that fails, so that an entry that does not
        answer costs one timeout and not one for each shard. Moves that only the
        key-value service can decide are proposed together and written at once.
        """
        moved = False
        for state in list(self._records.owned()):
            if not self._may_move():
                return moved
            if state.frozen:
                moved |= await self._resume(state)
                continue
            wanted = self._wanted(state)
            if wanted is None:
                continue
            if await self._move(state, wanted):
                moved = True
            elif not self._store.has_proposal(state.name):
                return moved
        return moved

    async def _resume(self, state: ShardState) -> bool:
        """Go on with a move whose decision was not answered."""
        promise = state.promise
        if promise is None:
            state.frozen = self._store.has_proposal(state.name)
            return False
        base = state.record
        moved = await self._decide(state, base, promise.record)
        if not moved and state.record is base and state.promise is None:
            state.frozen = False
        return moved

    def _wanted(self, state: ShardState) -> ShardRecord | None:
        if state.promise is not None or self._store.has_proposal(state.name):
            return None
        record = state.record
        wanted = desired_record(
            state.name,
            self._entries,
            epoch=self._records.highest_epoch(state.name) + 1,
            peer_of=self._members.peer,
        )
        if (wanted.owner, wanted.standby) == (record.owner, record.standby):
            return None
        # A copy is given up only by an entry that leaves; it cannot keep one.
        is_leaving = self._records.address not in self._entries
        if not wanted.standby and record.standby and not is_leaving:
            return None
        # A sole owner that stays one is extended, not moved.
        if not record.standby and wanted.owner == record.owner:
            return None
        return wanted

    async def _move(self, state: ShardState, wanted: ShardRecord) -> bool:
        base = state.record
        if not await self._copy_shard(state.name, wanted, False):
            return False
        if state.record is not base or state.promise is not None:
            return False
        state.frozen = True
        try:
            copied = await self._copy_shard(state.name, wanted, True)
            if not copied or state.record is not base:
                return False
            moved = await self._decide(state, base, wanted)
        finally:
            if state.record is base:
                state.frozen = state.promise is not None or self._store.has_proposal(
                    state.name
                )
        if moved:
            eliot.log_message(
                message_type="membership:shard_moved",
                shard=state.name,
                epoch=wanted.epoch,
                owner=wanted.owner,
            )
        return moved

    async def _decide(
        self, state: ShardState, base: ShardRecord, wanted: ShardRecord
    ) -> bool:
        if not base.arbiter:
            self._store.propose(state.name, base, wanted)
            return False
        decided = await self._succession.decide(state, base, wanted, base.standby)
        if decided:
            self._store.wake()
            for address in (wanted.owner, wanted.standby):
                if address and address != self._records.address:
                    self._pairs.send(address, [state])
            if wanted.owner != self._records.address:
                self._unconfirmed[state.name] = state
        return decided
