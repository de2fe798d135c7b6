"""Directory of the instances of upstream services."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from lentilroad.clock import Clock
from lentilroad.connection.http_pool import HttpPool
from lentilroad.membership.statements import Permits, RateLimit
from lentilroad.process.events import log_event

# Keys of live instances that expire while the store is unreachable are written again
# within 2 s after it is reachable. An instance whose key is then missing has ended.
EXPIRY_GRACE_S = 2.0
# A restarted instance may answer requests for this long before its registration is
# known here.
REGISTRATION_LAG_S = 2.0
# A store that was unresponsive without closing the watch reports expired keys as
# removals once it responds. The removal of more than this share of all instances at
# once is treated as such an expiry. The loss of one of three zones stays below it.
MASS_EXPIRY_SHARE = 0.34
# Weight of the newest sample in the running mean of an instance's response time.
RESPONSE_TIME_WEIGHT = 0.2
# Weight of the newest sample in the running mean of an instance's failures; the mean
# covers about the last 15 requests.
FAILURE_WEIGHT = 0.07
# What a removed instance stated is kept for this long, since its key may come back
# while the same process still serves.
FORMER_STATE_MEMORY_S = 600.0
# Share of the drain time in which a leaving instance gets requests that no other
# instance can accept.
LEAVING_LAST_RESORT_SHARE = 0.8
# Response time assumed until an instance has answered.
DEFAULT_RESPONSE_S = 0.15
# An instance that answers nothing for this long, and for this multiple of its mean
# response time, gets no further work while other instances can accept it.
UNRESPONSIVE_AFTER_S = 0.35
UNRESPONSIVE_RESPONSE_TIMES = 3.0
# Multiple of the mean response time in which most responses are complete.
LIKELY_RESPONSE_TIMES = 2.0


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamInstance:
    """An instance's description of itself.

    Attributes
    ----------
    started_ms : int
        Unix time of the process start in milliseconds; 0 if unknown. An instance that
        restarts under the same id has lost its previous state.
    cold_s : float
        Seconds for which the instance is slow after its start.
    """

    instance_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    draining: bool = False
    started_ms: int = 0
    cold_s: float = 0.0

    def incarnation(self) -> tuple[str, str, int]:
        """Return the key that identifies one incarnation of the instance."""
        return self.instance_id, self.address, self.started_ms


@dataclass(slots=True, kw_only=True, eq=False)
class UpstreamState:
    """State of one incarnation of an instance, as observed by this process.

    Attributes
    ----------
    in_flight : int
        Requests of this process to the instance that have not ended.
    own_limit : int or None
        Requests that this process may have in flight, where entries share the slots;
        None for as many as the instance has slots.
    failures : int
        Consecutive exclusions since the last successful request.
    failure_share : float
        Running share of failed requests.
    excluded_until_s : float
        Monotonic time until which the instance gets no new work.
    suspected_until_s : float
        Monotonic time until which the instance is avoided because another entry
        reported it as unresponsive.
    rate_limit : RateLimit or None
        Newest known statement of the instance about its limit; None if it never
        stated one.
    permits : Permits or None
        Permits of this process; None before the first one was requested.
    paused_until_s : float
        Monotonic time until which no permit is requested for the instance.
    permit_expected_s : float
        Monotonic time at which a permit is expected, not before the end of the pause.
    share_per_s : float
        Requests per second that this process can expect to send under the limit.
    leaving_since_s : float or None
        Monotonic time at which the instance first stated that it is leaving.
    drain_s : float
        Time for which an instance that is leaving still accepts requests.
    earlier_statement_s : float or None
        Monotonic time of a statement that it is leaving which may be this incarnation's
        although it arrived before its registration.
    """

    instance: UpstreamInstance
    pool: HttpPool
    in_flight: int = 0
    own_limit: int | None = None
    failures: int = 0
    excluded_until_s: float = 0.0
    suspected_until_s: float = 0.0
    mean_response_s: float = 0.0
    rate_limit: RateLimit | None = None
    permits: Permits | None = None
    paused_until_s: float = 0.0
    permit_expected_s: float = 0.0
    share_per_s: float = 0.0
    leaving_since_s: float | None = None
    drain_s: float = 0.0
    earlier_statement_s: float | None = None
    expired: bool = False
    removed: bool = False
    removed_at_s: float = 0.0
    failure_share: float = 0.0
    # Monotonic send times of the requests that have no answer yet, by request id.
    unanswered: dict[str, float] = field(default_factory=dict)
    last_answer_s: float = float("-inf")
    # Monotonic times at which prompt parts were last sent to the instance, by part.
    recent_parts: dict[str, float] = field(default_factory=dict)
    # Called after a change that affects the selection of an instance.
    on_change: Callable[[UpstreamState], None] = lambda state: None

    def usable(self, now_s: float) -> bool:
        """Return whether new work may go to the instance."""
        return (
            not self.removed
            and not self.draining(now_s)
            and self.excluded_until_s <= now_s
        )

    def is_full(self) -> bool:
        """Return whether this process may send no further request."""
        limit = self.instance.slots if self.own_limit is None else self.own_limit
        return self.in_flight >= limit

    def leaves(self) -> bool:
        """Return whether the instance leaves, as stated by itself or by the list."""
        return self.instance.draining or self.leaving_since_s is not None

    def draining(self, now_s: float) -> bool:
        """Return whether the instance leaves and must not get any new work."""
        return self.instance.draining or (
            self.leaving_since_s is not None and now_s >= self.last_resort_until_s()
        )

    def last_resort_until_s(self) -> float:
        """Return until when a leaving instance may get work that others cannot take."""
        if self.leaving_since_s is None:
            return 0.0
        return self.leaving_since_s + LEAVING_LAST_RESORT_SHARE * self.drain_s

    def record_sent(self, request_id: str, now_s: float) -> None:
        """Record that a request was sent and awaits its answer."""
        self.unanswered[request_id] = now_s

    def record_answer(self, request_id: str, now_s: float) -> None:
        """Record that the first bytes of an answer have arrived."""
        self.unanswered.pop(request_id, None)
        self.last_answer_s = now_s
        self.suspected_until_s = 0.0

    def record_abandoned(self, request_id: str) -> None:
        """Record that the answer to a request is no longer awaited."""
        self.unanswered.pop(request_id, None)

    def response_timeout_s(self) -> float:
        """Return after how many seconds a missing answer counts as a failure."""
        response_s = self.mean_response_s or DEFAULT_RESPONSE_S
        return max(UNRESPONSIVE_AFTER_S, UNRESPONSIVE_RESPONSE_TIMES * response_s)

    def likely_answer_s(self) -> float:
        """Return the time in seconds in which the instance most likely answers."""
        response_s = self.mean_response_s or DEFAULT_RESPONSE_S
        return max(UNRESPONSIVE_AFTER_S, LIKELY_RESPONSE_TIMES * response_s)

    def unresponsive(self, now_s: float) -> bool:
        """Return whether requests have been unanswered for too long."""
        if not self.unanswered:
            return False
        oldest_s = next(iter(self.unanswered.values()))
        return now_s - max(oldest_s, self.last_answer_s) > self.response_timeout_s()

    def limit_per_s(self) -> float | None:
        """Return the instance's rate limit for all entries, or None for no limit."""
        return self.rate_limit.per_s if self.rate_limit is not None else None

    def record_rate_limit(self, statement: RateLimit) -> bool:
        """Record what an instance stated about its limit, unless newer is known.

        Returns
        -------
        bool
            Whether the limit changed.
        """
        known = self.rate_limit
        if known is None and statement.per_s is None:
            return False
        if known is not None and known.stated_at_s >= statement.stated_at_s:
            return False
        previous_per_s = self.limit_per_s()
        self.rate_limit = statement
        if statement.per_s == previous_per_s:
            return False
        log_event(
            "upstream_rate_limit",
            instance=self.instance.instance_id,
            service=self.instance.service,
            limit_per_s=statement.per_s,
            previous_per_s=previous_per_s,
        )
        # A pause followed from the former limit.
        self.pause(0.0, permit_expected_s=0.0)
        return True

    def record_leaving(self, now_s: float) -> None:
        """Record that the instance stated that it is leaving."""
        if self.leaving_since_s is not None:
            return
        self.leaving_since_s = now_s
        if self.earlier_statement_s is not None:
            self.leaving_since_s = self.earlier_statement_s
        log_event(
            "upstream_leaving",
            instance=self.instance.instance_id,
            service=self.instance.service,
            listed_as_draining=self.instance.draining,
        )
        self.on_change(self)

    def pause(self, until_s: float, *, permit_expected_s: float) -> None:
        """Send no requests until a monotonic time, since the limit leaves no permit."""
        self.paused_until_s = until_s
        self.permit_expected_s = max(until_s, permit_expected_s)
        self.on_change(self)

    def expected_rate_per_s(self) -> float:
        """Return how many requests per second this process may expect to complete."""
        rate_per_s = self.instance.slots / (self.mean_response_s or DEFAULT_RESPONSE_S)
        if self.limit_per_s() is None or self.share_per_s == 0.0:
            return rate_per_s
        return min(rate_per_s, self.share_per_s)

    def record_outcome(self, *, failed: bool) -> None:
        """Record whether a request failed."""
        if not failed:
            self.failures = 0
        sample = 1.0 if failed else 0.0
        self.failure_share += FAILURE_WEIGHT * (sample - self.failure_share)
        self.on_change(self)

    def exclude(self, until_s: float) -> None:
        """Stop new work to the instance until a monotonic time."""
        self.failures += 1
        self.excluded_until_s = until_s
        self.on_change(self)

    def record_response_time(self, elapsed_s: float) -> None:
        """Record the response time of an answered request."""
        if self.mean_response_s == 0.0:
            self.mean_response_s = elapsed_s
        self.mean_response_s += RESPONSE_TIME_WEIGHT * (
            elapsed_s - self.mean_response_s
        )
        self.on_change(self)


class UpstreamDirectory:
    """Instances of all services, by the platform's list, with observed state.

    Parameters
    ----------
    clock : Clock
        Source of time.
    drain_s : float
        Time for which an instance that is leaving still accepts requests.
    """

    __slots__ = (
        "_by_id",
        "_by_service",
        "_on_change",
        "_clock",
        "_drain_s",
        "_expiry_grace_until_s",
        "_former",
        "loaded",
    )

    def __init__(self, *, clock: Clock, drain_s: float = 0.0) -> None:
        self._clock = clock
        self._drain_s = drain_s
        # Last states of removed instances that may come back, by incarnation.
        self._former: dict[tuple[str, str, int], UpstreamState] = {}
        self._by_id: dict[str, UpstreamState] = {}
        self._by_service: dict[str, dict[str, UpstreamState]] = {}
        self._on_change: Callable[[UpstreamState], None] = lambda state: None
        self._expiry_grace_until_s = float("-inf")
        # Whether the complete list was read at least once.
        self.loaded = False

    def subscribe(self, on_change: Callable[[UpstreamState], None]) -> None:
        """Call `on_change` with each instance that is added, changed or removed."""
        self._on_change = on_change
        for state in self._by_id.values():
            state.on_change = on_change
            on_change(state)

    def start_expiry_grace(self, outage_ended_at_s: float | None = None) -> None:
        """Keep instances with missing keys for a time, after a store outage.

        Parameters
        ----------
        outage_ended_at_s : float, optional
            Monotonic time at which the outage ended; now when omitted.
        """
        if outage_ended_at_s is None:
            outage_ended_at_s = self._clock.monotonic_s()
        self._expiry_grace_until_s = max(
            self._expiry_grace_until_s, outage_ended_at_s + EXPIRY_GRACE_S
        )

    def detect_mass_expiry(self, instance_ids: Iterable[str]) -> None:
        """Start the grace period if the store reports many removals at once.

        Must be called with all removals of one report, before `remove`. Draining
        instances are not counted, since they leave as planned. If a large share of the
        other instances is removed at once, their keys expired during a store outage.
        """
        serving = {i for i, s in self._by_id.items() if not s.leaves()}
        removed = len(serving.intersection(instance_ids))
        if removed > max(1, MASS_EXPIRY_SHARE * len(serving)):
            log_event("upstreams_lapsed", removed=removed, known=len(serving))
            self.start_expiry_grace()

    def replace_all(self, instances: list[UpstreamInstance]) -> None:
        """Replace all instances by a complete list."""
        self.loaded = True
        listed_ids = {instance.instance_id for instance in instances}
        for instance in instances:
            self.update(instance)
        for instance_id in list(self._by_id):
            if instance_id not in listed_ids:
                self.remove(instance_id)

    def update(self, instance: UpstreamInstance) -> None:
        """Add or change one instance."""
        state = self._by_id.get(instance.instance_id)
        if state is not None and state.instance == instance:
            state.expired = False
            return
        if (
            state is not None
            and state.instance.incarnation() == instance.incarnation()
            and state.instance.service == instance.service
        ):
            if state.instance.draining and not instance.draining:
                # A drain is final for one incarnation of an instance: the list may be
                # read from a replica that is seconds behind.
                return
            state.instance = instance
            state.expired = False
        else:
            replaced = state
            if replaced is not None:
                self._remove(replaced)
            state = UpstreamState(
                instance=instance,
                pool=HttpPool(address=instance.address, clock=self._clock),
                on_change=self._on_change,
                drain_s=self._drain_s,
            )
            if replaced is not None:
                state.earlier_statement_s = self._recent_statement_s(replaced)
            former = self._former.pop(instance.incarnation(), None)
            if former is not None:
                # What the instance stated still holds.
                state.rate_limit = former.rate_limit
                state.leaving_since_s = former.leaving_since_s
            self._by_id[instance.instance_id] = state
            self._by_service.setdefault(instance.service, {})[instance.instance_id] = (
                state
            )
        self._on_change(state)
        log_event(
            "upstream_changed",
            instance=instance.instance_id,
            service=instance.service,
            address=instance.address,
            draining=instance.draining,
        )

    def remove(self, instance_id: str) -> None:
        """Remove an instance whose key was removed.

        Within `EXPIRY_GRACE_S` after a store outage the instance is only marked as
        expired and stays usable, since its key may have expired during the outage.
        """
        state = self._by_id.get(instance_id)
        if state is None:
            return
        if self._clock.monotonic_s() < self._expiry_grace_until_s:
            state.expired = True
            return
        self._remove(state)

    def sweep(self) -> None:
        """Remove expired instances after the end of the grace period."""
        if self._clock.monotonic_s() < self._expiry_grace_until_s:
            return
        for state in list(self._by_id.values()):
            if state.expired:
                self._remove(state)

    def instances(self, service: str) -> list[UpstreamState]:
        """Return all known instances of a service."""
        return list(self._by_service.get(service, {}).values())

    def rate_limited_count(self) -> int:
        """Return how many instances have a rate limit in force."""
        return sum(1 for s in self._by_id.values() if s.limit_per_s() is not None)

    def leaving_count(self) -> int:
        """Return how many instances stated that they are leaving."""
        return sum(1 for s in self._by_id.values() if s.leaving_since_s is not None)

    def find(self, instance_id: str) -> UpstreamState | None:
        """Return an instance by its id, or None if it is unknown."""
        return self._by_id.get(instance_id)

    def incarnation_states(self, state: UpstreamState) -> list[UpstreamState]:
        """Return a state and, if it was replaced, the one of the same incarnation.

        An instance whose key expired and came back has a new state, while responses
        to earlier requests still belong to the former one.
        """
        current = self._by_id.get(state.instance.instance_id)
        if (
            current is None
            or current is state
            or current.instance.incarnation() != state.instance.incarnation()
        ):
            return [state]
        return [state, current]

    def _recent_statement_s(self, replaced: UpstreamState) -> float | None:
        """Return when an instance stated that it leaves, if its successor may have."""
        stated_at_s = replaced.leaving_since_s
        if stated_at_s is None:
            return None
        age_s = self._clock.monotonic_s() - stated_at_s
        return stated_at_s if age_s < REGISTRATION_LAG_S else None

    def _keep_former(self, state: UpstreamState) -> None:
        now_s = self._clock.monotonic_s()
        for incarnation, former in list(self._former.items()):
            if now_s - former.removed_at_s > FORMER_STATE_MEMORY_S:
                del self._former[incarnation]
        state.removed_at_s = now_s
        self._former[state.instance.incarnation()] = state

    def _remove(self, state: UpstreamState) -> None:
        state.removed = True
        state.pool.close()
        self._keep_former(state)
        instance = state.instance
        if self._by_id.get(instance.instance_id) is state:
            del self._by_id[instance.instance_id]
            del self._by_service[instance.service][instance.instance_id]
        self._on_change(state)
        log_event(
            "upstream_removed",
            instance=instance.instance_id,
            service=instance.service,
            in_flight=state.in_flight,
        )
