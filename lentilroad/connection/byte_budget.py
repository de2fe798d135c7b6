"""Budget of bytes that a process holds for other parties.

The decisions need no network: the caller of `ByteBudget` carries out what it decides.
Large holds may not use the part that is reserved for small ones, so that ordinary
requests are served beside a crowd of large bodies. While others wait, holds of parties
that make no progress are evicted, and smaller sizes go first.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from enum import Enum

from lentilroad.clock import Clock

# Holds up to this size share the reserved part with one another only.
SMALL_HOLD_BYTES = 64 * 1024
RESERVED_SHARE = 0.25
# A party that others wait for has to make progress within this time, and to transfer
# this many bytes a second on average.
STALL_S = 0.5
MIN_BYTES_PER_S = 1024 * 1024
# Requests wait this long for room; their callers then do better at another entry.
MAX_WAIT_S = 2.0
# Each one waiting may have some unread bytes in its connection's buffers.
MAX_WAITING = 64


class HoldState(Enum):
    """State of a hold."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"
    RELEASED = "released"


class Hold:
    """Bytes held for one party.

    Attributes
    ----------
    size_bytes : int
        Bytes that count against the budget.
    state : HoldState
        Whether the bytes may be held.
    """

    __slots__ = (
        "_on_decision",
        "_on_evict",
        "_progress_s",
        "_transfer_ends_s",
        "asked_s",
        "evicted",
        "size_bytes",
        "state",
    )

    def __init__(
        self, *, size_bytes: int, asked_s: float, on_evict: Callable[[], None]
    ) -> None:
        self.size_bytes = size_bytes
        self.state = HoldState.WAITING
        self.asked_s = asked_s
        self.evicted = False
        self._on_evict = on_evict
        self._on_decision: Callable[[], None] | None = None
        self._progress_s = math.inf
        self._transfer_ends_s = math.inf

    def on_decision(self, notify: Callable[[], None]) -> None:
        """Call `notify` when a waiting hold is granted or refused."""
        self._on_decision = notify

    def begin_transfer(self, now_s: float) -> None:
        """Record that the party itself sends or receives the bytes from now on."""
        self._progress_s = now_s
        self._transfer_ends_s = now_s + STALL_S + self.size_bytes / MIN_BYTES_PER_S

    def record_progress(self, now_s: float) -> None:
        """Record that the party sent or received some bytes."""
        self._progress_s = now_s

    def end_transfer(self) -> None:
        """Record that the bytes no longer wait for the party."""
        self._progress_s = self._transfer_ends_s = math.inf

    def evictable_at_s(self) -> float:
        """Return from which monotonic time on the hold gives way to others."""
        if self.evicted:
            return math.inf
        return min(self._progress_s + STALL_S, self._transfer_ends_s)

    def decide(self, state: HoldState) -> None:
        """Set the state and notify the one that waits for it."""
        self.state = state
        if self._on_decision is not None:
            self._on_decision()

    def evict(self) -> None:
        """Tell the owner to end the transfer; it releases the hold then."""
        self.evicted = True
        self._on_evict()


class ByteBudget:
    """Holds within a total number of bytes.

    Parameters
    ----------
    clock : Clock
        Source of time.
    total_bytes : int
        Bytes of all holds together.

    Attributes
    ----------
    held_bytes : int
        Bytes of granted holds.
    refused : int
        Number of holds that were refused for lack of room.
    evicted : int
        Number of holds whose party made too little progress while others waited.
    """

    __slots__ = (
        "_clock",
        "_evicting_bytes",
        "_granted",
        "_large_bytes",
        "_max_large_bytes",
        "_order",
        "_total_bytes",
        "_waiting",
        "_waiting_count",
        "evicted",
        "held_bytes",
        "refused",
    )

    def __init__(self, *, clock: Clock, total_bytes: int) -> None:
        self._clock = clock
        self._total_bytes = total_bytes
        self._max_large_bytes = int(total_bytes * (1.0 - RESERVED_SHARE))
        self._large_bytes = 0
        # Bytes of evicted holds that their owners have not yet released.
        self._evicting_bytes = 0
        self._granted: set[Hold] = set()
        self._waiting: list[tuple[int, int, Hold]] = []
        self._waiting_count = 0
        self._order = itertools.count()
        self.held_bytes = 0
        self.refused = 0
        self.evicted = 0

    def request(self, size_bytes: int, *, on_evict: Callable[[], None]) -> Hold:
        """Return a hold that is granted, waiting or refused.

        Parameters
        ----------
        size_bytes : int
            Bytes to hold. A size beyond the budget waits until it is the only one.
        on_evict : callable
            Ends the transfer of the party that holds up others.
        """
        size_bytes = min(size_bytes, self._max_large_bytes)
        hold = Hold(
            size_bytes=size_bytes,
            asked_s=self._clock.monotonic_s(),
            on_evict=on_evict,
        )
        first_size_bytes = self._waiting[0][0] if self._waiting else math.inf
        if size_bytes < first_size_bytes and self._fits(size_bytes):
            self._grant(hold)
        elif self._waiting_count >= MAX_WAITING:
            self.refused += 1
            hold.state = HoldState.REFUSED
        else:
            heapq.heappush(self._waiting, (size_bytes, next(self._order), hold))
            self._waiting_count += 1
        return hold

    def release(self, hold: Hold) -> None:
        """Give back a hold; a second call has no effect."""
        if hold.state is HoldState.WAITING:
            self._waiting_count -= 1
        elif hold.state is HoldState.GRANTED:
            self._granted.remove(hold)
            self._count(hold.size_bytes, -hold.size_bytes)
            if hold.evicted:
                self._evicting_bytes -= hold.size_bytes
        else:
            return
        hold.state = HoldState.RELEASED
        self._grant_waiting()

    def shrink(self, hold: Hold, size_bytes: int) -> None:
        """Reduce a granted hold to the bytes that are in use."""
        if hold.state is not HoldState.GRANTED or size_bytes >= hold.size_bytes:
            return
        self._count(hold.size_bytes, -hold.size_bytes)
        if hold.evicted:
            self._evicting_bytes -= hold.size_bytes - size_bytes
        hold.size_bytes = size_bytes
        self._count(size_bytes, size_bytes)
        self._grant_waiting()

    def has_waiting(self) -> bool:
        """Return whether `sweep` has to be called regularly."""
        return self._waiting_count > 0

    def sweep(self) -> None:
        """Evict holds that others wait for, and refuse those that waited too long."""
        now_s = self._clock.monotonic_s()
        if not self._waiting_count:
            return
        self._evict(now_s)
        for _, _, hold in list(self._waiting):
            if hold.state is HoldState.WAITING and now_s - hold.asked_s >= MAX_WAIT_S:
                self._waiting_count -= 1
                self.refused += 1
                hold.decide(HoldState.REFUSED)
        self._grant_waiting()

    def _evict(self, now_s: float) -> None:
        wanted_bytes = sum(
            hold.size_bytes
            for _, _, hold in self._waiting
            if hold.state is HoldState.WAITING
        )
        stalled = sorted(
            (hold for hold in self._granted if hold.evictable_at_s() <= now_s),
            key=Hold.evictable_at_s,
        )
        for hold in stalled:
            if self._evicting_bytes >= wanted_bytes:
                return
            self._evicting_bytes += hold.size_bytes
            self.evicted += 1
            hold.evict()

    def _fits(self, size_bytes: int) -> bool:
        if self.held_bytes + size_bytes > self._total_bytes:
            return False
        return (
            size_bytes <= SMALL_HOLD_BYTES
            or self._large_bytes + size_bytes <= self._max_large_bytes
        )

    def _grant(self, hold: Hold) -> None:
        self._granted.add(hold)
        self._count(hold.size_bytes, hold.size_bytes)
        hold.decide(HoldState.GRANTED)

    def _grant_waiting(self) -> None:
        while self._waiting:
            size_bytes, _, hold = self._waiting[0]
            if hold.state is HoldState.WAITING:
                if not self._fits(size_bytes):
                    return
                self._waiting_count -= 1
                self._grant(hold)
            heapq.heappop(self._waiting)

    def _count(self, size_bytes: int, change_bytes: int) -> None:
        self.held_bytes += change_bytes
        if size_bytes > SMALL_HOLD_BYTES:
            self._large_bytes += change_bytes
