"""Programs of the shards that this entry owns."""

from __future__ import annotations

from collections.abc import Callable

from eliot import log_message

from lentilroad.clock import Clock
from lentilroad.errors import NotFoundError
from lentilroad.program.budget import Account
from lentilroad.program.records import ProgramState
from lentilroad.program.replication import Call, ShardReplicator
from lentilroad.program.shard_access import ShardTable, known_record, not_owner
from lentilroad.program.standby import ProgramStandby
from lentilroad.program.turns import Program, open_reservation
from lentilroad.wire.messages import ShardRecord


class OwnedShards:
    """Programs by shard, from the moment a shard is gained until it is lost.

    Parameters
    ----------
    address : str
        Address of this entry.
    shard_table : ShardTable
        Says which shards this entry owns.
    standby : ProgramStandby
        Copies that become owned programs.
    call : Callable
        Sends records to standbys.
    shard_of : Callable
        Return the shard of a program id.
    clock : Clock
        Source of time.
    on_adopted : Callable
        Called with the programs of a gained shard.
    """

    def __init__(
        self,
        *,
        address: str,
        shard_table: ShardTable,
        standby: ProgramStandby,
        call: Call,
        shard_of: Callable[[str], str],
        clock: Clock,
        on_adopted: Callable[[str, list[Program]], None],
    ) -> None:
        self._address = address
        self._shard_table = shard_table
        self._standby = standby
        self._call = call
        self._shard_of = shard_of
        self._clock = clock
        self._on_adopted = on_adopted
        self._programs: dict[str, dict[str, Program]] = {}
        self._replicators: dict[str, ShardReplicator] = {}
        # Epochs that a standby or a sidecar refused, by shard.
        self._stale_epochs: dict[str, int] = {}

    def shards(self) -> list[str]:
        """Return the shards whose programs are held."""
        return list(self._programs)

    def programs(self, shard: str) -> dict[str, Program]:
        """Return the programs of a shard by id."""
        return self._programs.get(shard, {})

    def owned_shard(self, program_id: str) -> str:
        """Return the shard of a program.

        Raises
        ------
        NotOwnerError
            This entry does not own it.
        """
        shard = self._shard_of(program_id)
        epoch = self._shard_table.owned_epoch(shard)
        if epoch is None or epoch <= self._stale_epochs.get(shard, -1):
            raise not_owner(shard)
        if shard not in self._programs:
            self.on_gained(shard, self._shard_table.record(shard))
        return shard

    def find(self, shard: str, program_id: str, caller_id: str) -> Program:
        """Return a caller's program.

        Raises
        ------
        NotFoundError
            There is none, or it belongs to another caller.
        """
        program = self.programs(shard).get(program_id)
        if program is None or program.state.caller_id != caller_id:
            log_message(
                message_type="program:not_found",
                program_id=program_id,
                epoch=self._shard_table.owned_epoch(shard),
                programs=len(self.programs(shard)),
            )
            raise NotFoundError(
                f"program {program_id} does not exist; open it, or check its id"
            )
        return program

    def add(self, state: ProgramState, parent: Program | None) -> Program:
        """Add a new program."""
        program = _program(state)
        _link(program, parent)
        self._programs[state.shard][state.program_id] = program
        return program

    def remove(self, program: Program) -> None:
        """Drop a program without waiting for anything."""
        state = program.state
        self.programs(state.shard).pop(state.program_id, None)
        if program.parent is not None and program in program.parent.children:
            program.parent.children.remove(program)
        replicator = self._replicators.get(state.shard)
        if replicator is not None:
            replicator.forget(state.program_id)

    def replicator(self, shard: str) -> ShardReplicator:
        """Return the stream to the shard's standby.

        Raises
        ------
        NotOwnerError
            The shard was lost.
        """
        if shard not in self._programs:
            raise not_owner(shard)
        replicator = self._replicators.get(shard)
        if replicator is None:
            replicator = ShardReplicator(
                shard=shard,
                address=self._address,
                shard_table=self._shard_table,
                call=self._call,
                clock=self._clock,
                on_stale=self.drop_stale,
            )
            self._replicators[shard] = replicator
        return replicator

    def on_gained(self, shard: str, record: ShardRecord) -> None:
        """Make the copies of a shard owned programs."""
        if shard in self._programs or record.epoch <= self._stale_epochs.get(shard, -1):
            return
        programs = {
            state.program_id: _program(state)
            for state in self._standby.take(shard, record)
        }
        for program in programs.values():
            _link(program, programs.get(program.state.parent_program_id or ""))
        for program in programs.values():
            state = program.state
            program.account.restore(spent=state.spent, reserved=open_reservation(state))
        self._programs[shard] = programs
        log_message(
            message_type="program:shard_gained",
            shard=shard,
            epoch=record.epoch,
            programs=len(programs),
        )
        self._on_adopted(shard, list(programs.values()))

    def on_changed(self, shard: str, record: ShardRecord) -> None:
        """Replace the programs if another entry owned the shard in between."""
        if self._standby.has_staged(shard, record):
            self.on_lost(shard)
            self.on_gained(shard, record)

    def on_lost(self, shard: str) -> None:
        """Drop the programs of a shard; their calls go on at the sidecars."""
        programs = self._programs.pop(shard, {})
        replicator = self._replicators.pop(shard, None)
        if replicator is not None:
            replicator.close()
            self._keep_as_copy(shard, replicator, programs)
        for program in programs.values():
            for run in program.runs.values():
                run.abort(not_owner(shard))
        if programs:
            log_message(
                message_type="program:shard_lost", shard=shard, programs=len(programs)
            )

    def _keep_as_copy(
        self, shard: str, replicator: ShardReplicator, programs: dict[str, Program]
    ) -> None:
        """Keep the programs as the standby of the record that a move put in force."""
        record = known_record(self._shard_table, shard)
        if record is None or record != replicator.staged_record:
            return
        if record.standby == self._address:
            states = [program.state for program in programs.values()]
            self._standby.keep(shard, record, states)

    def drop_stale(self, shard: str, epoch: int) -> None:
        """Drop a shard because a peer knows an epoch above `epoch`."""
        current = self._shard_table.owned_epoch(shard)
        if current is not None and current > epoch:
            return
        self._stale_epochs[shard] = epoch
        self.on_lost(shard)


def _program(state: ProgramState) -> Program:
    return Program(state=state, account=Account(budget=state.budget))


def _link(program: Program, parent: Program | None) -> None:
    if parent is None:
        return
    program.parent = parent
    program.account.parent = parent.account
    parent.children.append(program)
