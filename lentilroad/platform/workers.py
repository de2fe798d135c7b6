"""Decoding of the registrations of workers in the platform's metadata store."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec

from lentilroad.membership.upstreams import UpstreamInstance
from lentilroad.wire.untrusted import UnreadableError, decode_json, is_socket_address

WORKER_PREFIX = "servers/"
MAX_SLOTS = 100_000
# Unix milliseconds up to this number are exact in all languages.
MAX_UNIX_MS = 2**53
MAX_COLD_MS = 3_600_000
# Ids are sent in headers.
_INSTANCE_ID = re.compile(r"[!-~]+")


class _Worker(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    version: str = ""
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)] = 0
    # Lower case on the wire: the Unix time of the worker's start, in milliseconds.
    # Some kinds of worker leave it out.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)] = msgspec.field(
        name="born", default=0
    )


def decode_worker(key: str, content: bytes) -> UpstreamInstance | None:
    """Decode a registration; None when it is invalid or not in a usable state."""
    instance_id = key.removeprefix(WORKER_PREFIX)
    try:
        worker = decode_json(content, _Worker)
    except UnreadableError:
        return None
    if worker.state not in ("ready", "draining") or not worker.service:
        return None
    if not is_socket_address(worker.address) or not _INSTANCE_ID.fullmatch(instance_id):
        return None
    return UpstreamInstance(
        instance_id=instance_id,
        service=worker.service,
        address=worker.address,
        availability_zone=worker.zone,
        slots=worker.slots,
        draining=worker.state == "draining",
        started_ms=worker.born,
        cold_s=worker.cold_remaining_ms / 1000,
    )
