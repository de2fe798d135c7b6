"""Conversion between typed errors and their wire messages."""

from __future__ import annotations

from lentilroad.errors import LentilroadError, error_class
from lentilroad.wire.messages import WireError


def to_wire_error(error: LentilroadError) -> WireError:
    """Convert a typed error to its wire message."""
    return WireError(
        code=error.code,
        message=error.message,
        outcome=error.outcome,
        retry_after_ms=error.retry_after_ms,
    )


def from_wire_error(error: WireError) -> LentilroadError:
    """Convert a wire message to the typed error."""
    return error_class(error.code)(
        error.message, outcome=error.outcome, retry_after_ms=error.retry_after_ms
    )
