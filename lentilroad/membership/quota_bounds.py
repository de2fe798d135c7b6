"""Amounts that follow from a customer's limit and the allowed excess."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass

# Part of the allowed excess that extends the bucket of a customer. The rest covers
# requests that were admitted without a grant and are not reported yet.
DEPTH_SHARE = 0.6
# A customer below this share of its full bucket is near its limit.
LOW_SHARE = 0.75
# Share of the full bucket that is kept for programs under way.
RESERVE_SHARE = 0.25
# Times between two reports of an entry and between two reports that report nothing.
# Each coordinator answers at most as many reports per second as stated.
REPORT_INTERVAL_S = 0.2
MAX_REPORTS_PER_S = 1000.0
# Shortest time between two reports of an entry in which requests wait for a grant.
URGENT_INTERVAL_S = 0.05
MAX_URGENT_REPORTS_PER_S = 2000.0
HEARTBEAT_INTERVAL_S = 0.5
MAX_HEARTBEATS_PER_S = 400.0
# Grants that are older are not used.
GRANT_VALID_S = 1.0
# Storage members for each member that coordinates quotas.
MEMBERS_PER_GROUP = 32
# Length of the slots in which entries remember what they admitted.
SLOT_S = 0.5


@dataclass(slots=True, kw_only=True, frozen=True)
class QuotaBounds:
    """Allowed excess over customers' limits in any span of `window_s`.

    Attributes
    ----------
    overage : float
        Allowed share above (rate x window + burst).
    slack : float
        Allowed requests above that.
    """

    window_s: float
    overage: float
    slack: float

    def excess(self, rate_per_s: float, burst: float) -> float:
        """Return the requests that are allowed above the limit in one window."""
        return self.overage * (rate_per_s * self.window_s + burst) + self.slack

    def depth(self, rate_per_s: float, burst: float) -> float:
        """Return the size of the bucket from which grants are taken."""
        return max(1.0, burst + DEPTH_SHARE * self.excess(rate_per_s, burst))

    def reserve(self, rate_per_s: float, burst: float) -> float:
        """Return the amount that new programs leave to programs under way.

        It never exceeds what the bucket holds above the burst.
        """
        excess = DEPTH_SHARE * self.excess(rate_per_s, burst)
        return min(RESERVE_SHARE * self.depth(rate_per_s, burst), excess)

    def may_admit_unasked(self, rate_per_s: float, burst: float, entries: int) -> bool:
        """Return whether each entry may admit one request without a grant.

        While the customer is far from its limit, one request of each entry must fit
        into what is left of the bucket and the excess outside of it.
        """
        rest = (1.0 - DEPTH_SHARE) * self.excess(rate_per_s, burst)
        return entries <= LOW_SHARE * self.depth(rate_per_s, burst) + rest


def report_interval_s(entries: int) -> float:
    """Return the time between two reports of an entry."""
    return max(REPORT_INTERVAL_S, entries / MAX_REPORTS_PER_S)


def urgent_interval_s(entries: int) -> float:
    """Return the time between two reports of an entry in which requests wait."""
    return max(URGENT_INTERVAL_S, entries / MAX_URGENT_REPORTS_PER_S)


def heartbeat_interval_s(entries: int) -> float:
    """Return the time after which an entry reports although it has admitted nothing."""
    return max(HEARTBEAT_INTERVAL_S, entries / MAX_HEARTBEATS_PER_S)


def missing_after_s(entries: int) -> float:
    """Return the time without a report after which an entry uses its own share."""
    return max(GRANT_VALID_S, 2.0 * heartbeat_interval_s(entries)) + 0.5


def group_key(customer: str, members: int) -> str:
    """Return the key by which the coordinators of a customer are ranked.

    Parameters
    ----------
    customer : str
        Name of the customer.
    members : int
        Number of storage members.
    """
    groups = max(1, math.ceil(members / MEMBERS_PER_GROUP))
    return f"quotas/{zlib.crc32(customer.encode()) % groups}"
