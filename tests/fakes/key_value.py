"""In-memory key-value service with switchable faults."""

from __future__ import annotations

import asyncio

from lentilroad.adapters.key_value import KeyValueItem
from lentilroad.errors import ConflictError, UnavailableError


class FakeKeyValueStore:
    """Key-value service that runs in the test's event loop.

    Set `down` for an outage, `lose_next_reply` to apply the next write and lose its
    answer, `delay_s` for a slow service.
    """

    def __init__(self) -> None:
        self.items: dict[str, KeyValueItem] = {}
        self.revision = 0
        self.calls = 0
        self.down = False
        self.lose_next_reply = False
        self.delay_s = 0.0
        self._changed = asyncio.Event()

    async def _begin(self) -> None:
        self.calls += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.down:
            raise UnavailableError("key-value service is down", outcome="not_run")

    async def read(self, *, key):
        """Return the item or None."""
        await self._begin()
        return self.items.get(key)

    async def compare_and_swap(self, *, key, value, expected_revision):
        """Write if the revision matches."""
        await self._begin()
        current = self.items.get(key)
        if (current.revision if current else 0) != expected_revision:
            raise ConflictError(f"{key} has changed; read it again")
        self.revision += 1
        self.items[key] = KeyValueItem(key=key, value=value, revision=self.revision)
        self._changed.set()
        self._changed = asyncio.Event()
        if self.lose_next_reply:
            self.lose_next_reply = False
            raise UnavailableError("answer lost; read the key", outcome="unknown")
        return self.revision

    async def watch(self, *, key, after_revision, timeout_s):
        """Wait for a newer revision of the key."""
        await self._begin()
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while True:
            item = self.items.get(key)
            if item and item.revision > after_revision:
                return item
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                return None
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                return None

    async def delete(self, *, key):
        """Delete a key."""
        await self._begin()
        self.items.pop(key, None)

    async def list_keys(self, *, prefix):
        """Return the keys that start with the prefix."""
        await self._begin()
        return sorted(key for key in self.items if key.startswith(prefix))
