"""What an instance states about itself in responses, and the permits that follow."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, frozen=True)
class RateLimit:
    """Limit that an instance stated in a response.

    Attributes
    ----------
    per_s : float or None
        Requests per second that the instance accepts from all entries together; None
        if it accepts any number.
    stated_at_s : float
        Monotonic time at which the response arrived.
    """

    per_s: float | None
    stated_at_s: float


@dataclass(slots=True, kw_only=True, eq=False)
class Permits:
    """Permits of this process for requests to one rate-limited instance.

    Attributes
    ----------
    valid_until_s : deque of float
        Monotonic time at which each permit expires.
    requested : int
        Requests that wait for a permit.
    lock : asyncio.Lock
        Held while permits are requested.
    """

    valid_until_s: deque[float] = field(default_factory=deque)
    requested: int = 0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def add(self, count: int, until_s: float) -> None:
        """Add permits that expire at a monotonic time."""
        self.valid_until_s.extend([until_s] * count)

    def take(self, now_s: float) -> bool:
        """Take a permit that has not expired, and return whether there was one."""
        while self.valid_until_s:
            if self.valid_until_s.popleft() > now_s:
                return True
        return False
