"""Stream of a shard's records from its owner to its standby."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from eliot import log_message

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.program import const
from lentilroad.program.records import (
    CopyReset,
    Ended,
    Opened,
    ProgramState,
    Record,
    Snapshot,
    TurnFinished,
    TurnStarted,
    apply_record,
    encode_record,
)
from lentilroad.program.shard_access import ShardTable, known_record, not_owner
from lentilroad.wire.messages import ReplicateReply, ReplicateRequest, ShardRecord
from lentilroad.wire.services import REPLICATE, Method

Call = Callable[[str, Method, Any, float], Awaitable[Any]]
Body = Opened | TurnStarted | TurnFinished | Ended


@dataclass(slots=True, kw_only=True)
class _Pending:
    # None only tells the standby the epoch.
    state: ProgramState | None
    # None only makes sure that the standby has the program.
    record: Record | None
    done: asyncio.Future[None]


class ShardReplicator:
    """Send a shard's records in order and apply them once they are acknowledged.

    Records that arrive while a call is outstanding form the next batch.

    Parameters
    ----------
    shard : str
        Shard whose records are sent.
    address : str
        Address of this entry.
    shard_table : ShardTable
        Current record of the shard.
    call : Callable
        Sends a message to a peer.
    clock : Clock
        Source of time.
    on_stale : Callable
        Called when the standby refused the epoch of this entry.
    """

    def __init__(
        self,
        *,
        shard: str,
        address: str,
        shard_table: ShardTable,
        call: Call,
        clock: Clock,
        on_stale: Callable[[str, int], None],
    ) -> None:
        self._shard = shard
        self._address = address
        self._shard_table = shard_table
        self._call = call
        self._clock = clock
        self._on_stale = on_stale
        self._pending: deque[_Pending] = deque()
        self._last_sequence: dict[str, int] = {}
        # Programs that the current standby has in full.
        self._copied: set[str] = set()
        self._standby = ""
        self._standby_started_ms = 0
        self._sending = asyncio.Lock()
        # Sequence of each program that a planned move has copied.
        self._staged: dict[str, int] = {}
        # Record of the planned move whose copy is complete.
        self.staged_record: ShardRecord | None = None
        self._told_epoch = 0
        self._reset_needed = True
        self._task: asyncio.Task[None] | None = None
        self._closed = False

    def has_copy(self, program_id: str) -> bool:
        """Whether the current standby has the program in full."""
        self._note_pair()
        return not self._standby or program_id in self._copied

    def needs_hello(self) -> bool:
        """Whether the standby has not heard of the current epoch."""
        self._note_pair()
        epoch = self._shard_table.owned_epoch(self._shard)
        return bool(self._standby) and epoch is not None and epoch != self._told_epoch

    async def append(self, state: ProgramState, body: Body) -> None:
        """Add a record of a program and wait until it is acknowledged and applied.

        Raises
        ------
        NotOwnerError
            This entry no longer owns the shard; the record may have been applied.
        """
        last = self._last_sequence.get(state.program_id, state.sequence)
        record = Record(
            program_id=state.program_id,
            sequence=last + 1,
            time_s=self._clock.time_s(),
            body=body,
        )
        self._last_sequence[state.program_id] = record.sequence
        await self._enqueue(state, record)

    async def copy(self, state: ProgramState) -> None:
        """Make sure that the current standby has the program."""
        await self._enqueue(state, None)

    async def hello(self) -> None:
        """Tell the standby the current epoch."""
        await self._enqueue(None, None)

    async def stage(
        self, states: list[ProgramState], record: ShardRecord, *, final: bool
    ) -> bool:
        """Copy programs to the entries of a planned record.

        Parameters
        ----------
        states : list of ProgramState
            All programs of the shard.
        record : ShardRecord
            Record that the move is to put in force.
        final : bool
            Whether commits have stopped; only what changed is then copied.

        Returns
        -------
        bool
            Whether all entries of the record have the copy.
        """
        self.staged_record = None
        if not final:
            self._staged = {}
            return await self._stage(states, record, reset=True)
        # Waits for the batch under way, whose acknowledgement changes programs.
        async with self._sending:
            changed = [
                state
                for state in states
                if self._staged.get(state.program_id) != state.sequence
            ]
            if not await self._stage(changed, record, reset=False):
                return False
            self.staged_record = record
            return True

    async def _stage(
        self, states: list[ProgramState], record: ShardRecord, *, reset: bool
    ) -> bool:
        records = [self._encode_body("", 0, CopyReset())] if reset else []
        for state in states:
            body = Snapshot(state=state)
            records.append(self._encode_body(state.program_id, state.sequence, body))
        staged = {state.program_id: state.sequence for state in states}
        for address in sorted({record.owner, record.standby} - {"", self._address}):
            if not await self._stage_at(address, record, records):
                return False
        self._staged.update(staged)
        return not self._closed

    async def _stage_at(
        self, address: str, staged_record: ShardRecord, records: list[bytes]
    ) -> bool:
        current = known_record(self._shard_table, self._shard)
        if current is None:
            return False
        for start in range(0, len(records), const.STAGED_BATCH_RECORDS):
            batch = records[start : start + const.STAGED_BATCH_RECORDS]
            reply = await self._send(
                address, current.epoch, batch, staged_record=staged_record
            )
            if reply is None or not reply.accepted:
                return False
        return True

    def forget(self, program_id: str) -> None:
        """Drop what is kept about a program that no longer exists."""
        self._copied.discard(program_id)
        self._last_sequence.pop(program_id, None)

    def close(self) -> None:
        """Fail what is pending; the shard is lost."""
        self._closed = True
        self._fail_pending(not_owner(self._shard))

    async def _enqueue(self, state: ProgramState | None, record: Record | None) -> None:
        if self._closed:
            raise not_owner(self._shard)
        done = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(state=state, record=record, done=done))
        if self._task is None:
            self._task = asyncio.create_task(self._send_pending())
        await done

    def _fail_pending(self, error: LentilroadError) -> None:
        while self._pending:
            pending = self._pending.popleft()
            if not pending.done.done():
                pending.done.set_exception(error)

    async def _send_pending(self) -> None:
        try:
            while self._pending:
                async with self._sending:
                    delay_s = await self._send_batch()
                if delay_s:
                    await self._clock.sleep(delay_s)
        finally:
            self._task = None

    async def _send_batch(self) -> float:
        """Send the next batch; return the delay before the following one."""
        pair = self._note_pair()
        epoch = self._shard_table.owned_epoch(self._shard)
        if epoch is None or pair is None:
            # A planned move may be given up; `close` follows if the shard is lost.
            return const.REPLICATE_RETRY_S
        if not self._standby:
            self._acknowledge(len(self._pending))
            return 0.0
        count, records, included = self._encode_batch()
        reply = await self._send(self._standby, epoch, records)
        if self._closed:
            return 0.0
        if reply is None:
            return const.REPLICATE_RETRY_S
        if self._note_pair() != pair:
            # The acknowledgement is of a standby that has been replaced.
            return 0.0
        if reply.accepted:
            self._told_epoch = epoch
            self._reset_needed = False
            self._copied |= included
            self._acknowledge(count)
            return 0.0
        if reply.missing_program_ids:
            self._copied -= set(reply.missing_program_ids)
            return 0.0
        if reply.highest_epoch <= epoch:
            # The standby has not learned its record yet.
            return const.REPLICATE_RETRY_S
        self._refused(epoch, reply.highest_epoch)
        return 0.0

    def _refused(self, epoch: int, highest_epoch: int) -> None:
        current = self._shard_table.owned_epoch(self._shard)
        if current is not None and current > epoch:
            return
        log_message(
            message_type="program:stale_epoch",
            shard=self._shard,
            epoch=epoch,
            highest_epoch=highest_epoch,
        )
        self._on_stale(self._shard, epoch)
        self.close()

    async def _send(
        self,
        address: str,
        epoch: int,
        records: list[bytes],
        *,
        staged_record: ShardRecord | None = None,
    ) -> ReplicateReply | None:
        request = ReplicateRequest(
            shard=self._shard,
            epoch=epoch,
            owner=self._address,
            records=records,
            staged_record=staged_record,
        )
        try:
            return await self._call(
                address, REPLICATE, request, const.REPLICATE_TIMEOUT_S
            )
        except LentilroadError:
            return None

    def _note_pair(self) -> tuple[str, int] | None:
        record = known_record(self._shard_table, self._shard)
        if record is None:
            return None
        standby = (record.standby, record.standby_started_ms)
        if standby != (self._standby, self._standby_started_ms):
            self._standby, self._standby_started_ms = standby
            self._copied = set()
            self._reset_needed = True
            self._told_epoch = 0
        return standby

    def _encode_batch(self) -> tuple[int, list[bytes], set[str]]:
        records: list[bytes] = []
        included: set[str] = set()
        if self._reset_needed:
            records.append(self._encode_body("", 0, CopyReset()))
        size_bytes = 0
        count = 0
        for pending in self._pending:
            if count and (
                size_bytes > const.MAX_BATCH_BYTES or count >= const.MAX_BATCH_RECORDS
            ):
                break
            encoded = self._encode_pending(pending, included)
            size_bytes += sum(len(data) for data in encoded)
            records.extend(encoded)
            count += 1
        return count, records, included

    def _encode_pending(self, pending: _Pending, included: set[str]) -> list[bytes]:
        state = pending.state
        encoded: list[bytes] = []
        if state is None:
            return encoded
        program_id = state.program_id
        opens = pending.record is not None and isinstance(pending.record.body, Opened)
        if program_id not in self._copied and program_id not in included:
            included.add(program_id)
            if not opens:
                body = Snapshot(state=state)
                encoded.append(self._encode_body(program_id, state.sequence, body))
        if pending.record is not None:
            encoded.append(encode_record(pending.record))
        return encoded

    def _encode_body(
        self, program_id: str, sequence: int, body: Snapshot | CopyReset
    ) -> bytes:
        record = Record(
            program_id=program_id,
            sequence=sequence,
            time_s=self._clock.time_s(),
            body=body,
        )
        return encode_record(record)

    def _acknowledge(self, count: int) -> None:
        for _ in range(count):
            pending = self._pending.popleft()
            if pending.state is not None and pending.record is not None:
                apply_record(pending.state, pending.record)
            if not pending.done.done():
                pending.done.set_result(None)
