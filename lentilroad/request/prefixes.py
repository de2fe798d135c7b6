"""Table of the prompt prefixes that upstreams have cached."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

from lentilroad.request import const

_EMPTY: Mapping[str, int] = {}


class PrefixTable:
    """Cached tokens by prefix and upstream, as recorded by the owner.

    Keys are program ids, or names of prefixes that several programs share. The
    table is a hint: engines publish cache events late and with gaps, so each
    finished call corrects it with the cached tokens that the engine counted.

    Parameters
    ----------
    records_max : int
        Maximum number of keys; beyond it, the least recently recorded key is evicted.
    holders_max : int
        Maximum number of upstreams per key; beyond it, the upstream with the fewest
        tokens is evicted.
    """

    __slots__ = ("_by_address", "_holders_max", "_records", "_records_max")

    def __init__(
        self,
        *,
        records_max: int = const.PREFIX_RECORDS_MAX,
        holders_max: int = const.PREFIX_HOLDERS_MAX,
    ) -> None:
        self._records_max = records_max
        self._holders_max = holders_max
        self._records: OrderedDict[str, dict[str, int]] = OrderedDict()
        self._by_address: dict[str, set[str]] = {}

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._records)

    def holders(self, key: str) -> Mapping[str, int]:
        """Return the cached tokens of a key by upstream address."""
        return self._records.get(key, _EMPTY)

    def record(self, key: str, *, address: str, tokens: int) -> None:
        """Set the tokens of a key that an upstream has cached; 0 removes the record."""
        if tokens <= 0:
            self._remove(key, address)
            return
        holders = self._records.get(key)
        if holders is None:
            holders = self._records[key] = {}
        self._records.move_to_end(key)
        holders[address] = tokens
        self._by_address.setdefault(address, set()).add(key)
        if len(holders) > self._holders_max:
            self._remove(key, min(holders, key=holders.__getitem__))
        if len(self._records) > self._records_max:
            self.remove_key(next(iter(self._records)))

    def remove_key(self, key: str) -> list[str]:
        """Remove a key; return the addresses of the upstreams that held it."""
        holders = self._records.pop(key, {})
        for address in holders:
            self._unindex(key, address)
        return list(holders)

    def remove_upstream(self, address: str) -> None:
        """Remove all records of an upstream that restarted or died."""
        for key in self._by_address.pop(address, set()):
            holders = self._records[key]
            del holders[address]
            if not holders:
                del self._records[key]

    def _remove(self, key: str, address: str) -> None:
        holders = self._records.get(key)
        if holders is None or address not in holders:
            return
        del holders[address]
        self._unindex(key, address)
        if not holders:
            del self._records[key]

    def _unindex(self, key: str, address: str) -> None:
        keys = self._by_address[address]
        keys.discard(key)
        if not keys:
            del self._by_address[address]
