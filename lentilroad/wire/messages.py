"""Messages between lentilroad processes.

Fields are only ever added, and with a default, so that processes of two releases can
exchange messages.
"""

from __future__ import annotations

from typing import Literal

import msgspec


class Message(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Base of all messages."""


class WireError(Message):
    """Error as sent between processes; see `lentilroad.errors`."""

    code: str
    message: str
    outcome: Literal["not_run", "ran", "unknown"]
    retry_after_ms: int | None = None


class Budget(Message):
    """Limits of a program tree; None means unlimited."""

    tokens: int | None = None
    money_micro: int | None = None
    turns: int | None = None


class Usage(Message):
    """Tokens and money that a call consumed."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    money_micro: int = 0


class ChatMessage(Message):
    """One message of a conversation."""

    role: str
    content: str
    name: str | None = None
    tool_call_id: str | None = None


class OpenProgramRequest(Message):
    """Open a program, or a sub-agent when `parent_program_id` is set."""

    caller_id: str
    program_id: str
    parent_program_id: str | None = None
    budget: Budget = msgspec.field(default_factory=Budget)
    deadline_time_s: float | None = None


class OpenProgramReply(Message):
    """Answer to `OpenProgramRequest`."""

    error: WireError | None = None


class EndProgramRequest(Message):
    """End or cancel a program and its sub-agents."""

    caller_id: str
    program_id: str
    reason: Literal["ended", "cancelled"] = "ended"


class EndProgramReply(Message):
    """Answer to `EndProgramRequest`."""

    error: WireError | None = None


class ReadProgramRequest(Message):
    """Read a program's state and history."""

    caller_id: str
    program_id: str
    with_history: bool = False


class ReadProgramReply(Message):
    """State of a program."""

    error: WireError | None = None
    state: str = ""
    turn_no: int = 0
    budget: Budget = msgspec.field(default_factory=Budget)
    spent: Usage = msgspec.field(default_factory=Usage)
    reserved: Usage = msgspec.field(default_factory=Usage)
    history: list[ChatMessage] = []


class ProgramSummary(Message):
    """Program as shown in the operators' list."""

    program_id: str
    caller_id: str
    state: str
    turn_no: int
    shard: str


class RunTurnRequest(Message):
    """Run one turn or one service call of a program."""

    caller_id: str
    program_id: str
    idempotency_key: str
    kind: Literal["chat", "service"]
    # Open the program on its first turn and end it after this turn.
    single_turn: bool = False
    model: str = ""
    messages: list[ChatMessage] = []
    # `messages` holds the whole conversation and not only its new messages.
    full_history: bool = False
    max_tokens: int = 256
    service: str = ""
    operation: str = ""
    payload: bytes = b""
    deadline_time_s: float | None = None
    interactive: bool = False
    traceparent: str = ""
    # Set when the request is repeated after the loss of the sidecar: the output that
    # the caller has already received.
    emitted_text: str | None = None


class Admitted(Message, tag="admitted"):
    """The call was dispatched; its output can be read from the sidecar."""

    call_id: str
    sidecar_address: str
    offset: int = 0


class Moved(Message, tag="moved"):
    """The call continues on another sidecar from character `offset` on."""

    call_id: str
    sidecar_address: str
    offset: int


class Committed(Message, tag="committed"):
    """The turn is in the history; `text` or `payload` is its complete output."""

    turn_no: int
    usage: Usage
    finish_reason: str
    text: str = ""
    payload: bytes = b""
    payload_status: int = 200


class Failed(Message, tag="failed"):
    """The turn failed."""

    error: WireError


class TurnEvent(Message):
    """Event of a turn, from the owner to the entry that received the request."""

    event: Admitted | Moved | Committed | Failed


class Priority(Message):
    """Inputs to the order of the sidecar's queue."""

    caller_id: str
    attained_service_s: float = 0.0
    program_started_time_s: float = 0.0
    under_way: bool = False
    interactive: bool = False
    remaining_depth: int = 0


class DispatchRequest(Message):
    """Run a call on the sidecar's upstream."""

    call_id: str
    shard: str
    epoch: int
    program_id: str
    caller_id: str
    kind: Literal["chat", "service"]
    idempotent: bool
    priority: Priority
    model: str = ""
    messages: list[ChatMessage] = []
    # Output of another upstream that the caller has already received.
    forced_prefix: str = ""
    max_tokens: int = 256
    service: str = ""
    operation: str = ""
    payload: bytes = b""
    deadline_time_s: float | None = None
    traceparent: str = ""
    # Incarnation of the sidecar that the owner chose; an earlier incarnation may have
    # run the call before the restart. 0 skips the check.
    incarnation: int = 0


class LoadReport(Message):
    """Load of one upstream as measured by its sidecar."""

    running: int = 0
    queued: int = 0
    limit: int = 1
    cached_tokens: int = 0
    cache_capacity_tokens: int = 0
    prefill_tokens_per_s: float = 0.0
    time_per_token_s: float = 0.0
    queue_wait_s: float = 0.0
    # Time since an engine with running calls last produced a token, else 0.
    silent_s: float = 0.0


class Queued(Message, tag="queued"):
    """The sidecar accepted the call into its queue."""

    position: int = 0
    # Load report for owners that do not receive the sidecar's heartbeats.
    load: LoadReport | None = None


class Started(Message, tag="started"):
    """The call was sent to the upstream."""


class Finished(Message, tag="finished"):
    """The upstream finished the call; `text` is the complete output."""

    usage: Usage
    finish_reason: str
    text: str = ""
    payload: bytes = b""
    payload_status: int = 200
    duration_s: float = 0.0


class Refused(Message, tag="refused"):
    """The call was refused or failed; `error.outcome` says whether it ran.

    `text` is the output up to the failure, from which another upstream can continue
    a chat call.
    """

    error: WireError
    text: str = ""


class DispatchEvent(Message):
    """Event of a call, from the sidecar to the owner."""

    event: Queued | Started | Finished | Refused


class AttachRequest(Message):
    """Read a call's output from character `offset` on."""

    call_id: str
    offset: int = 0


class OutputChunk(Message):
    """Part of a call's output; `offset` counts characters."""

    offset: int
    text: str
    finished: bool = False
    error: WireError | None = None


class ReleaseRequest(Message):
    """Delete a call's output after its turn was committed."""

    call_id: str
    shard: str
    epoch: int


class CancelRequest(Message):
    """Cancel a call whose result is no longer needed."""

    call_id: str
    shard: str
    epoch: int


class ResolveRequest(Message):
    """Ask for the outcome of a call; a call not received yet will never be run."""

    call_id: str
    shard: str
    epoch: int
    # Incarnation of the sidecar at dispatch; a restart loses the call records.
    incarnation: int = 0


class ResolveReply(Message):
    """Answer to `ResolveRequest`."""

    state: Literal["done", "running", "never_seen", "unknown"]
    finished: Finished | None = None
    error: WireError | None = None
    # Output up to the failure, as in `Refused`.
    text: str = ""


class ForgetRequest(Message):
    """Release all resources that a program holds on the upstream."""

    program_id: str
    shard: str
    epoch: int


class ConfirmProgramsRequest(Message):
    """Confirm that the listed programs are still in progress."""

    shard: str
    epoch: int
    program_ids: list[str]


class Acknowledgement(Message):
    """Empty answer; `error` is set when the request was refused."""

    error: WireError | None = None


class SidecarRecord(Message):
    """Address, upstream and state of one sidecar, as gossiped."""

    address: str
    upstream_id: str
    kind: Literal["engine", "service"]
    # Models of an engine, or names of services.
    names: list[str]
    region: str
    availability_zone: str
    incarnation: int
    state: Literal["serving", "draining", "dead"] = "serving"
    # Increases with every change of the record within one incarnation.
    sequence: int = 0
    # Incremented by an entry that still receives heartbeats of a sidecar after another
    # entry declared the sidecar dead.
    observation: int = 0


class SidecarHeartbeat(Message):
    """Heartbeat of a sidecar to an entry.

    The record is included after a change and periodically. Other heartbeats identify
    the record by `address`, `incarnation` and `sequence`.
    """

    load: LoadReport
    record: SidecarRecord | None = None
    address: str = ""
    incarnation: int = 0
    sequence: int = 0
    config_version: int = 0


class SidecarHeartbeatReply(Message):
    """Answer to a sidecar's heartbeat, with data that the sidecar lacks."""

    entry_incarnation: int
    config_version: int = 0
    # Entries to which the sidecar sends its heartbeats; empty when unchanged.
    home_entries: list[str] = []
    # The entry lacks the record that the heartbeat identifies.
    wants_record: bool = False


class PeerRecord(Message):
    """State of one entry as gossiped."""

    address: str
    region: str
    availability_zone: str
    incarnation: int
    state: Literal["alive", "suspect", "draining", "dead"] = "alive"
    config_version: int = 0
    # The entry is draining; stays set while its state is suspect.
    draining: bool = False
    # Start time of the process in Unix milliseconds. It increases only with a restart;
    # the incarnation also increases when the entry refutes a suspicion.
    started_ms: int = 0


class PingRequest(Message):
    """Probe of the membership protocol with piggybacked updates."""

    sender: PeerRecord
    # Set for an indirect probe: the receiver pings this address.
    target_address: str | None = None
    peers: list[PeerRecord] = []
    sidecars: list[SidecarRecord] = []
    # Shard map revision of each region, so that the receiver can pull newer maps.
    shard_map_revisions: dict[str, int] = {}
    # Recently changed shard records, sent also while the key-value service is down.
    shards: dict[str, ShardRecord] = {}
    # Set by a sender that has just started, to request all peers and sidecars.
    wants_all: bool = False


class PingReply(Message):
    """Answer to `PingRequest`."""

    alive: bool
    peers: list[PeerRecord] = []
    sidecars: list[SidecarRecord] = []
    shard_map_revisions: dict[str, int] = {}
    shards: dict[str, ShardRecord] = {}


class ShardRecord(Message):
    """Roles of one shard; each role is an entry's address or empty."""

    epoch: int
    owner: str
    standby: str = ""
    arbiter: str = ""
    # Start times of the entries' processes: a restarted entry has lost its copies and
    # grants, so it no longer holds the role. 0 accepts any start time.
    owner_started_ms: int = 0
    standby_started_ms: int = 0
    arbiter_started_ms: int = 0
    # The owner had no standby before and may not have this record yet; the standby
    # takes over only after the owner's first message under this record.
    from_sole_owner: bool = False


class ShardMap(Message):
    """All shards of one region, stored as one value."""

    region: str
    revision: int
    shards: list[ShardRecord]


class PullShardMapRequest(Message):
    """Request a peer's shard map of a region."""

    region: str
    # Request only records that changed after this revision; 0 requests the whole map.
    after_revision: int = 0


class PullShardMapReply(Message):
    """Answer to `PullShardMapRequest`."""

    shard_map: ShardMap | None = None
    # Set when `after_revision` was set: the changed records and the revision that the
    # map has with them.
    changes: dict[str, ShardRecord] = {}
    revision: int = 0


class GrantRequest(Message):
    """Request the next epoch of a shard from the arbiter."""

    shard: str
    # The proposed record.
    record: ShardRecord
    # The record in force that `record` replaces, and the entry that proposes it.
    base: ShardRecord | None = None
    proposer: str = ""


class GrantReply(Message):
    """Answer to `GrantRequest`; `highest` is the arbiter's newest record."""

    granted: bool
    highest: ShardRecord | None = None
    # `highest` is in force and not merely granted to another entry.
    in_force: bool = False


class PairHeartbeat(Message):
    """Heartbeat between entries that share shards."""

    sender: str
    incarnation: int
    # The sender's highest epoch of each shared shard; each message covers a bounded
    # number of shards.
    epochs: dict[str, int] = {}
    # Records in force that the receiver may lack.
    records: dict[str, ShardRecord] = {}


class ReplicateRequest(Message):
    """Records of one shard from its owner to its standby, in order."""

    shard: str
    epoch: int
    owner: str
    # Encoded records; `lentilroad.program` defines their types.
    records: list[bytes]
    # Set when a planned move copies the shard before this record is in force.
    staged_record: ShardRecord | None = None


class ReplicateReply(Message):
    """Answer to `ReplicateRequest`."""

    accepted: bool
    highest_epoch: int = 0
    # Programs whose full state the standby needs before it can apply the records.
    missing_program_ids: list[str] = []


class ConfigDigestRequest(Message):
    """Announce the newest configuration version to a peer."""

    version: int
    head: bytes = b""
    # Address from which the parts of the version can be pulled.
    sender: str = ""


class ConfigDigestReply(Message):
    """Configuration version in force at the peer."""

    version: int
    head: bytes = b""


class PullPartsRequest(Message):
    """Request configuration parts by digest."""

    digests: list[str]


class PullPartsReply(Message):
    """Requested parts that the peer has, by digest."""

    parts: dict[str, bytes]


class HealthPing(Message):
    """Heartbeat of a connection, in both directions."""
