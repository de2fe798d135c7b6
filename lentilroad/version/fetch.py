"""Fetching parts of a configuration from peers or the key-value service."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from lentilroad.adapters.key_value import KeyValueStore
from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.version.const import (
    CALL_TIMEOUT_S,
    PART_PREFIX,
    READ_BURST,
    READ_PAUSE_S,
)
from lentilroad.version.parts import digest_of
from lentilroad.wire.messages import PullPartsRequest
from lentilroad.wire.services import PULL_PARTS


@dataclass(slots=True, kw_only=True)
class PartSource:
    """Peers and the key-value service to fetch parts from, in order of preference.

    Only watchers set `key_value`, so that the load of the key-value service does not
    grow with the number of processes.
    """

    call: Callable[..., Awaitable[Any]]
    addresses: list[str]
    clock: Clock
    key_value: KeyValueStore | None = None
    timeout_s: float = CALL_TIMEOUT_S


async def fetch_parts(digests: list[str], source: PartSource) -> dict[str, bytes]:
    """Fetch parts and return those that were received and match their digests."""
    found: dict[str, bytes] = {}
    for address in source.addresses:
        missing = [digest for digest in digests if digest not in found]
        if not missing:
            return found
        found.update(await _fetch_from_peer(missing, address, source))
    if source.key_value is not None:
        missing = [digest for digest in digests if digest not in found]
        found.update(
            await _fetch_from_key_value(missing, source.key_value, source.clock)
        )
    return found


async def _fetch_from_peer(
    digests: list[str], address: str, source: PartSource
) -> dict[str, bytes]:
    try:
        reply = await source.call(
            address,
            PULL_PARTS,
            PullPartsRequest(digests=digests),
            timeout_s=source.timeout_s,
        )
    except LentilroadError:
        return {}
    requested = set(digests)
    return {
        digest: value
        for digest, value in reply.parts.items()
        if digest in requested and digest_of(value) == digest
    }


async def _fetch_from_key_value(
    digests: list[str], key_value: KeyValueStore, clock: Clock
) -> dict[str, bytes]:
    found = {}
    for index, digest in enumerate(digests):
        if index >= READ_BURST:
            await clock.sleep(READ_PAUSE_S)
        try:
            item = await key_value.read(key=PART_PREFIX + digest)
        except LentilroadError:
            break
        if item is not None and digest_of(item.value) == digest:
            found[digest] = item.value
    return found
