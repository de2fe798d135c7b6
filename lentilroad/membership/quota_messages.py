"""Messages between entries and the coordinator of customers' quotas."""

from __future__ import annotations

import math
from typing import Annotated

import msgspec

from lentilroad.wire.services import Method

# Items of one report; a longer report is a fault of the sender.
MAX_ITEMS = 10_000
MAX_PAST_SLOTS = 64

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
SmallCount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
# Limits of a configuration may be larger than any machine serves.
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class QuotaItem(msgspec.Struct, kw_only=True, array_like=True):
    """Use of one customer's quota at one entry.

    Attributes
    ----------
    version : int
        Version of the configuration that states the limit.
    used_total : int
        Requests admitted by this process until now, without those that did not run.
    used_before : int
        The same when the last report was sent that has a reply.
    held : int
        Requests that may still be admitted without another grant.
    wanted : int
        Further requests that the entry expects to admit until its next report.
    waiting : int
        Requests that wait for a grant.
    waiting_under_way : int
        Those of them that belong to programs under way.
    past : list of int
        Requests admitted in each of the last slots, newest first; only in the first
        report to a coordinator.
    """

    customer: str
    version: Count
    rate_per_s: Amount
    burst: Amount
    used_total: Count
    used_before: Count
    held: SmallCount
    wanted: SmallCount
    waiting: SmallCount
    waiting_under_way: SmallCount
    past: Annotated[list[SmallCount], msgspec.Meta(max_length=MAX_PAST_SLOTS)] = []

    def is_valid(self) -> bool:
        """Return whether the numbers fit together."""
        return (
            math.isfinite(self.rate_per_s)
            and self.rate_per_s > 0.0
            and math.isfinite(self.burst)
            and self.waiting_under_way <= self.waiting
        )


class QuotaReport(msgspec.Struct, kw_only=True, array_like=True):
    """Report of one entry for all customers of a coordinator.

    Attributes
    ----------
    group : str
        Key of the coordinator's customers.
    started : int
        Identifies the process at the entry's address.
    sequence : int
        Number of the report; a later one was sent later.
    age_s : float
        Seconds since the start of the process.
    entries : int
        Number of entries that this one knows, with itself.
    first : bool
        Whether the last report went to another coordinator.
    """

    group: str
    entry: str
    started: Count
    sequence: Count
    age_s: Amount
    entries: SmallCount
    first: bool
    items: Annotated[list[QuotaItem], msgspec.Meta(max_length=MAX_ITEMS)]


class QuotaGrant(msgspec.Struct, kw_only=True, array_like=True):
    """What an entry may admit for one customer until its next report.

    Attributes
    ----------
    granted : int
        Requests of any kind.
    granted_under_way : int
        Further requests that belong to programs under way.
    wait_s : float
        Seconds until requests of new programs that wait can expect a grant; 0 if none
        waits or some are granted.
    wait_under_way_s : float
        The same for requests of programs under way.
    share_per_s : float
        Rate that the entry can expect while all contending entries ask.
    """

    customer: str
    granted: SmallCount
    granted_under_way: SmallCount
    wait_s: Amount
    wait_under_way_s: Amount
    share_per_s: Amount


class QuotaReply(msgspec.Struct, kw_only=True, array_like=True):
    """Reply to a report.

    Attributes
    ----------
    known : bool
        False if the coordinator does not know the entry and needs a first report.
    settling : bool
        Whether the coordinator has just begun and does not know all entries yet.
    entries : int
        Number of entries among which limits are divided.
    low : list of str
        Customers of which much of the quota is in use.
    """

    known: bool
    settling: bool
    entries: SmallCount
    grants: list[QuotaGrant]
    low: list[str]


REPORT_QUOTAS = Method(
    path="/lentilroad.Storage/ReportQuotas",
    request_type=QuotaReport,
    reply_type=QuotaReply,
)
