"""Turns and token grants stored on the disk of one storage member."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field

import msgspec

from lentilroad.clock import Clock
from lentilroad.conversation.const import (
    DISK_MAX_USED_SHARE,
    DISK_STALL_S,
    DISK_WARN_USED_SHARE,
    LARGE_TURNS_MEMORY_SHARE,
    LEDGER_RETENTION_S,
    PULL_BATCH_BYTES,
    RETENTION_MARGIN_S,
    SMALL_TURN_BYTES,
)
from lentilroad.conversation.errors import (
    DiskRefusedError,
    MemoryFullError,
    NotCaughtUpError,
    StaleMapError,
)
from lentilroad.conversation.journal import Journal
from lentilroad.conversation.lifetimes import (
    LifetimeTable,
    conversation_key,
    program_key,
)
from lentilroad.conversation.messages import (
    Chain,
    Grant,
    Ledger,
    Lifetime,
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
from lentilroad.version.customers import unscoped_id
from lentilroad.wire.untrusted import UnreadableError, decode_message_pack


class _JournalRecord(msgspec.Struct, array_like=True):
    """One record of the journal: a turn, a ledger or the state of the disk.

    Attributes
    ----------
    complete_as : str or None
        Disk that copied the records of `copied_assignment`.
    copied_assignment : int
        See `lentilroad.conversation.members.Member.assignment`; 0 in journals and
        member lists of versions without assignments.
    """

    turn: TurnRecord | None = None
    ledger: Ledger | None = None
    complete_as: str | None = None
    min_map_version: int | None = None
    copied_assignment: int = 0


@dataclass(slots=True, kw_only=True)
class _StoredTurn:
    """Turn in memory, its conversation and the journal segment of its record."""

    record: TurnRecord
    conversation_id: str
    segment: int


@dataclass(slots=True, kw_only=True)
class _StoredLedger:
    """Grants of one program and the newest journal segment in use."""

    grants: dict[str, Grant]
    segment: int
    # Newest revision of each grant that is synced to the disk.
    synced_revisions: dict[str, int] = field(default_factory=dict)


_ENCODER = msgspec.msgpack.Encoder()


class Replica:
    """Turns and grants stored on one disk.

    Parameters
    ----------
    journal : Journal
        Journal that persists each record before it is acknowledged.
    disk_id : str
        Identity of the disk; a disk that was emptied gets a new identity.
    clock : Clock
        Source of time.
    disk_bytes : int
        Size of the disk.
    member_disks : callable
        Returns the disk ids of the current member list.
    map_version : callable
        Returns the version of the current member list.
    members : callable
        Returns the version and the encoded member list, which is sent to callers with
        an older list.
    update_members : callable
        Called with the version and the encoded member list that another member sent.
    lifetimes : LifetimeTable
        Lifetimes of the stored records.
    confirmed_until_s : callable
        See `lentilroad.conversation.lifetimes.LifetimeExchange`.
    memory_bytes : float, optional
        Bytes of the texts of turns, which are kept in memory.
    """

    def __init__(
        self,
        *,
        journal: Journal,
        disk_id: str,
        clock: Clock,
        disk_bytes: int,
        member_disks: Callable[[], set[str]],
        map_version: Callable[[], int],
        members: Callable[[], tuple[int, bytes]],
        update_members: Callable[[int, bytes], None],
        lifetimes: LifetimeTable,
        confirmed_until_s: Callable[[], float],
        memory_bytes: float = math.inf,
    ) -> None:
        self.disk_id = disk_id
        self._memory_bytes = memory_bytes
        # Texts of the stored turns, and of those that are being written.
        self._turn_bytes = 0
        self._writing_bytes = 0
        self._memory_was_full = False
        # Newest assignment whose records this disk has copied; None if there is none.
        self.copied_assignment: int | None = None
        self._journal = journal
        self._clock = clock
        self._disk_bytes = disk_bytes
        self._member_disks = member_disks
        self._map_version = map_version
        self._members = members
        self._update_members = update_members
        self._lifetimes = lifetimes
        self._confirmed_until_s = confirmed_until_s
        self._min_map_version = 0
        # Newest value of `_min_map_version` that is synced to the disk.
        self._synced_min_map_version = 0
        # Segment of the newest record of the disk's state; None before the first one.
        self._state_segment: int | None = None
        # Records of the state follow one another, so that the last one has all changes.
        self._state_lock = asyncio.Lock()
        self._retiring = False
        self._used_share = 0.0
        self._turns: dict[str, _StoredTurn] = {}
        self._ledgers: dict[str, _StoredLedger] = {}
        # Writes of turns that have been accepted and are not synced yet.
        self._turn_writes: set[asyncio.Future[None]] = set()

    def recover(self) -> None:
        """Restore the turns and grants from the journal."""
        wall_s = self._clock.time_s()
        for segment, payload in self._journal.read():
            try:
                record = decode_message_pack(payload, _JournalRecord)
            except UnreadableError as error:
                log_event("journal_record_unreadable", error=str(error))
                continue
            if record.turn is not None:
                age_s = max(0.0, wall_s - record.turn.written_s)
                self._add_turn(record.turn, segment, age_s)
            if record.ledger is not None:
                age_s = max(0.0, wall_s - record.ledger.updated_s)
                self._merge_ledger(record.ledger, segment, age_s)
                _mark_synced(self._ledgers[record.ledger.program_id], record.ledger)
            if record.complete_as == self.disk_id:
                self.copied_assignment = record.copied_assignment
                self._state_segment = segment
            if record.min_map_version is not None:
                self._min_map_version = max(
                    record.min_map_version, self._min_map_version
                )
                self._synced_min_map_version = self._min_map_version
                self._state_segment = segment
        self.sweep()
        log_event(
            "storage_recovered",
            disk=self.disk_id,
            copied_assignment=self.copied_assignment,
            turns=len(self._turns),
            programs=len(self._ledgers),
        )

    def has_copied(self, assignment: int) -> bool:
        """Return whether the disk stores all records of an assignment."""
        return self.copied_assignment == assignment

    async def mark_copied(self, assignment: int) -> None:
        """Record that the disk stores all records of an assignment."""
        async with self._state_lock:
            await self._append_state(assignment)
            self.copied_assignment = assignment

    async def retire(self) -> None:
        """Refuse new turns and reservations: the disk is about to be removed.

        Returns after the turns that were accepted before are stored.
        """
        self._retiring = True
        if self._turn_writes:
            await asyncio.wait(set(self._turn_writes))

    async def require_map_version(self, version: int) -> None:
        """Refuse reservations of callers whose member list is older than `version`."""
        if version <= self._synced_min_map_version:
            return
        self._min_map_version = max(version, self._min_map_version)
        async with self._state_lock:
            await self._append_state(self.copied_assignment)

    async def _append_state(self, copied_assignment: int | None) -> None:
        """Write the whole state of the disk, so that earlier records are not needed."""
        version = self._min_map_version
        record = _JournalRecord(min_map_version=version)
        if copied_assignment is not None:
            record.complete_as = self.disk_id
            record.copied_assignment = copied_assignment
        segment = await self._journal.append(_ENCODER.encode(record))
        self._state_segment = max(segment, self._state_segment or 0)
        self._synced_min_map_version = max(version, self._synced_min_map_version)

    async def put_turns(self, request: PutTurns) -> StoreReply:
        """Store turns; returns after they are synced.

        Raises
        ------
        StaleMapError
            The disk is about to be removed.
        DiskRefusedError
            The disk refused the write, or is too full.
        MemoryFullError
            The texts of stored turns take all memory that is meant for them.
        """
        if self._retiring:
            raise StaleMapError(
                f"disk {self.disk_id} is being retired; write to the other storage "
                "members"
            )
        if self._used_share >= DISK_MAX_USED_SHARE:
            raise DiskRefusedError(
                f"disk {self.disk_id} is {self._used_share:.0%} full; write to the "
                "other storage members"
            )
        size_bytes = sum(_text_bytes(record) for record in request.turns)
        limit_bytes = self._memory_bytes
        if size_bytes > SMALL_TURN_BYTES:
            limit_bytes *= LARGE_TURNS_MEMORY_SHARE
        if self.turn_bytes() + size_bytes > limit_bytes:
            self._log_full_memory()
            raise MemoryFullError(
                f"the texts of turns fill the memory of disk {self.disk_id}; write to "
                "the other storage members"
            )
        write: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._turn_writes.add(write)
        self._writing_bytes += size_bytes
        try:
            await self._write_turns(request)
        finally:
            self._writing_bytes -= size_bytes
            self._turn_writes.discard(write)
            write.set_result(None)
        return StoreReply(disk_id=self.disk_id)

    async def _write_turns(self, request: PutTurns) -> None:
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
            self._add_turn(record, segment, max(0.0, now_s - record.written_s))
        self._extend_lifetimes(request.lifetimes)
        for record, segment in zip(request.turns, segments, strict=True):
            log_event(
                "turn_stored",
                request=unscoped_id(record.turn_id),
                previous=unscoped_id(record.previous_id),
                segment=segment,
                copied_assignment=self.copied_assignment,
            )

    async def read_chain(self, request: ReadChain) -> Chain:
        """Return a turn and its predecessors up to the first that is not stored."""
        turns: list[TurnRecord] = []
        next_id = request.turn_id
        while next_id:
            stored = self._turns.get(next_id)
            if stored is None:
                break
            turns.append(stored.record)
            next_id = stored.record.previous_id
        return Chain(
            disk_id=self.disk_id,
            complete_disk=self.has_copied(request.assignment),
            turns=turns,
            missing_id=next_id,
            map_version=self._map_version(),
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
            raise StaleMapError(
                f"disk {self.disk_id} is being retired or the member list of version "
                f"{request.map_version} is outdated; read the member list again"
            )
        if not self.has_copied(request.assignment):
            if request.map_version < self._map_version():
                raise StaleMapError(
                    f"the member list of version {request.map_version} is outdated; "
                    "read the member list again"
                )
            raise NotCaughtUpError(
                f"disk {self.disk_id} has not copied the records of assignment "
                f"{request.assignment}; reserve at the other storage members"
            )
        stored = self._ledgers.get(request.program_id)
        grants = stored.grants if stored is not None else {}
        change = request.grant
        if change is not None:
            current = grants.get(change.grant_id)
            # A repeated call may find the grant in memory while the grant's write is in
            # flight or after it was refused.
            synced_revision = (
                stored.synced_revisions.get(change.grant_id, -1)
                if stored is not None
                else -1
            )
            unsynced = not request.skip_sync and synced_revision < change.revision
            if current is None or current.revision < change.revision or unsynced:
                await self._change_grant(request, change)
        stored = self._ledgers.get(request.program_id)
        all_grants = list(stored.grants.values()) if stored is not None else []
        return Ledger(program_id=request.program_id, grants=all_grants)

    async def pull(self, request: PullRequest) -> AsyncGenerator[PullBatch, None]:
        """Yield the records that the new disk of a slot must store.

        The caller claims the slot of the replaced disk. After this call, reservations
        of callers whose member list still contains the replaced disk are refused.
        """
        self._update_members(request.map_version, request.members)
        await self.require_map_version(request.map_version)
        replaced_disk_id = request.replaced_disk_id
        member_disks = self._member_disks()
        batch = PullBatch(turns=[], ledgers=[])
        size_bytes = 0
        for stored in list(self._turns.values()):
            holders = stored.record.holders
            # A turn with a holder outside the member list may lack a copy too.
            if (
                replaced_disk_id
                and replaced_disk_id not in holders
                and member_disks.issuperset(holders)
            ):
                continue
            batch.turns.append(stored.record)
            size_bytes += len(stored.record.input) + len(stored.record.output)
            if size_bytes >= PULL_BATCH_BYTES:
                batch.lifetimes = self.lifetimes(batch.turns)
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
        batch.lifetimes = self.lifetimes(batch.turns)
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
            _mark_synced(self._ledgers[ledger.program_id], ledger)
        return StoreReply(disk_id=self.disk_id)

    async def which_turns(self, request: WhichTurns) -> StoredTurns:
        """Return which of the requested turns are stored here."""
        return StoredTurns(
            turn_ids=[turn for turn in request.turn_ids if turn in self._turns]
        )

    async def probe(self, request: ProbeRequest) -> ProbeReply:
        """Return the state of the disk and the current member list."""
        version, members = self._members()
        return ProbeReply(
            disk_id=self.disk_id,
            complete_disk=self.has_copied(request.assignment),
            map_version=version,
            members=members,
            stalled=self._journal.pending_write_s() > DISK_STALL_S,
            writable=self.writable(),
        )

    def writable(self) -> bool:
        """Return whether the disk accepts writes."""
        refused = self._journal.refused_since_s is not None
        return not refused and self._used_share < DISK_MAX_USED_SHARE

    def turn_bytes(self) -> int:
        """Return the bytes of the texts of turns in memory."""
        return self._turn_bytes + self._writing_bytes

    def _log_full_memory(self) -> None:
        if self._memory_was_full:
            return
        self._memory_was_full = True
        log_event("turn_memory_full", disk=self.disk_id, turn_bytes=self.turn_bytes())

    def used_share(self) -> float:
        """Return the share of the disk in use at the last sweep."""
        return self._used_share

    async def retry_refused_write(self) -> None:
        """Write a record without effect if the disk refused the last write."""
        if self._journal.refused_since_s is None:
            return
        # The record repeats the current state, so replaying it has no effect.
        await self._repeat_state()

    async def _repeat_state(self) -> None:
        try:
            async with self._state_lock:
                await self._append_state(self.copied_assignment)
        except DiskRefusedError:
            # The journal logged when the disk began to refuse writes.
            return

    def turns(self) -> list[TurnRecord]:
        """Return all stored turns."""
        return [stored.record for stored in self._turns.values()]

    def lifetimes(self, turns: list[TurnRecord]) -> list[Lifetime]:
        """Return the lifetimes of the conversations of stored turns."""
        now_s = self._clock.monotonic_s()
        keys = {
            conversation_key(self._turns[turn.turn_id].conversation_id)
            for turn in turns
            if turn.turn_id in self._turns
        }
        return [
            Lifetime(key=key, remaining_s=self._lifetimes.expires_s(key) - now_s)
            for key in keys
        ]

    def ledgers(self) -> list[Ledger]:
        """Return the grants of all programs."""
        return [
            Ledger(program_id=program_id, grants=list(stored.grants.values()))
            for program_id, stored in self._ledgers.items()
        ]

    async def maintain(self) -> None:
        """Sweep, and repeat the disk's state if it alone keeps old segments."""
        self.sweep()
        if (
            self._state_segment is not None
            and self._state_segment < self._oldest_record_segment()
        ):
            await self._repeat_state()

    def sweep(self) -> None:
        """Evict expired turns and grants, and remove unused segments."""
        limit_s = min(self._clock.monotonic_s(), self._confirmed_until_s())
        expired = self._lifetimes.pop_expired(limit_s)
        if expired:
            for turn_id, stored in list(self._turns.items()):
                if conversation_key(stored.conversation_id) in expired:
                    del self._turns[turn_id]
                    self._turn_bytes -= _text_bytes(stored.record)
                    self._memory_was_full = False
            for program_id in list(self._ledgers):
                if program_key(program_id) in expired:
                    del self._ledgers[program_id]
        self._remove_unused_segments()

    def _oldest_record_segment(self) -> int:
        segments = [stored.segment for stored in self._turns.values()]
        segments += [stored.segment for stored in self._ledgers.values()]
        return min(segments, default=self._journal.current_segment())

    def _remove_unused_segments(self) -> None:
        oldest = self._oldest_record_segment()
        if self._state_segment is not None:
            oldest = min(oldest, self._state_segment)
        self._journal.remove_before(oldest)
        previous_share = self._used_share
        size_bytes = self._journal.size_bytes()
        self._used_share = size_bytes / max(1, self._disk_bytes)
        if previous_share < DISK_WARN_USED_SHARE <= self._used_share:
            log_event(
                "disk_filling",
                disk=self.disk_id,
                size_bytes=size_bytes,
                disk_bytes=self._disk_bytes,
                remedy="use larger disks or more instances with disks",
            )

    async def _change_grant(self, request: Reserve, change: Grant) -> None:
        stored = self._ledgers.get(request.program_id)
        merged = dict(stored.grants) if stored is not None else {}
        current = merged.get(change.grant_id)
        if current is None or current.revision < change.revision:
            merged[change.grant_id] = change
        ledger = Ledger(
            program_id=request.program_id,
            grants=list(merged.values()),
            updated_s=self._clock.time_s(),
        )
        # Other callers read the changed grant before its sync; the reservation of this
        # caller succeeds only after the sync.
        segment = (
            stored.segment if stored is not None else self._journal.current_segment()
        )
        self._merge_ledger(ledger, segment, 0.0)
        if request.skip_sync:
            return
        # If the disk refuses the write, the grant stays counted in memory. That is the
        # safe side for the budget, which may be underused but not exceeded.
        segment = await self._journal.append(
            _ENCODER.encode(_JournalRecord(ledger=ledger))
        )
        # The ledger may have expired during the write.
        stored = self._ledgers.get(request.program_id)
        if stored is not None:
            stored.segment = max(stored.segment, segment)
            _mark_synced(stored, ledger)

    def _add_turn(self, record: TurnRecord, segment: int, age_s: float) -> None:
        now_s = self._clock.monotonic_s()
        expires_s = now_s + record.retention_s + RETENTION_MARGIN_S - age_s
        assured_s = expires_s
        if record.previous_id and record.kept_until_s:
            kept_s = record.kept_until_s - self._clock.time_s()
            assured_s = now_s + kept_s + RETENTION_MARGIN_S
        conversation_id = self._conversation_id(record)
        replaced = self._turns.get(record.turn_id)
        if replaced is not None:
            self._turn_bytes -= _text_bytes(replaced.record)
        self._turn_bytes += _text_bytes(record)
        self._turns[record.turn_id] = _StoredTurn(
            record=record, conversation_id=conversation_id, segment=segment
        )
        self._lifetimes.extend(
            conversation_key(conversation_id),
            expires_s=expires_s,
            assured_s=assured_s,
            disks=[*record.holders, *record.conversation_disks],
        )

    def _conversation_id(self, record: TurnRecord) -> str:
        if record.conversation_id:
            return record.conversation_id
        previous = self._turns.get(record.previous_id)
        return record.turn_id if previous is None else previous.conversation_id

    def _extend_lifetimes(self, lifetimes: list[Lifetime]) -> None:
        now_s = self._clock.monotonic_s()
        for lifetime in lifetimes:
            self._lifetimes.extend_known(lifetime.key, now_s + lifetime.remaining_s)

    def _merge_ledger(self, ledger: Ledger, segment: int, age_s: float) -> None:
        retention_s = max((grant.retention_s for grant in ledger.grants), default=0.0)
        lifetime_s = max(LEDGER_RETENTION_S, retention_s + 2 * RETENTION_MARGIN_S)
        self._lifetimes.extend(
            program_key(ledger.program_id),
            expires_s=self._clock.monotonic_s() + lifetime_s - age_s,
        )
        stored = self._ledgers.get(ledger.program_id)
        if stored is None:
            stored = _StoredLedger(grants={}, segment=segment)
            self._ledgers[ledger.program_id] = stored
        stored.segment = max(stored.segment, segment)
        for grant in ledger.grants:
            current = stored.grants.get(grant.grant_id)
            if current is None or current.revision < grant.revision:
                stored.grants[grant.grant_id] = grant


def _mark_synced(stored: _StoredLedger, ledger: Ledger) -> None:
    for grant in ledger.grants:
        synced_revision = stored.synced_revisions.get(grant.grant_id, -1)
        stored.synced_revisions[grant.grant_id] = max(synced_revision, grant.revision)


def _text_bytes(record: TurnRecord) -> int:
    return len(record.input) + len(record.output)
