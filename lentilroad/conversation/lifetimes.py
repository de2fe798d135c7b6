"""Lifetimes of conversations and of programs' grants, shared by all of their disks."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from lentilroad.clock import Clock
from lentilroad.conversation.const import (
    ANNOUNCE_EXTENSION_S,
    LIFETIME_EXCHANGE_TIMEOUT_S,
)
from lentilroad.conversation.members import Member, MemberMap, program_members
from lentilroad.conversation.messages import (
    EXTEND_LIFETIMES,
    ExtendLifetimes,
    Lifetime,
    LifetimesReply,
)
from lentilroad.errors import LentilroadError
from lentilroad.process.events import log_event

Call = Callable[..., Awaitable[Any]]

_CONVERSATION = "c:"
_PROGRAM = "p:"


def conversation_key(conversation_id: str) -> str:
    """Return the key under which the lifetime of a conversation is kept."""
    return _CONVERSATION + conversation_id


def program_key(program_id: str) -> str:
    """Return the key under which the lifetime of a program's grants is kept."""
    return _PROGRAM + program_id


@dataclass(slots=True, kw_only=True)
class _Lifetime:
    """Lifetime of the records of one key.

    Attributes
    ----------
    expires_s : float
        Monotonic time at which the records expire.
    announced_s : float
        Expiry that the other disks of these records know of.
    disks : set of str
        Disks to which records of the key may have been sent.
    change : int
        Number of the newest announcement; 0 if there was none.
    """

    expires_s: float
    announced_s: float
    disks: set[str] = field(default_factory=set)
    change: int = 0


class LifetimeTable:
    """Expiry of all records on one disk, by conversation or program.

    All records of a key expire together, so that the turns of a conversation cannot
    have different lifetimes on one disk.
    """

    def __init__(self) -> None:
        self._lifetimes: dict[str, _Lifetime] = {}
        # Keys in the order of their newest announcements.
        self._announced: dict[str, None] = {}
        self.last_change = 0

    def extend(
        self,
        key: str,
        *,
        expires_s: float,
        assured_s: float | None = None,
        disks: Iterable[str] = (),
    ) -> None:
        """Keep the records of a key until `expires_s` at least.

        Parameters
        ----------
        key : str
            Key of a conversation or program.
        expires_s : float
            Monotonic time.
        assured_s : float, optional
            Monotonic time until which the other disks keep their records without an
            announcement; `expires_s` if omitted.
        disks : iterable of str
            Disks to which records of the key may have been sent.
        """
        lifetime = self._lifetimes.get(key)
        if lifetime is None:
            assured_s = expires_s if assured_s is None else min(assured_s, expires_s)
            lifetime = _Lifetime(expires_s=expires_s, announced_s=assured_s)
            self._lifetimes[key] = lifetime
        lifetime.expires_s = max(lifetime.expires_s, expires_s)
        lifetime.disks.update(disks)
        if lifetime.expires_s - lifetime.announced_s > ANNOUNCE_EXTENSION_S:
            self.last_change += 1
            lifetime.announced_s = lifetime.expires_s
            lifetime.change = self.last_change
            self._announced.pop(key, None)
            self._announced[key] = None

    def extend_known(self, key: str, expires_s: float) -> None:
        """Extend the lifetime of a key if this disk stores records of it."""
        lifetime = self._lifetimes.get(key)
        if lifetime is not None:
            lifetime.expires_s = max(lifetime.expires_s, expires_s)

    def expires_s(self, key: str) -> float:
        """Return the monotonic time at which the records of a key expire."""
        return self._lifetimes[key].expires_s

    def pop_expired(self, limit_s: float) -> set[str]:
        """Remove and return the keys that expired before `limit_s`."""
        expired = {
            key
            for key, lifetime in self._lifetimes.items()
            if lifetime.expires_s <= limit_s
        }
        for key in expired:
            del self._lifetimes[key]
            self._announced.pop(key, None)
        return expired

    def announced_after(self, change: int) -> Iterator[tuple[str, _Lifetime]]:
        """Yield the keys that were announced after a change, newest first."""
        for key in reversed(self._announced):
            lifetime = self._lifetimes[key]
            if lifetime.change <= change:
                return
            yield key, lifetime


@dataclass(slots=True, kw_only=True)
class _PeerState:
    """What another member was told, and when it last told this process everything."""

    process_id: str = ""
    told_change: int = 0
    # Version of the member list by which the told changes were selected.
    map_version: int = 0
    heard_s: float = float("-inf")


class LifetimeExchange:
    """Tells the other members how long records are kept, and hears it from them.

    A turn extends the lifetime of its whole conversation, but only its own disks store
    it. They announce the extension to all disks of the conversation. A disk drops a
    record only after enough members have announced all that they knew at its expiry, so
    that a member that was cut off, stopped or restarted keeps what others still need.

    Parameters
    ----------
    table : LifetimeTable
        Lifetimes of the records on this disk.
    disk_id : str
        Disk of this process.
    copied_assignment : callable
        Returns the assignment whose records this disk has copied, or None.
    member_map : callable
        Returns the newest `MemberMap`.
    call : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections.call`.
    clock : Clock
        Source of time.
    losses_tolerated : int
        Number of disks that may fail simultaneously without data loss.
    """

    def __init__(
        self,
        *,
        table: LifetimeTable,
        disk_id: str,
        copied_assignment: Callable[[], int | None],
        member_map: Callable[[], MemberMap],
        call: Call,
        clock: Clock,
        losses_tolerated: int,
    ) -> None:
        self._table = table
        self._disk_id = disk_id
        self._copied_assignment = copied_assignment
        self._member_map = member_map
        self._call = call
        self._clock = clock
        self._losses_tolerated = losses_tolerated
        self._process_id = secrets.token_hex(6)
        self._peers: dict[str, _PeerState] = {}

    async def send(self) -> None:
        """Announce to each other member what changed since its last confirmation."""
        others = self._other_members()
        for disk_id in self._peers.keys() - {member.disk_id for member in others}:
            del self._peers[disk_id]
        await asyncio.gather(*(self._send_to(member) for member in others))

    async def receive(self, request: ExtendLifetimes) -> LifetimesReply:
        """Extend the lifetimes that another member announces."""
        now_s = self._clock.monotonic_s()
        for lifetime in request.lifetimes:
            self._table.extend_known(lifetime.key, now_s + lifetime.remaining_s)
        sender = self._member_map().member_list.find(request.disk_id)
        # A disk that has not copied the records of its assignment may lack turns that
        # extend a lifetime. A sender that knows an earlier process of this disk has
        # left out what it announced to that one.
        if (
            sender is not None
            and sender.assignment == request.copied_assignment
            and request.receiver_process_id == self._process_id
        ):
            self._peer(request.disk_id).heard_s = now_s
        return LifetimesReply(process_id=self._process_id)

    def confirmed_until_s(self) -> float:
        """Return the monotonic time up to which expired records may be dropped.

        A turn is stored on ``losses_tolerated + 1`` disks, so that one of its disks is
        among any members of which at most `losses_tolerated` are missing.
        """
        if self._member_map().member_list.find(self._disk_id) is None:
            return float("-inf")
        heard_s = sorted(
            self._peer(member.disk_id).heard_s for member in self._other_members()
        )
        if len(heard_s) <= self._losses_tolerated:
            return self._clock.monotonic_s()
        return heard_s[self._losses_tolerated]

    def _peer(self, disk_id: str) -> _PeerState:
        return self._peers.setdefault(disk_id, _PeerState())

    def _other_members(self) -> list[Member]:
        return [
            member
            for member in self._member_map().member_list.members
            if member.disk_id != self._disk_id
        ]

    def _announcements(self, disk_id: str, told_change: int) -> list[Lifetime]:
        now_s = self._clock.monotonic_s()
        return [
            Lifetime(key=key, remaining_s=lifetime.expires_s - now_s)
            for key, lifetime in self._table.announced_after(told_change)
            if disk_id in self._disks_of(key, lifetime.disks)
        ]

    def _disks_of(self, key: str, known_disks: set[str]) -> set[str]:
        """Return the disks that may store records of a key."""
        member_list = self._member_map().member_list
        if key.startswith(_PROGRAM):
            members = program_members(
                member_list,
                key.removeprefix(_PROGRAM),
                losses_tolerated=self._losses_tolerated,
            )
            return {member.disk_id for member in members}
        disks = {member.disk_id for member in member_list.members}
        # The records of a disk that left the list may have been copied to any member.
        return known_disks if known_disks <= disks else disks

    async def _send_to(self, member: Member) -> None:
        peer = self._peer(member.disk_id)
        map_version = self._member_map().version
        if peer.map_version != map_version:
            # Another member may have to know the records of a disk that has left.
            peer.map_version = map_version
            peer.told_change = 0
        for _ in range(2):
            last_change = self._table.last_change
            lifetimes = self._announcements(member.disk_id, peer.told_change)
            request = ExtendLifetimes(
                disk_id=self._disk_id,
                copied_assignment=self._copied_assignment(),
                receiver_process_id=peer.process_id,
                lifetimes=lifetimes,
            )
            try:
                reply: LifetimesReply = await self._call(
                    member.address,
                    EXTEND_LIFETIMES,
                    request,
                    timeout_s=LIFETIME_EXCHANGE_TIMEOUT_S,
                )
            except (LentilroadError, TimeoutError) as error:
                log_event(
                    "lifetimes_not_announced",
                    member=member.node,
                    lifetimes=len(lifetimes),
                    error=str(error) or type(error).__name__,
                )
                return
            if peer.process_id == reply.process_id:
                peer.told_change = last_change
                return
            # A restarted process has forgotten the announcements; all are repeated.
            peer.process_id = reply.process_id
            peer.told_change = 0
