"""Lease of the entry that reconciles a region."""

from __future__ import annotations

from lentilroad.adapters.key_value import KeyValueStore
from lentilroad.errors import StaleEpochError, UnavailableError
from lentilroad.version.const import RECONCILE_PREFIX


class ReconcileLease:
    """Lease to send commands to a region's upstreams.

    The revision of the lease's record is the fencing number, so each new holder has
    a higher number. The holder is confirmed only when there are commands to send.

    Parameters
    ----------
    key_value : KeyValueStore
        Key-value service of the platform.
    region : str
        Region of the upstreams.
    address : str
        Own address.
    """

    __slots__ = ("_address", "_fencing_number", "_key", "_key_value")

    def __init__(self, *, key_value: KeyValueStore, region: str, address: str) -> None:
        self._key_value = key_value
        self._key = RECONCILE_PREFIX + region
        self._address = address
        self._fencing_number = 0

    async def acquire(self) -> int:
        """Acquire the lease and return its fencing number.

        Raises
        ------
        ConflictError
            Another entry acquired the lease at the same time.
        UnavailableError
            The service did not answer; no command may be sent.
        """
        item = await self._key_value.read(key=self._key)
        if item is not None and item.value == self._address.encode():
            self._fencing_number = item.revision
            return self._fencing_number
        self._fencing_number = await self._key_value.compare_and_swap(
            key=self._key,
            value=self._address.encode(),
            expected_revision=item.revision if item else 0,
        )
        return self._fencing_number

    async def confirm(self) -> None:
        """Check that this entry still holds the lease, right before sending commands.

        Upstreams that ignore fencing numbers are protected by this check only.

        Raises
        ------
        StaleEpochError
            Another entry holds the lease, or the service did not answer.
        """
        try:
            item = await self._key_value.read(key=self._key)
        except UnavailableError as error:
            raise StaleEpochError(
                "the key-value service cannot confirm who reconciles the region; "
                "commands wait until it answers"
            ) from error
        if item is None or item.revision != self._fencing_number:
            self._fencing_number = 0
            raise StaleEpochError(
                "another entry reconciles the region; acquire the lease again only "
                "as the region's first watcher"
            )
