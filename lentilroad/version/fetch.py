"""Fetching parts of a configuration from peers or the key-value service."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from lentilroad.adapters.key_value import KeyValueStore
from lentilroad.errors import LentilroadError
from lentilroad.version.const import CALL_TIMEOUT_S, PART_PREFIX
from lentilroad.version.parts import digest_of
from lentilroad.wire.messages import PullPartsRequest
from lentilroad.wire.services import PULL_PARTS


@dataclass(slots=True, kw_only=True)
class PartSource:
    """Where parts can be fetched, best first.

    `key_value` is given to watchers only, so that its load does not grow with the
    number of processes.
    """

    call: Callable[..., Awaitable[Any]]
    addresses: list[str]
    key_value: KeyValueStore | None = None


async def fetch_parts(digests: list[str], source: PartSource) -> dict[str, bytes]:
    """Return the parts that could be fetched and match their digests."""
    found: dict[str, bytes] = {}
    for address in source.addresses:
        missing = [digest for digest in digests if digest not in found]
        if not missing:
            return found
        found.update(await _from_peer(missing, address, source))
    for digest in digests:
        if digest not in found and source.key_value is not None:
            found.update(await _from_service(digest, source.key_value))
    return found


async def _from_peer(
    digests: list[str], address: str, source: PartSource
) -> dict[str, bytes]:
    try:
        reply = await source.call(
            address,
            PULL_PARTS,
            PullPartsRequest(digests=digests),
            timeout_s=CALL_TIMEOUT_S,
        )
    except LentilroadError:
        return {}
    wanted = set(digests)
    return {
        digest: value
        for digest, value in reply.parts.items()
        if digest in wanted and digest_of(value) == digest
    }


async def _from_service(digest: str, key_value: KeyValueStore) -> dict[str, bytes]:
    try:
        item = await key_value.read(key=PART_PREFIX + digest)
    except LentilroadError:
        return {}
    if item is None or digest_of(item.value) != digest:
        return {}
    return {digest: item.value}
