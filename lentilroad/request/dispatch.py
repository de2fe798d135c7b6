"""Which instance serves a request, and who waits for one."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from sortedcontainers import SortedDict

from lentilroad.clock import Clock
from lentilroad.errors import OverloadedError, UnavailableError
from lentilroad.membership.upstreams import (
    DEFAULT_RESPONSE_S,
    UpstreamDirectory,
    UpstreamState,
)
from lentilroad.request.cached_parts import CachedParts
from lentilroad.request.const import (
    CACHED_PART_LIFETIME_S,
    FAILURE_COST_S,
    HOME_BONUS_S,
    OTHER_REGION_COST_S,
    OTHER_ZONE_COST_S,
    PREFILL_COST_S_PER_TOKEN,
    RETRY_AFTER_LEAST_S,
    RETRY_AFTER_MOST_S,
    TIE_SPREAD_S,
)
from lentilroad.request.instance_index import (
    InstanceIndex,
    base_cost_s,
    place_wait_s,
)
from lentilroad.request.work import PlacementRequest

# Waiting requests that are asked whether they take one free place. Those behind them
# are asked when the list of instances is swept.
MOST_ASKED = 32
# The rate at which places become free changes little in this time.
RATE_LIFETIME_S = 0.1

# Order among waiting work, then the order of arrival.
_QueueKey = tuple[tuple[float, ...], int]


@dataclass(slots=True, kw_only=True, eq=False)
class _Waiter:
    work: PlacementRequest
    place: asyncio.Future[UpstreamState]


class _Service:
    """Instances of one service, and the work that waits for them."""

    __slots__ = ("index", "rate_per_s", "rate_until_s", "waiting")

    def __init__(self, *, index: InstanceIndex) -> None:
        self.index = index
        self.waiting: SortedDict[_QueueKey, _Waiter] = SortedDict()
        self.rate_per_s = 0.0
        self.rate_until_s = float("-inf")


class Dispatcher:
    """Places of instances, and the work that waits for one.

    A choice looks at the instances that hold parts of the prompt, at the home of the
    object, and at the cheapest few of each zone, so that its cost does not grow with
    the fleet.

    Parameters
    ----------
    directory : UpstreamDirectory
        Known instances.
    clock : Clock
        Source of time.
    availability_zone : str
        Zone of this process.
    region_of : callable
        Returns the region of a zone.
    random_share : callable
        Returns a random number from 0 to 1, to choose among equals.
    """

    def __init__(
        self,
        *,
        directory: UpstreamDirectory,
        clock: Clock,
        availability_zone: str,
        region_of: Callable[[str], str],
        random_share: Callable[[], float] = random.random,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._zone = availability_zone
        self._region_of = region_of
        self._region = region_of(availability_zone)
        self._services: dict[str, _Service] = {}
        self._parts = CachedParts()
        self._numbers = itertools.count()
        self._random_share = random_share
        directory.subscribe(self._note_change)

    async def acquire(self, work: PlacementRequest) -> UpstreamState:
        """Return an instance with a free place, and take the place.

        Raises
        ------
        UnavailableError
            No instance of the service can take work.
        OverloadedError
            No place becomes free in time.
        """
        service = self._service(work.service)
        service.index.note_time()
        # Work that waits already was asked about each place that is free now.
        chosen = self._choose(service, work)
        if chosen is not None:
            return self._take(chosen, work)
        self._refuse_hopeless(service, work)
        waiter = _Waiter(work=work, place=asyncio.get_running_loop().create_future())
        key = (work.rank, next(self._numbers))
        service.waiting[key] = waiter
        try:
            return await waiter.place
        except asyncio.CancelledError:
            service.waiting.pop(key, None)
            if waiter.place.done() and not waiter.place.cancelled():
                # The place was given in the moment in which the request ended.
                self.release(waiter.place.result())
            raise

    def has_alternative(self, work: PlacementRequest, state: UpstreamState) -> bool:
        """Return whether another instance than `state` could take the work now."""
        now_s = self._clock.monotonic_s()
        index = self._service(work.service).index
        return any(
            other is not state and not other.silent(now_s)
            for zone in index.zones
            for other in index.free(zone, work.excluded)
        )

    def release(self, state: UpstreamState) -> None:
        """Give a place back."""
        state.in_flight -= 1
        service = self._service(state.instance.service)
        service.index.note(state)
        self._offer(service, state)

    def dispatch_waiting(self) -> None:
        """Look again at waiting work after instances or the time changed."""
        self._parts.forget_old(self._clock.monotonic_s())
        for service in self._services.values():
            service.index.note_time()
            for key, waiter in list(service.waiting.items()[:MOST_ASKED]):
                if not service.index.any_free():
                    break
                chosen = self._choose(service, waiter.work)
                if chosen is not None:
                    self._give(service, key, waiter, chosen)

    def waiting(self, service: str) -> int:
        """Return how much work waits for a service."""
        return len(self._service(service).waiting)

    def retry_after_ms(self, service: str) -> int:
        """Return when a refused caller is likely to find a place."""
        found = self._service(service)
        wait_s = self._expected_wait_s(found, service, len(found.waiting))
        if wait_s is None:
            wait_s = RETRY_AFTER_MOST_S
        return int(1000 * min(RETRY_AFTER_MOST_S, max(RETRY_AFTER_LEAST_S, wait_s)))

    def _service(self, name: str) -> _Service:
        found = self._services.get(name)
        if found is None:
            index = InstanceIndex(clock=self._clock, random_share=self._random_share)
            found = self._services[name] = _Service(index=index)
        return found

    def _note_change(self, state: UpstreamState) -> None:
        self._service(state.instance.service).index.note(state)

    def _choose(
        self, service: _Service, work: PlacementRequest
    ) -> UpstreamState | None:
        """Return the cheapest instance with a free place, if it is worth its way."""
        home = self._home(service, work)
        best: UpstreamState | None = None
        best_cost_s = float("inf")
        for state in self._attractive(service, work, home):
            if state.in_flight >= state.instance.slots:
                continue
            cost_s = self._cost_s(state, work, home)
            if cost_s < best_cost_s:
                best, best_cost_s = state, cost_s
        for zone in self._zones(service):
            least_s = service.index.least_free_s(zone) + self._distance_cost_s(zone)
            if best_cost_s <= least_s:
                continue
            for state in service.index.free(zone, work.excluded):
                cost_s = self._cost_s(state, work, home)
                if cost_s < best_cost_s:
                    best, best_cost_s = state, cost_s
        if best is None or best_cost_s <= self._least_wait_s(service):
            return best
        if best_cost_s > self._nearby_wait_s(service, work, home):
            return None
        return best

    def _zones(self, service: _Service) -> Iterator[str]:
        """Return the zones that have instances, this process's own one first."""
        if self._zone in service.index.zones:
            yield self._zone
        for zone in service.index.zones:
            if zone != self._zone:
                yield zone

    def _attractive(
        self, service: _Service, work: PlacementRequest, home: UpstreamState | None
    ) -> Iterator[UpstreamState]:
        """Return instances that hold something of the work, with places or without."""
        if home is not None:
            yield home
        known = itertools.chain(
            (work.preferred_instance_id,) if work.preferred_instance_id else (),
            self._parts.holders(work.prompt_parts),
        )
        for instance_id in known:
            state = service.index.find(instance_id)
            if state is not None and instance_id not in work.excluded:
                yield state

    def _least_wait_s(self, service: _Service) -> float:
        """Return a lower bound of `_nearby_wait_s` for any work."""
        index = service.index
        return min(
            (
                index.least_full_s(zone) + self._distance_cost_s(zone) - HOME_BONUS_S
                for zone in index.zones
                if self._region_of(zone) == self._region
            ),
            default=float("inf"),
        )

    def _nearby_wait_s(
        self, service: _Service, work: PlacementRequest, home: UpstreamState | None
    ) -> float:
        """Return what waiting for a place of a full instance of the region costs.

        Waiting for a place nearby is better than a long way at once.
        """
        index = service.index
        full = [
            state
            for zone in index.zones
            if self._region_of(zone) == self._region
            for state in index.full(zone, work.excluded)
        ]
        full += (
            state
            for state in self._attractive(service, work, home)
            if state.in_flight >= state.instance.slots
            and self._region_of(state.instance.availability_zone) == self._region
        )
        return min(
            (self._cost_s(state, work, home) + place_wait_s(state) for state in full),
            default=float("inf"),
        )

    def _distance_cost_s(self, zone: str) -> float:
        if zone == self._zone:
            return 0.0
        if self._region_of(zone) == self._region:
            return OTHER_ZONE_COST_S
        return OTHER_REGION_COST_S

    def _home(self, service: _Service, work: PlacementRequest) -> UpstreamState | None:
        """Return the instance at which requests for the same object meet.

        Each zone has its own: bytes between zones cost more than a warm object saves.
        """
        if not work.affinity_key:
            return None
        for zone in (self._zone, *sorted(service.index.zones)):
            home = service.index.home(work.affinity_key, zone)
            if home is not None:
                break
        else:
            return None
        return None if home.instance.instance_id in work.excluded else home

    def _cost_s(
        self, state: UpstreamState, work: PlacementRequest, home: UpstreamState | None
    ) -> float:
        cost_s = base_cost_s(state)
        cost_s += self._distance_cost_s(state.instance.availability_zone)
        now_s = self._clock.monotonic_s()
        if state.silent(now_s) or state.suspected_until_s > now_s:
            cost_s += FAILURE_COST_S
        if state is home:
            cost_s -= HOME_BONUS_S
        # Entries that know the same would all choose the same instance.
        cost_s += TIE_SPREAD_S * self._random_share()
        if state.instance.instance_id != work.preferred_instance_id:
            cost_s += PREFILL_COST_S_PER_TOKEN * work.history_tokens
        since_s = now_s - CACHED_PART_LIFETIME_S
        for part, tokens in work.prompt_parts:
            if state.recent_parts.get(part, float("-inf")) < since_s:
                cost_s += PREFILL_COST_S_PER_TOKEN * tokens
        return cost_s

    def _take(self, state: UpstreamState, work: PlacementRequest) -> UpstreamState:
        state.in_flight += 1
        self._parts.note(state, work.prompt_parts, self._clock.monotonic_s())
        self._service(work.service).index.note(state)
        return state

    def _offer(self, service: _Service, state: UpstreamState) -> None:
        """Give a free place to the first waiting work that takes it."""
        instance_id = state.instance.instance_id
        if not service.waiting or service.index.find(instance_id) is not state:
            return
        near_s = self._least_wait_s(service) + HOME_BONUS_S
        for key, waiter in list(service.waiting.items()[:MOST_ASKED]):
            if state.in_flight >= state.instance.slots:
                return
            work = waiter.work
            if instance_id in work.excluded:
                continue
            home = self._home(service, work)
            cost_s = self._cost_s(state, work, home)
            # The nearest full instance costs at most this, with a cold cache.
            if cost_s > near_s + _prefill_cost_s(work) + TIE_SPREAD_S:
                continue
            if cost_s <= self._nearby_wait_s(service, work, home):
                self._give(service, key, waiter, state)

    def _give(
        self, service: _Service, key: _QueueKey, waiter: _Waiter, state: UpstreamState
    ) -> None:
        del service.waiting[key]
        if not waiter.place.done():
            waiter.place.set_result(self._take(state, waiter.work))

    def _refuse_hopeless(self, service: _Service, work: PlacementRequest) -> None:
        index = service.index
        usable = index.usable_count() - sum(
            1 for excluded in work.excluded if index.find(excluded) is not None
        )
        if usable <= 0:
            raise UnavailableError(
                f"no instance of {work.service} takes work; send it again",
                retry_after_ms=int(1000 * RETRY_AFTER_MOST_S),
            )
        ahead = service.waiting.bisect_right((work.rank, float("inf")))
        wait_s = self._expected_wait_s(service, work.service, ahead)
        if wait_s is not None and wait_s > work.remaining_s:
            raise OverloadedError(
                f"the wait for {work.service} is longer than the request's deadline; "
                "send it again",
                retry_after_ms=self.retry_after_ms(work.service),
            )

    def _expected_wait_s(
        self, service: _Service, name: str, ahead: int
    ) -> float | None:
        now_s = self._clock.monotonic_s()
        if service.rate_until_s <= now_s:
            service.rate_until_s = now_s + RATE_LIFETIME_S
            service.rate_per_s = sum(
                state.instance.slots / (state.response_s or DEFAULT_RESPONSE_S)
                for state in self._directory.instances(name)
                if state.usable(now_s)
            )
        if service.rate_per_s == 0.0:
            return None
        return (ahead + 1) / service.rate_per_s


def _prefill_cost_s(work: PlacementRequest) -> float:
    tokens = work.history_tokens + sum(tokens for _, tokens in work.prompt_parts)
    return PREFILL_COST_S_PER_TOKEN * tokens
