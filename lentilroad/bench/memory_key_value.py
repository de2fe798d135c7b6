"""In-memory key-value service that counts its load per second."""

from __future__ import annotations

import asyncio
import contextlib
import random as random_module
from collections import Counter

from lentilroad.adapters.key_value import KeyValueItem
from lentilroad.clock import Clock
from lentilroad.errors import ConflictError, UnavailableError

LATE_WRITE_MAX_S = 3.0


class MemoryKeyValueStore:
    """Key-value service for simulations.

    Parameters
    ----------
    clock : Clock
        Time of the simulation.
    random : random.Random
        Source of lost answers.
    delay_s : float
        Duration of one call.
    lost_replies : float
        Share of writes that take effect without an answer.
    late_writes : float
        Share of writes that arrive after their caller has given up.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: random_module.Random,
        delay_s: float = 0.003,
        lost_replies: float = 0.0,
        late_writes: float = 0.0,
    ) -> None:
        self._clock = clock
        self._random = random
        self.delay_s = delay_s
        self.lost_replies = lost_replies
        self.late_writes = late_writes
        self.down = False
        self.items: dict[str, KeyValueItem] = {}
        # Every value that each key ever had, for checks after a run.
        self.written: dict[str, list[bytes]] = {}
        self.revision = 0
        # Calls that began in each second.
        self.reads: Counter[int] = Counter()
        self.writes: Counter[int] = Counter()
        self.waiting = 0
        self.waiting_peak = 0
        self._changed = asyncio.Event()

    def _second(self) -> int:
        return int(self._clock.monotonic_s())

    async def _begin(self) -> None:
        await self._clock.sleep(self.delay_s)
        if self.down:
            raise UnavailableError("the service is down; try again", outcome="unknown")

    async def read(self, *, key: str) -> KeyValueItem | None:
        """Return the item or None."""
        self.reads[self._second()] += 1
        await self._begin()
        return self.items.get(key)

    async def compare_and_swap(
        self, *, key: str, value: bytes, expected_revision: int
    ) -> int:
        """Write if the revision matches."""
        self.writes[self._second()] += 1
        await self._begin()
        if self._random.random() < self.late_writes:
            self._write_later(key, value, expected_revision)
            raise UnavailableError("no answer in time; read the key", outcome="unknown")
        revision = self._swap(key, value, expected_revision)
        if self._random.random() < self.lost_replies:
            raise UnavailableError(
                "the answer was lost; read the key", outcome="unknown"
            )
        return revision

    def _write_later(self, key: str, value: bytes, expected_revision: int) -> None:
        def write() -> None:
            with contextlib.suppress(ConflictError):
                self._swap(key, value, expected_revision)

        delay_s = self._random.uniform(0.0, LATE_WRITE_MAX_S)
        asyncio.get_running_loop().call_later(delay_s, write)

    def _swap(self, key: str, value: bytes, expected_revision: int) -> int:
        current = self.items.get(key)
        if (current.revision if current else 0) != expected_revision:
            raise ConflictError(f"{key} has changed; read it again")
        self.revision += 1
        revision = self.revision
        self.items[key] = KeyValueItem(key=key, value=value, revision=revision)
        self.written.setdefault(key, []).append(value)
        self._wake()
        return revision

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; waiting watches fail at its begin."""
        self.down = down
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def watch(
        self, *, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueItem | None:
        """Wait for a newer revision of the key."""
        self.reads[self._second()] += 1
        self.waiting += 1
        self.waiting_peak = max(self.waiting_peak, self.waiting)
        try:
            await self._begin()
            return await self._wait(key, after_revision, timeout_s)
        finally:
            self.waiting -= 1

    async def _wait(
        self, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueItem | None:
        until_s = self._clock.monotonic_s() + timeout_s
        while not self.down:
            item = self.items.get(key)
            if item is not None and item.revision > after_revision:
                return item
            remaining_s = until_s - self._clock.monotonic_s()
            if remaining_s <= 0:
                return None
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                return None
        raise UnavailableError("the service is down; try again")

    async def delete(self, *, key: str) -> None:
        """Delete a key."""
        self.writes[self._second()] += 1
        await self._begin()
        self.items.pop(key, None)

    async def list_keys(self, *, prefix: str) -> list[str]:
        """Return the keys that start with the prefix."""
        self.reads[self._second()] += 1
        await self._begin()
        return sorted(key for key in self.items if key.startswith(prefix))
