"""Conversion between typed errors and their form on the wire."""

from __future__ import annotations

from lentilroad.errors import LentilroadError, error_class
from lentilroad.wire.messages import WireError


def to_wire_error(error: LentilroadError) -> WireError:
    """Convert a typed error to a message."""
    return WireError(
        code=error.code,
        message=error.message,
        outcome=error.outcome,
        retry_after_ms=error.retry_after_ms,
    )


def from_wire_error(error: WireError) -> LentilroadError:
    """Convert a message to the typed error it stands for."""
    return error_class(error.code)(
        error.message, outcome=error.outcome, retry_after_ms=error.retry_after_ms
    )
