"""Tell an owner what became of a call."""

from __future__ import annotations

from lentilroad.upstream.ledger import CallRecord, Ledger
from lentilroad.wire.messages import Finished, ResolveReply, ResolveRequest


def resolve_call(
    *, ledger: Ledger, request: ResolveRequest, incarnation: int, now_s: float
) -> ResolveReply:
    """Return what became of a call, and block one that was never seen.

    The answer ``never_seen`` proves that the call did not and will not run. It is
    given only for the incarnation that was asked for: an earlier process of this
    sidecar may have run the call, and an incarnation of 0 says nothing about it.
    """
    record = ledger.get(request.call_id)
    if record is not None:
        return _reply(record, now_s)
    settled = ledger.settled(request.call_id)
    if settled is None:
        settled = ledger.block(request.call_id, now_s=now_s)
        if request.incarnation != incarnation:
            settled.result.error.outcome = "unknown"
    error = settled.result.error
    if settled.state != "released" and error.outcome == "not_run":
        return ResolveReply(state="never_seen", error=error)
    return ResolveReply(state="unknown", error=error)


def _reply(record: CallRecord, now_s: float) -> ResolveReply:
    if record.result is None:
        record.orphaned_s = now_s
        return ResolveReply(state="running")
    if isinstance(record.result, Finished):
        return ResolveReply(state="done", finished=record.result)
    error = record.result.error
    if error.outcome == "not_run":
        return ResolveReply(state="never_seen", error=error)
    state = "done" if error.outcome == "ran" else "unknown"
    return ResolveReply(state=state, error=error, text=record.result.text)
