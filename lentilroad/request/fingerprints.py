"""Fingerprints by which a request is recognized when it is sent again."""

from __future__ import annotations

from hashlib import blake2b

from lentilroad.membership.crash_messages import Fingerprint
from lentilroad.request.inbound import InboundRequest

DIGEST_BYTES = 16


def request_fingerprint(inbound: InboundRequest) -> Fingerprint:
    """Return the fingerprint of a request.

    The caller's own headers, such as request and program ids, differ each time that a
    caller sends the same request. Requests of different customers never share a
    fingerprint.
    """
    target = target_digest(inbound)
    if not inbound.body:
        return Fingerprint(target=target, content=b"")
    content = blake2b(target, digest_size=DIGEST_BYTES)
    content.update(inbound.body)
    return Fingerprint(target=target, content=content.digest())


def target_digest(inbound: InboundRequest) -> bytes:
    """Return the part of the fingerprint that does not depend on the body."""
    # None of the parts contains a line feed. All keys of a customer count as one.
    owner = inbound.credential
    if inbound.customer is not None:
        owner = f"customer\n{inbound.customer.name}"
    parts = (owner, inbound.host, inbound.method, inbound.target)
    return blake2b("\n".join(parts).encode(), digest_size=DIGEST_BYTES).digest()
