"""The shard map in the key-value service and at peers."""

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
    PAIR_CALL_TIMEOUT_S,
    SHARD_MAP_KEY_PREFIX,
    WRITE_BACK_MAX_S,
    WRITE_BACK_MIN_S,
    WRITE_FOR_OWNER_AFTER_S,
)
from lentilroad.membership.members import Call, EntryMembership
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

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ShardMap)


class ShardMapStore:
    """Keeps this entry's copy of the map and the service's value in step.

    The service is called for the first load, by the watchers of the region, and
    once for all records that wait to be written; peers pass changes on.
    """

    def __init__(
        self,
        *,
        region: str,
        shard_count: int,
        records: ShardRecords,
        members: EntryMembership,
        key_value: KeyValueStore,
        call: Call,
        clock: Clock,
        random: Random,
    ) -> None:
        self._failed_s: float | None = None
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
        self._wanted = asyncio.Event()
        self._pulls: dict[str, asyncio.Task[None]] = {}

    @property
    def available(self) -> bool:
        """Return whether the service answered lately, as far as this entry tried."""
        if self._failed_s is None:
            return True
        return self._clock.monotonic_s() - self._failed_s > MAP_WATCH_TIMEOUT_S

    def propose(self, shard: str, base: ShardRecord, record: ShardRecord) -> None:
        """Replace the record after `base` by CAS, as soon as possible."""
        waiting = self._proposals.get(shard)
        if waiting is not None and waiting[0] is base:
            return
        self._proposals[shard] = (base, record)
        self._records.proposed[shard] = record
        self._wanted.set()

    def withdraw(self, shard: str, *, owner: str, standby: str) -> None:
        """Give up a waiting proposal for this pair."""
        waiting = self._proposals.get(shard)
        if waiting is None:
            return
        if (waiting[1].owner, waiting[1].standby) == (owner, standby):
            del self._proposals[shard]

    def has_proposal(self, shard: str) -> bool:
        """Return whether a record waits for its CAS."""
        return shard in self._proposals

    def wake(self) -> None:
        """Write what the map does not have yet."""
        region_map = self._records.maps.get(self._region)
        if region_map is None:
            return
        late_s = self._clock.monotonic_s() - WRITE_FOR_OWNER_AFTER_S
        for name, epoch in region_map.epochs.items():
            state = self._records.states[name]
            if state.record.epoch <= epoch:
                continue
            if self._records.owns(state.record) or (
                state.learned_s < late_s and self._records.named(state.record)
            ):
                self._records.unwritten.add(name)
        if self._records.unwritten:
            self._wanted.set()

    def revisions(self) -> dict[str, int]:
        """Return the map revision of each region that this entry has."""
        return {
            region: region_map.revision
            for region, region_map in self._records.maps.items()
        }

    def compare_revisions(self, peer: str, revisions: dict[str, int]) -> None:
        """Pull the maps that a peer has in a later revision."""
        for region, revision in revisions.items():
            if revision > self._revision(region):
                self._start_pull(region, peer)

    def answer_pull(self, request: PullShardMapRequest) -> PullShardMapReply:
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

    async def read_again(self) -> bool:
        """Read the map from the service; return whether it answered."""
        try:
            item = await self._key_value.read(key=self._key)
        except LentilroadError:
            self._failed_s = self._clock.monotonic_s()
            return False
        self._failed_s = None
        if item is not None:
            self._adopt(item)
        return True

    async def load(self) -> None:
        """Load the map from a peer or the service, or assign it, until it is known."""
        while self._revision(self._region) == 0:
            for peer in self._members.alive_entries(self._region):
                if peer != self._records.address and self._revision(self._region) == 0:
                    await self._pull(self._region, peer)
            if self._revision(self._region) == 0 and not await self._load_stored():
                await self._clock.sleep(self._random.uniform(0.5, 1.0))

    async def watch(self) -> None:
        """Follow the map in the service while this entry is one of its watchers."""
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
                self._failed_s = self._clock.monotonic_s()
                await self._clock.sleep(MAP_RETRY_S * self._random.uniform(0.5, 1.0))
                continue
            self._failed_s = None
            if item is not None:
                self._adopt(item)

    async def write(self) -> None:
        """Write waiting records by CAS, all in one value, until cancelled."""
        while True:
            await self._wanted.wait()
            # Records of one membership change gather, and the writers of a region
            # spread out.
            await self._clock.sleep(
                self._random.uniform(WRITE_BACK_MIN_S, WRITE_BACK_MAX_S)
            )
            self._wanted.clear()
            if not await self._write_once():
                self._wanted.set()
                if not self.available:
                    await self._clock.sleep(
                        MAP_RETRY_S * self._random.uniform(0.5, 1.0)
                    )

    async def close(self) -> None:
        """Stop the pulls under way."""
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

    def _adopt(self, item: KeyValueItem) -> None:
        shards = _DECODER.decode(item.value).shards
        self._records.adopt_map(
            self._region,
            item.revision,
            [(shard_name(self._region, i), record) for i, record in enumerate(shards)],
        )

    async def _load_stored(self) -> bool:
        try:
            item = await self._key_value.read(key=self._key)
            self._failed_s = None
            if item is not None:
                self._adopt(item)
                return True
            await self._assign()
        except ConflictError:
            return False
        except UnavailableError:
            self._failed_s = self._clock.monotonic_s()
            return False
        return False

    async def _assign(self) -> None:
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
        """Write everything that waits; return whether nothing waits any more."""
        if not self._proposals and not self._records.unwritten:
            return True
        try:
            item = await self._key_value.read(key=self._key)
            self._failed_s = None
            if item is None:
                return False
            self._adopt(item)
            shards = _DECODER.decode(item.value).shards
            if not self._merge(shards):
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
            self._failed_s = self._clock.monotonic_s()
            return False
        eliot.log_message(message_type="membership:map_written", revision=revision)
        self._adopt(KeyValueItem(key=self._key, value=value, revision=revision))
        self._drop_decided()
        return not self._proposals and not self._records.unwritten

    def _drop_decided(self) -> None:
        for name, (base, _) in list(self._proposals.items()):
            if self._records.states[name].record is not base:
                del self._proposals[name]

    def _merge(self, shards: list[ShardRecord]) -> bool:
        """Put waiting records into the map; return whether that changes it.

        Proposals stay until the map or a peer shows a later record, because the
        answer to the write may be lost.
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
        after = self._revision(region)
        request = PullShardMapRequest(region=region, after_revision=after)
        try:
            reply = await self._call(peer, PULL_SHARD_MAP, request, PAIR_CALL_TIMEOUT_S)
        except LentilroadError:
            return
        if reply.shard_map is not None:
            named = [
                (shard_name(region, index), record)
                for index, record in enumerate(reply.shard_map.shards)
            ]
            self._records.adopt_map(region, reply.revision, named)
        elif reply.revision > after:
            self._records.adopt_map(region, reply.revision, reply.changes.items())
