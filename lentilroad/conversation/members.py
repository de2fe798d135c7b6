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
    listed: MemberList


def decode_members(content: bytes) -> MemberList:
    """Decode the stored list; raises `msgspec.MsgspecError`."""
    return msgspec.json.decode(content, type=MemberList)


def encode_members(listed: MemberList) -> bytes:
    """Encode the list for the metadata store."""
    return msgspec.json.encode(listed)


def without(listed: MemberList, disk_id: str) -> MemberList:
    """Return the list without one disk; its slot stays empty."""
    return MemberList(
        slot_count=listed.slot_count,
        members=tuple(m for m in listed.members if m.disk_id != disk_id),
    )


def with_member(listed: MemberList, member: Member) -> MemberList:
    """Return the list with a member added, in place of others of the same node."""
    kept = tuple(m for m in listed.members if m.node != member.node)
    count = listed.slot_count
    if member.slot is not None:
        count = max(count, member.slot + 1)
    return MemberList(slot_count=count, members=(*kept, member))


def free_slot(listed: MemberList) -> int | None:
    """Return the lowest slot without a member."""
    taken = {member.slot for member in listed.members}
    return next((s for s in range(listed.slot_count) if s not in taken), None)


def program_slots(listed: MemberList, program_id: str, *, losses: int) -> list[int]:
    """Return the slots that decide on the budget of a program.

    Two sets of ``losses + 1`` out of the ``2 * losses + 1`` slots always share one.
    """
    wanted = 2 * losses + 1
    ranked = sorted(
        range(listed.slot_count),
        key=lambda slot: score(program_id, str(slot)),
    )
    return ranked[:wanted]


def program_members(
    listed: MemberList, program_id: str, *, losses: int
) -> list[Member]:
    """Return the members in the slots of a program."""
    slots = set(program_slots(listed, program_id, losses=losses))
    return [member for member in listed.members if member.slot in slots]
