"""Planned moves of shards when entries join or drain."""

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

# Copies the programs of a shard to the owner and standby of the record; called once
# while commits go on, and once more with `final` set after they have stopped.
CopyShard = Callable[[str, ShardRecord, bool], Awaitable[bool]]


class ShardRebalancer:
    """Moves owned shards to the entries that rendezvous hashing gives them."""

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
            while self._may_move() and await self._move_next():
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
        quiet = all(self._members.state_of(entry) == "alive" for entry in entries)
        if entries != self._entries or not quiet:
            self._entries = entries
            self._stable_since_s = self._clock.monotonic_s()

    def _may_move(self) -> bool:
        if not self._store.available or not self._entries:
            return False
        return self._drains() or self._quiet_since(self._stable_since_s)

    def _drains(self) -> bool:
        return self._records.address not in self._entries

    def _quiet_since(self, since_s: float) -> bool:
        return self._clock.monotonic_s() - since_s >= REBALANCE_AFTER_S

    async def _move_next(self) -> bool:
        """Move the first shard that is out of place; return whether one moved."""
        for state in self._records.owned():
            wanted = self._wanted(state)
            if wanted is not None:
                return await self._move(state, wanted)
        return False

    def _wanted(self, state: ShardState) -> ShardRecord | None:
        # A shard that just left a silent entry must not be moved back to it before
        # the probes have found it.
        if not (self._drains() or self._quiet_since(state.learned_s)):
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
        wanted = desired_record(
            state.name,
            self._entries,
            epoch=self._records.highest_epoch(state.name) + 1,
            peer_of=self._members.peer,
        )
        if (wanted.owner, wanted.standby) == (record.owner, record.standby):
            return None
        if not (wanted.standby or self._pair_drains(record)):
            return None
        if not record.arbiter:
            self._change_by_map(state, wanted)
            return None
        return wanted

    def _pair_drains(self, record: ShardRecord) -> bool:
        """Return whether the shard must do with fewer entries."""
        pair = (record.owner, record.standby)
        return any(self._members.state_of(address) == "draining" for address in pair)

    def _change_by_map(self, state: ShardState, wanted: ShardRecord) -> None:
        """Change the pair of a shard without an arbiter, by CAS.

        Only its own entries become the owner. The standby has every commit, and
        acknowledges none of the old epoch once it knows the new one, so commits go
        on until the answer arrives. Other entries are named only after an arbiter
        is there.
        """
        base = state.record
        swapped = wanted.owner == base.standby and wanted.standby in ("", base.owner)
        alone = wanted.owner == base.owner and not wanted.standby
        if swapped or alone:
            self._store.propose(state.name, base, wanted)

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
                state.frozen = state.promise is not None
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
        decided = await self._succession.decide(state, base, wanted, base.standby)
        if decided:
            self._store.wake()
            for address in (wanted.owner, wanted.standby):
                if address and address != self._records.address:
                    self._pairs.send(address, [state])
            if wanted.owner != self._records.address:
                self._unconfirmed[state.name] = state
        return decided
