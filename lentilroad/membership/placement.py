"""Assignment of entries to the roles of a shard."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from lentilroad.membership.rendezvous import rank
from lentilroad.wire.messages import PeerRecord, ShardRecord

PeerOf = Callable[[str], PeerRecord | None]


def make_record(
    *, epoch: int, owner: str, standby: str, arbiter: str, peer_of: PeerOf
) -> ShardRecord:
    """Return a record that includes the process start times of its entries."""
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


def choose_entry(
    shard: str,
    entries: Iterable[str],
    *,
    assigned: Collection[str],
    peer_of: PeerOf,
    remote_entries: Iterable[str] = (),
) -> str:
    """Return the best entry for a vacant role of a shard, or "" if there is none.

    Parameters
    ----------
    shard : str
        The shard.
    entries : Iterable[str]
        Entries of the region that accept new work.
    assigned : Collection[str]
        Entries that already have a role of the shard. Entries in other availability
        zones are preferred.
    peer_of : callable
        Returns the record of an entry, or None if it is unknown.
    remote_entries : Iterable[str], optional
        Entries of other regions, used if no entry of the region is available.
    """
    zones = {_zone(address, peer_of) for address in assigned}
    ranked = [e for e in rank(shard, entries) if e not in assigned]
    for address in ranked:
        if _zone(address, peer_of) not in zones:
            return address
    if ranked:
        return ranked[0]
    remote = [e for e in rank(shard, remote_entries) if e not in assigned]
    return remote[0] if remote else ""


def _zone(address: str, peer_of: PeerOf) -> str:
    peer = peer_of(address)
    return peer.availability_zone if peer else ""


def desired_record(
    shard: str,
    entries: Collection[str],
    *,
    epoch: int,
    peer_of: PeerOf,
    remote_entries: Iterable[str] = (),
) -> ShardRecord:
    """Return the record that rendezvous hashing assigns to a shard.

    Roles without an available entry are empty.
    """
    ranked = rank(shard, entries)
    owner = ranked[0] if ranked else ""
    standby = choose_entry(shard, entries, assigned=[owner], peer_of=peer_of)
    arbiter = ""
    if standby:
        arbiter = choose_entry(
            shard,
            entries,
            assigned=[owner, standby],
            peer_of=peer_of,
            remote_entries=remote_entries,
        )
    return make_record(
        epoch=epoch, owner=owner, standby=standby, arbiter=arbiter, peer_of=peer_of
    )
