"""Messages between entries and storage processes."""

from __future__ import annotations

import msgspec

from lentilroad.wire.services import Method


class Message(msgspec.Struct, kw_only=True, array_like=True):
    """Base of all messages of the conversation store."""


class TurnRecord(Message):
    """One ended turn.

    Attributes
    ----------
    previous_id : str
        Turn that it continues from; empty at the start of a chain.
    input : bytes
        Body that the caller sent.
    output : bytes
        Data of each event of the answer, each followed by a line feed.
    instance_id : str
        Upstream instance that ran it.
    holders : list of str
        Disks that the record may have been sent to; some may not have it.
    written_s : float
        Unix time of the write, in seconds.
    """

    turn_id: str
    previous_id: str
    input: bytes
    output: bytes
    instance_id: str
    holders: list[str]
    retention_s: float
    written_s: float = 0.0


class PutTurns(Message):
    """Store turns; answered after they are synced."""

    turns: list[TurnRecord]


class StoreReply(Message):
    """Everything of the request lies on the disk."""

    disk_id: str


class ReadChain(Message):
    """Read a turn and the turns before it."""

    turn_id: str


class Chain(Message):
    """Turns from the one asked for back to the first.

    Attributes
    ----------
    complete_disk : bool
        Whether the disk holds all that it should, so that "not found" is proof.
    turns : list of TurnRecord
        Newest first; empty when the turn is not here.
    missing_id : str
        Turn of the chain that is not here; empty when the chain is whole.
    """

    disk_id: str
    complete_disk: bool
    turns: list[TurnRecord]
    missing_id: str = ""


class Grant(Message):
    """Tokens of one program that one entry may hand out.

    Attributes
    ----------
    tokens : int
        All tokens granted to the entry so far, used ones included.
    confirmed_tokens : int
        Part that the entry knows to be stored at a quorum.
    needed_tokens : int
        Part that was used or is reserved by turns under way.
    revision : int
        Number of the entry's last change; older ones are ignored.
    """

    grant_id: str
    tokens: int
    confirmed_tokens: int
    needed_tokens: int
    revision: int


class Reserve(Message):
    """Change an entry's grant, or read the grants when there is none."""

    program_id: str
    map_version: int
    grant: Grant | None = None
    # Confirmations need no sync: losing one only costs a second round.
    skip_sync: bool = False


class Ledger(Message):
    """All grants of a program."""

    program_id: str
    grants: list[Grant]
    updated_s: float = 0.0


class WhichTurns(Message):
    """Ask which of some turns lie on a disk."""

    turn_ids: list[str]


class StoredTurns(Message):
    """Turns that lie on the disk, out of those asked for."""

    turn_ids: list[str]


class PullRequest(Message):
    """Ask for what a replaced disk held.

    Attributes
    ----------
    lost_disk_id : str
        Disk that the caller replaces; empty for all.
    """

    lost_disk_id: str
    map_version: int
    members: bytes = b""


class PullBatch(Message):
    """Part of what a disk holds."""

    turns: list[TurnRecord]
    ledgers: list[Ledger]


class PutLedgers(Message):
    """Merge grants of programs; answered after they are synced."""

    ledgers: list[Ledger]


class ProbeRequest(Message):
    """Ask whether a storage process answers."""

    map_version: int = 0


class ProbeReply(Message):
    """State of a storage process.

    Attributes
    ----------
    stalled : bool
        Whether the disk holds up writes.
    writable : bool
        Whether the disk takes writes; reads are answered in any case.
    """

    disk_id: str
    complete_disk: bool
    map_version: int = 0
    members: bytes = b""
    stalled: bool = False
    writable: bool = True


class Announcement(Message):
    """Tell a storage process where an entry is reached by other entries."""

    address: str
    wants_entries: bool = False


class EntryAddresses(Message):
    """Addresses of other entries; empty when they were not asked for."""

    addresses: list[str]


class RelayRequest(Message):
    """Ask an entry to pass a call on to a storage member.

    Attributes
    ----------
    address : str
        Address of the member.
    path : str
        Path of the method.
    payload : bytes
        Encoded request.
    """

    address: str
    path: str
    payload: bytes
    timeout_s: float


class RelayReply(Message):
    """The member's encoded reply."""

    payload: bytes


PUT_TURNS = Method(
    path="/lentilroad.Storage/PutTurns", request_type=PutTurns, reply_type=StoreReply
)
READ_CHAIN = Method(
    path="/lentilroad.Storage/ReadChain", request_type=ReadChain, reply_type=Chain
)
RESERVE = Method(
    path="/lentilroad.Storage/Reserve", request_type=Reserve, reply_type=Ledger
)
WHICH_TURNS = Method(
    path="/lentilroad.Storage/WhichTurns",
    request_type=WhichTurns,
    reply_type=StoredTurns,
)
PULL = Method(
    path="/lentilroad.Storage/Pull",
    request_type=PullRequest,
    reply_type=PullBatch,
    streaming=True,
)
PUT_LEDGERS = Method(
    path="/lentilroad.Storage/PutLedgers",
    request_type=PutLedgers,
    reply_type=StoreReply,
)
PROBE = Method(
    path="/lentilroad.Storage/Probe", request_type=ProbeRequest, reply_type=ProbeReply
)
ANNOUNCE = Method(
    path="/lentilroad.Storage/Announce",
    request_type=Announcement,
    reply_type=EntryAddresses,
)
# Served by entries.
RELAY = Method(
    path="/lentilroad.Entry/Relay", request_type=RelayRequest, reply_type=RelayReply
)
