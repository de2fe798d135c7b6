"""Load of a service at all entries together."""

from __future__ import annotations

from dataclasses import dataclass


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
