"""Interface to the platform's key-value service."""

from __future__ import annotations

from typing import Protocol

import msgspec


class KeyValueItem(msgspec.Struct, kw_only=True):
    """Key and value with the revision of the last write."""

    key: str
    value: bytes
    revision: int


class KeyValueStore(Protocol):
    """Interface that lentilroad requires of the key-value service.

    Every method raises `UnavailableError` when no answer arrives before the timeout.
    For a write the outcome of that error is ``unknown``: the write may have taken
    effect.
    """

    async def read(self, *, key: str) -> KeyValueItem | None:
        """Return the item, or None when the key does not exist."""
        ...

    async def compare_and_swap(
        self, *, key: str, value: bytes, expected_revision: int
    ) -> int:
        """Write if the revision matches; 0 means that the key must not exist.

        Returns the new revision. Raises `ConflictError` on a mismatch.
        """
        ...

    async def watch(
        self, *, key: str, after_revision: int, timeout_s: float
    ) -> KeyValueItem | None:
        """Wait for a newer revision; return None when `timeout_s` passes."""
        ...

    async def delete(self, *, key: str) -> None:
        """Delete a key."""
        ...

    async def list_keys(self, *, prefix: str) -> list[str]:
        """Return the keys that start with `prefix`, sorted."""
        ...
