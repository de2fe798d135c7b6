"""Copies of programs that this entry keeps as the standby of their shards."""

from __future__ import annotations

from dataclasses import dataclass, field

from eliot import log_message

from lentilroad.clock import Clock
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
from lentilroad.program.replication import ShardTable
from lentilroad.wire.messages import ReplicateReply, ReplicateRequest, ShardRecord


@dataclass(slots=True, kw_only=True)
class _ShardCopy:
    # Epoch in which the owner last wrote to this copy.
    epoch: int = 0
    owner: str = ""
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
    """

    def __init__(self, *, address: str, shard_table: ShardTable, clock: Clock) -> None:
        self._address = address
        self._shard_table = shard_table
        self._clock = clock
        self._copies: dict[str, _ShardCopy] = {}

    async def replicate(self, request: ReplicateRequest) -> ReplicateReply:
        """Apply records of a shard's owner; handler of `REPLICATE`."""
        shard = request.shard
        copy = self._copies.get(shard) or _ShardCopy()
        record = self._shard_table.record(shard)
        highest_epoch = max(copy.epoch, record.epoch if record else 0)
        if _is_stale(request, record, highest_epoch):
            return ReplicateReply(accepted=False, highest_epoch=highest_epoch)
        records = [decode_record(data) for data in request.records]
        missing = _missing_programs(copy, records)
        if missing:
            return ReplicateReply(
                accepted=False,
                highest_epoch=highest_epoch,
                missing_program_ids=missing,
            )
        for entry in records:
            _apply(copy, entry)
        copy.epoch = request.epoch
        copy.owner = request.owner
        self._copies[shard] = copy
        return ReplicateReply(accepted=True, highest_epoch=request.epoch)

    def take(self, shard: str, record: ShardRecord) -> list[ProgramState]:
        """Hand the copies of a shard over to the owner in the same process.

        A copy that the owner of the epoch before `record` never wrote to may lack
        what was committed with another standby, and is dropped.
        """
        copy = self._copies.pop(shard, None)
        if copy is None:
            return []
        if copy.epoch < (record.base_epoch or record.epoch - 1):
            log_message(
                message_type="program:copy_outdated",
                shard=shard,
                epoch=record.epoch,
                copy_epoch=copy.epoch,
                programs=len(copy.programs),
            )
            return []
        return list(copy.programs.values())

    def program_count(self, shard: str | None = None) -> int:
        """Return the number of copies of one shard or of all."""
        if shard is not None:
            copy = self._copies.get(shard)
            return len(copy.programs) if copy else 0
        return sum(len(copy.programs) for copy in self._copies.values())

    def sweep(self) -> None:
        """Compress idle copies and drop those that are no longer needed."""
        now_s = self._clock.time_s()
        for shard, copy in list(self._copies.items()):
            record = self._shard_table.record(shard)
            if record is not None and self._is_void(copy, record):
                del self._copies[shard]
                continue
            self._follow_record(copy, record)
            _sweep_programs(copy, now_s)

    def _is_void(self, copy: _ShardCopy, record: ShardRecord) -> bool:
        if record.epoch <= copy.epoch:
            return False
        return self._address not in (record.standby, record.owner)

    def _follow_record(self, copy: _ShardCopy, record: ShardRecord | None) -> None:
        # The next epoch with the same pair leaves the copy complete.
        if (
            record is not None
            and record.epoch == copy.epoch + 1
            and record.owner == copy.owner
            and record.standby == self._address
        ):
            copy.epoch = record.epoch


def _is_stale(
    request: ReplicateRequest, record: ShardRecord | None, highest_epoch: int
) -> bool:
    if request.epoch < highest_epoch:
        return True
    if record is None or record.epoch != request.epoch:
        return False
    return record.owner != request.owner


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
