"""Entries by which workers register themselves in the platform's store."""

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
    # Workers of other makes leave it out.
    born: int = msgspec.field(name="born", default=0)


def decode_worker(key: str, content: bytes) -> UpstreamInstance | None:
    """Decode one entry; None when it names no instance that can be used."""
    try:
        read = msgspec.json.decode(content, type=_Worker)
    except (msgspec.MsgspecError, ValueError):
        return None
    if read.state not in ("ready", "draining") or not _ADDRESS.fullmatch(read.address):
        return None
    if read.slots < 1 or not read.service:
        return None
    return UpstreamInstance(
        instance_id=key.removeprefix(WORKER_PREFIX),
        service=read.service,
        address=read.address,
        availability_zone=read.zone,
        slots=read.slots,
        draining=read.state == "draining",
        started_ms=read.born,
        cold_s=read.cold_remaining_ms / 1000,
    )
