"""Entries that can take a role of a shard, and entries that have lost theirs."""

from __future__ import annotations

from typing import Protocol

from lentilroad.membership.const import RECOVERY_AFTER_S
from lentilroad.membership.members import EntryMembership
from lentilroad.membership.pairs import PairHeartbeats
from lentilroad.membership.placement import choose
from lentilroad.membership.shard_state import ShardRecords
from lentilroad.wire.messages import ShardRecord


class MapProposals(Protocol):
    """Where records go that only the key-value service can decide."""

    def propose(self, shard: str, base: ShardRecord, record: ShardRecord) -> None:
        """Replace the record after `base` by CAS, as soon as possible."""
        ...

    def withdraw(self, shard: str, *, owner: str, standby: str) -> None:
        """Give up a waiting proposal for this pair."""
        ...


class RoleCandidates:
    """Reads the probes and the heartbeats for the choice of entries."""

    def __init__(
        self,
        *,
        region: str,
        records: ShardRecords,
        pairs: PairHeartbeats,
        members: EntryMembership,
    ) -> None:
        self._region = region
        self._records = records
        self._pairs = pairs
        self._members = members

    def choose_arbiter(self, shard: str, pair: list[str], *, lost: str) -> str:
        """Return an arbiter for a pair, other than `lost`, or "" without one."""
        if not pair[1]:
            return ""
        entries = [e for e in self.entries(taken=pair) if e != lost]
        far = [e for e in self.far_entries() if e != lost]
        return choose(
            shard, entries, taken=pair, peer_of=self._members.peer, far_entries=far
        )

    def entries(self, *, taken: list[str]) -> list[str]:
        """Return entries that can take a role now."""
        return [
            address
            for address in self._members.alive_entries(self._region)
            if address not in taken
            and self._members.state_of(address) == "alive"
            and not self._pairs.refused(address)
        ]

    def far_entries(self) -> list[str]:
        """Return the entries of other regions that take new work."""
        return [
            address
            for region in self._members.regions()
            if region != self._region
            for address in self._members.alive_entries(region)
        ]

    def restarted(self, address: str, started_ms: int) -> bool:
        """Return whether a later process runs at the address than the named one."""
        if self._pairs.restarted(address, started_ms):
            return True
        return self._members.process_ended(address, started_ms)

    def gone(
        self, address: str, started_ms: int, *, for_s: float = RECOVERY_AFTER_S
    ) -> bool:
        """Return whether a named process has ended as far as this entry knows."""
        if not address:
            return True
        if self._records.is_me(address, started_ms):
            return False
        if self.restarted(address, started_ms):
            return True
        return self._members.dead_for_s(address) > for_s
