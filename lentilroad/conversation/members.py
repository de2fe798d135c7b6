"""List of the storage members, kept as one value in the metadata store."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from lentilroad.membership.rendezvous import score


class Member(msgspec.Struct, kw_only=True, frozen=True):
    """One instance with a disk.

    Attributes
    ----------
    slot : int or None
        Place in which the member takes part in decisions on budgets; None for
        instances added later.
    """

    node: str
    disk_id: str
    address: str
    availability_zone: str
    region: str
    slot: int | None = None


class MemberList(msgspec.Struct, kw_only=True, frozen=True):
    """All members of one version of the list.

    Attributes
    ----------
    slot_count : int
        Number of slots that were ever given out; it never shrinks.
    """

    slot_count: int = 0
    members: tuple[Member, ...] = ()

    def find(self, disk_id: str) -> Member | None:
        """Return the member with the given disk."""
        return next((m for m in self.members if m.disk_id == disk_id), None)


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberMap:
    """A version of the list; `version` is 0 before one is known."""

    version: int
    member_list: MemberList


def decode_members(content: bytes) -> MemberList:
    """Decode the stored list; raises `msgspec.MsgspecError`."""
    return msgspec.json.decode(content, type=MemberList)


def encode_members(member_list: MemberList) -> bytes:
    """Encode the list for the metadata store."""
    return msgspec.json.encode(member_list)


def without_member(member_list: MemberList, disk_id: str) -> MemberList:
    """Return the list without one disk; its slot stays empty."""
    return MemberList(
        slot_count=member_list.slot_count,
        members=tuple(m for m in member_list.members if m.disk_id != disk_id),
    )


def with_member(member_list: MemberList, member: Member) -> MemberList:
    """Return the list with a member added, in place of others of the same node."""
    kept = tuple(m for m in member_list.members if m.node != member.node)
    count = member_list.slot_count
    if member.slot is not None:
        count = max(count, member.slot + 1)
    return MemberList(slot_count=count, members=(*kept, member))


def free_slot(member_list: MemberList) -> int | None:
    """Return the lowest slot without a member."""
    taken = {member.slot for member in member_list.members}
    return next((s for s in range(member_list.slot_count) if s not in taken), None)


def program_slots(
    member_list: MemberList, program_id: str, *, losses_tolerated: int
) -> list[int]:
    """Return the slots that decide on the budget of a program.

    Two sets of ``losses_tolerated + 1`` out of the ``2 * losses_tolerated + 1`` slots
    always share one.
    """
    wanted = 2 * losses_tolerated + 1
    ranked = sorted(
        range(member_list.slot_count),
        key=lambda slot: score(program_id, str(slot)),
    )
    return ranked[:wanted]


def program_members(
    member_list: MemberList, program_id: str, *, losses_tolerated: int
) -> list[Member]:
    """Return the members in the slots of a program."""
    slots = set(
        program_slots(member_list, program_id, losses_tolerated=losses_tolerated)
    )
    return [member for member in member_list.members if member.slot in slots]
