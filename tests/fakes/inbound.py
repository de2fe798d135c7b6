"""Decoded requests of callers."""

from __future__ import annotations

from typing import Any

from lentilroad.request.inbound import InboundRequest


def inbound(**fields: Any) -> InboundRequest:
    """Return a request with the given fields and plain values for all others."""
    plain = {
        "request_id": "r",
        "method": "POST",
        "target": "/",
        "host": "h",
        "forwarded_headers": [],
        "body": b"x",
    }
    return InboundRequest(**{**plain, **fields})
