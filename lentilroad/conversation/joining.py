"""How a storage process takes its place in the list of members, and leaves it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from lentilroad.clock import Clock
from lentilroad.conversation.const import (
    JOIN_RETRY_INTERVAL_S,
    JOIN_SPREAD_S,
    MEMBER_PROBE_TIMEOUT_S,
    MEMBER_REPLACE_AFTER_S,
    PULL_TIMEOUT_S,
)
from lentilroad.conversation.members import (
    Member,
    MemberList,
    MemberMap,
    decode_members,
    encode_members,
    free_slot,
    with_member,
    without_member,
)
from lentilroad.conversation.messages import (
    PROBE,
    PULL,
    PUT_LEDGERS,
    PUT_TURNS,
    WHICH_TURNS,
    ProbeReply,
    ProbeRequest,
    PullRequest,
    PutLedgers,
    PutTurns,
    TurnRecord,
    WhichTurns,
)
from lentilroad.conversation.replica import Replica
from lentilroad.errors import LentilroadError
from lentilroad.membership.rendezvous import rank
from lentilroad.process.events import log_event

# Members of the first start take slots only while the deployment forms.
FORMATION_TIMEOUT_S = 8.0
PUSH_BATCH_TURNS = 50
PUSH_BATCH_LEDGERS = 200

Call = Callable[..., Awaitable[Any]]


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberMapStore:
    """Reads and writes of the stored list.

    Attributes
    ----------
    read : callable
        Returns the newest `MemberMap`.
    write : callable
        Writes a list if the version is still the given one.
    """

    read: Callable[[], Awaitable[MemberMap]]
    write: Callable[[MemberList, int], Awaitable[int]]


class StorageMembership:
    """Place of this process among the members.

    Parameters
    ----------
    member : Member
        This process; its slot is filled in when it is known.
    new_disk : bool
        Whether the disk was empty at the start.
    first_start : bool
        Whether the whole deployment starts for the first time.
    replica : Replica
        State of the disk.
    map_store : MemberMapStore
        The stored list.
    call, stream : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections`.
    clock : Clock
        Source of time.
    on_map : callable
        Gets every `MemberMap` that is read or written.
    losses_tolerated : int
        Number of disks whose simultaneous loss must lose nothing.
    random_share : callable
        Returns a random number from 0 to 1, to spread tries.
    """

    def __init__(
        self,
        *,
        member: Member,
        new_disk: bool,
        first_start: bool,
        replica: Replica,
        map_store: MemberMapStore,
        call: Call,
        stream: Callable[..., Any],
        clock: Clock,
        on_map: Callable[[MemberMap], None],
        losses_tolerated: int,
        random_share: Callable[[], float] = random.random,
    ) -> None:
        self._member = member
        self._new_disk = new_disk
        self._first_start = first_start
        self._replica = replica
        self._map_store = map_store
        self._call = call
        self._stream = stream
        self._clock = clock
        self._on_map = on_map
        self._losses_tolerated = losses_tolerated
        self._random_share = random_share
        self._known = MemberMap(version=0, member_list=MemberList())
        self._started_s = clock.monotonic_s()
        self._lost_disk_id = ""
        # Disks that were read since this one took its place.
        self._pulled: set[str] = set()
        self._silent_since_s: dict[str, float] = {}
        self.retiring = False

    def update_map(self, known: MemberMap) -> None:
        """Take over a newer list."""
        if known.version > self._known.version:
            self._known = known
            self._on_map(known)

    def update_encoded_map(self, version: int, members: bytes) -> None:
        """Take over a newer list that another member knows."""
        if version > self._known.version and members:
            self.update_map(
                MemberMap(version=version, member_list=decode_members(members))
            )

    async def run(self) -> None:
        """Join, catch up, and take over the place of a member that is gone."""
        if self._first_start:
            await self._clock.sleep(JOIN_SPREAD_S * self._random_share())
        await self._until_done(self._join)
        reported = ""
        while True:
            try:
                await self._keep_place()
            except (LentilroadError, TimeoutError) as error:
                if str(error) != reported:
                    reported = str(error)
                    log_event("storage_step_failed", error=reported)
            await self._clock.sleep(JOIN_RETRY_INTERVAL_S)

    async def retire(self) -> None:
        """Copy everything to other members and leave the list."""
        self.retiring = True
        await self._until_done(self._hand_over)
        await self._until_done(self._leave)
        self._replica.retire()
        # What was written here between the first copy and leaving the list.
        await self._until_done(self._hand_over)
        log_event("storage_retired", disk=self._replica.disk_id)

    async def _until_done(self, step: Callable[[], Awaitable[bool]]) -> None:
        reported = ""
        while True:
            try:
                if await step():
                    return
            except (LentilroadError, TimeoutError) as error:
                if str(error) != reported:
                    reported = str(error)
                    log_event("storage_step_failed", error=reported)
            # All instances of a deployment start at about the same time and write the
            # same list; spread tries hardly ever conflict.
            await self._clock.sleep(JOIN_RETRY_INTERVAL_S * 2.0 * self._random_share())

    async def _join(self) -> bool:
        known = await self._map_store.read()
        self.update_map(known)
        present = known.member_list.find(self._replica.disk_id)
        if present is not None and present.address == self._member.address:
            self._member = present
            return True
        before = next(
            (m for m in known.member_list.members if m.node == self._member.node), None
        )
        slot = before.slot if before is not None else None
        if before is not None and before.disk_id != self._replica.disk_id:
            self._lost_disk_id = before.disk_id
        forming = self._clock.monotonic_s() - self._started_s < FORMATION_TIMEOUT_S
        if before is None and self._first_start and forming:
            slot = known.member_list.slot_count
        joined = _in_slot(self._member, slot)
        version = await self._map_store.write(
            with_member(known.member_list, joined), known.version
        )
        self._member = joined
        self.update_map(
            MemberMap(
                version=version, member_list=with_member(known.member_list, joined)
            )
        )
        log_event(
            "storage_joined",
            disk=joined.disk_id,
            slot=slot,
            replaces=self._lost_disk_id,
            version=version,
        )
        if self._first_start and self._new_disk and forming and before is None:
            await self._replica.mark_complete()
        return True

    async def _keep_place(self) -> None:
        if self.retiring:
            return
        present = self._known.member_list.find(self._replica.disk_id)
        if present is None:
            # Another instance took the place while this one did not answer.
            self._member = _in_slot(self._member, None)
            await self._join()
            return
        self._member = present
        if not self._replica.complete:
            silent, incomplete = await self._missing_members()
            if not await self._replace(silent, incomplete):
                await self._catch_up(silent, incomplete)
            return
        if present.slot is not None:
            return
        if free_slot(self._known.member_list) is not None:
            await self._take_place([])
            return
        await self._replace(*await self._missing_members())

    async def _catch_up(self, silent: list[Member], incomplete: list[Member]) -> None:
        """Copy what the disk should hold from all other members.

        A member is read once: turns that are written after this disk joined lie on
        enough disks without it.
        """
        known = self._known
        others = [
            member
            for member in self._others()
            if member.disk_id not in self._pulled and member not in silent
        ]
        started_s = self._clock.monotonic_s()
        results = await asyncio.gather(
            *(self._pull(member, known) for member in others),
            return_exceptions=True,
        )
        failed = [member.node for member in silent]
        for member, result in zip(others, results, strict=True):
            if isinstance(result, BaseException):
                failed.append(member.node)
            else:
                self._pulled.add(member.disk_id)
        # A turn lies on one disk more than may be lost at once. Besides the replaced
        # one, that many less one may be missing. Other disks that were replaced and
        # are not full yet are missing too; once all members answer, all that is left
        # has been copied.
        if failed:
            failed += [member.node for member in incomplete]
        if len(failed) > max(0, self._losses_tolerated - 1):
            log_event("storage_catch_up_waits", members=failed)
            return
        if self._known.version != known.version:
            return
        await self._replica.mark_complete()
        log_event(
            "storage_caught_up",
            disk=self._replica.disk_id,
            members=len(others),
            elapsed_s=round(self._clock.monotonic_s() - started_s, 3),
        )

    async def _pull(self, member: Member, known: MemberMap) -> None:
        # The other member must not judge by an older list which disks are gone.
        request = PullRequest(
            lost_disk_id=self._lost_disk_id,
            map_version=known.version,
            members=encode_members(known.member_list),
        )
        async for batch in self._stream(
            member.address, PULL, request, timeout_s=PULL_TIMEOUT_S
        ):
            if batch.turns:
                await self._replica.put_turns(PutTurns(turns=batch.turns))
            if batch.ledgers:
                await self._replica.put_ledgers(PutLedgers(ledgers=batch.ledgers))

    async def _missing_members(self) -> tuple[list[Member], list[Member]]:
        """Return the members without an answer, and those with a disk in repair."""
        others = self._others()
        now_s = self._clock.monotonic_s()
        replies = await asyncio.gather(*(self._probe(member) for member in others))
        silent = []
        incomplete = []
        for member, reply in zip(others, replies, strict=True):
            if reply is not None:
                self._silent_since_s.pop(member.disk_id, None)
                # Instances without a slot are new: their disks replace no other one.
                if not reply.complete_disk and member.slot is not None:
                    incomplete.append(member)
                continue
            silent.append(member)
            self._silent_since_s.setdefault(member.disk_id, now_s)
        return silent, incomplete

    async def _replace(self, silent: list[Member], incomplete: list[Member]) -> bool:
        """Take over from members that have not answered for some time.

        One that was only cut off finds itself left out and joins again with its disk.
        """
        # More silent members than may be lost mean that this instance is cut off.
        # Disks in repair are losses too: a silent one may hold the last copy of a turn.
        lost = len(silent) + len(incomplete)
        if not self._replica.complete and self._member.slot is not None:
            lost += 1
        if lost > self._losses_tolerated:
            return False
        now_s = self._clock.monotonic_s()
        gone = [
            member
            for member in silent
            if now_s - self._silent_since_s[member.disk_id] >= MEMBER_REPLACE_AFTER_S
        ]
        if gone:
            await self._take_place(gone)
        return bool(gone)

    async def _take_place(self, gone: list[Member]) -> None:
        known = self._known
        member_list = known.member_list
        for member in gone:
            member_list = without_member(member_list, member.disk_id)
        slot = self._member.slot
        joined = _in_slot(
            self._member, free_slot(member_list) if slot is None else slot
        )
        member_list = with_member(member_list, joined)
        version = await self._map_store.write(member_list, known.version)
        self._replica.complete = False
        self._pulled.clear()
        self._lost_disk_id = gone[0].disk_id if gone else ""
        self._member = joined
        self.update_map(MemberMap(version=version, member_list=member_list))
        log_event(
            "storage_place_taken",
            slot=joined.slot,
            replaces=[member.node for member in gone],
            version=version,
        )

    def _others(self) -> list[Member]:
        return [
            member
            for member in self._known.member_list.members
            if member.disk_id != self._replica.disk_id
        ]

    async def _probe(self, member: Member) -> ProbeReply | None:
        try:
            reply: ProbeReply = await self._call(
                member.address, PROBE, ProbeRequest(), timeout_s=MEMBER_PROBE_TIMEOUT_S
            )
        except (LentilroadError, TimeoutError):
            # It counts as silent; taking its place is logged.
            return None
        return reply if reply.disk_id == member.disk_id else None

    async def _hand_over(self) -> bool:
        known = await self._map_store.read()
        self.update_map(known)
        others = [
            m for m in known.member_list.members if m.disk_id != self._replica.disk_id
        ]
        turns = {record.turn_id: record for record in self._replica.turns()}
        request = WhichTurns(turn_ids=list(turns))
        replies = await asyncio.gather(
            *(
                self._call(m.address, WHICH_TURNS, request, timeout_s=PULL_TIMEOUT_S)
                for m in others
            )
        )
        copies: dict[str, set[str]] = {turn_id: set() for turn_id in turns}
        for member, reply in zip(others, replies, strict=True):
            for turn_id in reply.turn_ids:
                copies[turn_id].add(member.disk_id)
        disks = [member.disk_id for member in others]
        targets = {
            turn_id: _new_holders(turn_id, held, disks, self._losses_tolerated + 1)
            for turn_id, held in copies.items()
        }
        await asyncio.gather(
            *(
                self._push(
                    member,
                    [turns[t] for t, to in targets.items() if member.disk_id in to],
                )
                for member in others
            )
        )
        return True

    async def _push(self, member: Member, turns: list[TurnRecord]) -> None:
        for start in range(0, len(turns), PUSH_BATCH_TURNS):
            await self._call(
                member.address,
                PUT_TURNS,
                PutTurns(turns=turns[start : start + PUSH_BATCH_TURNS]),
                timeout_s=PULL_TIMEOUT_S,
            )
        ledgers = self._replica.ledgers()
        for start in range(0, len(ledgers), PUSH_BATCH_LEDGERS):
            await self._call(
                member.address,
                PUT_LEDGERS,
                PutLedgers(ledgers=ledgers[start : start + PUSH_BATCH_LEDGERS]),
                timeout_s=PULL_TIMEOUT_S,
            )

    async def _leave(self) -> bool:
        known = await self._map_store.read()
        if known.member_list.find(self._replica.disk_id) is None:
            return True
        member_list = without_member(known.member_list, self._replica.disk_id)
        version = await self._map_store.write(member_list, known.version)
        self.update_map(MemberMap(version=version, member_list=member_list))
        return True


def _new_holders(
    turn_id: str, held: set[str], disks: list[str], copies: int
) -> list[str]:
    """Return the disks that get a copy, so that `copies` of them hold the turn."""
    missing = max(0, copies - len(held))
    candidates = [disk for disk in disks if disk not in held]
    return rank(turn_id, candidates)[:missing]


def _in_slot(member: Member, slot: int | None) -> Member:
    return Member(
        node=member.node,
        disk_id=member.disk_id,
        address=member.address,
        availability_zone=member.availability_zone,
        region=member.region,
        slot=slot,
    )
