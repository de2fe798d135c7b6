"""Load of a service at all entries together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceLoad:
    """Load of one service, summed over the entries that reported lately.

    Attributes
    ----------
    slots : int
        Slots of the usable instances.
    in_flight : int
        Requests that were sent to instances and have not ended.
    waiting_under_way : int
        Requests of programs under way that wait for a slot.
    waiting_new : int
        First requests of programs that wait for a slot.
    completed_per_s : float
        Requests that instances completed per second.
    entries : int
        Entries that the sums cover.
    measured_at_s : float
        Monotonic time of this process at which the sums were received.
    """

    slots: int
    in_flight: int
    waiting_under_way: int
    waiting_new: int
    completed_per_s: float
    entries: int
    measured_at_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class OwnLoad:
    """Load of one service at this entry.

    Attributes
    ----------
    in_flight : dict of str to int
        Requests in flight by the id of the instance; instances without any are absent.
    waiting_under_way, waiting_new : int
        Waiting requests; see `ServiceLoad`.
    completed : int
        Requests that ended since the start of this process.
    slots : int
        Slots of the usable instances.
    """

    in_flight: dict[str, int]
    waiting_under_way: int
    waiting_new: int
    completed: int
    slots: int

    def total(self) -> int:
        """Return all requests, in flight or waiting."""
        in_flight = sum(self.in_flight.values())
        return in_flight + self.waiting_under_way + self.waiting_new

    def is_idle(self) -> bool:
        """Return whether no request is in flight or waits."""
        return self.total() == 0


class SlotLimits(Protocol):
    """Limits of the requests that this entry may have in flight at services."""

    def allowance(self, service: str) -> int | None:
        """Return how many requests may be in flight, or None for no limit."""
        ...

    def has_unused(self, service: str) -> bool:
        """Return whether all entries together ask for less than there is."""
        ...

    def record_held(self, service: str) -> None:
        """Record that a request has to wait."""
        ...


class NoSlotLimits:
    """No limit, for services whose callers do not compete."""

    __slots__ = ()

    def allowance(self, service: str) -> int | None:
        """Return None."""
        return None

    def has_unused(self, service: str) -> bool:
        """Return False: nothing is known of the other entries."""
        return False

    def record_held(self, service: str) -> None:
        """Do nothing."""
