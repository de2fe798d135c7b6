"""Key-value service in memory with outages and lost answers."""

from __future__ import annotations

import asyncio

from lentilroad.adapters.key_value import KeyValueItem
from lentilroad.errors import ConflictError, UnavailableError


class MemoryKeyValue:
    """Values with revisions; set `down` or `lost_answers` to inject faults."""

    def __init__(self) -> None:
        self.down = False
        # Number of next writes that take effect without an answer.
        self.lost_answers = 0
        self._items: dict[str, KeyValueItem] = {}
        self._revision = 0
        self._changed = asyncio.Event()

    async def read(self, *, key: str) -> KeyValueItem | None:
        """Return the item, or None when the key does not exist."""
        await self._begin()
        return self._items.get(key)

    async def compare_and_swap(
        self, *, key: str, value: bytes, expected_revision: int
    ) -> int:
        """Write if the revision matches; see `KeyValueStore`."""
        await self._begin()
        current = self._items.get(key)
        if (current.revision if current else 0) != expected_revision:
            raise ConflictError(f"{key} has changed; read it again")
        self._revision += 1
        self._items[key] = KeyValueItem(key=key, value=value, revision=self._revision)
        self._changed.set()
        self._changed = asyncio.Event()
        if self.lost_answers:
            self.lost_answers -= 1
            raise UnavailableError("answer lost; read the key", outcome="unknown")
        return self._revision

    async def watch(
        self, *, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueItem | None:
        """Wait for a newer revision; return None when `timeout_s` passes."""
        await self._begin()
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    changed = self._changed
                    item = self._items.get(key)
                    if item is not None and item.revision > after_revision:
                        return item
                    await changed.wait()
                    await self._begin()
        except TimeoutError:
            return None

    async def delete(self, *, key: str) -> None:
        """Delete a key."""
        await self._begin()
        self._items.pop(key, None)

    async def list_keys(self, *, prefix: str) -> list[str]:
        """Return the keys that start with `prefix`, sorted."""
        await self._begin()
        return sorted(key for key in self._items if key.startswith(prefix))

    async def _begin(self) -> None:
        await asyncio.sleep(0.002)
        if self.down:
            raise UnavailableError("key-value service is down; try again")
