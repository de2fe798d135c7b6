"""Shard map of this region and who owns its shards."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import msgspec

from lentilroad.adapters.key_value import KeyValueStore
from lentilroad.clock import Clock
from lentilroad.errors import ConflictError, NotFoundError, UnavailableError
from lentilroad.membership.const import SHARD_COUNT, SHARD_MAP_KEY_PREFIX
from lentilroad.membership.members import Members
from lentilroad.membership.program_id import parse_shard, shard_name, shard_of
from lentilroad.membership.rendezvous import rank
from lentilroad.wire.messages import (
    GrantReply,
    GrantRequest,
    PairHeartbeat,
    PullShardMapReply,
    PullShardMapRequest,
    ShardMap,
    ShardRecord,
)
from lentilroad.wire.services import Method

Call = Callable[[str, Method, Any, float | None], Awaitable[Any]]
CopyShard = Callable[[str, ShardRecord, bool], Awaitable[bool]]


async def _copy_nothing(shard: str, record: ShardRecord, final: bool) -> bool:
    return True


class ShardTable:
    """Records of all shards, and the succession of those that name this entry."""

    def __init__(
        self,
        *,
        address: str,
        region: str,
        started_ms: int,
        members: Members,
        key_value: KeyValueStore,
        call: Call,
        clock: Clock,
        random: Random,
        on_gained: Callable[[str, ShardRecord], None] = lambda shard, record: None,
        on_lost: Callable[[str], None] = lambda shard: None,
        copy_shard: CopyShard = _copy_nothing,
        shard_count: int = SHARD_COUNT,
    ) -> None:
        self._address = address
        self._region = region
        self._started_ms = started_ms
        self._members = members
        self._key_value = key_value
        self._call = call
        self._clock = clock
        self._random = random
        self._on_gained = on_gained
        self._on_lost = on_lost
        self._copy_shard = copy_shard
        self._shard_count = shard_count
        self._records: dict[str, ShardRecord] = {}
        self._revision = 0

    def record(self, shard: str) -> ShardRecord:
        """Return the newest known record of a shard."""
        found = self._records.get(shard)
        if found is None:
            parse_shard(shard)
            raise UnavailableError(f"the map of shard {shard} is not loaded; retry")
        return found

    def owner_of(self, program_id: str) -> str:
        """Return the address of the entry that owns a program."""
        return self.record(shard_of(program_id)).owner

    def my_epoch(self, shard: str) -> int | None:
        """Return the epoch under which this entry owns the shard now, or None."""
        found = self._records.get(shard)
        if found is None or found.owner != self._address:
            return None
        return found.epoch

    def shards_owned(self) -> list[str]:
        """Return the shards that this entry owns now."""
        return [s for s in self._records if self.my_epoch(s) is not None]

    def accepts(self, shard: str, epoch: int, owner: str) -> bool:
        """Return whether this entry, as standby, takes the owner's records."""
        found = self._records.get(shard)
        if found is None:
            return False
        return (found.epoch, found.owner, found.standby) == (
            epoch,
            owner,
            self._address,
        )

    def highest_epoch(self, shard: str) -> int:
        """Return the highest epoch known of a shard; 0 when unknown."""
        found = self._records.get(shard)
        return found.epoch if found else 0

    async def grant(self, request: GrantRequest) -> GrantReply:
        """Handle `GRANT`."""
        return GrantReply(granted=False, highest=self._records.get(request.shard))

    async def pair_heartbeat(self, request: PairHeartbeat) -> PairHeartbeat:
        """Handle `PAIR_HEARTBEAT`."""
        return PairHeartbeat(sender=self._address, incarnation=self._started_ms)

    async def pull_shard_map(self, request: PullShardMapRequest) -> PullShardMapReply:
        """Handle `PULL_SHARD_MAP`."""
        if request.region != self._region or not self._records:
            return PullShardMapReply()
        shards = [
            self._records[shard_name(self._region, index)]
            for index in range(len(self._records))
        ]
        return PullShardMapReply(
            shard_map=ShardMap(
                region=self._region, revision=self._revision, shards=shards
            )
        )

    async def run(self) -> None:
        """Load the map, or assign it, and follow its changes until cancelled."""
        key = SHARD_MAP_KEY_PREFIX + self._region
        while True:
            try:
                item = await self._key_value.read(key=key)
                if item is None:
                    await self._assign(key)
                    continue
                self._adopt(item.revision, msgspec.msgpack.decode(item.value))
                await self._key_value.watch(
                    key=key, after_revision=self._revision, timeout_s=30.0
                )
            except (UnavailableError, ConflictError, NotFoundError):
                await self._clock.sleep(1.0)

    async def _assign(self, key: str) -> None:
        entries = self._members.alive_entries(self._region)
        shards = []
        for index in range(self._shard_count):
            ranked = rank(shard_name(self._region, index), entries) + ["", "", ""]
            owner, standby, arbiter = ranked[:3]
            shards.append(
                ShardRecord(epoch=1, owner=owner, standby=standby, arbiter=arbiter)
            )
        value = msgspec.msgpack.encode(
            ShardMap(region=self._region, revision=0, shards=shards)
        )
        await self._key_value.compare_and_swap(
            key=key, value=value, expected_revision=0
        )

    def _adopt(self, revision: int, decoded: Any) -> None:
        shard_map = msgspec.convert(decoded, ShardMap)
        self._revision = revision
        for index, record in enumerate(shard_map.shards):
            self._learn(shard_name(self._region, index), record)

    def _learn(self, shard: str, record: ShardRecord) -> None:
        known = self._records.get(shard)
        if known is not None and known.epoch >= record.epoch:
            return
        was_owner = self.my_epoch(shard) is not None
        self._records[shard] = record
        if record.owner == self._address:
            self._on_gained(shard, record)
        elif was_owner:
            self._on_lost(shard)
