"""Turns and token grants stored on the disk of one storage member."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field

import msgspec

from lentilroad.clock import Clock
from lentilroad.conversation.const import (
    DISK_MAX_USED_SHARE,
    DISK_STALL_S,
    DISK_WARN_USED_SHARE,
    LEDGER_RETENTION_S,
    PULL_BATCH_BYTES,
    RETENTION_MARGIN_S,
)
from lentilroad.conversation.errors import (
    DiskRefusedError,
    NotCaughtUpError,
    StaleMapError,
)
from lentilroad.conversation.journal import Journal
from lentilroad.conversation.messages import (
    Chain,
    Grant,
    Ledger,
    ProbeReply,
    ProbeRequest,
    PullBatch,
    PullRequest,
    PutLedgers,
    PutTurns,
    ReadChain,
    Reserve,
    StoredTurns,
    StoreReply,
    TurnRecord,
    WhichTurns,
)
from lentilroad.process.events import log_event


class _JournalRecord(msgspec.Struct, array_like=True):
    """One record of the journal; exactly one field is set."""

    turn: TurnRecord | None = None
    ledger: Ledger | None = None
    complete_as: str | None = None
    min_map_version: int | None = None


@dataclass(slots=True, kw_only=True)
class _HeldTurn:
    record: TurnRecord
    expires_s: float
    segment: int


@dataclass(slots=True, kw_only=True)
class _HeldLedger:
    grants: dict[str, Grant]
    expires_s: float
    segment: int
    # Newest revision of each grant that is on the disk.
    synced: dict[str, int] = field(default_factory=dict)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_JournalRecord)


class Replica:
    """Turns and grants stored on one disk.

    Parameters
    ----------
    journal : Journal
        Journal that persists each record before it is acknowledged.
    disk_id : str
        Identity of the disk; an emptied disk gets a new one.
    clock : Clock
        Source of time.
    disk_bytes : int
        Size of the disk.
    member_disks : callable
        Returns the disk ids of the current member list.
    members : callable
        Returns the version and the encoded member list, for callers with an older one.
    update_members : callable
        Called with the version and the encoded member list that another member sent.
    """

    def __init__(
        self,
        *,
        journal: Journal,
        disk_id: str,
        clock: Clock,
        disk_bytes: int,
        member_disks: Callable[[], set[str]],
        members: Callable[[], tuple[int, bytes]],
        update_members: Callable[[int, bytes], None],
    ) -> None:
        self.disk_id = disk_id
        self.complete = False
        self._journal = journal
        self._clock = clock
        self._disk_bytes = disk_bytes
        self._member_disks = member_disks
        self._members = members
        self._note_members = update_members
        self._min_map_version = 0
        # Part of `_min_map_version` that is synced to the disk.
        self._min_synced_map_version = 0
        self._retiring = False
        self._used_share = 0.0
        self._turns: dict[str, _HeldTurn] = {}
        self._ledgers: dict[str, _HeldLedger] = {}

    def recover(self) -> None:
        """Restore the turns and grants from the journal."""
        wall_s = self._clock.time_s()
        for segment, payload in self._journal.read():
            try:
                entry = _DECODER.decode(payload)
            except msgspec.MsgspecError as error:
                log_event("journal_record_unreadable", error=str(error))
                continue
            if entry.turn is not None:
                age_s = max(0.0, wall_s - entry.turn.written_s)
                self._hold_turn(entry.turn, segment, age_s)
            if entry.ledger is not None:
                age_s = max(0.0, wall_s - entry.ledger.updated_s)
                self._merge_ledger(entry.ledger, segment, age_s)
                _note_synced(self._ledgers[entry.ledger.program_id], entry.ledger)
            if entry.complete_as is not None:
                self.complete = entry.complete_as == self.disk_id
            if entry.min_map_version is not None:
                self._min_map_version = entry.min_map_version
                self._min_synced_map_version = entry.min_map_version
        self.sweep()
        log_event(
            "storage_recovered",
            disk=self.disk_id,
            complete=self.complete,
            turns=len(self._turns),
            programs=len(self._ledgers),
        )

    async def mark_complete(self) -> None:
        """Record that the disk holds all records that it should."""
        await self._journal.append(
            _ENCODER.encode(_JournalRecord(complete_as=self.disk_id))
        )
        self.complete = True

    def retire(self) -> None:
        """Refuse new turns and reservations: the disk is about to be removed."""
        self._retiring = True

    async def require_map_version(self, version: int) -> None:
        """Refuse reservations of callers whose member list is older than `version`."""
        if version <= self._min_synced_map_version:
            return
        self._min_map_version = max(version, self._min_map_version)
        await self._sync_least_version()

    async def _sync_least_version(self) -> None:
        version = self._min_map_version
        await self._journal.append(
            _ENCODER.encode(_JournalRecord(min_map_version=version))
        )
        self._min_synced_map_version = max(version, self._min_synced_map_version)

    async def put_turns(self, request: PutTurns) -> StoreReply:
        """Store turns; returns after they are synced.

        Raises
        ------
        StaleMapError
            The disk is about to be removed.
        DiskRefusedError
            The disk refused the write, or is too full.
        """
        if self._retiring:
            raise StaleMapError("write to the other storage members")
        if self._used_share >= DISK_MAX_USED_SHARE:
            raise DiskRefusedError(
                f"the disk is used to {self._used_share:.0%}; write to the other "
                "storage members"
            )
        now_s = self._clock.time_s()
        for record in request.turns:
            record.written_s = record.written_s or now_s
        segments = await asyncio.gather(
            *(
                self._journal.append(_ENCODER.encode(_JournalRecord(turn=record)))
                for record in request.turns
            )
        )
        for record, segment in zip(request.turns, segments, strict=True):
            self._hold_turn(record, segment, max(0.0, now_s - record.written_s))
            log_event(
                "turn_stored",
                request=record.turn_id,
                previous=record.previous_id,
                segment=segment,
                complete_disk=self.complete,
            )
        return StoreReply(disk_id=self.disk_id)

    async def read_chain(self, request: ReadChain) -> Chain:
        """Return a turn and its predecessors up to the first one missing here."""
        turns: list[TurnRecord] = []
        wanted = request.turn_id
        while wanted:
            held = self._turns.get(wanted)
            if held is None:
                break
            turns.append(held.record)
            wanted = held.record.previous_id
        return Chain(
            disk_id=self.disk_id,
            complete_disk=self.complete,
            turns=turns,
            missing_id=wanted,
        )

    async def reserve(self, request: Reserve) -> Ledger:
        """Change an entry's grant and return all grants of the program.

        Raises
        ------
        StaleMapError
            The caller's member list is outdated, or the disk is about to be removed.
        NotCaughtUpError
            The disk has not caught up, so grants may be missing.
        """
        if request.map_version < self._min_map_version or self._retiring:
            raise StaleMapError("read the list of storage members again")
        if not self.complete:
            raise NotCaughtUpError("ask the other storage members")
        held = self._ledgers.get(request.program_id)
        grants = held.grants if held is not None else {}
        change = request.grant
        if change is not None:
            known = grants.get(change.grant_id)
            # A repeated call may find the grant in memory although its write is still
            # in flight or was refused.
            synced = held.synced.get(change.grant_id, -1) if held is not None else -1
            unsynced = not request.skip_sync and synced < change.revision
            if known is None or known.revision < change.revision or unsynced:
                await self._change_grant(request, change)
        held = self._ledgers.get(request.program_id)
        found = list(held.grants.values()) if held is not None else []
        return Ledger(program_id=request.program_id, grants=found)

    async def pull(self, request: PullRequest) -> AsyncGenerator[PullBatch, None]:
        """Yield all records that a replaced disk should have held.

        The caller claims the slot of the replaced disk. From now on, reservations of
        callers whose member list still contains the replaced disk are refused.
        """
        self._note_members(request.map_version, request.members)
        await self.require_map_version(request.map_version)
        lost = request.replaced_disk_id
        listed = self._member_disks()
        batch = PullBatch(turns=[], ledgers=[])
        size_bytes = 0
        for held in list(self._turns.values()):
            holders = held.record.holders
            if lost and lost not in holders and listed.issuperset(holders):
                continue
            batch.turns.append(held.record)
            size_bytes += len(held.record.input) + len(held.record.output)
            if size_bytes >= PULL_BATCH_BYTES:
                yield batch
                batch = PullBatch(turns=[], ledgers=[])
                size_bytes = 0
        now_s = self._clock.time_s()
        for program_id, ledger in list(self._ledgers.items()):
            batch.ledgers.append(
                Ledger(
                    program_id=program_id,
                    grants=list(ledger.grants.values()),
                    updated_s=now_s,
                )
            )
        yield batch

    async def put_ledgers(self, request: PutLedgers) -> StoreReply:
        """Merge grants from another disk; returns after they are synced."""
        now_s = self._clock.time_s()
        for ledger in request.ledgers:
            ledger.updated_s = now_s
        segments = await asyncio.gather(
            *(
                self._journal.append(_ENCODER.encode(_JournalRecord(ledger=ledger)))
                for ledger in request.ledgers
            )
        )
        for ledger, segment in zip(request.ledgers, segments, strict=True):
            self._merge_ledger(ledger, segment, 0.0)
            _note_synced(self._ledgers[ledger.program_id], ledger)
        return StoreReply(disk_id=self.disk_id)

    async def which_turns(self, request: WhichTurns) -> StoredTurns:
        """Return which of the requested turns this disk holds."""
        return StoredTurns(
            turn_ids=[turn for turn in request.turn_ids if turn in self._turns]
        )

    async def probe(self, request: ProbeRequest) -> ProbeReply:
        """Return the state of the disk and the current member list."""
        version, members = self._members()
        return ProbeReply(
            disk_id=self.disk_id,
            complete_disk=self.complete,
            map_version=version,
            members=members,
            stalled=self._journal.pending_write_s() > DISK_STALL_S,
            writable=self.writable(),
        )

    def writable(self) -> bool:
        """Return whether the disk takes writes."""
        refused = self._journal.refused_since_s is not None
        return not refused and self._used_share < DISK_MAX_USED_SHARE

    def used_share(self) -> float:
        """Return the share of the disk in use at the last sweep."""
        return self._used_share

    async def retry_refused_write(self) -> None:
        """Write a record if the disk refused the last write."""
        if self._journal.refused_since_s is None:
            return
        # Replaying a record with a known map version has no effect.
        try:
            await self._sync_least_version()
        except DiskRefusedError:
            # The journal logged when the disk began to refuse writes.
            return

    def turns(self) -> list[TurnRecord]:
        """Return all turns held."""
        return [held.record for held in self._turns.values()]

    def ledgers(self) -> list[Ledger]:
        """Return the grants of all programs."""
        return [
            Ledger(program_id=program_id, grants=list(held.grants.values()))
            for program_id, held in self._ledgers.items()
        ]

    def sweep(self) -> None:
        """Evict expired turns and grants, and remove unused segments."""
        now_s = self._clock.monotonic_s()
        for turn_id, held in list(self._turns.items()):
            if held.expires_s <= now_s:
                del self._turns[turn_id]
        for program_id, ledger in list(self._ledgers.items()):
            if ledger.expires_s <= now_s:
                del self._ledgers[program_id]
        self._remove_unused()

    def _remove_unused(self) -> None:
        used = [held.segment for held in self._turns.values()]
        used += [held.segment for held in self._ledgers.values()]
        self._journal.remove_before(min(used, default=self._journal.current_segment()))
        before_share = self._used_share
        size_bytes = self._journal.size_bytes()
        self._used_share = size_bytes / max(1, self._disk_bytes)
        if before_share < DISK_WARN_USED_SHARE <= self._used_share:
            log_event(
                "disk_filling",
                disk=self.disk_id,
                size_bytes=size_bytes,
                disk_bytes=self._disk_bytes,
                remedy="use larger disks or more instances with disks",
            )

    async def _change_grant(self, request: Reserve, change: Grant) -> None:
        held = self._ledgers.get(request.program_id)
        merged = dict(held.grants) if held is not None else {}
        known = merged.get(change.grant_id)
        if known is None or known.revision < change.revision:
            merged[change.grant_id] = change
        ledger = Ledger(
            program_id=request.program_id,
            grants=list(merged.values()),
            updated_s=self._clock.time_s(),
        )
        # Other callers read the change from now on; the caller's own reservation
        # succeeds only after the sync.
        segment = held.segment if held is not None else self._journal.current_segment()
        self._merge_ledger(ledger, segment, 0.0)
        if request.skip_sync:
            return
        # A grant whose write is refused still counts in memory, which can't exceed the
        # budget.
        segment = await self._journal.append(
            _ENCODER.encode(_JournalRecord(ledger=ledger))
        )
        current = self._ledgers.get(request.program_id)
        if current is not None:
            current.segment = max(current.segment, segment)
            _note_synced(current, ledger)

    def _hold_turn(self, record: TurnRecord, segment: int, age_s: float) -> None:
        lifetime_s = record.retention_s + RETENTION_MARGIN_S - age_s
        expires_s = self._clock.monotonic_s() + lifetime_s
        self._turns[record.turn_id] = _HeldTurn(
            record=record, expires_s=expires_s, segment=segment
        )
        # A turn extends the retention of all turns before it.
        before = self._turns.get(record.previous_id)
        while before is not None and before.expires_s < expires_s:
            before.expires_s = expires_s
            before = self._turns.get(before.record.previous_id)

    def _merge_ledger(self, ledger: Ledger, segment: int, age_s: float) -> None:
        expires_s = self._clock.monotonic_s() + LEDGER_RETENTION_S - age_s
        held = self._ledgers.get(ledger.program_id)
        if held is None:
            held = _HeldLedger(grants={}, expires_s=expires_s, segment=segment)
            self._ledgers[ledger.program_id] = held
        held.expires_s = max(held.expires_s, expires_s)
        held.segment = max(held.segment, segment)
        for grant in ledger.grants:
            known = held.grants.get(grant.grant_id)
            if known is None or known.revision < grant.revision:
                held.grants[grant.grant_id] = grant


def _note_synced(held: _HeldLedger, ledger: Ledger) -> None:
    for grant in ledger.grants:
        synced = held.synced.get(grant.grant_id, -1)
        held.synced[grant.grant_id] = max(synced, grant.revision)
