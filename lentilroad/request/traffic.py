"""Cost check, rate limit and accounting of the billed traffic between regions."""

from __future__ import annotations

from lentilroad.clock import Clock
from lentilroad.request import const
from lentilroad.request.limits import TokenBucket


class CrossRegionTraffic:
    """Decides whether saved time justifies cross-region traffic, and accounts it.

    The bytes are accounted by caller in `bytes_by_caller`.

    Parameters
    ----------
    clock : Clock
        Source of time.
    price_micro_per_byte : float
        Price of one byte over a billed link, in millionths of the currency unit.
    value_micro_per_s : float
        Value of one second of latency, in millionths of the currency unit.
    bytes_per_s : float
        Rate limit of this entry.
    """

    __slots__ = ("_bucket", "_price", "_value", "bytes_by_caller")

    def __init__(
        self,
        *,
        clock: Clock,
        price_micro_per_byte: float = const.CROSS_REGION_PRICE_MICRO_PER_BYTE,
        value_micro_per_s: float = const.LATENCY_VALUE_MICRO_PER_S,
        bytes_per_s: float = const.CROSS_REGION_BYTES_PER_S,
    ) -> None:
        self._price = price_micro_per_byte
        self._value = value_micro_per_s
        self._bucket = TokenBucket(
            clock=clock,
            rate_per_s=bytes_per_s,
            burst=bytes_per_s * const.CROSS_REGION_BURST_S,
        )
        self.bytes_by_caller: dict[str, int] = {}

    def is_worth(self, *, size_bytes: int, gain_s: float) -> bool:
        """Return whether the value of the saved time exceeds the price of the bytes."""
        return gain_s * self._value > size_bytes * self._price

    def try_spend(self, caller_id: str, *, size_bytes: int, gain_s: float) -> bool:
        """Account the bytes if they are worth their price and within the rate limit."""
        if not self.is_worth(size_bytes=size_bytes, gain_s=gain_s):
            return False
        if self._bucket.wait_s(size_bytes) > 0.0:
            return False
        self.spend(caller_id, size_bytes=size_bytes)
        return True

    def spend(self, caller_id: str, *, size_bytes: int) -> None:
        """Account bytes that cannot be avoided; the rate limit does not apply."""
        self._bucket.consume(size_bytes)
        spent = self.bytes_by_caller.get(caller_id, 0)
        self.bytes_by_caller[caller_id] = spent + size_bytes
