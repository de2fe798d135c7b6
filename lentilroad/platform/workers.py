"""Decoding of the registrations of workers in the platform's metadata store."""

from __future__ import annotations

import re

import msgspec

from lentilroad.membership.upstreams import UpstreamInstance

WORKER_PREFIX = "servers/"
_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")


class _Worker(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    version: str = ""
    cold_remaining_ms: float = 0
    # Lower case on the wire: the Unix time of the worker's start, in milliseconds.
    # Some kinds of worker leave it out.
    born: int = msgspec.field(name="born", default=0)


def decode_worker(key: str, content: bytes) -> UpstreamInstance | None:
    """Decode a registration; None when it is invalid or not in a usable state."""
    try:
        worker = msgspec.json.decode(content, type=_Worker)
    except (msgspec.MsgspecError, ValueError):
        return None
    if worker.state not in ("ready", "draining") or not _ADDRESS.fullmatch(
        worker.address
    ):
        return None
    if worker.slots < 1 or not worker.service:
        return None
    return UpstreamInstance(
        instance_id=key.removeprefix(WORKER_PREFIX),
        service=worker.service,
        address=worker.address,
        availability_zone=worker.zone,
        slots=worker.slots,
        draining=worker.state == "draining",
        started_ms=worker.born,
        cold_s=worker.cold_remaining_ms / 1000,
    )
