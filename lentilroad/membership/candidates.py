"""Selection of entries for the roles of a shard, and detection of ended ones."""

from __future__ import annotations

from typing import Protocol

from lentilroad.membership.const import RECOVERY_AFTER_S
from lentilroad.membership.members import EntryMembership
from lentilroad.membership.pairs import PairHeartbeats
from lentilroad.membership.placement import choose_entry
from lentilroad.membership.shard_state import ShardRecords
from lentilroad.wire.messages import ShardRecord


class MapProposals(Protocol):
    """Proposals of records that only the key-value service can decide."""

    def propose(self, shard: str, base: ShardRecord, record: ShardRecord) -> None:
        """Replace `base` by `record` with a CAS, as soon as possible."""
        ...

    def withdraw(self, shard: str, *, owner: str, standby: str) -> None:
        """Withdraw a pending proposal for this owner and standby."""
        ...


class RoleCandidates:
    """Selects entries for roles by the results of probes and pair heartbeats."""

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

    def choose_arbiter(self, shard: str, pair: list[str], *, excluded: str) -> str:
        """Return an arbiter for an owner and a standby, or "" if there is none.

        The entry `excluded` is not selected.
        """
        if not pair[1]:
            return ""
        entries = [e for e in self.entries(assigned=pair) if e != excluded]
        remote = [e for e in self.remote_entries() if e != excluded]
        return choose_entry(
            shard,
            entries,
            assigned=pair,
            peer_of=self._members.peer,
            remote_entries=remote,
        )

    def entries(self, *, assigned: list[str]) -> list[str]:
        """Return entries of this region that can take a role now."""
        return [
            address
            for address in self._members.alive_entries(self._region)
            if address not in assigned
            and self._members.state_of(address) == "alive"
            and not self._pairs.refused_connection(address)
        ]

    def remote_entries(self) -> list[str]:
        """Return the entries of other regions that accept new work."""
        return [
            address
            for region in self._members.regions()
            if region != self._region
            for address in self._members.alive_entries(region)
        ]

    def restarted(self, address: str, started_ms: int) -> bool:
        """Return whether the process has been replaced by a later one."""
        if self._pairs.restarted(address, started_ms):
            return True
        return self._members.process_ended(address, started_ms)

    def has_ended(
        self, address: str, started_ms: int, *, for_s: float = RECOVERY_AFTER_S
    ) -> bool:
        """Return whether a process was replaced or has been dead for `for_s`.

        An empty address counts as ended, this process never does.
        """
        if not address:
            return True
        if self._records.is_this_process(address, started_ms):
            return False
        if self.restarted(address, started_ms):
            return True
        return self._members.dead_for_s(address) > for_s
