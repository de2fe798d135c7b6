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
    SWEEP_BATCH_VERSIONS,
    SWEEP_MAX_S,
    SWEPT_KEY,
)
from lentilroad.version.model import Head
from lentilroad.version.parts import decode_head
from lentilroad.version.records import version_key


class HistorySweeper:
    """Removes versions older than the retained history, and their unused parts.

    Several sweepers may run: each claims a range of versions by compare-and-swap. A
    concurrent change may start to use an old part again while it is removed. Two
    checks protect such a part: the sweeper reads the head again after the removal
    and restores the part, and `ConfigurationStore` checks that its parts exist after
    it has written the head.

    Parameters
    ----------
    key_value : KeyValueStore
        Key-value service of the platform.
    clock : Clock
        Time source.
    keep_versions : int
        Number of newest versions to retain.
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
        # Digests by retained version, so that each sweep reads only new versions.
        self._digests: dict[int, tuple[str, ...]] = {}

    async def sweep(self) -> int:
        """Remove one batch of old versions and return how many were removed."""
        head = await self._read_head()
        if head is None:
            return 0
        claimed = await self._claim(head.version - self._keep_versions + 1)
        if not claimed:
            return 0
        claimed_digests = [await self._digests_of(version) for version in claimed]
        for version in claimed:
            self._digests.pop(version, None)
        head = await self._refresh(claimed.stop)
        refresh_time_s = self._clock.monotonic_s()
        used = Counter(
            digest for digests in self._digests.values() for digest in digests
        )
        unused = {
            digest for digests in claimed_digests for digest in digests
        } - used.keys()
        removed: dict[str, bytes] = {}
        try:
            for digest in sorted(unused):
                # After a long pause the set of used parts is out of date.
                if self._clock.monotonic_s() - refresh_time_s > SWEEP_MAX_S:
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

    async def _claim(self, first_retained: int) -> range:
        """Claim versions below `first_retained` that are not claimed yet."""
        item = await self._key_value.read(key=SWEPT_KEY)
        first = int(item.value) if item else 1
        end = min(first_retained, first + SWEEP_BATCH_VERSIONS)
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
        """Read the digests of all retained versions that have not been read yet."""
        while True:
            head = await self._read_head()
            if head is None:
                raise ConflictError(
                    "the configuration head was deleted; apply the configuration again"
                )
            unread = [v for v in range(first, head.version) if v not in self._digests]
            for version in unread:
                self._digests[version] = await self._digests_of(version)
            if len(unread) <= 1:
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
        """Write back the removed parts that a newer version uses."""
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
