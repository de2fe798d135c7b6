"""What the programs need to know about shards."""

from __future__ import annotations

from typing import Protocol

from lentilroad.errors import LentilroadError, NotOwnerError
from lentilroad.program import const
from lentilroad.wire.messages import ShardRecord


class ShardTable(Protocol):
    """What this package needs to know about shards."""

    def record(self, shard: str) -> ShardRecord:
        """Return the newest record in force; raise while it is not known."""
        ...

    def accepts(self, shard: str, epoch: int, owner: str) -> bool:
        """Return whether this entry, as standby, takes the owner's records."""
        ...

    def owned_epoch(self, shard: str) -> int | None:
        """Return the epoch if this entry owns the shard and may commit."""
        ...


def known_record(shard_table: ShardTable, shard: str) -> ShardRecord | None:
    """Return the record in force, or None while it is not known."""
    try:
        return shard_table.record(shard)
    except LentilroadError:
        return None


def not_owner(shard: str) -> NotOwnerError:
    """Return the error for a shard that this entry does not own."""
    return NotOwnerError(
        f"this entry does not own shard {shard}; look its owner up again",
        retry_after_ms=const.NOT_OWNER_RETRY_AFTER_MS,
    )
