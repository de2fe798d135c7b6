"""Synchronization of the shard map with the key-value service and peers."""

from __future__ import annotations

import asyncio
from random import Random

import eliot
import msgspec

from lentilroad.adapters.key_value import KeyValueItem, KeyValueStore
from lentilroad.clock import Clock
from lentilroad.errors import ConflictError, LentilroadError, UnavailableError
from lentilroad.membership.const import (
    MAP_RETRY_S,
    MAP_WATCH_ENTRIES,
    MAP_WATCH_TIMEOUT_S,
    MAP_WRITE_DELAY_MAX_S,
    MAP_WRITE_DELAY_MIN_S,
    PAIR_CALL_TIMEOUT_S,
    SHARD_MAP_KEY_PREFIX,
    WRITE_FOR_OWNER_AFTER_S,
)
from lentilroad.membership.members import EntryMembership, PeerCall
from lentilroad.membership.placement import desired_record
from lentilroad.membership.program_id import parse_shard, shard_name
from lentilroad.membership.rendezvous import rank
from lentilroad.membership.shard_state import ShardRecords
from lentilroad.wire.messages import (
    PullShardMapReply,
    PullShardMapRequest,
    ShardMap,
    ShardRecord,
)
from lentilroad.wire.services import PULL_SHARD_MAP
from lentilroad.wire.untrusted import DECODING_ERRORS

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ShardMap)


class ShardMapStore:
    """Synchronizes this entry's copy of the shard map with the key-value service.

    The service is called for the first load, by the region's watchers, and in one
    batch for all pending records. Other entries receive changes from their peers.
    """

    def __init__(
        self,
        *,
        region: str,
        shard_count: int,
        records: ShardRecords,
        members: EntryMembership,
        key_value: KeyValueStore,
        call: PeerCall,
        clock: Clock,
        random: Random,
    ) -> None:
        self._last_failure_s: float | None = None
        self._region = region
        self._key = SHARD_MAP_KEY_PREFIX + region
        self._shard_count = shard_count
        self._records = records
        self._members = members
        self._key_value = key_value
        self._call = call
        self._clock = clock
        self._random = random
        self._proposals: dict[str, tuple[ShardRecord, ShardRecord]] = {}
        self._write_requested = asyncio.Event()
        self._pulls: dict[str, asyncio.Task[None]] = {}

    @property
    def available(self) -> bool:
        """Return whether no recent call to the service has failed."""
        if self._last_failure_s is None:
            return True
        return self._clock.monotonic_s() - self._last_failure_s > MAP_WATCH_TIMEOUT_S

    def propose(self, shard: str, base: ShardRecord, record: ShardRecord) -> None:
        """Replace `base` by `record` with a CAS, as soon as possible."""
        pending = self._proposals.get(shard)
        if pending is not None and pending[0] is base:
            return
        self._proposals[shard] = (base, record)
        self._records.proposed[shard] = record
        self._write_requested.set()

    def withdraw(self, shard: str, *, owner: str, standby: str) -> None:
        """Withdraw a pending proposal for this owner and standby."""
        pending = self._proposals.get(shard)
        if pending is None:
            return
        if (pending[1].owner, pending[1].standby) == (owner, standby):
            del self._proposals[shard]

    def has_proposal(self, shard: str) -> bool:
        """Return whether a proposal for the shard is pending."""
        return shard in self._proposals

    def schedule_writes(self) -> None:
        """Request a write of the records that the map lacks."""
        region_map = self._records.maps.get(self._region)
        if region_map is None:
            return
        overdue_before_s = self._clock.monotonic_s() - WRITE_FOR_OWNER_AFTER_S
        for name, epoch in region_map.epochs.items():
            state = self._records.states[name]
            if state.record.epoch <= epoch:
                continue
            if self._records.is_owner(state.record) or (
                state.updated_s < overdue_before_s
                and self._records.has_role(state.record)
            ):
                self._records.unwritten.add(name)
        if self._records.unwritten:
            self._write_requested.set()

    def revisions(self) -> dict[str, int]:
        """Return the revision of each region's map at this entry."""
        return {
            region: region_map.revision
            for region, region_map in self._records.maps.items()
        }

    def compare_revisions(self, peer: str, revisions: dict[str, int]) -> None:
        """Pull the maps of which a peer has a later revision."""
        for region, revision in revisions.items():
            if revision > self._revision(region):
                self._start_pull(region, peer)

    def handle_pull(self, request: PullShardMapRequest) -> PullShardMapReply:
        """Handle `PULL_SHARD_MAP`."""
        revision = self._revision(request.region)
        if revision == 0:
            return PullShardMapReply()
        if request.after_revision > 0:
            changes = self._records.changed_after(
                request.region, request.after_revision
            )
            return PullShardMapReply(changes=changes, revision=revision)
        shards = self._records.map_records(request.region)
        return PullShardMapReply(
            shard_map=ShardMap(region=request.region, revision=revision, shards=shards),
            revision=revision,
        )

    async def refresh(self) -> bool:
        """Read the map from the service; return whether the service answered."""
        try:
            item = await self._key_value.read(key=self._key)
        except LentilroadError:
            self._last_failure_s = self._clock.monotonic_s()
            return False
        self._last_failure_s = None
        if item is not None:
            self._merge_stored(item)
        return True

    async def load(self) -> None:
        """Load the map from a peer or the service, or create it; retry until loaded."""
        while self._revision(self._region) == 0:
            for peer in self._members.alive_entries(self._region):
                if peer != self._records.address and self._revision(self._region) == 0:
                    await self._pull(self._region, peer)
            if (
                self._revision(self._region) == 0
                and not await self._load_from_service()
            ):
                await self._clock.sleep(self._random.uniform(0.5, 1.0))

    async def watch(self) -> None:
        """Watch the map in the service while this entry is one of the watchers."""
        while True:
            if not self._is_watcher():
                await self._clock.sleep(1.0)
                continue
            try:
                item = await self._key_value.watch(
                    key=self._key,
                    after_revision=self._revision(self._region),
                    timeout_s=MAP_WATCH_TIMEOUT_S,
                )
            except LentilroadError:
                self._last_failure_s = self._clock.monotonic_s()
                await self._clock.sleep(MAP_RETRY_S * self._random.uniform(0.5, 1.0))
                continue
            self._last_failure_s = None
            if item is not None:
                self._merge_stored(item)

    async def write(self) -> None:
        """Write pending records with a CAS of the whole map until cancelled."""
        while True:
            await self._write_requested.wait()
            # The delay batches the records of one membership change and spreads the
            # writers of a region.
            await self._clock.sleep(
                self._random.uniform(MAP_WRITE_DELAY_MIN_S, MAP_WRITE_DELAY_MAX_S)
            )
            self._write_requested.clear()
            if not await self._write_once():
                self._write_requested.set()
                if not self.available:
                    await self._clock.sleep(
                        MAP_RETRY_S * self._random.uniform(0.5, 1.0)
                    )

    async def close(self) -> None:
        """Cancel the pulls in flight."""
        tasks = list(self._pulls.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _revision(self, region: str) -> int:
        region_map = self._records.maps.get(region)
        return region_map.revision if region_map else 0

    def _is_watcher(self) -> bool:
        entries = self._members.alive_entries(self._region)
        watchers = rank(f"watch/{self._region}", entries)[:MAP_WATCH_ENTRIES]
        return self._records.address in watchers

    def _merge_stored(self, item: KeyValueItem) -> None:
        shards = _decode_shards(item)
        self._records.merge_map(
            self._region,
            item.revision,
            [(shard_name(self._region, i), record) for i, record in enumerate(shards)],
        )

    async def _load_from_service(self) -> bool:
        try:
            item = await self._key_value.read(key=self._key)
            self._last_failure_s = None
            if item is not None:
                self._merge_stored(item)
                return True
            await self._create_map()
        except ConflictError:
            return False
        except UnavailableError:
            self._last_failure_s = self._clock.monotonic_s()
            return False
        return False

    async def _create_map(self) -> None:
        entries = self._members.alive_entries(self._region)
        if not entries:
            return
        shards = [
            desired_record(
                shard_name(self._region, index),
                entries,
                epoch=1,
                peer_of=self._members.peer,
            )
            for index in range(self._shard_count)
        ]
        value = _ENCODER.encode(
            ShardMap(region=self._region, revision=0, shards=shards)
        )
        await self._key_value.compare_and_swap(
            key=self._key, value=value, expected_revision=0
        )

    async def _write_once(self) -> bool:
        """Write all pending records; return whether none is left."""
        if not self._proposals and not self._records.unwritten:
            return True
        try:
            item = await self._key_value.read(key=self._key)
            self._last_failure_s = None
            if item is None:
                return False
            self._merge_stored(item)
            shards = _decode_shards(item)
            if not self._apply_pending(shards):
                return True
            value = _ENCODER.encode(
                ShardMap(region=self._region, revision=0, shards=shards)
            )
            revision = await self._key_value.compare_and_swap(
                key=self._key, value=value, expected_revision=item.revision
            )
        except ConflictError:
            return False
        except UnavailableError:
            self._last_failure_s = self._clock.monotonic_s()
            return False
        eliot.log_message(message_type="membership:map_written", revision=revision)
        self._merge_stored(KeyValueItem(key=self._key, value=value, revision=revision))
        self._drop_decided_proposals()
        return not self._proposals and not self._records.unwritten

    def _drop_decided_proposals(self) -> None:
        for name, (base, _) in list(self._proposals.items()):
            if self._records.states[name].record is not base:
                del self._proposals[name]

    def _apply_pending(self, shards: list[ShardRecord]) -> bool:
        """Put the pending records into the map; return whether the map changed.

        Proposals remain pending until the map or a peer shows a later record, because
        the reply to the write may be lost.
        """
        changed = False
        for name in {*self._proposals, *self._records.unwritten}:
            index = parse_shard(name)[1]
            state = self._records.states[name]
            base, record = self._proposals.get(name, (None, state.record))
            if base is not None and base is not state.record:
                del self._proposals[name]
                record = state.record
            if record.epoch > shards[index].epoch:
                shards[index] = record
                changed = True
            elif base is not None:
                self._proposals.pop(name, None)
        return changed

    def _start_pull(self, region: str, peer: str) -> None:
        task = self._pulls.get(region)
        if task is None or task.done():
            self._pulls[region] = asyncio.create_task(self._pull(region, peer))

    async def _pull(self, region: str, peer: str) -> None:
        after_revision = self._revision(region)
        request = PullShardMapRequest(region=region, after_revision=after_revision)
        try:
            reply = await self._call(peer, PULL_SHARD_MAP, request, PAIR_CALL_TIMEOUT_S)
        except LentilroadError:
            return
        if reply.shard_map is not None:
            named = [
                (shard_name(region, index), record)
                for index, record in enumerate(reply.shard_map.shards)
            ]
            self._records.merge_map(region, reply.revision, named)
        elif reply.revision > after_revision:
            self._records.merge_map(region, reply.revision, reply.changes.items())


def _decode_shards(item: KeyValueItem) -> list[ShardRecord]:
    try:
        return _DECODER.decode(item.value).shards
    except DECODING_ERRORS as error:
        raise UnavailableError(
            f"the stored shard map of revision {item.revision} cannot be read "
            f"({error}); restore it from an entry"
        ) from error
