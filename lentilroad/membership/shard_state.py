"""What one entry knows about each shard, and the rules for grants."""

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
    """A record that this entry agreed to, not yet known to be in force."""

    record: ShardRecord
    proposer: str


@dataclass(slots=True, kw_only=True, eq=False)
class ShardState:
    """One shard as this entry knows it."""

    name: str
    record: ShardRecord
    learned_s: float
    # As standby: may take over. As owner: the standby knows the record.
    activated: bool = False
    confirmed: bool = False
    promise: Promise | None = None
    # Highest epoch that a refusal named; later proposals stay above it.
    refused_epoch: int = 0
    # A planned move copies the last changes; commits are refused.
    frozen: bool = False
    # Map revision that brought the record; 0 while it is not in the map.
    map_revision: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class RegionMap:
    """Revision of a region's map that this entry has."""

    revision: int = 0
    shard_count: int = 0
    epochs: dict[str, int] = field(default_factory=dict)


class ShardRecords:
    """Records in force and promises of one entry.

    A record is in force from the moment its proposer decides it: the proposer and
    one more entry that the record before it names have agreed. A promise becomes
    in force here when the owner, a peer or the map shows that it was decided.
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
        # Records that this owner proposed through the map: it stays the owner without
        # a gap when one of them comes into force.
        self.proposed: dict[str, ShardRecord] = {}
        # Shards whose record this entry must write to the map.
        self.unwritten: set[str] = set()
        self._clock = clock
        self._on_gained = on_gained
        self._on_lost = on_lost
        self._on_changed = on_changed
        self._process_ended = process_ended
        self._updates: dict[str, int] = {}

    def is_me(self, address: str, started_ms: int) -> bool:
        """Return whether a record names this process, and not an earlier one."""
        return address == self.address and started_ms in (0, self.started_ms)

    def owns(self, record: ShardRecord) -> bool:
        """Return whether this process is the record's owner."""
        return self.is_me(record.owner, record.owner_started_ms)

    def stands_by(self, record: ShardRecord) -> bool:
        """Return whether this process is the record's standby."""
        return self.is_me(record.standby, record.standby_started_ms)

    def named(self, record: ShardRecord) -> bool:
        """Return whether this process has a role in the record."""
        return (
            self.owns(record)
            or self.stands_by(record)
            or self.is_me(record.arbiter, record.arbiter_started_ms)
        )

    def shards_with_role(self) -> list[str]:
        """Return the shards whose record in force names this process."""
        return [s.name for s in self.states.values() if self.named(s.record)]

    def owned(self) -> list[ShardState]:
        """Return the shards whose record in force names this process as owner."""
        return [state for state in self.states.values() if self.owns(state.record)]

    def standing_by(self) -> list[ShardState]:
        """Return the shards whose record in force names this process as standby."""
        return [state for state in self.states.values() if self.stands_by(state.record)]

    def merge(
        self, shard: str, record: ShardRecord, *, decided_here: bool = False
    ) -> bool:
        """Take over a record in force; return whether it is newer than the known one.

        A standby may take over from a record that it learned from others, except
        when the owner had no standby before and may not know the record yet.
        """
        state = self.states.get(shard)
        if state is None:
            state = ShardState(name=shard, record=record, learned_s=0.0)
            self.states[shard] = state
            owned = False
        elif record.epoch <= state.record.epoch:
            return False
        else:
            owned = self.owns(state.record)
        state.record = record
        state.learned_s = self._clock.monotonic_s()
        state.activated = not record.from_sole_owner
        state.confirmed = False
        state.frozen = False
        state.map_revision = 0
        if state.promise is not None and state.promise.record.epoch <= record.epoch:
            state.promise = None
        self._updates[shard] = PIGGYBACK_REPEATS
        proposed = self.proposed.pop(shard, None)
        self._report(
            shard, record, owned=owned, kept=decided_here or proposed == record
        )
        return True

    def _report(
        self, shard: str, record: ShardRecord, *, owned: bool, kept: bool
    ) -> None:
        """Call back; `kept` tells that no other entry owned the shard in between."""
        owns = self.owns(record)
        if owns and owned and kept:
            self._on_changed(shard, record)
            return
        if owned:
            eliot.log_message(
                message_type="membership:shard_lost", shard=shard, epoch=record.epoch
            )
            self._on_lost(shard)
        if owns:
            eliot.log_message(
                message_type="membership:shard_gained", shard=shard, epoch=record.epoch
            )
            self._on_gained(shard, record)

    def decide(self, shard: str, record: ShardRecord) -> None:
        """Put a record in force that this entry proposed and that was granted."""
        if self.merge(shard, record, decided_here=True):
            self.unwritten.add(shard)

    def adopt_map(
        self, region: str, revision: int, records: Iterable[tuple[str, ShardRecord]]
    ) -> None:
        """Take over records of a region's map at the given revision."""
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
        """Return the records in force of a region, in the order of the shards."""
        region_map = self.maps.get(region)
        if region_map is None:
            return []
        names = [shard_name(region, i) for i in range(region_map.shard_count)]
        return [self.states[name].record for name in names if name in self.states]

    def changed_after(self, region: str, revision: int) -> dict[str, ShardRecord]:
        """Return the records of a region that came with a later map revision."""
        return {
            name: state.record
            for name, state in self.states.items()
            if (state.map_revision > revision or state.map_revision == 0)
            and parse_shard(name)[0] == region
        }

    def take_updates(self, limit: int) -> dict[str, ShardRecord]:
        """Return recently changed records to send along with a message."""
        chosen = list(self._updates)[:limit]
        for shard in chosen:
            remaining = self._updates.pop(shard) - 1
            if remaining > 0:
                # Moves to the end, so that all updates take turns.
                self._updates[shard] = remaining
        return {shard: self.states[shard].record for shard in chosen}

    def accepts(self, shard: str, epoch: int, owner: str) -> bool:
        """Return whether this entry, as standby, takes the owner's records.

        The first records of a granted epoch put it in force here.
        """
        state = self.states.get(shard)
        if state is None:
            return False
        promise = state.promise
        if (
            promise is not None
            and promise.proposer == owner == promise.record.owner
            and promise.record.epoch == epoch
            and self.stands_by(promise.record)
        ):
            self.merge(shard, promise.record)
        record = state.record
        if (record.epoch, record.owner) != (epoch, owner):
            return False
        if not self.stands_by(record):
            return False
        state.activated = True
        state.confirmed = True
        return True

    def highest_epoch(self, shard: str) -> int:
        """Return the highest epoch known of a shard, 0 when it is unknown."""
        state = self.states.get(shard)
        if state is None:
            return 0
        promised = state.promise.record.epoch if state.promise else 0
        return max(state.record.epoch, state.refused_epoch, promised)

    def grant(self, request: GrantRequest) -> GrantReply:
        """Decide about a proposal for the record after `request.base`."""
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
        """Return whether proposer and this entry are two of those that base names."""
        if request.proposer in ("", self.address) or not self.named(base):
            return False
        if request.proposer == base.owner:
            return True
        # A standby asks only the arbiter: the owner itself never gives way to it.
        return request.proposer == base.standby and not self.owns(base)

    def _promise_allows(self, state: ShardState, request: GrantRequest) -> bool:
        """Return whether an earlier promise leaves room for the proposal.

        A proposer gives up its own earlier proposal by sending a later one. This
        entry gives up its own by agreeing to another: only its proposer can put a
        record in force. A proposer whose process has ended before the record was in
        force here can no longer use the grant.
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
            and self.stands_by(record)
            and self._process_ended(record.owner, record.owner_started_ms)
        )

    def _refuse(self, shard: str) -> GrantReply:
        state = self.states.get(shard)
        if state is None:
            return GrantReply(granted=False)
        if state.promise is not None:
            return GrantReply(granted=False, highest=state.promise.record)
        return GrantReply(granted=False, highest=state.record, in_force=True)
