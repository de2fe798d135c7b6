"""Table of shard owners, and the succession of this entry's shards."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from lentilroad.adapters.key_value import KeyValueStore
from lentilroad.clock import Clock
from lentilroad.errors import UnavailableError
from lentilroad.membership.candidates import RoleCandidates
from lentilroad.membership.const import (
    MAX_PIGGYBACK_RECORDS,
    PAUSE_THRESHOLD_S,
    SHARD_COUNT,
    SOLE_OWNER_PAUSE_S,
    SUCCESSION_TICK_S,
)
from lentilroad.membership.members import EntryMembership, PeerCall
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

_TICKS_PER_HEARTBEAT = 2
_TICKS_PER_RECOVERY = 8


async def _skip_copy(shard: str, record: ShardRecord, final: bool) -> bool:
    return True


def _ignore(*_: object) -> None:
    return


class ShardTable:
    """Records of all shards, and the succession of those this entry has a role in.

    Parameters
    ----------
    address : str
        Address of this entry, "ip:port".
    region : str
        Region of this entry.
    started_ms : int
        Start of this process in Unix milliseconds, as in its `PeerRecord`.
    members : EntryMembership
        Entries of all regions; shard updates are piggybacked on its probes.
    key_value : KeyValueStore
        Service that stores ``shards/<region>``.
    call : callable
        ``call(address, method, request, timeout_s)``.
    clock : Clock
        Source of time.
    random : random.Random
        Source of the jitter.
    on_gained : callable, optional
        ``on_gained(shard, record)`` when this entry becomes the owner.
    on_lost : callable, optional
        ``on_lost(shard)`` when this entry stops being the owner.
    on_changed : callable, optional
        ``on_changed(shard, record)`` when this entry stays the owner under a new
        epoch, with another standby or arbiter.
    copy_shard : callable, optional
        ``await copy_shard(shard, record, final)`` copies the programs of a shard to
        the owner and the standby of `record` before a planned move. Called first
        while commits continue, and again with `final` after commits have stopped.
        Returns False to abort the move.
    shard_count : int, optional
        Number of shards of a region, used when the map is created.
    """

    def __init__(
        self,
        *,
        address: str,
        region: str,
        started_ms: int,
        members: EntryMembership,
        key_value: KeyValueStore,
        call: PeerCall,
        clock: Clock,
        random: Random,
        on_gained: Callable[[str, ShardRecord], None] = _ignore,
        on_lost: Callable[[str], None] = _ignore,
        on_changed: Callable[[str, ShardRecord], None] = _ignore,
        copy_shard: CopyShard = _skip_copy,
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
            map_proposals=self._store,
        )
        self._succession = ShardSuccession(
            records=self._records,
            pairs=self._pairs,
            members=members,
            call=call,
            clock=clock,
            map_proposals=self._store,
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
        self._ownership_unverified = False
        members.add_piggyback(self._fill_probe, self._read_probe)

    def record(self, shard: str) -> ShardRecord:
        """Return the newest record in force of a shard that this entry knows.

        Raises
        ------
        InvalidRequestError
            The shard's name is malformed.
        UnavailableError
            The map of the shard's region is not loaded yet.
        """
        state = self._records.states.get(shard)
        if state is None:
            parse_shard(shard)
            raise UnavailableError(
                f"the record of shard {shard} is not loaded at this entry yet; retry",
                retry_after_ms=500,
            )
        return state.record

    def owner_of(self, program_id: str) -> str:
        """Return the address of the entry that owns a program; see `record`."""
        return self.record(shard_of(program_id)).owner

    def owned_epoch(self, shard: str) -> int | None:
        """Return the epoch under which this entry may commit to the shard, or None."""
        state = self._records.states.get(shard)
        if state is None or state.frozen or not self._records.is_owner(state.record):
            return None
        if not state.record.standby and self._sole_owner_unverified():
            return None
        return state.record.epoch

    def shards_owned(self) -> list[str]:
        """Return the shards to which this entry may commit now."""
        return [
            state.name
            for state in self._records.owned_states()
            if self.owned_epoch(state.name) is not None
        ]

    def accepts(self, shard: str, epoch: int, owner: str) -> bool:
        """Return whether this entry, as standby, accepts the owner's records.

        Must be called for each `ReplicateRequest` before its records are applied.
        """
        return self._records.accepts(shard, epoch, owner)

    def highest_epoch(self, shard: str) -> int:
        """Return the highest known epoch of a shard, or 0 if the shard is unknown."""
        return self._records.highest_epoch(shard)

    def regions(self) -> list[str]:
        """Return the regions whose shard maps are loaded."""
        return sorted(self._records.maps)

    def shards(self, region: str) -> list[str]:
        """Return the shards of a region; empty while its map is not loaded."""
        region_map = self._records.maps.get(region)
        return sorted(region_map.epochs) if region_map else []

    def incomplete_moves(self) -> list[str]:
        """Return shards whose planned move or map write is not complete yet."""
        undecided = (s.name for s in self._records.owned_states() if s.frozen)
        unconfirmed = self._moves.unconfirmed()
        return sorted({*undecided, *unconfirmed, *self._records.unwritten})

    def shards_with_role(self) -> list[str]:
        """Return the shards of all regions in which this entry has a role."""
        return self._records.shards_with_role()

    def shards_without_standby(self) -> list[str]:
        """Return owned shards that have no standby, for ``status``."""
        return [s.name for s in self._records.owned_states() if not s.record.standby]

    async def grant(self, request: GrantRequest) -> GrantReply:
        """Handle `GRANT`."""
        return self._records.grant(request)

    async def pair_heartbeat(self, request: PairHeartbeat) -> PairHeartbeat:
        """Handle `PAIR_HEARTBEAT`."""
        return await self._pairs.receive(request)

    async def pull_shard_map(self, request: PullShardMapRequest) -> PullShardMapReply:
        """Handle `PULL_SHARD_MAP`."""
        return self._store.handle_pull(request)

    async def run(self) -> None:
        """Load and watch the map, and run the succession until cancelled."""
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
            await self._detect_pause()
            ticks += 1
            self._succession.tick()
            if ticks % _TICKS_PER_HEARTBEAT == 0:
                self._succession.heartbeat()
                self._store.schedule_writes()
            if ticks % _TICKS_PER_RECOVERY == 0:
                self._recovery.tick()

    async def _detect_pause(self) -> None:
        now_s = self._clock.monotonic_s()
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if gap_s > SUCCESSION_TICK_S + PAUSE_THRESHOLD_S:
            self._pairs.restart_timers()
            self._recovery.restart_timers()
        if gap_s > SOLE_OWNER_PAUSE_S:
            self._ownership_unverified = True
        if self._ownership_unverified and await self._store.refresh():
            self._ownership_unverified = False

    def _sole_owner_unverified(self) -> bool:
        """Return whether this sole owner may have been replaced during a pause."""
        if self._ownership_unverified:
            return True
        return self._clock.monotonic_s() - self._last_tick_s > SOLE_OWNER_PAUSE_S

    def _fill_probe(self, message: PingRequest | PingReply, everything: bool) -> None:
        message.shard_map_revisions = self._store.revisions()
        message.shards = self._records.next_updates(MAX_PIGGYBACK_RECORDS)

    def _read_probe(self, sender: str, message: PingRequest | PingReply) -> None:
        for shard, record in message.shards.items():
            self._records.merge(shard, record)
        self._store.compare_revisions(sender, message.shard_map_revisions)
