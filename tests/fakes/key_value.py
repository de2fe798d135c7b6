"""In-memory key-value service with fault injection."""

from __future__ import annotations

import asyncio

from lentilroad.adapters.key_value import KeyValueItem
from lentilroad.errors import ConflictError, UnavailableError


class FakeKeyValueStore:
    """Key-value service that runs in the test's event loop.

    Set `down` for an outage, `lose_next_answer` to execute the next write without
    an answer, and `delay_s` to delay every call.
    """

    def __init__(self) -> None:
        self.items: dict[str, KeyValueItem] = {}
        self.revision = 0
        self.calls = 0
        self.down = False
        self.lose_next_answer = False
        self.delay_s = 0.0
        self._changed = asyncio.Event()

    async def _begin(self) -> None:
        self.calls += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.down:
            raise UnavailableError("key-value service is down", outcome="not_run")

    async def read(self, *, key):
        """Return the item, or None if the key does not exist."""
        await self._begin()
        return self.items.get(key)

    async def compare_and_swap(self, *, key, value, expected_revision):
        """Write the value if the key has the expected revision; return the new one."""
        await self._begin()
        current = self.items.get(key)
        if (current.revision if current else 0) != expected_revision:
            raise ConflictError(f"{key} has changed; read it again")
        self.revision += 1
        self.items[key] = KeyValueItem(key=key, value=value, revision=self.revision)
        self._changed.set()
        self._changed = asyncio.Event()
        if self.lose_next_answer:
            self.lose_next_answer = False
            raise UnavailableError("answer lost; read the key", outcome="unknown")
        return self.revision

    async def watch(self, *, key, after_revision, timeout_s):
        """Wait for a newer revision of the key; return None after the timeout."""
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
