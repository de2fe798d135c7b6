"""Membership of a storage process: joining, catching up, replacing and retiring."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from lentilroad.clock import Clock
from lentilroad.conversation.const import (
    JOIN_RETRY_INTERVAL_S,
    JOIN_SPREAD_S,
    MEMBER_PROBE_TIMEOUT_S,
    MEMBER_REPLACE_AFTER_S,
    PULL_TIMEOUT_S,
)
from lentilroad.conversation.copying import RecordCopier
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
    ProbeReply,
    ProbeRequest,
    PullRequest,
    PutLedgers,
    PutTurns,
)
from lentilroad.conversation.replica import Replica
from lentilroad.errors import LentilroadError
from lentilroad.process.events import log_event

# At the first start of a deployment, new members claim new slots only within this time.
FORMATION_TIMEOUT_S = 8.0

Call = Callable[..., Awaitable[Any]]


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberMapStore:
    """Access to the member list in the metadata store.

    Attributes
    ----------
    read : callable
        Returns the newest `MemberMap`.
    write : callable
        Writes a list if the stored version is still the given one; returns the new
        version.
    """

    read: Callable[[], Awaitable[MemberMap]]
    write: Callable[[MemberList, int], Awaitable[int]]


@dataclass(slots=True, kw_only=True)
class _CopyProgress:
    """Progress of copying the records of one assignment.

    Attributes
    ----------
    own_turn_ids : frozenset of str
        Turns that this disk stored before it copied any.
    copied_disks : set of str
        Disks from which the records were copied.
    """

    assignment: int
    own_turn_ids: frozenset[str] = frozenset()
    copied_disks: set[str] = field(default_factory=set)


class StorageMembership:
    """Manages the membership of this storage process.

    Parameters
    ----------
    member : Member
        Identity of this process; its slot and assignment are set on joining.
    new_disk : bool
        Whether the disk was empty at the start.
    first_start : bool
        Whether the deployment starts for the first time.
    replica : Replica
        Turns and grants stored on this process's disk.
    map_store : MemberMapStore
        Access to the stored member list.
    call, stream : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections`.
    clock : Clock
        Source of time.
    on_map : callable
        Called with every newer `MemberMap`.
    losses_tolerated : int
        Number of disks that may fail simultaneously without data loss.
    random_share : callable
        Returns a random number from 0 to 1, which spreads the attempts.
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
        self._current_map = MemberMap(version=0, member_list=MemberList())
        self._started_s = clock.monotonic_s()
        # Assignment that this process wrote for a disk of a new deployment, which has
        # no records to copy.
        self._founding_assignment: int | None = None
        # Version of the list that this process last claimed a slot in. Until a newer
        # list is known, the claim may have taken effect or may still do so.
        self._claimed_version = -1
        self._copy_progress = _CopyProgress(assignment=0)
        self._copier = RecordCopier(call=call, replica=replica)
        self._unresponsive_since_s: dict[str, float] = {}
        self.retiring = False

    def update_map(self, new_map: MemberMap) -> None:
        """Replace the member map if the given one is newer."""
        if new_map.version > self._current_map.version:
            self._current_map = new_map
            self._on_map(new_map)

    def update_encoded_map(self, version: int, members: bytes) -> None:
        """Replace the member map if the one sent by another member is newer."""
        if version > self._current_map.version and members:
            self.update_map(
                MemberMap(version=version, member_list=decode_members(members))
            )

    async def run(self) -> None:
        """Join, catch up, and replace unresponsive members; never returns."""
        if self._first_start:
            await self._clock.sleep(JOIN_SPREAD_S * self._random_share())
        await self._retry_until_done(self._join)
        last_logged_error = ""
        while True:
            try:
                await self._maintain_membership()
            except (LentilroadError, TimeoutError) as error:
                if str(error) != last_logged_error:
                    last_logged_error = str(error)
                    log_event("storage_step_failed", error=last_logged_error)
            await self._clock.sleep(JOIN_RETRY_INTERVAL_S)

    async def retire(self) -> None:
        """Copy all records to other members and leave the member list."""
        self.retiring = True
        await self._retry_until_done(self._copy_to_other_members)
        await self._retry_until_done(self._leave_member_list)
        await self._replica.retire()
        # Copies the records that were written here after the first copy.
        await self._retry_until_done(self._copy_to_other_members)
        log_event("storage_retired", disk=self._replica.disk_id)

    async def _retry_until_done(self, step: Callable[[], Awaitable[bool]]) -> None:
        last_logged_error = ""
        while True:
            try:
                if await step():
                    return
            except (LentilroadError, TimeoutError) as error:
                if str(error) != last_logged_error:
                    last_logged_error = str(error)
                    log_event("storage_step_failed", error=last_logged_error)
            # All instances of a deployment start at about the same time and write the
            # same list; spreading their attempts avoids most write conflicts.
            await self._clock.sleep(JOIN_RETRY_INTERVAL_S * 2.0 * self._random_share())

    def is_complete(self) -> bool:
        """Return whether the disk has copied the records of its newest assignment.

        While the outcome of a claim is unknown, the newest assignment is unknown too.
        """
        present = self._own_member()
        if present is None or self._has_unsettled_claim():
            return False
        return self._replica.has_copied(present.assignment)

    def _has_unsettled_claim(self) -> bool:
        return self._current_map.version <= self._claimed_version

    def _own_member(self) -> Member | None:
        return self._current_map.member_list.find(self._replica.disk_id)

    async def _join(self) -> bool:
        current_map = await self._map_store.read()
        self.update_map(current_map)
        present = self._own_member()
        if present is None or present.address != self._member.address:
            await self._write_own_member(current_map)
        await self._complete_founding_disk()
        return True

    async def _write_own_member(self, current_map: MemberMap) -> None:
        """Add this process to the list, in the slot of its node if it has one."""
        member_list = current_map.member_list
        present = member_list.find(self._replica.disk_id)
        previous = present or next(
            (m for m in member_list.members if m.node == self._member.node), None
        )
        slot = None if previous is None else previous.slot
        assignment = current_map.version + 1
        replaced_disk_id = ""
        if present is not None:
            assignment = present.assignment
            replaced_disk_id = present.replaced_disk_id
        elif previous is not None:
            replaced_disk_id = previous.disk_id
        elif self._first_start and self._is_forming():
            slot = member_list.slot_count
            if self._new_disk:
                self._founding_assignment = assignment
        elif self._replica.copied_assignment is not None:
            # The disk was replaced while it was unresponsive, and returns without a
            # slot: it is assigned no records of other disks.
            assignment = self._replica.copied_assignment
        new_member = msgspec.structs.replace(
            self._member,
            slot=slot,
            assignment=assignment,
            replaced_disk_id=replaced_disk_id,
        )
        await self._write_member(new_member, member_list, current_map.version)
        log_event(
            "storage_joined",
            disk=new_member.disk_id,
            slot=slot,
            assignment=assignment,
            replaces=replaced_disk_id,
            version=self._current_map.version,
        )

    async def _write_member(
        self, new_member: Member, member_list: MemberList, version: int
    ) -> None:
        member_list = with_member(member_list, new_member)
        new_version = await self._map_store.write(member_list, version)
        self.update_map(MemberMap(version=new_version, member_list=member_list))

    def _is_forming(self) -> bool:
        return self._clock.monotonic_s() - self._started_s < FORMATION_TIMEOUT_S

    async def _complete_founding_disk(self) -> None:
        """Mark the disk as complete if it joined a deployment without records."""
        present = self._own_member()
        if (
            present is not None
            and present.assignment == self._founding_assignment
            and self._is_forming()
            and not self.is_complete()
        ):
            await self._replica.mark_copied(present.assignment)

    async def _maintain_membership(self) -> None:
        if self.retiring:
            return
        if self._has_unsettled_claim():
            await self._settle_claim()
        present = self._own_member()
        if present is None:
            # Another instance replaced this member while it was unresponsive.
            await self._join()
            return
        if not self._replica.has_copied(present.assignment):
            unresponsive, incomplete = await self._find_unavailable_members()
            if not await self._replace(unresponsive, incomplete):
                await self._catch_up(unresponsive, incomplete)
            return
        if present.slot is not None:
            return
        if free_slot(self._current_map.member_list) is not None:
            await self._claim_slot([])
            return
        await self._replace(*await self._find_unavailable_members())

    async def _catch_up(
        self, unresponsive: list[Member], incomplete: list[Member]
    ) -> None:
        """Copy from all other members the records that this disk should store.

        Each member is read once: turns that are written after this disk joined have
        enough copies without those on this disk.
        """
        current_map = self._current_map
        present = self._own_member()
        if present is None:
            return
        if self._copy_progress.assignment != present.assignment:
            self._copy_progress = _CopyProgress(
                assignment=present.assignment,
                own_turn_ids=frozenset(turn.turn_id for turn in self._replica.turns()),
            )
        copied_disks = self._copy_progress.copied_disks
        others = [
            member
            for member in self._other_members()
            if member.disk_id not in copied_disks and member not in unresponsive
        ]
        started_s = self._clock.monotonic_s()
        results = await asyncio.gather(
            *(
                self._pull_records(member, present.replaced_disk_id, current_map)
                for member in others
            ),
            return_exceptions=True,
        )
        failed = [member.node for member in unresponsive]
        for member, result in zip(others, results, strict=True):
            if isinstance(result, BaseException):
                failed.append(member.node)
            else:
                copied_disks.add(member.disk_id)
        # A turn has `losses_tolerated + 1` copies. Besides the replaced disk, at most
        # `losses_tolerated - 1` disks may be missing. Disks that are still catching up
        # count as missing too. Once all members reply, every remaining copy has been
        # read.
        if failed:
            failed += [member.node for member in incomplete]
        if len(failed) > max(0, self._losses_tolerated - 1):
            log_event("storage_catch_up_waits", members=failed)
            return
        if self._current_map.version != current_map.version:
            return
        await self._restore_second_copies(unresponsive)
        await self._replica.mark_copied(present.assignment)
        log_event(
            "storage_caught_up",
            disk=self._replica.disk_id,
            assignment=present.assignment,
            members=len(others),
            elapsed_s=round(self._clock.monotonic_s() - started_s, 3),
        )

    async def _pull_records(
        self, member: Member, replaced_disk_id: str, current_map: MemberMap
    ) -> None:
        # Sends the member list, so that the other member does not select the turns by
        # an older list, which still contains the replaced disk.
        request = PullRequest(
            replaced_disk_id=replaced_disk_id,
            map_version=current_map.version,
            members=encode_members(current_map.member_list),
        )
        async for batch in self._stream(
            member.address, PULL, request, timeout_s=PULL_TIMEOUT_S
        ):
            if batch.turns:
                await self._replica.put_turns(
                    PutTurns(turns=batch.turns, lifetimes=batch.lifetimes)
                )
            if batch.ledgers:
                await self._replica.put_ledgers(PutLedgers(ledgers=batch.ledgers))

    async def _restore_second_copies(self, unresponsive: list[Member]) -> None:
        """Copy turns to other members that this disk shared with a lost disk.

        This disk takes the place of the lost one, but it already has one of the copies.
        """
        member_disks = {m.disk_id for m in self._current_map.member_list.members}
        shared = {
            turn.turn_id: turn
            for turn in self._replica.turns()
            if turn.turn_id in self._copy_progress.own_turn_ids
            and not member_disks.issuperset(turn.holders)
        }
        others = [m for m in self._other_members() if m not in unresponsive]
        await self._copier.push_missing_copies(shared, others, self._losses_tolerated)

    async def _find_unavailable_members(self) -> tuple[list[Member], list[Member]]:
        """Return the unresponsive members and the members that are catching up."""
        others = self._other_members()
        now_s = self._clock.monotonic_s()
        replies = await asyncio.gather(*(self._probe(member) for member in others))
        unresponsive = []
        incomplete = []
        for member, reply in zip(others, replies, strict=True):
            if reply is not None:
                self._unresponsive_since_s.pop(member.disk_id, None)
                # An instance without a slot was added later; it replaces no other disk.
                if not reply.complete_disk and member.slot is not None:
                    incomplete.append(member)
                continue
            unresponsive.append(member)
            self._unresponsive_since_s.setdefault(member.disk_id, now_s)
        return unresponsive, incomplete

    async def _replace(
        self, unresponsive: list[Member], incomplete: list[Member]
    ) -> bool:
        """Replace members that have been unresponsive for `MEMBER_REPLACE_AFTER_S`.

        A replaced member that was only unreachable joins again with its disk.
        """
        # If more members are unresponsive than may be lost, this instance is itself cut
        # off. Disks that are catching up count as lost too: an unresponsive member may
        # store the last copy of a turn.
        lost_count = len(unresponsive) + len(incomplete)
        present = self._own_member()
        if present is None:
            return False
        if present.slot is not None and not self.is_complete():
            lost_count += 1
        if lost_count > self._losses_tolerated:
            return False
        now_s = self._clock.monotonic_s()
        replaced = [
            member
            for member in unresponsive
            if now_s - self._unresponsive_since_s[member.disk_id]
            >= MEMBER_REPLACE_AFTER_S
        ]
        if replaced:
            await self._claim_slot(replaced)
        return bool(replaced)

    async def _claim_slot(self, replaced: list[Member]) -> None:
        current_map = self._current_map
        member_list = current_map.member_list
        for member in replaced:
            member_list = without_member(member_list, member.disk_id)
        present = self._own_member()
        slot = None if present is None else present.slot
        new_member = msgspec.structs.replace(
            self._member,
            slot=free_slot(member_list) if slot is None else slot,
            assignment=current_map.version + 1,
            replaced_disk_id=replaced[0].disk_id if replaced else "",
        )
        self._claimed_version = current_map.version
        await self._write_member(new_member, member_list, current_map.version)
        log_event(
            "storage_place_taken",
            slot=new_member.slot,
            assignment=new_member.assignment,
            replaces=[member.node for member in replaced],
            version=self._current_map.version,
        )

    async def _settle_claim(self) -> None:
        """Find out whether a claim without an answer took effect.

        If it has not, the list is written again unchanged, so that the claim cannot
        take effect later.
        """
        stored_map = await self._map_store.read()
        self.update_map(stored_map)
        if not self._has_unsettled_claim():
            return
        member_list = stored_map.member_list
        new_version = await self._map_store.write(member_list, stored_map.version)
        self.update_map(MemberMap(version=new_version, member_list=member_list))
        log_event("storage_claim_withdrawn", version=new_version)

    def _other_members(self) -> list[Member]:
        return [
            member
            for member in self._current_map.member_list.members
            if member.disk_id != self._replica.disk_id
        ]

    async def _probe(self, member: Member) -> ProbeReply | None:
        try:
            reply: ProbeReply = await self._call(
                member.address,
                PROBE,
                ProbeRequest(assignment=member.assignment),
                timeout_s=MEMBER_PROBE_TIMEOUT_S,
            )
        except (LentilroadError, TimeoutError):
            # The member counts as unresponsive; its replacement is logged.
            return None
        return reply if reply.disk_id == member.disk_id else None

    async def _copy_to_other_members(self) -> bool:
        current_map = await self._map_store.read()
        self.update_map(current_map)
        others = [
            m
            for m in current_map.member_list.members
            if m.disk_id != self._replica.disk_id
        ]
        turns = {record.turn_id: record for record in self._replica.turns()}
        await self._copier.push_missing_copies(
            turns, others, self._losses_tolerated + 1
        )
        await asyncio.gather(*(self._copier.push_ledgers(member) for member in others))
        return True

    async def _leave_member_list(self) -> bool:
        current_map = await self._map_store.read()
        if current_map.member_list.find(self._replica.disk_id) is None:
            return True
        member_list = without_member(current_map.member_list, self._replica.disk_id)
        version = await self._map_store.write(member_list, current_map.version)
        self.update_map(MemberMap(version=version, member_list=member_list))
        return True
