"""Resolution of a call's outcome for its owner."""

from __future__ import annotations

from lentilroad.upstream.ledger import CallRecord, Ledger
from lentilroad.wire.messages import Finished, ResolveReply, ResolveRequest


def resolve_call(
    *, ledger: Ledger, request: ResolveRequest, incarnation: int, now_s: float
) -> ResolveReply:
    """Return the state of a call, and block a call that was never received.

    The state ``never_seen`` guarantees that the call did not and will not run. It is
    returned only if the requested incarnation is the current one: an earlier process
    of this sidecar may have run the call, and an incarnation of 0 is unknown.
    """
    record = ledger.get(request.call_id)
    if record is not None:
        return _reply(record, now_s)
    tombstone = ledger.tombstone(request.call_id)
    if tombstone is None:
        tombstone = ledger.block(request.call_id, now_s=now_s)
        if request.incarnation != incarnation:
            tombstone.result.error.outcome = "unknown"
    error = tombstone.result.error
    if tombstone.state != "released" and error.outcome == "not_run":
        return ResolveReply(state="never_seen", error=error)
    return ResolveReply(state="unknown", error=error)


def _reply(record: CallRecord, now_s: float) -> ResolveReply:
    if record.result is None:
        record.orphaned_since_s = now_s
        return ResolveReply(state="running")
    if isinstance(record.result, Finished):
        return ResolveReply(state="done", finished=record.result)
    error = record.result.error
    if error.outcome == "not_run":
        return ResolveReply(state="never_seen", error=error)
    state = "done" if error.outcome == "ran" else "unknown"
    return ResolveReply(state=state, error=error, text=record.result.text)
