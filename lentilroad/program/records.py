"""State of a program and the records that owner and standby apply to it."""

from __future__ import annotations

import zlib
from functools import lru_cache

import msgspec
import xxhash

from lentilroad.program.budget import Spending, add
from lentilroad.program.history import History, append_history
from lentilroad.wire.messages import (
    Budget,
    ChatMessage,
    Committed,
    Failed,
    Message,
    RunTurnRequest,
)


class CallIntent(Message):
    """A call that was or will be dispatched; written before the dispatch."""

    call_id: str
    number: int
    attempt: int
    sidecar_address: str
    incarnation: int
    idempotent: bool
    fingerprint: int
    # The request with only the messages that are new in the history.
    request: RunTurnRequest
    reserved: Spending
    forced_prefix: str = ""


class StoredResult(Message):
    """Result of a finished call under its idempotency key."""

    fingerprint: int
    # Compressed `Committed` or `Failed`.
    packed: bytes


class ProgramState(Message):
    """What owner and standby keep of one program."""

    program_id: str
    caller_id: str
    shard: str
    started_time_s: float
    parent_program_id: str | None = None
    budget: Budget = msgspec.field(default_factory=Budget)
    deadline_time_s: float | None = None
    # Number of the last record that was applied.
    sequence: int = 0
    status: str = "open"
    ended_time_s: float = 0.0
    last_active_time_s: float = 0.0
    turn_no: int = 0
    call_no: int = 0
    spent: Spending = msgspec.field(default_factory=Spending)
    history: History = msgspec.field(default_factory=History)
    # Model and measured tokens of the history after its last turn.
    known_model: str = ""
    known_tokens: int = 0
    attained_service_s: float = 0.0
    open_call: CallIntent | None = None
    results: dict[str, StoredResult] = {}
    # Keys of failed chat calls that may have run; such a call may be repeated.
    ran_keys: list[str] = []
    # Sidecars that may hold something of the program.
    sidecars: list[str] = []


class Opened(Message, tag="opened"):
    """The program was opened."""

    state: ProgramState


class Snapshot(Message, tag="snapshot"):
    """Full state of the program; replaces the copy."""

    state: ProgramState


class TurnStarted(Message, tag="started"):
    """A call is about to be dispatched."""

    intent: CallIntent


class TurnFinished(Message, tag="finished"):
    """The open call ended; `stored` keeps the event for repeats of its key."""

    call_id: str
    event: Committed | Failed
    spent: Spending
    stored: bool
    duration_s: float = 0.0


class Ended(Message, tag="ended"):
    """The program ended, was cancelled or was abandoned."""

    status: str


class CopyReset(Message, tag="reset"):
    """The owner starts a new copy of the shard; earlier copies are void."""


class Record(Message):
    """One record of a shard's stream."""

    program_id: str
    sequence: int
    time_s: float
    body: Opened | Snapshot | TurnStarted | TurnFinished | Ended | CopyReset


@lru_cache(maxsize=1)
def _record_decoder() -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(Record)


@lru_cache(maxsize=1)
def _event_decoder() -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(Committed | Failed)


def encode_record(record: Record) -> bytes:
    """Encode a record for `ReplicateRequest.records`."""
    return msgspec.msgpack.encode(record)


def decode_record(data: bytes) -> Record:
    """Decode a record."""
    return _record_decoder().decode(data)


def pack_result(event: Committed | Failed, *, fingerprint: int) -> StoredResult:
    """Compress the final event of a call."""
    packed = zlib.compress(msgspec.msgpack.encode(event), level=1)
    return StoredResult(fingerprint=fingerprint, packed=packed)


def unpack_result(result: StoredResult) -> Committed | Failed:
    """Return the final event of a call."""
    return _event_decoder().decode(zlib.decompress(result.packed))


def fingerprint_of(request: RunTurnRequest) -> int:
    """Return a hash of what the request asks for, equal in every process."""
    parts = (
        request.kind,
        request.model,
        request.messages,
        request.full_history,
        request.max_tokens,
        request.service,
        request.operation,
        request.payload,
    )
    # The top bit is dropped because MessagePack decoders differ on large integers.
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(parts)) >> 1


def apply_record(state: ProgramState, record: Record) -> None:
    """Apply a record to the state; a record already applied has no effect."""
    if record.sequence <= state.sequence:
        return
    state.sequence = record.sequence
    state.last_active_time_s = record.time_s
    body = record.body
    if isinstance(body, TurnStarted):
        _start(state, body.intent)
    elif isinstance(body, TurnFinished):
        _finish(state, body)
    elif isinstance(body, Ended):
        state.status = body.status
        state.ended_time_s = record.time_s
        state.history = History()


def _start(state: ProgramState, intent: CallIntent) -> None:
    state.open_call = intent
    state.call_no = intent.number
    if intent.sidecar_address not in state.sidecars:
        state.sidecars = [*state.sidecars, intent.sidecar_address]


def _finish(state: ProgramState, finished: TurnFinished) -> None:
    intent = state.open_call
    if intent is None or intent.call_id != finished.call_id:
        return
    state.open_call = None
    state.spent = add(state.spent, finished.spent)
    state.attained_service_s += finished.duration_s
    event = finished.event
    key = intent.request.idempotency_key
    may_have_run = isinstance(event, Failed) and event.error.outcome != "not_run"
    if may_have_run and key not in state.ran_keys:
        state.ran_keys = [*state.ran_keys, key]
    if finished.stored:
        result = pack_result(event, fingerprint=intent.fingerprint)
        state.results = {**state.results, key: result}
    if isinstance(event, Failed) or intent.request.kind != "chat":
        return
    state.turn_no = event.turn_no
    state.known_model = intent.request.model
    state.known_tokens = event.usage.prompt_tokens + event.usage.completion_tokens
    if state.status == "open":
        answer = ChatMessage(role="assistant", content=event.text)
        append_history(state.history, [*intent.request.messages, answer])
