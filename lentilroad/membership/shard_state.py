"""Records of shards at one entry, and the rules for grants of new records."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import eliot

from lentilroad.clock import Clock
from lentilroad.membership.const import PIGGYBACK_REPEATS
from lentilroad.membership.program_id import parse_shard, shard_name
from lentilroad.wire.messages import GrantReply, GrantRequest, ShardRecord


@dataclass(slots=True, kw_only=True, eq=False)
class Promise:
    """A record that this entry has granted and that is not yet known to be in force."""

    record: ShardRecord
    proposer: str


@dataclass(slots=True, kw_only=True, eq=False)
class ShardState:
    """State of one shard at this entry."""

    name: str
    record: ShardRecord
    updated_s: float
    # Whether this entry may take over as the standby.
    activated: bool = False
    # Whether the other entry of the pair has reported the record's epoch.
    confirmed: bool = False
    promise: Promise | None = None
    # Highest epoch reported by a refusal; later proposals use a higher one.
    refused_epoch: int = 0
    # Whether commits are refused while a planned move copies the last changes.
    frozen: bool = False
    # Map revision in which the record was first seen; 0 while it is not in the map.
    map_revision: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class RegionMap:
    """Revision and epochs of a region's map that this entry has merged."""

    revision: int = 0
    shard_count: int = 0
    epochs: dict[str, int] = field(default_factory=dict)


class ShardRecords:
    """Records in force and promises at one entry.

    A record is in force once its proposer has decided it, which requires that the
    proposer and one other entry with a role in the preceding record agree. A
    promised record comes into force at this entry when a message of the owner, of a
    peer or the map shows that it was decided.
    """

    def __init__(
        self,
        *,
        address: str,
        started_ms: int,
        clock: Clock,
        on_gained: Callable[[str, ShardRecord], None],
        on_lost: Callable[[str], None],
        on_changed: Callable[[str, ShardRecord], None],
        process_ended: Callable[[str, int], bool],
    ) -> None:
        self.address = address
        self.started_ms = started_ms
        self.states: dict[str, ShardState] = {}
        self.maps: dict[str, RegionMap] = {}
        # Records that this owner proposed to the map. Its ownership is uninterrupted
        # when one of them comes into force.
        self.proposed: dict[str, ShardRecord] = {}
        # Shards whose record this entry has to write to the map.
        self.unwritten: set[str] = set()
        self._clock = clock
        self._on_gained = on_gained
        self._on_lost = on_lost
        self._on_changed = on_changed
        self._process_ended = process_ended
        self._pending_updates: dict[str, int] = {}

    def is_this_process(self, address: str, started_ms: int) -> bool:
        """Return whether they identify this process; a start time of 0 matches any."""
        return address == self.address and started_ms in (0, self.started_ms)

    def is_owner(self, record: ShardRecord) -> bool:
        """Return whether this process is the record's owner."""
        return self.is_this_process(record.owner, record.owner_started_ms)

    def is_standby(self, record: ShardRecord) -> bool:
        """Return whether this process is the record's standby."""
        return self.is_this_process(record.standby, record.standby_started_ms)

    def has_role(self, record: ShardRecord) -> bool:
        """Return whether this process has a role in the record."""
        return (
            self.is_owner(record)
            or self.is_standby(record)
            or self.is_this_process(record.arbiter, record.arbiter_started_ms)
        )

    def shards_with_role(self) -> list[str]:
        """Return the shards whose record in force gives this process a role."""
        return [s.name for s in self.states.values() if self.has_role(s.record)]

    def owned_states(self) -> list[ShardState]:
        """Return the states of the shards that this process owns."""
        return [state for state in self.states.values() if self.is_owner(state.record)]

    def standby_states(self) -> list[ShardState]:
        """Return the states of the shards whose standby is this process."""
        return [
            state for state in self.states.values() if self.is_standby(state.record)
        ]

    def merge(
        self, shard: str, record: ShardRecord, *, decided_here: bool = False
    ) -> bool:
        """Merge a record in force; return whether it supersedes the known one.

        A standby may take over under a record that another entry sent, unless the
        owner had no standby before: that owner may not have the record yet.
        """
        state = self.states.get(shard)
        if state is None:
            state = ShardState(name=shard, record=record, updated_s=0.0)
            self.states[shard] = state
            was_owner = False
        elif record.epoch <= state.record.epoch:
            return False
        else:
            was_owner = self.is_owner(state.record)
        state.record = record
        state.updated_s = self._clock.monotonic_s()
        state.activated = not record.from_sole_owner
        state.confirmed = False
        state.frozen = False
        state.map_revision = 0
        if state.promise is not None and state.promise.record.epoch <= record.epoch:
            state.promise = None
        self._pending_updates[shard] = PIGGYBACK_REPEATS
        proposed = self.proposed.pop(shard, None)
        self._notify(
            shard,
            record,
            was_owner=was_owner,
            uninterrupted=decided_here or proposed == record,
        )
        return True

    def _notify(
        self, shard: str, record: ShardRecord, *, was_owner: bool, uninterrupted: bool
    ) -> None:
        """Call the callback for a change of ownership.

        `uninterrupted` means that no other entry can have owned the shard since the
        previous record.
        """
        is_owner = self.is_owner(record)
        if is_owner and was_owner and uninterrupted:
            self._on_changed(shard, record)
            return
        if was_owner:
            eliot.log_message(
                message_type="membership:shard_lost", shard=shard, epoch=record.epoch
            )
            self._on_lost(shard)
        if is_owner:
            eliot.log_message(
                message_type="membership:shard_gained", shard=shard, epoch=record.epoch
            )
            self._on_gained(shard, record)

    def decide(self, shard: str, record: ShardRecord) -> None:
        """Put in force a granted record that this entry proposed."""
        if self.merge(shard, record, decided_here=True):
            self.unwritten.add(shard)

    def merge_map(
        self, region: str, revision: int, records: Iterable[tuple[str, ShardRecord]]
    ) -> None:
        """Merge records of a region's map at the given revision."""
        region_map = self.maps.setdefault(region, RegionMap())
        for shard, record in records:
            self.merge(shard, record)
            previous = region_map.epochs.get(shard, 0)
            state = self.states[shard]
            if record.epoch > previous:
                region_map.epochs[shard] = record.epoch
                if record.epoch == state.record.epoch:
                    state.map_revision = revision
            if record.epoch >= state.record.epoch:
                self.unwritten.discard(shard)
        region_map.shard_count = len(region_map.epochs)
        region_map.revision = max(region_map.revision, revision)

    def map_records(self, region: str) -> list[ShardRecord]:
        """Return the records in force of a region in shard order."""
        region_map = self.maps.get(region)
        if region_map is None:
            return []
        names = [shard_name(region, i) for i in range(region_map.shard_count)]
        return [self.states[name].record for name in names if name in self.states]

    def changed_after(self, region: str, revision: int) -> dict[str, ShardRecord]:
        """Return the records of a region that are newer than a map revision.

        Records that are not in the map yet are included.
        """
        return {
            name: state.record
            for name, state in self.states.items()
            if (state.map_revision > revision or state.map_revision == 0)
            and parse_shard(name)[0] == region
        }

    def next_updates(self, limit: int) -> dict[str, ShardRecord]:
        """Return recently changed records to piggyback on a message."""
        chosen = list(self._pending_updates)[:limit]
        for shard in chosen:
            remaining = self._pending_updates.pop(shard) - 1
            if remaining > 0:
                # Moves the update to the end, so that all updates are sent in rotation.
                self._pending_updates[shard] = remaining
        return {shard: self.states[shard].record for shard in chosen}

    def accepts(self, shard: str, epoch: int, owner: str) -> bool:
        """Return whether this entry, as standby, accepts the owner's records.

        The first records of a granted epoch put its record in force at this entry.
        """
        state = self.states.get(shard)
        if state is None:
            return False
        promise = state.promise
        if (
            promise is not None
            and promise.proposer == owner == promise.record.owner
            and promise.record.epoch == epoch
            and self.is_standby(promise.record)
        ):
            self.merge(shard, promise.record)
        record = state.record
        if (record.epoch, record.owner) != (epoch, owner):
            return False
        if not self.is_standby(record):
            return False
        state.activated = True
        state.confirmed = True
        return True

    def highest_epoch(self, shard: str) -> int:
        """Return the highest known epoch of a shard, or 0 if the shard is unknown."""
        state = self.states.get(shard)
        if state is None:
            return 0
        promised = state.promise.record.epoch if state.promise else 0
        return max(state.record.epoch, state.refused_epoch, promised)

    def grant(self, request: GrantRequest) -> GrantReply:
        """Grant or refuse a proposal to replace `request.base`."""
        base, proposed = request.base, request.record
        if base is None or not self._may_grant(request, base):
            return self._refuse(request.shard)
        if request.shard not in self.states or (
            self.states[request.shard].record.epoch < base.epoch
        ):
            self.merge(request.shard, base)
        state = self.states[request.shard]
        if state.record.epoch >= proposed.epoch:
            return GrantReply(
                granted=state.record == proposed, highest=state.record, in_force=True
            )
        if state.record != base:
            return self._refuse(request.shard)
        if not self._promise_allows(state, request):
            return self._refuse(request.shard)
        state.promise = Promise(record=proposed, proposer=request.proposer)
        return GrantReply(granted=True, highest=proposed)

    def _may_grant(self, request: GrantRequest, base: ShardRecord) -> bool:
        """Return whether this entry may grant a request of this proposer.

        Both must have a role in `base`.
        """
        if request.proposer in ("", self.address) or not self.has_role(base):
            return False
        if request.proposer == base.owner:
            return True
        # Only the arbiter grants a standby's proposal; the owner must not, since two
        # entries would then serve the shard at once.
        return request.proposer == base.standby and not self.is_owner(base)

    def _promise_allows(self, state: ShardState, request: GrantRequest) -> bool:
        """Return whether an earlier promise permits the proposal.

        A later proposal of the same proposer replaces its earlier one. This entry may
        abandon its own proposal by granting another, since only the proposer of a
        record can put it in force. A proposer whose process ended before the record
        was in force at this entry can no longer use the grant.
        """
        promise = state.promise
        if promise is None or promise.record == request.record:
            return True
        if request.record.epoch <= promise.record.epoch:
            return False
        if promise.proposer in (request.proposer, self.address):
            return True
        record = promise.record
        return (
            promise.proposer == record.owner
            and self.is_standby(record)
            and self._process_ended(record.owner, record.owner_started_ms)
        )

    def _refuse(self, shard: str) -> GrantReply:
        state = self.states.get(shard)
        if state is None:
            return GrantReply(granted=False)
        if state.promise is not None:
            return GrantReply(granted=False, highest=state.promise.record)
        return GrantReply(granted=False, highest=state.record, in_force=True)
