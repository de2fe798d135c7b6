"""Conversations and grants as an entry reaches them on the storage members."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from lentilroad.clock import Clock
from lentilroad.conversation.calls import ConcurrentCalls
from lentilroad.conversation.const import (
    MEMBER_PROBE_TIMEOUT_S,
    READ_HEDGE_AFTER_S,
    READ_TIMEOUT_S,
    RESERVE_ATTEMPTS,
    RESERVE_TIMEOUT_S,
    RETRY_AFTER_MS,
    WRITE_HEDGE_AFTER_S,
    WRITE_TIMEOUT_S,
)
from lentilroad.conversation.errors import (
    DiskRefusedError,
    NotCaughtUpError,
    StaleMapError,
)
from lentilroad.conversation.members import (
    Member,
    MemberList,
    MemberMap,
    decode_members,
    program_members,
    program_slots,
)
from lentilroad.conversation.messages import (
    PROBE,
    PUT_TURNS,
    READ_CHAIN,
    RESERVE,
    Chain,
    Grant,
    Ledger,
    ProbeReply,
    ProbeRequest,
    PutTurns,
    ReadChain,
    Reserve,
    TurnRecord,
)
from lentilroad.errors import LentilroadError, NotFoundError, UnavailableError
from lentilroad.membership.rendezvous import score
from lentilroad.process.events import log_event

Call = Callable[..., Awaitable[Any]]


@dataclass(slots=True, kw_only=True, frozen=True)
class Location:
    """Where this process runs."""

    availability_zone: str
    region: str


class StorageClient:
    """Quorum reads and writes.

    Parameters
    ----------
    call : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections.call`.
    clock : Clock
        Source of time.
    location : Location
        Where this process runs.
    losses_tolerated : int
        Number of disks whose simultaneous loss must lose nothing.
    """

    def __init__(
        self, *, call: Call, clock: Clock, location: Location, losses_tolerated: int
    ) -> None:
        self._call = call
        self._clock = clock
        self._location = location
        self._losses_tolerated = losses_tolerated
        self._known = MemberMap(version=0, member_list=MemberList())
        # Members that failed a call and have not answered a probe since.
        self._down: set[str] = set()
        # Members that answer, but whose disks refuse writes.
        self._read_only: set[str] = set()
        self._probing: asyncio.Task[None] | None = None

    def update_map(self, known: MemberMap) -> None:
        """Take over a newer list of members."""
        if known.version > self._known.version:
            self._known = known
            log_event(
                "storage_members",
                version=known.version,
                members=[m.node for m in known.member_list.members],
            )

    def available(self) -> bool:
        """Return whether enough members answer to keep turns and budgets."""
        members = self._known.member_list.members
        answering = sum(1 for member in members if self._takes_writes(member))
        return answering >= max(
            self._losses_tolerated + 1, len(members) - self._losses_tolerated
        )

    def addresses(self) -> list[str]:
        """Return the addresses of all members, the nearest first."""
        return [member.address for member in self._nearest("")]

    async def probe_down_members(self) -> None:
        """Ask the members that failed whether they answer and take writes again."""
        members = self._known.member_list.members
        known = {member.disk_id for member in members}
        self._down &= known
        self._read_only &= known
        failed = [member for member in members if not self._takes_writes(member)]
        await asyncio.gather(*(self._probe(member) for member in failed))

    async def _probe(self, member: Member) -> None:
        try:
            reply: ProbeReply = await self._call(
                member.address, PROBE, ProbeRequest(), timeout_s=MEMBER_PROBE_TIMEOUT_S
            )
        except (LentilroadError, TimeoutError):
            # It stays down; the failure that put it there was logged.
            return
        if reply.stalled:
            return
        if not reply.writable:
            self._note_read_only(member)
        elif member.disk_id in self._read_only:
            self._read_only.discard(member.disk_id)
            log_event("storage_member_writable", member=member.node)
        if member.disk_id in self._down:
            self._down.discard(member.disk_id)
            log_event("storage_member_regained", member=member.node)

    def _takes_writes(self, member: Member) -> bool:
        disk_id = member.disk_id
        return disk_id not in self._down and disk_id not in self._read_only

    def _note_read_only(self, member: Member) -> None:
        if member.disk_id not in self._read_only:
            self._read_only.add(member.disk_id)
            log_event(
                "storage_member_read_only",
                member=member.node,
                map_version=self._known.version,
            )

    async def put_turn(self, record: TurnRecord, *, key: str) -> None:
        """Store a turn on one disk more than may be lost at once.

        Parameters
        ----------
        record : TurnRecord
            The turn; its holders are filled in.
        key : str
            What a conversation's turns have in common, so that they lie together.

        Raises
        ------
        UnavailableError
            Too few members acknowledged the turn in time.
        """
        # The order of members that take writes stays.
        candidates = sorted(self._nearest(key), key=lambda m: not self._takes_writes(m))
        copies = self._losses_tolerated + 1
        record.holders = [m.disk_id for m in candidates[: copies + 2]]
        request = PutTurns(turns=[record])
        async with ConcurrentCalls() as calls:
            waiting = list(candidates[: copies + 2])
            for member in waiting[:copies]:
                calls.start(self._put(member, request))
            waiting = waiting[copies:]
            stored: set[str] = set()
            due_s = self._clock.monotonic_s() + WRITE_TIMEOUT_S
            while len(stored) < copies:
                left_s = due_s - self._clock.monotonic_s()
                done = await calls.next(min(left_s, WRITE_HEDGE_AFTER_S))
                stored.update(disk for disk in done if disk)
                failed = sum(1 for disk in done if not disk)
                for member in waiting[: max(failed, 0 if done else len(waiting))]:
                    calls.start(self._put(member, request))
                    waiting = waiting[1:]
                if left_s <= 0 or (not calls.open() and len(stored) < copies):
                    raise UnavailableError(
                        f"{len(stored)} of {copies} storage members have turn "
                        f"{record.turn_id}; send the turn again",
                        outcome="unknown",
                    )
        log_event(
            "turn_recorded",
            request=record.turn_id,
            disks=sorted(stored),
            map_version=self._known.version,
        )

    async def read_chain(self, turn_id: str, *, key: str) -> list[TurnRecord]:
        """Return a turn and all turns before it, newest first.

        Raises
        ------
        NotFoundError
            No disk can hold the turn.
        UnavailableError
            Too few members answered to tell.
        """
        turns: list[TurnRecord] = []
        wanted = turn_id
        due_s = self._clock.monotonic_s() + READ_TIMEOUT_S
        while wanted:
            found = await self._find(wanted, key, due_s)
            turns.extend(found.turns)
            wanted = found.missing_id
        return turns

    async def reserve(
        self, program_id: str, grant: Grant | None
    ) -> tuple[list[Grant], bool]:
        """Change this entry's grant at a quorum of the program's members.

        Returns
        -------
        tuple of (list of Grant, bool)
            The newest known state of every grant of the program, and whether all
            grants were confirmed.

        Raises
        ------
        UnavailableError
            No quorum answered in time.
        """
        for _ in range(RESERVE_ATTEMPTS):
            version = self._known.version
            try:
                return await self._reserve_once(program_id, grant)
            except UnavailableError:
                # A newer list of members may have been learned meanwhile.
                if self._probing is not None:
                    await self._probing
                if self._known.version == version:
                    raise
        return await self._reserve_once(program_id, grant)

    async def _reserve_once(
        self, program_id: str, grant: Grant | None
    ) -> tuple[list[Grant], bool]:
        known = self._known
        slots = program_slots(
            known.member_list, program_id, losses_tolerated=self._losses_tolerated
        )
        quorum = len(slots) // 2 + 1
        members = program_members(
            known.member_list, program_id, losses_tolerated=self._losses_tolerated
        )
        # Grants are read from disks that refuse writes as well.
        up = [
            member
            for member in members
            if self._takes_writes(member)
            or (grant is None and member.disk_id not in self._down)
        ]
        if len(up) < quorum:
            raise UnavailableError(
                f"{len(up)} of {quorum} storage members answer here or through other "
                "entries; send the turn again",
                retry_after_ms=RETRY_AFTER_MS,
            )
        request = Reserve(program_id=program_id, map_version=known.version, grant=grant)
        merged: dict[str, Grant] = {}
        answered = 0
        waiting = sorted(
            self._by_distance(members, program_id),
            key=lambda m: not self._takes_writes(m),
        )
        async with ConcurrentCalls(keep_running=True) as calls:
            for member in waiting[:quorum]:
                calls.start(self._reserve(member, request, RESERVE_TIMEOUT_S))
            waiting = waiting[quorum:]
            due_s = self._clock.monotonic_s() + RESERVE_TIMEOUT_S
            while answered < quorum or not slots:
                done = await calls.next(
                    READ_HEDGE_AFTER_S if waiting else RESERVE_TIMEOUT_S
                )
                for ledger in done:
                    if ledger is None:
                        continue
                    answered += 1
                    for found in ledger.grants:
                        other = merged.get(found.grant_id)
                        if other is None or other.revision < found.revision:
                            merged[found.grant_id] = found
                if not done or None in done:
                    left_s = due_s - self._clock.monotonic_s()
                    for member in waiting:
                        calls.start(self._reserve(member, request, left_s))
                    waiting = []
                # Each call has ended by `due_s`.
                if answered < quorum and not calls.open():
                    raise UnavailableError(
                        f"{answered} of {quorum} storage members answered for the "
                        "budget; send the turn again",
                        retry_after_ms=RETRY_AFTER_MS,
                    )
        confirmed = all(
            found.tokens <= found.confirmed_tokens
            for found in merged.values()
            if grant is None or found.grant_id != grant.grant_id
        )
        return list(merged.values()), confirmed

    async def confirm(self, program_id: str, grant: Grant) -> None:
        """Tell the program's members that a grant is in force; best effort."""
        known = self._known
        request = Reserve(
            program_id=program_id,
            map_version=known.version,
            grant=grant,
            skip_sync=True,
        )
        members = program_members(
            known.member_list, program_id, losses_tolerated=self._losses_tolerated
        )
        # Any other quorum shares a member with the one that has the grant.
        quorum = self._losses_tolerated + 1
        nearest = self._by_distance(members, program_id)[:quorum]
        await asyncio.gather(
            *(self._reserve(member, request, RESERVE_TIMEOUT_S) for member in nearest)
        )

    def _nearest(self, key: str) -> list[Member]:
        return _spread(self._by_distance(self._known.member_list.members, key))

    def _by_distance(self, members: Iterable[Member], key: str) -> list[Member]:
        def order(member: Member) -> tuple[bool, int, int]:
            down = member.disk_id in self._down
            distance = 2
            if member.availability_zone == self._location.availability_zone:
                distance = 0
            elif member.region == self._location.region:
                distance = 1
            return down, distance, score(key, member.disk_id)

        return sorted(members, key=order)

    async def _put(self, member: Member, request: PutTurns) -> str:
        try:
            reply = await self._call(
                member.address, PUT_TURNS, request, timeout_s=WRITE_TIMEOUT_S
            )
        except (LentilroadError, TimeoutError) as error:
            self._suspect(member, error)
            return ""
        return reply.disk_id

    async def _read(self, member: Member, turn_id: str) -> Chain | None:
        try:
            return await self._call(
                member.address,
                READ_CHAIN,
                ReadChain(turn_id=turn_id),
                timeout_s=READ_TIMEOUT_S,
            )
        except (LentilroadError, TimeoutError) as error:
            self._suspect(member, error)
            return None

    async def _reserve(
        self, member: Member, request: Reserve, timeout_s: float
    ) -> Ledger | None:
        try:
            return await self._call(
                member.address, RESERVE, request, timeout_s=timeout_s
            )
        except (LentilroadError, TimeoutError) as error:
            self._suspect(member, error)
            return None

    async def _find(self, turn_id: str, key: str, due_s: float) -> Chain:
        candidates = self._nearest(key)
        absent: set[str] = set()
        async with ConcurrentCalls() as calls:
            waiting = list(candidates)
            for member in waiting[:1]:
                calls.start(self._read(member, turn_id))
            waiting = waiting[1:]
            while True:
                left_s = due_s - self._clock.monotonic_s()
                wait_s = READ_HEDGE_AFTER_S if waiting else left_s
                for chain in await calls.next(min(left_s, wait_s)):
                    if chain is None:
                        continue
                    if chain.turns:
                        return chain
                    if chain.complete_disk:
                        absent.add(chain.disk_id)
                for member in waiting:
                    calls.start(self._read(member, turn_id))
                waiting = []
                if left_s <= 0 or not calls.open():
                    break
        # While copies of a lost disk are being restored, any member may hold the only
        # one, so every member has to deny it.
        if candidates and len(absent) == len(candidates):
            raise NotFoundError(f"turn {turn_id} does not exist; start a new chain")
        raise UnavailableError(
            f"{len(absent)} of {len(candidates)} storage members answered for turn "
            f"{turn_id}; send the turn again",
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _suspect(self, member: Member, error: BaseException) -> None:
        if isinstance(error, DiskRefusedError):
            self._note_read_only(member)
            return
        answered = isinstance(error, (StaleMapError, NotCaughtUpError))
        if not answered and member.disk_id not in self._down:
            self._down.add(member.disk_id)
            log_event(
                "storage_member_lost",
                member=member.node,
                error=str(error) or type(error).__name__,
                map_version=self._known.version,
            )
        if isinstance(error, StaleMapError) and (
            self._probing is None or self._probing.done()
        ):
            self._probing = asyncio.create_task(self._learn_members(member))

    async def _learn_members(self, member: Member) -> None:
        try:
            reply: ProbeReply = await self._call(
                member.address, PROBE, ProbeRequest(), timeout_s=MEMBER_PROBE_TIMEOUT_S
            )
            member_list = decode_members(reply.members)
        except (LentilroadError, TimeoutError, msgspec.MsgspecError) as error:
            log_event("storage_members_unknown", member=member.node, error=str(error))
            return
        self.update_map(MemberMap(version=reply.map_version, member_list=member_list))


def _spread(ordered: list[Member]) -> list[Member]:
    """Put the nearest member first, and one of another zone second."""
    if len(ordered) < 3:
        return ordered
    first = ordered[0]
    for index, member in enumerate(ordered[1:], start=1):
        if member.availability_zone != first.availability_zone:
            return [first, member, *ordered[1:index], *ordered[index + 1 :]]
    return ordered
