"""Removal of old versions from the key-value service."""

from __future__ import annotations

from collections import Counter

import eliot

from lentilroad.adapters.key_value import KeyValueStore
from lentilroad.clock import Clock
from lentilroad.errors import ConflictError, LentilroadError
from lentilroad.version.const import (
    HEAD_KEY,
    PART_PREFIX,
    READ_PAUSE_S,
    RETAINED_HISTORY_VERSIONS,
    SWEEP_BATCH,
    SWEEP_MAX_S,
    SWEPT_KEY,
)
from lentilroad.version.model import Head
from lentilroad.version.parts import decode_head
from lentilroad.version.records import version_key


class HistorySweeper:
    """Removes versions that are older than the kept history, and their parts.

    Several sweepers may run: each claims a range of versions by CAS. A change that
    starts to use an old part again while it is removed is protected twice: the
    sweeper looks at the head again after the removal and restores such a part, and
    `ConfigurationStore` looks for its parts again after it wrote the head.

    Parameters
    ----------
    key_value : KeyValueStore
        The platform's service.
    clock : Clock
        Time source.
    keep_versions : int
        Versions that stay.
    """

    def __init__(
        self,
        *,
        key_value: KeyValueStore,
        clock: Clock,
        keep_versions: int = RETAINED_HISTORY_VERSIONS,
    ) -> None:
        self._key_value = key_value
        self._clock = clock
        self._keep_versions = keep_versions
        # Digests of each kept version, so that a sweep reads new versions only.
        self._digests: dict[int, tuple[str, ...]] = {}

    async def sweep(self) -> int:
        """Remove one batch of old versions and return how many were removed."""
        head = await self._read_head()
        if head is None:
            return 0
        claimed = await self._claim(head.version - self._keep_versions + 1)
        if not claimed:
            return 0
        dropped = [await self._digests_of(version) for version in claimed]
        for version in claimed:
            self._digests.pop(version, None)
        head = await self._refresh(claimed.stop)
        read_s = self._clock.monotonic_s()
        used = Counter(
            digest for digests in self._digests.values() for digest in digests
        )
        victims = {digest for digests in dropped for digest in digests} - used.keys()
        removed: dict[str, bytes] = {}
        try:
            for digest in sorted(victims):
                # A sweeper that was paused no longer knows what is in use.
                if self._clock.monotonic_s() - read_s > SWEEP_MAX_S:
                    break
                await self._remove(digest, removed)
            for version in claimed:
                await self._key_value.delete(key=version_key(version))
        finally:
            await self._restore(head, removed)
        eliot.log_message(
            message_type="version:swept",
            first_version=claimed.start,
            end_version=claimed.stop,
            removed_parts=len(removed),
        )
        return len(claimed)

    async def _read_head(self) -> Head | None:
        item = await self._key_value.read(key=HEAD_KEY)
        return decode_head(item.value) if item else None

    async def _claim(self, first_kept: int) -> range:
        """Claim versions below `first_kept`; an empty range when there are none."""
        item = await self._key_value.read(key=SWEPT_KEY)
        first = int(item.value) if item else 1
        end = min(first_kept, first + SWEEP_BATCH)
        if end <= first:
            return range(0)
        try:
            await self._key_value.compare_and_swap(
                key=SWEPT_KEY,
                value=str(end).encode(),
                expected_revision=item.revision if item else 0,
            )
        except ConflictError:
            return range(0)
        return range(first, end)

    async def _digests_of(self, version: int) -> tuple[str, ...]:
        if version in self._digests:
            return self._digests[version]
        item = await self._key_value.read(key=version_key(version))
        await self._clock.sleep(READ_PAUSE_S)
        if item is None:
            return ()
        head = decode_head(item.value)
        return (*head.parts, *head.text_parts)

    async def _refresh(self, first: int) -> Head:
        """Read the digests of all kept versions that are not known yet."""
        while True:
            head = await self._read_head()
            if head is None:
                raise ConflictError("the configuration head disappeared")
            unknown = [v for v in range(first, head.version) if v not in self._digests]
            for version in unknown:
                self._digests[version] = await self._digests_of(version)
            if len(unknown) <= 1:
                self._digests[head.version] = (*head.parts, *head.text_parts)
                return head

    async def _remove(self, digest: str, removed: dict[str, bytes]) -> None:
        item = await self._key_value.read(key=PART_PREFIX + digest)
        await self._clock.sleep(READ_PAUSE_S)
        if item is None:
            return
        removed[digest] = item.value
        await self._key_value.delete(key=PART_PREFIX + digest)

    async def _restore(self, before: Head, removed: dict[str, bytes]) -> None:
        """Write removed parts back that a newer version uses."""
        head = await self._read_head()
        if head is None or head.version == before.version:
            return
        used = {*head.parts, *head.text_parts}
        for version in range(before.version + 1, head.version):
            used.update(await self._digests_of(version))
        for digest in sorted(used & removed.keys()):
            try:
                await self._key_value.compare_and_swap(
                    key=PART_PREFIX + digest,
                    value=removed[digest],
                    expected_revision=0,
                )
            except ConflictError:
                continue
            except LentilroadError as error:
                eliot.log_message(
                    message_type="version:restore_failed",
                    digest=digest,
                    reason=error.message,
                )
