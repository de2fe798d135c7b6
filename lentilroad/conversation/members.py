"""Member list of the storage processes, stored as one value in the metadata store."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Annotated

import msgspec

from lentilroad.membership.rendezvous import score
from lentilroad.wire.untrusted import decode_json

LIST_COORDINATION_KEY = "lists"
MIN_LIST_COORDINATORS = 2
MAX_SLOT_COUNT = 10_000
# Bounds the processes that compare their lists with one coordinator.
MEMBERS_PER_LIST_COORDINATOR = 12


class Member(msgspec.Struct, kw_only=True, frozen=True):
    """One storage member: an instance with a disk.

    Attributes
    ----------
    slot : int or None
        Number by which programs select the members that store their grants; None for
        instances added later, which store no grants.
    assignment : int
        Identifies the records that the member stores in place of other disks: one more
        than the version of the list that was replaced when they were assigned. The
        disk counts as complete only once it has copied the records of this assignment.
    replaced_disk_id : str
        Disk whose records were assigned; empty for the records of any lost disk.
    """

    node: str
    disk_id: str
    address: str
    availability_zone: str
    region: str
    slot: Annotated[int, msgspec.Meta(ge=0, lt=MAX_SLOT_COUNT)] | None = None
    assignment: int = 0
    replaced_disk_id: str = ""


class MemberList(msgspec.Struct, kw_only=True, frozen=True):
    """All storage members.

    Attributes
    ----------
    slot_count : int
        Number of slots assigned so far; it never decreases.
    """

    slot_count: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOT_COUNT)] = 0
    members: tuple[Member, ...] = ()

    def find(self, disk_id: str) -> Member | None:
        """Return the member with the given disk, or None."""
        return next((m for m in self.members if m.disk_id == disk_id), None)


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberMap:
    """Versioned member list; `version` is 0 before a list was read."""

    version: int
    member_list: MemberList


def decode_members(content: bytes) -> MemberList:
    """Decode the stored list; raise `UnreadableError` if it is invalid."""
    return decode_json(content, MemberList)


def encode_members(member_list: MemberList) -> bytes:
    """Encode the list for the metadata store."""
    return msgspec.json.encode(member_list)


def without_member(member_list: MemberList, disk_id: str) -> MemberList:
    """Return the list without the member of a disk; its slot becomes free."""
    return MemberList(
        slot_count=member_list.slot_count,
        members=tuple(m for m in member_list.members if m.disk_id != disk_id),
    )


def with_member(member_list: MemberList, member: Member) -> MemberList:
    """Return the list with a member added.

    It replaces any member of the same node or disk.
    """
    others = tuple(
        m
        for m in member_list.members
        if m.node != member.node and m.disk_id != member.disk_id
    )
    count = member_list.slot_count
    if member.slot is not None:
        count = max(count, member.slot + 1)
    return MemberList(slot_count=count, members=(*others, member))


def free_slot(member_list: MemberList) -> int | None:
    """Return the lowest slot without a member, or None."""
    used_slots = {member.slot for member in member_list.members}
    return next((s for s in range(member_list.slot_count) if s not in used_slots), None)


def program_slots(
    member_list: MemberList, program_id: str, *, losses_tolerated: int
) -> list[int]:
    """Return the slots whose members store the grants of a program.

    There are ``2 * losses_tolerated + 1`` slots, so that any two quorums of
    ``losses_tolerated + 1`` slots overlap.
    """
    slot_count = 2 * losses_tolerated + 1
    ranked_slots = sorted(
        range(member_list.slot_count),
        key=lambda slot: score(program_id, str(slot)),
    )
    return ranked_slots[:slot_count]


def program_members(
    member_list: MemberList, program_id: str, *, losses_tolerated: int
) -> list[Member]:
    """Return the members in the slots of a program."""
    slots = set(
        program_slots(member_list, program_id, losses_tolerated=losses_tolerated)
    )
    return [member for member in member_list.members if member.slot in slots]


def rank_coordinators(
    member_list: MemberList, key: str, availability_zone: str
) -> list[Member]:
    """Return all members in the order in which they coordinate a key.

    Members of the given zone come first, since most callers are near it.
    """
    return sorted(
        member_list.members,
        key=lambda member: (
            member.availability_zone != availability_zone,
            score(key, member.disk_id),
        ),
    )


def list_coordinators(
    member_list: MemberList, *, availability_zone: str, region: str
) -> list[str]:
    """Return the addresses of the members that read the store's lists for others.

    They are the same for all callers, spread over availability zones, and sorted by
    their distance from the given zone and region.
    """
    ranked = rank_coordinators(member_list, LIST_COORDINATION_KEY, "")
    count = max(
        MIN_LIST_COORDINATORS, math.ceil(len(ranked) / MEMBERS_PER_LIST_COORDINATOR)
    )
    first_of_zone = {member.availability_zone: member for member in reversed(ranked)}
    zones_first = sorted(
        ranked, key=lambda member: first_of_zone[member.availability_zone] is not member
    )
    nearest_first = sorted(
        zones_first[:count],
        key=lambda member: (
            member.availability_zone != availability_zone,
            member.region != region,
        ),
    )
    return [member.address for member in nearest_first]


def coordinator_position(
    member_list: MemberList, disk_id: str, key: str, availability_zone: str
) -> int:
    """Return the position of a disk among the coordinators of a key.

    A disk that is not listed comes after all others.
    """
    ranked = rank_coordinators(member_list, key, availability_zone)
    disk_ids = [member.disk_id for member in ranked]
    return disk_ids.index(disk_id) if disk_id in disk_ids else len(disk_ids)
