"""Which entry reconciles a region, and with which fencing number."""

from __future__ import annotations

from lentilroad.adapters.key_value import KeyValueStore
from lentilroad.errors import StaleEpochError, UnavailableError
from lentilroad.version.const import RECONCILE_PREFIX


class ReconcileLease:
    """Right of one entry to command a region's upstreams.

    The record's revision is the fencing number, so a later holder always has a
    higher one. The service is asked only when there are commands to send.

    Parameters
    ----------
    key_value : KeyValueStore
        The platform's service.
    region : str
        Region of the upstreams.
    address : str
        Own address.
    """

    __slots__ = ("_address", "_key", "_key_value", "_number")

    def __init__(self, *, key_value: KeyValueStore, region: str, address: str) -> None:
        self._key_value = key_value
        self._key = RECONCILE_PREFIX + region
        self._address = address
        self._number = 0

    async def take(self) -> int:
        """Become the holder and return the fencing number.

        Raises
        ------
        ConflictError
            Another entry became the holder at the same time.
        UnavailableError
            The service did not answer; nothing may be commanded.
        """
        item = await self._key_value.read(key=self._key)
        if item is not None and item.value == self._address.encode():
            self._number = item.revision
            return self._number
        self._number = await self._key_value.compare_and_swap(
            key=self._key,
            value=self._address.encode(),
            expected_revision=item.revision if item else 0,
        )
        return self._number

    async def confirm(self) -> None:
        """Check right before commands that this entry is still the holder.

        Upstreams that ignore fencing numbers are protected by this check only.

        Raises
        ------
        StaleEpochError
            Another entry is the holder; stop reconciling.
        """
        try:
            item = await self._key_value.read(key=self._key)
        except UnavailableError as error:
            raise StaleEpochError(
                "the key-value service cannot confirm who reconciles the region; "
                "commands wait until it answers"
            ) from error
        if item is None or item.revision != self._number:
            self._number = 0
            raise StaleEpochError(
                "another entry reconciles the region; take the lease again only as "
                "the region's first watcher"
            )
