"""Recovery of shards that have lost their owner and standby."""

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
    """Reassigns lost shards by a CAS in the key-value service."""

    def __init__(
        self,
        *,
        region: str,
        records: ShardRecords,
        members: EntryMembership,
        candidates: RoleCandidates,
        clock: Clock,
        map_proposals: MapProposals,
    ) -> None:
        self._region = region
        self._records = records
        self._members = members
        self._candidates = candidates
        self._clock = clock
        self._map_proposals = map_proposals
        self._orphaned_since_s: dict[str, float] = {}

    def restart_timers(self) -> None:
        """Restart the wait before each reassignment after a pause of this process."""
        self._orphaned_since_s.clear()

    def tick(self) -> None:
        """Propose a new record for each lost shard that this entry must reassign."""
        for shard, state in self._records.states.items():
            if parse_shard(shard)[0] == self._region:
                self._recover_shard(state)

    def _recover_shard(self, state: ShardState) -> None:
        record = state.record
        if self._recovering_entry(state) != self._records.address:
            self._orphaned_since_s.pop(state.name, None)
            return
        now_s = self._clock.monotonic_s()
        since_s = self._orphaned_since_s.setdefault(state.name, now_s)
        # Without a wait if all processes have restarted: their copies are lost.
        copies_lost = self._all_restarted(record)
        if now_s - since_s < RECOVERY_AFTER_S and not copies_lost:
            return
        desired = desired_record(
            state.name,
            self._candidates.entries(assigned=[self._records.address]),
            epoch=0,
            peer_of=self._members.peer,
            remote_entries=self._candidates.remote_entries(),
        )
        recovered = make_record(
            epoch=self._records.highest_epoch(state.name) + RECOVERY_EPOCH_STEP,
            owner=self._records.address,
            standby=desired.owner,
            arbiter=desired.standby or (desired.owner and desired.arbiter),
            peer_of=self._members.peer,
        )
        eliot.log_message(
            message_type="membership:shard_recovery",
            shard=state.name,
            epoch=recovered.epoch,
        )
        self._map_proposals.propose(state.name, record, recovered)

    def _recovering_entry(self, state: ShardState) -> str:
        """Return the entry that reassigns a shard, or "" while its record works."""
        record = state.record
        owner_ended = self._candidates.has_ended(record.owner, record.owner_started_ms)
        standby_ended = self._candidates.has_ended(
            record.standby, record.standby_started_ms
        )
        if not owner_ended:
            # The owner has not been able to replace its dead standby.
            return record.owner if record.standby and standby_ended else ""
        if not standby_ended:
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
