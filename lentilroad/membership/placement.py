"""Choice of the entries that a shard's record names."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from lentilroad.membership.rendezvous import rank
from lentilroad.wire.messages import PeerRecord, ShardRecord

PeerOf = Callable[[str], PeerRecord | None]


def make_record(
    *, epoch: int, owner: str, standby: str, arbiter: str, peer_of: PeerOf
) -> ShardRecord:
    """Return a record with the process starts of the entries that it names."""
    return ShardRecord(
        epoch=epoch,
        owner=owner,
        standby=standby,
        arbiter=arbiter,
        owner_started_ms=_started_ms(owner, peer_of),
        standby_started_ms=_started_ms(standby, peer_of),
        arbiter_started_ms=_started_ms(arbiter, peer_of),
    )


def _started_ms(address: str, peer_of: PeerOf) -> int:
    peer = peer_of(address) if address else None
    return peer.started_ms if peer else 0


def choose(
    shard: str,
    entries: Iterable[str],
    *,
    taken: Collection[str],
    peer_of: PeerOf,
    far_entries: Iterable[str] = (),
) -> str:
    """Return the best entry for a free role of a shard, or "" when there is none.

    Parameters
    ----------
    shard : str
        The shard.
    entries : Iterable[str]
        Entries of the region that take new work.
    taken : Collection[str]
        Entries that already have a role; another availability zone than theirs is
        preferred.
    peer_of : callable
        Returns what is known about an entry.
    far_entries : Iterable[str], optional
        Entries of other regions, used when the region has none left.
    """
    zones = {_zone(address, peer_of) for address in taken}
    ranked = [e for e in rank(shard, entries) if e not in taken]
    for address in ranked:
        if _zone(address, peer_of) not in zones:
            return address
    if ranked:
        return ranked[0]
    far = [e for e in rank(shard, far_entries) if e not in taken]
    return far[0] if far else ""


def _zone(address: str, peer_of: PeerOf) -> str:
    peer = peer_of(address)
    return peer.availability_zone if peer else ""


def desired_record(
    shard: str,
    entries: Collection[str],
    *,
    epoch: int,
    peer_of: PeerOf,
    far_entries: Iterable[str] = (),
) -> ShardRecord:
    """Return the record that rendezvous hashing gives a shard.

    Roles that no entry is left for are empty.
    """
    ranked = rank(shard, entries)
    owner = ranked[0] if ranked else ""
    standby = choose(shard, entries, taken=[owner], peer_of=peer_of)
    arbiter = ""
    if standby:
        arbiter = choose(
            shard,
            entries,
            taken=[owner, standby],
            peer_of=peer_of,
            far_entries=far_entries,
        )
    return make_record(
        epoch=epoch, owner=owner, standby=standby, arbiter=arbiter, peer_of=peer_of
    )
