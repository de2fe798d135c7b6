"""Messages between entries and storage processes."""

from __future__ import annotations

import msgspec

from lentilroad.wire.services import Method


class Message(msgspec.Struct, kw_only=True, array_like=True):
    """Base class of all messages of the conversation store."""


class TurnRecord(Message):
    """One finished turn.

    Attributes
    ----------
    previous_id : str
        Id of the previous turn; empty at the start of a chain.
    input : bytes
        Request body of the caller.
    output : bytes
        Data of each event of the response, each followed by a line feed.
    instance_id : str
        Upstream instance that ran the turn.
    holders : list of str
        Disks to which the record may have been sent; some of them may lack it.
    written_s : float
        Unix time of the write, in seconds.
    conversation_id : str
        Id of the first turn of the chain; empty in records of versions that did not
        store it.
    conversation_disks : list of str
        Disks to which the previous turns of the chain may have been sent.
    kept_until_s : float
        Unix time until which each of the previous turns is retained without this one.
    """

    turn_id: str
    previous_id: str
    input: bytes
    output: bytes
    instance_id: str
    holders: list[str]
    retention_s: float
    written_s: float = 0.0
    conversation_id: str = ""
    conversation_disks: list[str] = []
    kept_until_s: float = 0.0


class Lifetime(Message):
    """Remaining lifetime of the records of a conversation or program.

    Attributes
    ----------
    key : str
        See `lentilroad.conversation.lifetimes`.
    remaining_s : float
        Time for which the records are still needed, in seconds.
    """

    key: str
    remaining_s: float


class PutTurns(Message):
    """Store turns; the reply is sent after they are synced.

    Attributes
    ----------
    lifetimes : list of Lifetime
        Lifetimes of the conversations of copied turns; empty for new turns.
    """

    turns: list[TurnRecord]
    lifetimes: list[Lifetime] = []


class StoreReply(Message):
    """Confirmation that all records of the request are synced to the disk."""

    disk_id: str


class ReadChain(Message):
    """Read a turn and the turns before it.

    Attributes
    ----------
    assignment : int
        Assignment of the called member in the caller's member list.
    """

    turn_id: str
    assignment: int = 0


class Chain(Message):
    """Stored turns of a chain, from the requested turn backwards.

    Attributes
    ----------
    complete_disk : bool
        Whether the disk has copied the records of the requested assignment; only then
        does a missing turn count as not found.
    turns : list of TurnRecord
        Newest first; empty if the disk lacks the requested turn.
    missing_id : str
        First turn of the chain that the disk lacks; empty if the chain is complete.
    map_version : int
        Version of the member list that the disk knows.
    """

    disk_id: str
    complete_disk: bool
    turns: list[TurnRecord]
    missing_id: str = ""
    map_version: int = 0


class Grant(Message):
    """Tokens of one program that one entry may spend.

    Attributes
    ----------
    tokens : int
        Total tokens granted to the entry, including used tokens.
    confirmed_tokens : int
        Part of `tokens` that is confirmed to be stored at a quorum.
    needed_tokens : int
        Part of `tokens` that is used or reserved by turns in flight.
    revision : int
        Revision of the grant; older revisions are ignored.
    retention_s : float
        Retention of the program's turns, within which it may return, in seconds.
    """

    grant_id: str
    tokens: int
    confirmed_tokens: int
    needed_tokens: int
    revision: int
    retention_s: float = 0.0


class Reserve(Message):
    """Update an entry's grant, or only read the grants if `grant` is None.

    Attributes
    ----------
    assignment : int
        Assignment of the called member in the caller's member list.
    """

    program_id: str
    map_version: int
    grant: Grant | None = None
    # Confirmations are not synced: a lost confirmation only costs a second read.
    skip_sync: bool = False
    assignment: int = 0


class Ledger(Message):
    """All grants of a program."""

    program_id: str
    grants: list[Grant]
    updated_s: float = 0.0


class WhichTurns(Message):
    """Ask which of the given turns a disk stores."""

    turn_ids: list[str]


class StoredTurns(Message):
    """Requested turns that the disk stores."""

    turn_ids: list[str]


class PullRequest(Message):
    """Request the records that a replaced disk should have stored.

    Attributes
    ----------
    replaced_disk_id : str
        Disk that the caller replaces; empty to request all records.
    map_version, members : int, bytes
        Version and encoded list of the caller's member map.
    """

    replaced_disk_id: str
    map_version: int
    members: bytes = b""


class PullBatch(Message):
    """Batch of the requested records and the lifetimes of their conversations."""

    turns: list[TurnRecord]
    ledgers: list[Ledger]
    lifetimes: list[Lifetime] = []


class ExtendLifetimes(Message):
    """Announce how long records are kept, to a member that stores some of them.

    Attributes
    ----------
    disk_id : str
        Disk of the sender.
    copied_assignment : int or None
        Assignment whose records the sender has copied.
    receiver_process_id : str
        Process that confirmed the earlier announcements; empty before the first call.
    """

    disk_id: str
    copied_assignment: int | None
    receiver_process_id: str
    lifetimes: list[Lifetime]


class LifetimesReply(Message):
    """Confirmation of announced lifetimes.

    Attributes
    ----------
    process_id : str
        Changes with each start of the process, which forgets the announcements.
    """

    process_id: str


class PutLedgers(Message):
    """Merge grants of programs; the reply is sent after they are synced."""

    ledgers: list[Ledger]


class ProbeRequest(Message):
    """Request the state of a storage process.

    Attributes
    ----------
    assignment : int
        Assignment of the called member in the caller's member list.
    """

    map_version: int = 0
    assignment: int = 0


class ProbeReply(Message):
    """State of a storage process.

    Attributes
    ----------
    complete_disk : bool
        Whether the disk has copied the records of the requested assignment.
    stalled : bool
        Whether a write has been in flight for longer than `DISK_STALL_S`.
    writable : bool
        Whether the disk accepts writes; reads are served in any case.
    """

    disk_id: str
    complete_disk: bool
    map_version: int = 0
    members: bytes = b""
    stalled: bool = False
    writable: bool = True


class Announcement(Message):
    """Announce the address at which other entries reach an entry.

    Attributes
    ----------
    wants_entries : bool
        Whether the reply lists the addresses of the other entries.
    """

    address: str
    wants_entries: bool = False


class EntryAddresses(Message):
    """Addresses of the other entries; empty if not requested."""

    addresses: list[str]


class RelayRequest(Message):
    """Ask an entry to forward a call to a storage member.

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
    """Encoded reply of the storage member."""

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
EXTEND_LIFETIMES = Method(
    path="/lentilroad.Storage/ExtendLifetimes",
    request_type=ExtendLifetimes,
    reply_type=LifetimesReply,
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
