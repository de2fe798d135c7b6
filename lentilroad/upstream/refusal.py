"""Checks that refuse a call before it is queued."""

from __future__ import annotations

from lentilroad.errors import (
    InvalidRequestError,
    LentilroadError,
    NotFoundError,
    UnavailableError,
)
from lentilroad.upstream.const import DRAINING_RETRY_AFTER_MS
from lentilroad.wire.convert import to_wire_error
from lentilroad.wire.messages import DispatchRequest, Refused, SidecarRecord


def refused(error: LentilroadError, text: str = "") -> Refused:
    """Return the event that reports an error."""
    return Refused(error=to_wire_error(error), text=text)


def check_acceptable(*, request: DispatchRequest, record: SidecarRecord) -> None:
    """Raise an error if this sidecar cannot accept the call."""
    if request.incarnation and request.incarnation != record.incarnation:
        raise UnavailableError(
            "the sidecar has restarted; select an upstream again",
            # The earlier process may have run the call.
            outcome="not_run" if request.idempotent else "unknown",
            retry_after_ms=DRAINING_RETRY_AFTER_MS,
        )
    if (request.kind == "chat") != (record.kind == "engine"):
        raise InvalidRequestError(
            f"{record.upstream_id} does not accept {request.kind} calls; "
            "read the sidecar directory again"
        )
    name = request.model if request.kind == "chat" else request.service
    if record.names and name not in record.names:
        raise NotFoundError(
            f"{record.upstream_id} does not serve {name}; choose another upstream"
        )
    if record.state != "serving":
        raise UnavailableError(
            "the sidecar is draining; choose another upstream",
            retry_after_ms=DRAINING_RETRY_AFTER_MS,
        )
