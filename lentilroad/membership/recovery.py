"""Recovery of shards whose pair was lost."""

from __future__ import annotations

import eliot

from lentilroad.clock import Clock
from lentilroad.membership.candidates import MapProposals, RoleCandidates
from lentilroad.membership.const import RECOVERY_AFTER_S, RECOVERY_EPOCH_STEP
from lentilroad.membership.members import EntryMembership
from lentilroad.membership.placement import desired_record, make_record
from lentilroad.membership.program_id import parse_shard
from lentilroad.membership.shard_state import ShardRecords, ShardState
from lentilroad.wire.messages import ShardRecord


class ShardRecovery:
    """Assigns shards anew through the key-value service."""

    def __init__(
        self,
        *,
        region: str,
        records: ShardRecords,
        members: EntryMembership,
        candidates: RoleCandidates,
        clock: Clock,
        map_changes: MapProposals,
    ) -> None:
        self._region = region
        self._records = records
        self._members = members
        self._candidates = candidates
        self._clock = clock
        self._map_changes = map_changes
        self._orphaned_s: dict[str, float] = {}

    def restart_timers(self) -> None:
        """Count the loss of pairs from now on, after this process was paused."""
        self._orphaned_s.clear()

    def tick(self) -> None:
        """Assign shards anew whose pair was lost; needs the key-value service."""
        for shard, state in self._records.states.items():
            if parse_shard(shard)[0] == self._region:
                self._recover_one(state)

    def _recover_one(self, state: ShardState) -> None:
        record = state.record
        if self._recoverer(state) != self._records.address:
            self._orphaned_s.pop(state.name, None)
            return
        now_s = self._clock.monotonic_s()
        since_s = self._orphaned_s.setdefault(state.name, now_s)
        # A process that has restarted is known to have lost its copies.
        certain = self._all_restarted(record)
        if now_s - since_s < RECOVERY_AFTER_S and not certain:
            return
        fresh = desired_record(
            state.name,
            self._candidates.entries(taken=[self._records.address]),
            epoch=0,
            peer_of=self._members.peer,
            far_entries=self._candidates.far_entries(),
        )
        recovered = make_record(
            epoch=self._records.highest_epoch(state.name) + RECOVERY_EPOCH_STEP,
            owner=self._records.address,
            standby=fresh.owner,
            arbiter=fresh.standby or (fresh.owner and fresh.arbiter),
            peer_of=self._members.peer,
        )
        eliot.log_message(
            message_type="membership:shard_recovery",
            shard=state.name,
            epoch=recovered.epoch,
        )
        self._map_changes.propose(state.name, record, recovered)

    def _recoverer(self, state: ShardState) -> str:
        """Return who assigns a shard anew, or "" while its record still works."""
        record = state.record
        owner_gone = self._candidates.gone(record.owner, record.owner_started_ms)
        standby_gone = self._candidates.gone(record.standby, record.standby_started_ms)
        if not owner_gone:
            # The owner has not found another standby in all this time.
            return record.owner if record.standby and standby_gone else ""
        if not standby_gone:
            return record.standby
        entries = self._members.alive_entries(self._region)
        return desired_record(
            state.name, entries, epoch=0, peer_of=self._members.peer
        ).owner

    def _all_restarted(self, record: ShardRecord) -> bool:
        named = [
            (record.owner, record.owner_started_ms),
            (record.standby, record.standby_started_ms),
        ]
        return all(
            not address or self._candidates.restarted(address, started_ms)
            for address, started_ms in named
        )
