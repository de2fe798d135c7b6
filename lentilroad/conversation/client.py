"""Client of the storage members: stores turns, reads chains and reserves grants."""

from __future__ import annotations

import asyncio
import traceback
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
    MemoryFullError,
    NotCaughtUpError,
    StaleMapError,
)
from lentilroad.conversation.members import (
    Member,
    MemberList,
    MemberMap,
    decode_members,
    list_coordinators,
    program_members,
    program_slots,
    rank_coordinators,
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
from lentilroad.membership.crash_causes import CRASH_COORDINATORS
from lentilroad.membership.rendezvous import score
from lentilroad.process.events import log_event
from lentilroad.version.customers import unscoped_id

Call = Callable[..., Awaitable[Any]]

# Ranks the members that coordinate the crashes of all services.
CRASH_COORDINATION_KEY = "crashes"


@dataclass(slots=True, kw_only=True, frozen=True)
class Location:
    """Availability zone and region of this process."""

    availability_zone: str
    region: str


class StorageClient:
    """Reads and writes turns and grants on enough members to tolerate losses.

    Parameters
    ----------
    call : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections.call`.
    clock : Clock
        Source of time.
    location : Location
        Location of this process, by which nearer members are preferred.
    losses_tolerated : int
        Number of disks that may fail simultaneously without data loss.
    """

    def __init__(
        self, *, call: Call, clock: Clock, location: Location, losses_tolerated: int
    ) -> None:
        self._call = call
        self._clock = clock
        self._location = location
        self._list_coordinators: list[str] = []
        self._losses_tolerated = losses_tolerated
        self._member_map = MemberMap(version=0, member_list=MemberList())
        # Members that failed a call and have not replied to a probe since.
        self._unresponsive: set[str] = set()
        # Members whose disks refuse writes; they still serve reads.
        self._read_only: set[str] = set()
        self._map_refresh: asyncio.Task[None] | None = None

    def update_map(self, member_map: MemberMap) -> None:
        """Replace the member map if the given one is newer."""
        if member_map.version > self._member_map.version:
            self._member_map = member_map
            self._list_coordinators = list_coordinators(
                member_map.member_list,
                availability_zone=self._location.availability_zone,
                region=self._location.region,
            )
            log_event(
                "storage_members",
                version=member_map.version,
                members=[m.node for m in member_map.member_list.members],
            )

    def available(self) -> bool:
        """Return whether enough members accept writes to store turns and grants."""
        members = self._member_map.member_list.members
        writable = sum(1 for member in members if self._accepts_writes(member))
        return writable >= max(
            self._losses_tolerated + 1, len(members) - self._losses_tolerated
        )

    def addresses(self) -> list[str]:
        """Return the addresses of all members, nearest first."""
        return [member.address for member in self._nearest_members("")]

    def member_count(self) -> int:
        """Return the number of members."""
        return len(self._member_map.member_list.members)

    def coordinators(self, key: str, availability_zone: str) -> list[str]:
        """Return the addresses of the members that coordinate a key, in order."""
        ranked = rank_coordinators(self._member_map.member_list, key, availability_zone)
        return [member.address for member in ranked]

    def crash_coordinators(self) -> list[str]:
        """Return the addresses of the members that coordinate crashes, in order."""
        return self.coordinators(CRASH_COORDINATION_KEY, "")[:CRASH_COORDINATORS]

    def list_coordinators(self) -> list[str]:
        """Return the addresses of the members that read the store for others."""
        return self._list_coordinators

    async def probe_failed_members(self) -> None:
        """Probe the members that failed a call or refused a write."""
        members = self._member_map.member_list.members
        disk_ids = {member.disk_id for member in members}
        self._unresponsive &= disk_ids
        self._read_only &= disk_ids
        failed = [member for member in members if not self._accepts_writes(member)]
        await asyncio.gather(*(self._probe(member) for member in failed))

    async def _probe(self, member: Member) -> None:
        try:
            reply: ProbeReply = await self._call(
                member.address, PROBE, ProbeRequest(), timeout_s=MEMBER_PROBE_TIMEOUT_S
            )
        except (LentilroadError, TimeoutError):
            # The member stays unresponsive, which was logged at its first failure.
            return
        if reply.stalled:
            return
        if not reply.writable:
            self._mark_read_only(member)
        elif member.disk_id in self._read_only:
            self._read_only.discard(member.disk_id)
            log_event("storage_member_writable", member=member.node)
        if member.disk_id in self._unresponsive:
            self._unresponsive.discard(member.disk_id)
            log_event("storage_member_regained", member=member.node)

    def _accepts_writes(self, member: Member) -> bool:
        disk_id = member.disk_id
        return disk_id not in self._unresponsive and disk_id not in self._read_only

    def _mark_read_only(self, member: Member) -> None:
        if member.disk_id not in self._read_only:
            self._read_only.add(member.disk_id)
            log_event(
                "storage_member_read_only",
                member=member.node,
                map_version=self._member_map.version,
            )

    async def put_turn(self, record: TurnRecord, *, key: str) -> None:
        """Store a turn on ``losses_tolerated + 1`` disks.

        Parameters
        ----------
        record : TurnRecord
            The turn; `holders` is set here.
        key : str
            Key shared by all turns of a conversation, so that the same members store
            them.

        Raises
        ------
        UnavailableError
            Too few members acknowledged the turn in time.
        """
        # Members that accept writes come first, then by distance.
        candidates = sorted(
            self._nearest_members(key), key=lambda m: not self._accepts_writes(m)
        )
        copy_count = self._losses_tolerated + 1
        record.holders = [m.disk_id for m in candidates[: copy_count + 2]]
        request = PutTurns(turns=[record])
        async with ConcurrentCalls() as calls:
            untried = list(candidates[: copy_count + 2])
            for member in untried[:copy_count]:
                calls.start(self._send_turn(member, request))
            untried = untried[copy_count:]
            stored: set[str] = set()
            deadline_s = self._clock.monotonic_s() + WRITE_TIMEOUT_S
            while len(stored) < copy_count:
                remaining_s = deadline_s - self._clock.monotonic_s()
                results = await calls.next_results(
                    min(remaining_s, WRITE_HEDGE_AFTER_S)
                )
                stored.update(disk for disk in results if disk)
                failed = sum(1 for disk in results if not disk)
                for member in untried[: max(failed, 0 if results else len(untried))]:
                    calls.start(self._send_turn(member, request))
                    untried = untried[1:]
                if remaining_s <= 0 or (
                    not calls.pending() and len(stored) < copy_count
                ):
                    raise UnavailableError(
                        f"{len(stored)} of {copy_count} storage members stored turn "
                        f"{unscoped_id(record.turn_id)}; send the turn again",
                        outcome="unknown",
                    )
        log_event(
            "turn_recorded",
            request=unscoped_id(record.turn_id),
            disks=sorted(stored),
            map_version=self._member_map.version,
        )

    async def read_chain(self, turn_id: str, *, key: str) -> list[TurnRecord]:
        """Return a turn and all turns before it, newest first.

        Raises
        ------
        NotFoundError
            All members replied that they do not store the turn.
        UnavailableError
            Too few members replied to decide whether the turn exists.
        """
        turns: list[TurnRecord] = []
        next_turn_id = turn_id
        deadline_s = self._clock.monotonic_s() + READ_TIMEOUT_S
        while next_turn_id:
            chain = await self._find_turn(next_turn_id, key, deadline_s)
            turns.extend(chain.turns)
            next_turn_id = chain.missing_id
        return turns

    async def reserve(
        self, program_id: str, grant: Grant | None
    ) -> tuple[list[Grant], bool]:
        """Change this entry's grant at a quorum of the program's members.

        Returns
        -------
        tuple of (list of Grant, bool)
            The newest revision of every grant of the program, and whether the grants
            of all other entries are confirmed.

        Raises
        ------
        UnavailableError
            No quorum replied in time.
        """
        for _ in range(RESERVE_ATTEMPTS):
            version = self._member_map.version
            try:
                return await self._try_reserve(program_id, grant)
            except UnavailableError:
                # Retry only if the member map was updated in the meantime.
                await self._refreshed_map()
                if self._member_map.version == version:
                    raise
        return await self._try_reserve(program_id, grant)

    async def _try_reserve(
        self, program_id: str, grant: Grant | None
    ) -> tuple[list[Grant], bool]:
        member_map = self._member_map
        slots = program_slots(
            member_map.member_list, program_id, losses_tolerated=self._losses_tolerated
        )
        quorum = len(slots) // 2 + 1
        members = program_members(
            member_map.member_list, program_id, losses_tolerated=self._losses_tolerated
        )
        # Grants are read from disks that refuse writes as well.
        usable = [
            member
            for member in members
            if self._accepts_writes(member)
            or (grant is None and member.disk_id not in self._unresponsive)
        ]
        if len(usable) < quorum:
            raise UnavailableError(
                f"{len(usable)} of {quorum} storage members are reachable, directly or "
                "through other entries; send the turn again",
                retry_after_ms=RETRY_AFTER_MS,
            )
        request = Reserve(
            program_id=program_id, map_version=member_map.version, grant=grant
        )
        newest_grants: dict[str, Grant] = {}
        replied = 0
        untried = sorted(
            self._sorted_by_distance(members, program_id),
            key=lambda m: not self._accepts_writes(m),
        )
        async with ConcurrentCalls(keep_running=True) as calls:
            for member in untried[:quorum]:
                calls.start(self._send_reserve(member, request, RESERVE_TIMEOUT_S))
            untried = untried[quorum:]
            deadline_s = self._clock.monotonic_s() + RESERVE_TIMEOUT_S
            while replied < quorum or not slots:
                results = await calls.next_results(
                    READ_HEDGE_AFTER_S if untried else RESERVE_TIMEOUT_S
                )
                for ledger in results:
                    if ledger is None:
                        continue
                    replied += 1
                    for found in ledger.grants:
                        newest = newest_grants.get(found.grant_id)
                        if newest is None or newest.revision < found.revision:
                            newest_grants[found.grant_id] = found
                if not results or None in results:
                    remaining_s = deadline_s - self._clock.monotonic_s()
                    for member in untried:
                        calls.start(self._send_reserve(member, request, remaining_s))
                    untried = []
                # Each call completes or times out by `deadline_s`.
                if replied < quorum and not calls.pending():
                    raise UnavailableError(
                        f"{replied} of {quorum} storage members replied to the "
                        "reservation of tokens; send the turn again",
                        retry_after_ms=RETRY_AFTER_MS,
                    )
        confirmed = all(
            found.tokens <= found.confirmed_tokens
            for found in newest_grants.values()
            if grant is None or found.grant_id != grant.grant_id
        )
        return list(newest_grants.values()), confirmed

    async def confirm(self, program_id: str, grant: Grant) -> None:
        """Notify the program's members that a grant is confirmed; best effort."""
        member_map = self._member_map
        request = Reserve(
            program_id=program_id,
            map_version=member_map.version,
            grant=grant,
            skip_sync=True,
        )
        members = program_members(
            member_map.member_list, program_id, losses_tolerated=self._losses_tolerated
        )
        # Every quorum shares a member with this set, whose size is a quorum.
        quorum = self._losses_tolerated + 1
        nearest = self._sorted_by_distance(members, program_id)[:quorum]
        await asyncio.gather(
            *(
                self._send_reserve(member, request, RESERVE_TIMEOUT_S)
                for member in nearest
            )
        )

    def _nearest_members(self, key: str) -> list[Member]:
        return _spread_over_zones(
            self._sorted_by_distance(self._member_map.member_list.members, key)
        )

    def _sorted_by_distance(self, members: Iterable[Member], key: str) -> list[Member]:
        def order(member: Member) -> tuple[bool, int, int]:
            unresponsive = member.disk_id in self._unresponsive
            distance = 2
            if member.availability_zone == self._location.availability_zone:
                distance = 0
            elif member.region == self._location.region:
                distance = 1
            return unresponsive, distance, score(key, member.disk_id)

        return sorted(members, key=order)

    async def _send_turn(self, member: Member, request: PutTurns) -> str:
        try:
            reply = await self._call(
                member.address, PUT_TURNS, request, timeout_s=WRITE_TIMEOUT_S
            )
        except (LentilroadError, TimeoutError) as error:
            self._record_failure(member, error)
            return ""
        return reply.disk_id

    async def _send_read(self, member: Member, turn_id: str) -> Chain | None:
        try:
            chain: Chain = await self._call(
                member.address,
                READ_CHAIN,
                ReadChain(turn_id=turn_id, assignment=member.assignment),
                timeout_s=READ_TIMEOUT_S,
            )
        except (LentilroadError, TimeoutError) as error:
            self._record_failure(member, error)
            return None
        if chain.map_version > self._member_map.version:
            self._refresh_map(member)
        return chain

    async def _send_reserve(
        self, member: Member, request: Reserve, timeout_s: float
    ) -> Ledger | None:
        try:
            return await self._call(
                member.address,
                RESERVE,
                msgspec.structs.replace(request, assignment=member.assignment),
                timeout_s=timeout_s,
            )
        except (LentilroadError, TimeoutError) as error:
            self._record_failure(member, error)
            return None

    async def _find_turn(self, turn_id: str, key: str, deadline_s: float) -> Chain:
        map_version = self._member_map.version
        candidates = self._nearest_members(key)
        disks_without_turn: set[str] = set()
        async with ConcurrentCalls() as calls:
            untried = list(candidates)
            for member in untried[:1]:
                calls.start(self._send_read(member, turn_id))
            untried = untried[1:]
            while True:
                remaining_s = deadline_s - self._clock.monotonic_s()
                wait_s = READ_HEDGE_AFTER_S if untried else remaining_s
                for chain in await calls.next_results(min(remaining_s, wait_s)):
                    if chain is None:
                        continue
                    if chain.turns:
                        return chain
                    # Members of a newer list may store the turn.
                    if chain.complete_disk and chain.map_version <= map_version:
                        disks_without_turn.add(chain.disk_id)
                for member in untried:
                    calls.start(self._send_read(member, turn_id))
                untried = []
                if remaining_s <= 0 or not calls.pending():
                    break
        # While the copies of a lost disk are being restored, any member may store the
        # only copy of the turn, so every member has to reply that it has no copy.
        if candidates and len(disks_without_turn) == len(candidates):
            raise NotFoundError(
                f"turn {unscoped_id(turn_id)} does not exist; start a new chain"
            )
        await self._refreshed_map()
        if (
            self._member_map.version > map_version
            and self._clock.monotonic_s() < deadline_s
        ):
            return await self._find_turn(turn_id, key, deadline_s)
        raise UnavailableError(
            f"turn {unscoped_id(turn_id)} was not found, but only "
            f"{len(disks_without_turn)} of {len(candidates)} storage members confirmed "
            "its absence; send the turn again",
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _record_failure(self, member: Member, error: BaseException) -> None:
        # The frames of a failed call refer to one another and to the turn, which would
        # be held until the garbage collector finds them.
        traceback.clear_frames(error.__traceback__)
        if isinstance(error, DiskRefusedError):
            self._mark_read_only(member)
            return
        # A member whose memory is full still takes grants and smaller turns.
        replied = isinstance(error, (StaleMapError, NotCaughtUpError, MemoryFullError))
        if not replied and member.disk_id not in self._unresponsive:
            self._unresponsive.add(member.disk_id)
            log_event(
                "storage_member_lost",
                member=member.node,
                error=str(error) or type(error).__name__,
                map_version=self._member_map.version,
            )
        if isinstance(error, StaleMapError):
            self._refresh_map(member)

    def _refresh_map(self, member: Member) -> None:
        """Fetch the member list from a member that knows a newer one."""
        if self._map_refresh is None or self._map_refresh.done():
            self._map_refresh = asyncio.create_task(self._fetch_member_map(member))

    async def _refreshed_map(self) -> None:
        """Wait for a fetch of the member list that is under way, if any."""
        if self._map_refresh is not None:
            # Shielded: other requests wait for the same fetch.
            await asyncio.shield(self._map_refresh)

    async def _fetch_member_map(self, member: Member) -> None:
        try:
            reply: ProbeReply = await self._call(
                member.address, PROBE, ProbeRequest(), timeout_s=MEMBER_PROBE_TIMEOUT_S
            )
            member_list = decode_members(reply.members)
        except (LentilroadError, TimeoutError) as error:
            log_event("storage_members_unknown", member=member.node, error=str(error))
            return
        self.update_map(MemberMap(version=reply.map_version, member_list=member_list))


def _spread_over_zones(ordered: list[Member]) -> list[Member]:
    """Move the nearest member of another zone to the second position."""
    if len(ordered) < 3:
        return ordered
    first = ordered[0]
    for index, member in enumerate(ordered[1:], start=1):
        if member.availability_zone != first.availability_zone:
            return [first, member, *ordered[1:index], *ordered[index + 1 :]]
    return ordered
