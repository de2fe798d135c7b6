"""Shard table: who owns each shard, and the succession of this entry's shards."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from lentilroad.adapters.key_value import KeyValueStore
from lentilroad.clock import Clock
from lentilroad.errors import UnavailableError
from lentilroad.membership.candidates import RoleCandidates
from lentilroad.membership.const import (
    PAUSE_GAP_S,
    PIGGYBACK_RECORDS,
    SHARD_COUNT,
    SOLE_OWNER_PAUSE_S,
    SUCCESSION_TICK_S,
)
from lentilroad.membership.members import Call, EntryMembership
from lentilroad.membership.moves import CopyShard, ShardRebalancer
from lentilroad.membership.pairs import PairHeartbeats
from lentilroad.membership.program_id import parse_shard, shard_of
from lentilroad.membership.recovery import ShardRecovery
from lentilroad.membership.shard_state import ShardRecords
from lentilroad.membership.shard_store import ShardMapStore
from lentilroad.membership.succession import ShardSuccession
from lentilroad.wire.messages import (
    GrantReply,
    GrantRequest,
    PairHeartbeat,
    PingReply,
    PingRequest,
    PullShardMapReply,
    PullShardMapRequest,
    ShardRecord,
)

_HEARTBEAT_TICKS = 2
_RECOVERY_TICKS = 8


async def _copy_nothing(shard: str, record: ShardRecord, final: bool) -> bool:
    return True


def _ignore(*_: object) -> None:
    return


class ShardTable:
    """Records of all shards, and the succession of those that name this entry.

    Parameters
    ----------
    address : str
        Address of this entry, "ip:port".
    region : str
        Region of this entry.
    started_ms : int
        Start of this process in Unix milliseconds, as in its `PeerRecord`.
    members : EntryMembership
        Entries of all regions; the table adds its changes to their probes.
    key_value : KeyValueStore
        Service that holds ``shards/<region>``.
    call : callable
        ``call(address, method, request, timeout_s)``.
    clock : Clock
        Source of time.
    random : random.Random
        Source of the jitter.
    on_gained : callable, optional
        ``on_gained(shard, record)`` when this entry becomes the owner.
    on_lost : callable, optional
        ``on_lost(shard)`` when it no longer is.
    on_changed : callable, optional
        ``on_changed(shard, record)`` when it stays the owner under a new epoch, with
        another standby or arbiter.
    copy_shard : callable, optional
        ``await copy_shard(shard, record, final)`` copies the programs of a shard to
        the owner and the standby of `record` before a planned move; called once
        while commits go on and once more, with `final`, after they have stopped.
        Returns False to give the move up.
    shard_count : int, optional
        Shards of a region; takes effect when the map is first written.
    """

    def __init__(
        self,
        *,
        address: str,
        region: str,
        started_ms: int,
        members: EntryMembership,
        key_value: KeyValueStore,
        call: Call,
        clock: Clock,
        random: Random,
        on_gained: Callable[[str, ShardRecord], None] = _ignore,
        on_lost: Callable[[str], None] = _ignore,
        on_changed: Callable[[str, ShardRecord], None] = _ignore,
        copy_shard: CopyShard = _copy_nothing,
        shard_count: int = SHARD_COUNT,
    ) -> None:
        self._clock = clock
        self._members = members
        self._records = ShardRecords(
            address=address,
            started_ms=started_ms,
            clock=clock,
            on_gained=on_gained,
            on_lost=on_lost,
            on_changed=on_changed,
            process_ended=members.process_ended,
        )
        self._pairs = PairHeartbeats(records=self._records, call=call, clock=clock)
        self._store = ShardMapStore(
            region=region,
            shard_count=shard_count,
            records=self._records,
            members=members,
            key_value=key_value,
            call=call,
            clock=clock,
            random=random,
        )
        candidates = RoleCandidates(
            region=region, records=self._records, pairs=self._pairs, members=members
        )
        self._recovery = ShardRecovery(
            region=region,
            records=self._records,
            members=members,
            candidates=candidates,
            clock=clock,
            map_changes=self._store,
        )
        self._succession = ShardSuccession(
            records=self._records,
            pairs=self._pairs,
            members=members,
            call=call,
            clock=clock,
            map_changes=self._store,
            candidates=candidates,
        )
        self._moves = ShardRebalancer(
            region=region,
            records=self._records,
            members=members,
            succession=self._succession,
            store=self._store,
            pairs=self._pairs,
            clock=clock,
            copy_shard=copy_shard,
        )
        self._last_tick_s = clock.monotonic_s()
        self._unverified = False
        members.add_piggyback(self._fill, self._read)

    def record(self, shard: str) -> ShardRecord:
        """Return the newest record of a shard that is known to be in force.

        Raises
        ------
        InvalidRequestError
            The shard's name is malformed.
        UnavailableError
            The map of its region is not loaded yet.
        """
        state = self._records.states.get(shard)
        if state is None:
            parse_shard(shard)
            raise UnavailableError(
                f"the record of shard {shard} is not known here; retry",
                retry_after_ms=500,
            )
        return state.record

    def owner_of(self, program_id: str) -> str:
        """Return the address of the entry that owns a program; see `record`."""
        return self.record(shard_of(program_id)).owner

    def owned_epoch(self, shard: str) -> int | None:
        """Return the epoch under which this entry owns the shard now, or None."""
        state = self._records.states.get(shard)
        if state is None or state.frozen or not self._records.owns(state.record):
            return None
        if not state.record.standby and self._sole_owner_in_doubt():
            return None
        return state.record.epoch

    def shards_owned(self) -> list[str]:
        """Return the shards that this entry owns now."""
        return [
            state.name
            for state in self._records.owned()
            if self.owned_epoch(state.name) is not None
        ]

    def accepts(self, shard: str, epoch: int, owner: str) -> bool:
        """Return whether this entry, as standby, takes the owner's records.

        Call it for each `ReplicateRequest`, before the records are applied.
        """
        return self._records.accepts(shard, epoch, owner)

    def highest_epoch(self, shard: str) -> int:
        """Return the highest epoch known of a shard; 0 when it is unknown."""
        return self._records.highest_epoch(shard)

    def regions(self) -> list[str]:
        """Return the regions whose maps are loaded."""
        return sorted(self._records.maps)

    def shards(self, region: str) -> list[str]:
        """Return the names of a region's shards; empty while its map is not loaded."""
        region_map = self._records.maps.get(region)
        return sorted(region_map.epochs) if region_map else []

    def incomplete_moves(self) -> list[str]:
        """Return shards whose move to another owner is not complete yet."""
        undecided = (s.name for s in self._records.owned() if s.frozen)
        unconfirmed = self._moves.unconfirmed()
        return sorted({*undecided, *unconfirmed, *self._records.unwritten})

    def shards_with_role(self) -> list[str]:
        """Return the shards of all regions whose record names this entry."""
        return self._records.shards_with_role()

    def shards_without_standby(self) -> list[str]:
        """Return owned shards that commit alone, for ``status``."""
        return [s.name for s in self._records.owned() if not s.record.standby]

    async def grant(self, request: GrantRequest) -> GrantReply:
        """Handle `GRANT`."""
        return self._records.grant(request)

    async def pair_heartbeat(self, request: PairHeartbeat) -> PairHeartbeat:
        """Handle `PAIR_HEARTBEAT`."""
        return await self._pairs.receive(request)

    async def pull_shard_map(self, request: PullShardMapRequest) -> PullShardMapReply:
        """Handle `PULL_SHARD_MAP`."""
        return self._store.answer_pull(request)

    async def run(self) -> None:
        """Load the map, follow it and serve the succession until cancelled."""
        self._last_tick_s = self._clock.monotonic_s()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_ticks())
                group.create_task(self._run_map())
                group.create_task(self._store.write())
                group.create_task(self._moves.run())
        finally:
            await self._succession.close()
            await self._pairs.close()
            await self._store.close()

    async def _run_map(self) -> None:
        await self._store.load()
        await self._store.watch()

    async def _run_ticks(self) -> None:
        ticks = 0
        while True:
            await self._clock.sleep(SUCCESSION_TICK_S)
            await self._note_pause()
            ticks += 1
            self._succession.tick()
            if ticks % _HEARTBEAT_TICKS == 0:
                self._succession.heartbeat()
                self._store.wake()
            if ticks % _RECOVERY_TICKS == 0:
                self._recovery.tick()

    async def _note_pause(self) -> None:
        now_s = self._clock.monotonic_s()
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if gap_s > SUCCESSION_TICK_S + PAUSE_GAP_S:
            self._pairs.restart_timers()
            self._recovery.restart_timers()
        if gap_s > SOLE_OWNER_PAUSE_S:
            self._unverified = True
        if self._unverified and await self._store.read_again():
            self._unverified = False

    def _sole_owner_in_doubt(self) -> bool:
        """Return whether a pause may have let others replace this sole owner."""
        if self._unverified:
            return True
        return self._clock.monotonic_s() - self._last_tick_s > SOLE_OWNER_PAUSE_S

    def _fill(self, message: PingRequest | PingReply, everything: bool) -> None:
        message.shard_map_revisions = self._store.revisions()
        message.shards = self._records.take_updates(PIGGYBACK_RECORDS)

    def _read(self, sender: str, message: PingRequest | PingReply) -> None:
        for shard, record in message.shards.items():
            self._records.merge(shard, record)
        self._store.compare_revisions(sender, message.shard_map_revisions)
