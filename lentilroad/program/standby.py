"""Copies of programs that this entry keeps as the standby of their shards."""

from __future__ import annotations

from dataclasses import dataclass, field

from eliot import log_message

from lentilroad.clock import Clock
from lentilroad.membership.const import RECOVERY_EPOCH_STEP
from lentilroad.program import const
from lentilroad.program.history import pack_history
from lentilroad.program.records import (
    CopyReset,
    Opened,
    ProgramState,
    Record,
    Snapshot,
    apply_record,
    decode_record,
)
from lentilroad.program.replication import ShardTable, known_record
from lentilroad.wire.messages import ReplicateReply, ReplicateRequest, ShardRecord


@dataclass(slots=True, kw_only=True)
class _ShardCopy:
    # Epoch in which the owner last wrote to this copy.
    epoch: int = 0
    owner: str = ""
    # Record that a planned move is to put in force.
    planned: ShardRecord | None = None
    programs: dict[str, ProgramState] = field(default_factory=dict)


class ProgramStandby:
    """Keep the second copy of programs.

    Parameters
    ----------
    address : str
        Address of this entry.
    shard_table : ShardTable
        Current records of the shards.
    clock : Clock
        Source of time.
    started_ms : int, optional
        Start of this process in Unix milliseconds, as in shard records. A planned
        move to an earlier process at the same address is refused.
    """

    def __init__(
        self,
        *,
        address: str,
        shard_table: ShardTable,
        clock: Clock,
        started_ms: int = 0,
    ) -> None:
        self._started_ms = started_ms
        self._address = address
        self._shard_table = shard_table
        self._clock = clock
        self._copies: dict[str, _ShardCopy] = {}
        # Copies for planned moves, by shard.
        self._staged: dict[str, _ShardCopy] = {}

    async def replicate(self, request: ReplicateRequest) -> ReplicateReply:
        """Apply records of a shard's owner; handler of `REPLICATE`."""
        shard = request.shard
        record = known_record(self._shard_table, shard)
        known_epoch = record.epoch if record else 0
        if record is not None:
            self._follow(shard, record)
        if request.staged_record is not None:
            return self._replicate_staged(request, request.staged_record, known_epoch)
        if not self._shard_table.accepts(shard, request.epoch, request.owner):
            if record is not None and record.owner == request.owner:
                # The sender is still the owner and has yet to learn its record.
                known_epoch = min(known_epoch, request.epoch)
            return ReplicateReply(accepted=False, highest_epoch=known_epoch)
        copy = self._copies.get(shard) or _ShardCopy()
        return self._apply_all(request, copy, self._copies, request.epoch)

    def _replicate_staged(
        self, request: ReplicateRequest, planned: ShardRecord, known_epoch: int
    ) -> ReplicateReply:
        """Keep a copy apart until the planned record is in force."""
        if request.epoch < known_epoch or not self._is_named(planned):
            return ReplicateReply(accepted=False, highest_epoch=known_epoch)
        copy = self._staged.get(request.shard)
        if copy is None or copy.planned != planned:
            copy = _ShardCopy(planned=planned)
        return self._apply_all(request, copy, self._staged, planned.epoch)

    def _is_named(self, record: ShardRecord) -> bool:
        """Return whether a record names this process and not an earlier one."""
        named = {
            (record.owner, record.owner_started_ms),
            (record.standby, record.standby_started_ms),
        }
        accepted = (0, self._started_ms) if self._started_ms else None
        return any(
            address == self._address and (accepted is None or started_ms in accepted)
            for address, started_ms in named
        )

    def _apply_all(
        self,
        request: ReplicateRequest,
        copy: _ShardCopy,
        copies: dict[str, _ShardCopy],
        epoch: int,
    ) -> ReplicateReply:
        records = [decode_record(data) for data in request.records]
        if copy.epoch == epoch and request.staged_record is None:
            # The copy is complete already; a reset would leave it incomplete until
            # all programs have arrived again.
            records = [r for r in records if not isinstance(r.body, CopyReset)]
        missing = _missing_programs(copy, records)
        if missing:
            return ReplicateReply(
                accepted=False,
                highest_epoch=request.epoch,
                missing_program_ids=missing,
            )
        for entry in records:
            _apply(copy, entry)
        copy.epoch = epoch
        copy.owner = request.owner
        copies[request.shard] = copy
        return ReplicateReply(accepted=True, highest_epoch=request.epoch)

    def take(self, shard: str, record: ShardRecord) -> list[ProgramState]:
        """Hand the copies of a shard over to the owner in the same process.

        A copy that the owner of the epoch before `record` never wrote to may lack
        what was committed with another standby, and is dropped.
        """
        self._follow(shard, record)
        copy = self._copies.pop(shard, None)
        self._staged.pop(shard, None)
        if copy is None:
            return []
        if not _is_current(copy, record):
            log_message(
                message_type="program:copy_outdated",
                shard=shard,
                epoch=record.epoch,
                copy_epoch=copy.epoch,
                programs=len(copy.programs),
            )
            return []
        return list(copy.programs.values())

    def has_staged(self, shard: str, record: ShardRecord) -> bool:
        """Return whether another owner copied the shard here for this record."""
        staged = self._staged.get(shard)
        return staged is not None and staged.planned == record

    def keep(self, shard: str, record: ShardRecord, states: list[ProgramState]) -> None:
        """Keep programs that this entry owned until a planned move."""
        self._copies[shard] = _ShardCopy(
            epoch=record.epoch,
            owner=record.owner,
            programs={state.program_id: state for state in states},
        )

    def program_count(self, shard: str | None = None) -> int:
        """Return the number of copies of one shard or of all."""
        if shard is not None:
            copy = self._copies.get(shard)
            return len(copy.programs) if copy else 0
        return sum(len(copy.programs) for copy in self._copies.values())

    def follow_records(self) -> None:
        """Take note of new records; call it more often than shards change hands."""
        for shard in sorted({*self._copies, *self._staged}):
            record = known_record(self._shard_table, shard)
            if record is not None:
                self._follow(shard, record)

    def sweep(self) -> None:
        """Compress idle copies and drop those that are no longer needed."""
        now_s = self._clock.time_s()
        for copy in self._copies.values():
            _sweep_programs(copy, now_s)

    def _follow(self, shard: str, record: ShardRecord) -> None:
        staged = self._staged.get(shard)
        if staged is not None and record.epoch >= staged.epoch:
            del self._staged[shard]
            copy = self._copies.get(shard)
            is_newer = copy is None or copy.epoch < staged.epoch
            if staged.planned == record and is_newer:
                self._copies[shard] = staged
        copy = self._copies.get(shard)
        if copy is None or record.epoch <= copy.epoch:
            return
        if self._address not in (record.owner, record.standby):
            del self._copies[shard]
        elif record.epoch == copy.epoch + 1 and (
            (record.owner, record.standby) == (copy.owner, self._address)
        ):
            # The next epoch with the same pair leaves the copy complete.
            copy.epoch = record.epoch


def _is_current(copy: _ShardCopy, record: ShardRecord) -> bool:
    """Return whether nothing can have been committed without this copy."""
    steps = record.epoch - copy.epoch
    if steps >= RECOVERY_EPOCH_STEP:
        # A recovery goes on from the last epoch in force or from a promised one.
        steps -= RECOVERY_EPOCH_STEP
    return steps <= 1


def _missing_programs(copy: _ShardCopy, records: list[Record]) -> list[str]:
    sequences = {key: state.sequence for key, state in copy.programs.items()}
    missing = []
    for record in records:
        program_id = record.program_id
        if isinstance(record.body, CopyReset):
            sequences = {}
        elif isinstance(record.body, Opened | Snapshot):
            sequences[program_id] = record.sequence
        elif record.sequence > sequences.get(program_id, -1) + 1:
            missing.append(program_id)
        elif program_id in sequences:
            sequences[program_id] = max(sequences[program_id], record.sequence)
        else:
            missing.append(program_id)
    return sorted(set(missing))


def _apply(copy: _ShardCopy, record: Record) -> None:
    if isinstance(record.body, CopyReset):
        copy.programs = {}
        return
    if isinstance(record.body, Opened | Snapshot):
        state = record.body.state
        state.sequence = record.sequence
        copy.programs[record.program_id] = state
        return
    apply_record(copy.programs[record.program_id], record)


def _sweep_programs(copy: _ShardCopy, now_s: float) -> None:
    for program_id, state in list(copy.programs.items()):
        if state.status != "open":
            if now_s - state.ended_time_s > const.ENDED_RETENTION_S:
                del copy.programs[program_id]
        elif now_s - state.last_active_time_s > const.PACK_AFTER_IDLE_S:
            pack_history(state.history)
