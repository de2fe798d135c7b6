"""Watching the configuration head in the key-value service."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable, Iterable

import xxhash

from lentilroad.adapters.key_value import KeyValueStore
from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.version import const


def is_watcher(
    address: str,
    region_entries: Iterable[str],
    *,
    count: int = const.WATCHERS_PER_REGION,
) -> bool:
    """Return whether an entry is one of its region's watchers.

    Watchers are chosen by rendezvous hashing: entries with the same list of live
    entries choose the same watchers, and the loss of an entry replaces at most that
    one watcher.

    Parameters
    ----------
    address : str
        Address of the entry.
    region_entries : Iterable[str]
        Live entries of its region; `address` itself counts as live.
    count : int
        Watchers per region.
    """
    own = _rank(address)
    higher = sum(1 for entry in set(region_entries) if _rank(entry) > own)
    return higher < count


def _rank(address: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"config-watcher/{address}".encode()), address


async def watch_head(
    *,
    key_value: KeyValueStore,
    clock: Clock,
    random: random_module.Random,
    is_watcher: Callable[[], bool],
    on_head: Callable[[bytes], None],
    on_error: Callable[[str], None],
) -> None:
    """Watch the head and call `on_head` with each new one, while a watcher."""
    revision = 0
    attempt = 0
    while True:
        if not is_watcher():
            revision = 0
            await clock.sleep(const.WATCHER_CHECK_INTERVAL_S * random.uniform(0.5, 1.5))
            continue
        try:
            item = await key_value.watch(
                key=const.HEAD_KEY,
                after_revision=revision,
                timeout_s=const.WATCH_TIMEOUT_S,
            )
            if item is None:
                # A service restored from an older copy has revisions below the awaited
                # one, so only a read returns its head.
                item = await key_value.read(key=const.HEAD_KEY)
        except LentilroadError as error:
            on_error(f"cannot watch the key-value service: {error.message}")
            delay_s = min(
                const.RETRY_BACKOFF_MAX_S, const.RETRY_BACKOFF_MIN_S * 2**attempt
            )
            attempt = min(attempt + 1, const.RETRY_BACKOFF_DOUBLINGS)
            await clock.sleep(delay_s * random.uniform(0.5, 1.0))
            continue
        attempt = 0
        if item is not None and item.revision != revision:
            revision = item.revision
            on_head(item.value)
