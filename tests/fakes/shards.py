"""Shard table with records that the test sets."""

from __future__ import annotations

from lentilroad.errors import UnavailableError
from lentilroad.wire.messages import ShardRecord


class FakeShardTable:
    """Shard table of one entry; `set_record` replaces a record."""

    def __init__(self, address):
        self.address = address
        self.on_gained = lambda shard, record: None
        self.on_lost = lambda shard: None
        self.on_changed = lambda shard, record: None
        self.frozen = False
        self._records = {}

    def record(self, shard):
        """Return the newest record."""
        if shard not in self._records:
            raise UnavailableError(f"the record of shard {shard} is not set; retry")
        return self._records[shard]

    def accepts(self, shard, epoch, owner):
        """Return whether this entry is the standby of the owner's epoch."""
        record = self._records.get(shard)
        if record is None:
            return False
        named = (record.epoch, record.owner, record.standby)
        return named == (epoch, owner, self.address)

    def owned_epoch(self, shard):
        """Return the epoch if this entry is the owner."""
        record = self._records.get(shard)
        if record is None or record.owner != self.address or self.frozen:
            return None
        return record.epoch

    def set_record(self, shard, record: ShardRecord):
        """Replace a record and call the matching callback."""
        before = self.owned_epoch(shard)
        self._records[shard] = record
        after = self.owned_epoch(shard)
        if before is not None and after is not None:
            self.on_changed(shard, record)
        if before is None and after is not None:
            self.on_gained(shard, record)
        if before is not None and after is None:
            self.on_lost(shard)
