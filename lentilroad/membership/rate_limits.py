"""Coordination of the rate limits that instances state for all entries together.

Each limited instance has one coordinator among the storage members, which grants
permits to the entries: one request to the instance for each permit. A coordinator keeps
nothing on disk; after a restart it learns the limit from the next request for permits.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from lentilroad.clock import Clock
from lentilroad.membership.wait_order import WaitOrder
from lentilroad.process.events import log_event
from lentilroad.wire.services import Method

# Part of the limit that a member grants, by its position among the coordinators of the
# instance. Entries ask the next one while they cannot reach the one before. Their sum
# stays below the excess of 1.5 that a limit allows, so that several members may grant
# at the same time.
COORDINATOR_SHARES = (1.0, 0.25, 0.125)
# Permits of this time, or one permit, may accumulate while no entry asks.
BURST_S = 0.25
# Rate at which a stated limit of zero is checked again.
MIN_RATE_PER_S = 0.1
# Longest time after which a refused entry asks again, in a small group of entries.
MAX_PAUSE_S = 0.5
# Requests for permits of one instance that a coordinator accepts per second from all
# entries that are refused; in a larger group of entries each one pauses for longer.
MAX_REFUSALS_PER_S = 20.0
BUCKET_EXPIRY_S = 60.0


class PermitRequest(msgspec.Struct, kw_only=True, array_like=True):
    """Request for permits, which also reports what the instance stated.

    Attributes
    ----------
    started_ms : int
        Start of the instance; a restarted instance has stated nothing yet.
    entry : str
        Address of the entry.
    limit_per_s : float or None
        Requests per second that the instance accepts; None for any number.
    age_s : float
        Seconds since the instance stated the limit.
    wanted : int
        Permits; 0 only reports the limit.
    """

    instance_id: str
    started_ms: int
    availability_zone: str
    entry: str
    limit_per_s: float | None
    age_s: float
    wanted: int


class PermitReply(msgspec.Struct, kw_only=True, array_like=True):
    """Permits, and the newest limit that any entry reported.

    Attributes
    ----------
    granted : int
        Permits that are valid now.
    pause_s : float
        Seconds until the entry may ask again, if none was granted.
    expected_wait_s : float
        Seconds until the entry can expect a permit, if none was granted.
    share_per_s : float
        Rate that the entry can expect while all contending entries ask.
    """

    granted: int
    pause_s: float
    expected_wait_s: float
    share_per_s: float
    limit_per_s: float | None
    age_s: float


ACQUIRE_PERMITS = Method(
    path="/lentilroad.Storage/AcquirePermits",
    request_type=PermitRequest,
    reply_type=PermitReply,
)


@dataclass(slots=True, kw_only=True)
class _Bucket:
    """Permits of one instance.

    Attributes
    ----------
    next_permit_s : float
        Monotonic time at which the next permit becomes available.
    order : WaitOrder
        Entries that were refused a permit.
    """

    limit_per_s: float | None
    stated_at_s: float
    next_permit_s: float
    used_s: float = 0.0
    order: WaitOrder = field(default_factory=WaitOrder)


class RateLimitCoordinator:
    """Grants permits for requests to instances that stated a rate limit.

    Parameters
    ----------
    clock : Clock
        Source of time.
    position : callable
        Receives the id and the availability zone of an instance; returns the position
        of this process among its coordinators, 0 for the first.
    """

    def __init__(self, *, clock: Clock, position: Callable[[str, str], int]) -> None:
        self._clock = clock
        self._position = position
        self._buckets: dict[tuple[str, int], _Bucket] = {}

    async def acquire(self, request: PermitRequest) -> PermitReply:
        """Handle `ACQUIRE_PERMITS`."""
        now_s = self._clock.monotonic_s()
        bucket = self._bucket(request, now_s)
        if bucket.limit_per_s is None:
            return _reply(bucket, now_s, granted=request.wanted)
        position = self._position(request.instance_id, request.availability_zone)
        if position >= len(COORDINATOR_SHARES):
            return _reply(
                bucket, now_s, pause_s=MAX_PAUSE_S, expected_wait_s=MAX_PAUSE_S
            )
        rate_per_s = max(MIN_RATE_PER_S, bucket.limit_per_s)
        rate_per_s *= COORDINATOR_SHARES[position]
        granted = _take(bucket, request.wanted, rate_per_s, now_s)
        pause_s = expected_wait_s = 0.0
        if granted == 0 and request.wanted > 0:
            expected_wait_s = bucket.order.next_wait_s(
                request.entry,
                rate_per_s=rate_per_s,
                available_at_s=bucket.next_permit_s,
                now_s=now_s,
            )
            contenders = len(bucket.order.contenders)
            longest_s = max(MAX_PAUSE_S, contenders / MAX_REFUSALS_PER_S)
            pause_s = min(longest_s, expected_wait_s)
        if request.wanted > 0:
            bucket.order.add(request.entry, now_s=now_s, pause_s=pause_s)
        return _reply(
            bucket,
            now_s,
            granted=granted,
            pause_s=pause_s,
            expected_wait_s=expected_wait_s,
            share_per_s=rate_per_s / max(1, len(bucket.order.contenders)),
        )

    def _bucket(self, request: PermitRequest, now_s: float) -> _Bucket:
        """Return the instance's bucket with the newest limit that was reported."""
        key = (request.instance_id, request.started_ms)
        stated_at_s = now_s - request.age_s
        bucket = self._buckets.get(key)
        if bucket is None:
            self._remove_unused(now_s)
            bucket = self._buckets[key] = _Bucket(
                limit_per_s=request.limit_per_s,
                stated_at_s=stated_at_s,
                next_permit_s=now_s,
            )
        elif stated_at_s > bucket.stated_at_s:
            bucket.stated_at_s = stated_at_s
            if request.limit_per_s != bucket.limit_per_s:
                log_event(
                    "coordinated_rate_limit",
                    instance=request.instance_id,
                    limit_per_s=request.limit_per_s,
                    previous_per_s=bucket.limit_per_s,
                    reported_by=request.entry,
                )
                bucket.limit_per_s = request.limit_per_s
                # Times that entries were told at the former rate no longer apply.
                interval_s = 1.0 / max(MIN_RATE_PER_S, request.limit_per_s or 0.0)
                bucket.next_permit_s = min(bucket.next_permit_s, now_s + interval_s)
                bucket.order.next_expected_s = 0.0
        bucket.used_s = now_s
        bucket.order.expire(now_s)
        return bucket

    def _remove_unused(self, now_s: float) -> None:
        for key, bucket in list(self._buckets.items()):
            if now_s - bucket.used_s > BUCKET_EXPIRY_S:
                del self._buckets[key]


def _take(bucket: _Bucket, wanted: int, rate_per_s: float, now_s: float) -> int:
    """Take up to `wanted` of the permits that have become available."""
    interval_s = 1.0 / rate_per_s
    next_s = max(bucket.next_permit_s, now_s - max(BURST_S, interval_s))
    granted = 0
    while granted < wanted and next_s <= now_s:
        next_s += interval_s
        granted += 1
    bucket.next_permit_s = next_s
    return granted


def _reply(
    bucket: _Bucket,
    now_s: float,
    *,
    granted: int = 0,
    pause_s: float = 0.0,
    expected_wait_s: float = 0.0,
    share_per_s: float = 0.0,
) -> PermitReply:
    return PermitReply(
        granted=granted,
        pause_s=pause_s,
        expected_wait_s=expected_wait_s,
        share_per_s=share_per_s,
        limit_per_s=bucket.limit_per_s,
        age_s=now_s - bucket.stated_at_s,
    )
