"""Choice of an instance for each request, and the queue of waiting requests."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Awaitable, Callable, Iterator, Mapping
from dataclasses import dataclass

from sortedcontainers import SortedDict

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError, OverloadedError, UnavailableError
from lentilroad.membership.upstreams import (
    UpstreamDirectory,
    UpstreamState,
)
from lentilroad.request.cached_parts import CachedPartIndex
from lentilroad.request.const import (
    AFFINITY_BONUS_S,
    RATE_LIMIT_RETRY_AFTER_MAX_S,
    SERVICE_RETRY_AFTER_MAX_S,
    SERVICE_RETRY_AFTER_MIN_S,
    TIE_BREAK_JITTER_S,
)
from lentilroad.request.instance_index import (
    InstanceIndex,
    slot_wait_s,
)
from lentilroad.request.placement_costs import PlacementCosts, prefill_cost_s
from lentilroad.request.refusals import StoppingError
from lentilroad.request.service_load import NoSlotLimits, OwnLoad, SlotLimits
from lentilroad.request.work import PlacementRequest

# Waiting requests, from the front of the queue, that are considered for free slots at
# a time.
MAX_WAITERS_CHECKED = 32
# The rate at which slots become free is cached, since it changes little in this time.
RATE_CACHE_S = 0.1
# Waiting requests that choose among all instances when a request ends while an
# allowance is in force; a choice takes up to 0.1 ms.
MAX_CHOICES_PER_RELEASE = 4
# Waiting requests that a report counts by class; the others, which are ranked last,
# count as new.
MAX_WAITERS_COUNTED = 1000
# Timers may fire up to the resolution of the event loop's clock early.
TIMER_MARGIN_S = 0.002

# Rank of the request, then its order of arrival.
_QueueKey = tuple[tuple[float, ...], int]


@dataclass(slots=True, kw_only=True, eq=False)
class _Waiter:
    request: PlacementRequest
    deadline_s: float
    slot: asyncio.Future[UpstreamState]


class _Service:
    """Instances of one service and the requests that wait for a slot.

    ``in_flight`` counts the requests by the id of their instance.
    """

    __slots__ = (
        "completed",
        "in_flight",
        "in_flight_total",
        "index",
        "name",
        "rate_per_s",
        "rate_until_s",
        "slots",
        "waiting",
        "waiting_by_customer",
    )

    def __init__(self, *, name: str, index: InstanceIndex) -> None:
        self.name = name
        self.index = index
        self.in_flight: dict[str, int] = {}
        self.in_flight_total = 0
        self.completed = 0
        self.slots = 0
        self.waiting: SortedDict[_QueueKey, _Waiter] = SortedDict()
        self.waiting_by_customer: dict[str, int] = {}
        self.rate_per_s = 0.0
        self.rate_until_s = float("-inf")

    def add_waiting(self, key: _QueueKey, waiter: _Waiter) -> None:
        """Add a request to the queue."""
        self.waiting[key] = waiter
        customer = waiter.request.customer
        count = self.waiting_by_customer.get(customer, 0)
        self.waiting_by_customer[customer] = count + 1

    def remove_waiting(self, key: _QueueKey) -> None:
        """Remove a request from the queue if it is still there."""
        waiter = self.waiting.pop(key, None)
        if waiter is None:
            return
        customer = waiter.request.customer
        self.waiting_by_customer[customer] -= 1
        if not self.waiting_by_customer[customer]:
            del self.waiting_by_customer[customer]

    def record_sent(self, instance_id: str) -> None:
        """Count a request that gets a slot."""
        self.in_flight[instance_id] = self.in_flight.get(instance_id, 0) + 1
        self.in_flight_total += 1

    def record_ended(self, instance_id: str) -> None:
        """Count a request that releases its slot."""
        self.completed += 1
        self.in_flight_total -= 1
        count = self.in_flight[instance_id] - 1
        if count:
            self.in_flight[instance_id] = count
        else:
            del self.in_flight[instance_id]


class Dispatcher:
    """Assigns requests to slots of instances and queues those that have to wait.

    A choice compares the instances that have likely cached parts of the prompt, the
    instance that the affinity key hashes to, and the cheapest few of each zone, so that
    its run time does not grow with the fleet.

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
        Returns a random number from 0 to 1, used to choose among instances of
        similar cost.
    take_permit : callable
        Takes a permit for one request to a rate-limited instance; returns False and
        pauses the instance if there is none.
    slot_limits : SlotLimits, optional
        Limits of the requests in flight where entries share the slots of a service.
    """

    def __init__(
        self,
        *,
        directory: UpstreamDirectory,
        clock: Clock,
        availability_zone: str,
        region_of: Callable[[str], str],
        take_permit: Callable[[UpstreamState], Awaitable[bool]],
        random_share: Callable[[], float] = random.random,
        slot_limits: SlotLimits | None = None,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._zone = availability_zone
        self._costs = PlacementCosts(
            clock=clock,
            availability_zone=availability_zone,
            region_of=region_of,
            random_share=random_share,
        )
        self._services: dict[str, _Service] = {}
        self._cached_parts = CachedPartIndex()
        self._arrival_numbers = itertools.count()
        self._random_share = random_share
        self._take_permit = take_permit
        self._slot_limits = slot_limits or NoSlotLimits()
        # Monotonic time by which all requests are answered; infinite until a stop.
        self._stop_by_s = math.inf
        directory.subscribe(self._update_instance)

    async def acquire(self, request: PlacementRequest) -> UpstreamState:
        """Choose an instance, wait for a free slot if necessary, and acquire the slot.

        A rate-limited instance also needs a permit. If there is none, other instances
        are tried before the request waits.

        Raises
        ------
        UnavailableError
            No instance of the service is usable.
        OverloadedError
            The expected wait exceeds the time until the deadline.
        """
        key = (request.rank, next(self._arrival_numbers))
        deadline_s = self._clock.monotonic_s() + request.remaining_s
        if self._stop_by_s < math.inf:
            start_by_s = self._start_by_s(self._service(request.service))
            request.remaining_s -= max(0.0, deadline_s - start_by_s)
            deadline_s = min(deadline_s, start_by_s)
        while True:
            state = await self._wait_for_slot(request, key, deadline_s)
            if state.limit_per_s() is None:
                return state
            try:
                permitted = await self._take_permit(state)
            except BaseException:
                self.release(state)
                raise
            if permitted:
                return state
            self.release(state)
            self._dispatch_at(state.paused_until_s)
            request.remaining_s = deadline_s - self._clock.monotonic_s()

    async def _wait_for_slot(
        self, request: PlacementRequest, key: _QueueKey, deadline_s: float
    ) -> UpstreamState:
        service = self._service(request.service)
        service.index.end_expired_exclusions()
        # Requests in the queue were already offered the slots that are free now.
        if self._has_allowance(service):
            chosen = self._choose(service, request, len(service.waiting))
            if chosen is not None:
                return self._acquire_slot(chosen, request)
        self._slot_limits.record_held(service.name)
        self._check_capacity(service, request)
        waiter = _Waiter(
            request=request,
            deadline_s=deadline_s,
            slot=asyncio.get_running_loop().create_future(),
        )
        service.add_waiting(key, waiter)
        try:
            async with asyncio.timeout(deadline_s - self._clock.monotonic_s()):
                return await self._granted_slot(service, key, waiter)
        except TimeoutError as error:
            raise self._missed_deadline_error(request) from error

    async def _granted_slot(
        self, service: _Service, key: _QueueKey, waiter: _Waiter
    ) -> UpstreamState:
        try:
            return await waiter.slot
        except asyncio.CancelledError:
            service.remove_waiting(key)
            if waiter.slot.done() and not waiter.slot.cancelled():
                # The slot was granted just before the request was cancelled.
                self.release(waiter.slot.result())
            raise

    def stop_by(self, time_s: float) -> None:
        """Refuse requests as soon as they cannot be answered by a monotonic time."""
        self._stop_by_s = time_s
        for name, service in self._services.items():
            start_by_s = self._start_by_s(service)
            for waiter in service.waiting.values():
                waiter.deadline_s = min(waiter.deadline_s, start_by_s)
            self._refuse_late_waiters(service, name)

    def _start_by_s(self, service: _Service) -> float:
        """Return until when a request can start so that its answer comes in time."""
        return self._stop_by_s - service.index.min_answer_s()

    def has_alternative(self, request: PlacementRequest, state: UpstreamState) -> bool:
        """Return whether an instance other than `state` has a free slot now."""
        now_s = self._clock.monotonic_s()
        index = self._service(request.service).index
        return any(
            other is not state and not other.unresponsive(now_s)
            for zone in index.zones
            for other in index.cheapest_free(zone, request.excluded)
        )

    def incarnation_states(self, state: UpstreamState) -> list[UpstreamState]:
        """Return a state and, if it was replaced, the one of the same incarnation."""
        return self._directory.incarnation_states(state)

    def release(self, state: UpstreamState) -> None:
        """Release a slot and offer it to waiting requests."""
        state.in_flight -= 1
        service = self._service(state.instance.service)
        service.record_ended(state.instance.instance_id)
        service.index.update(state)
        if self._slot_limits.allowance(service.name) is None:
            self._offer_slot(service, state)
        else:
            # Requests that waited for the allowance may prefer other free instances.
            self._place_waiting(service, MAX_CHOICES_PER_RELEASE)

    def dispatch_waiting(self) -> None:
        """Place waiting requests after instances changed or exclusions expired."""
        self._cached_parts.expire(self._clock.monotonic_s())
        for name, service in self._services.items():
            service.index.end_expired_exclusions()
            self._place_waiting(service, MAX_WAITERS_CHECKED)
            self._refuse_late_waiters(service, name)

    def refresh_learned_costs(self) -> None:
        """Apply the fading of what was learned about instances."""
        for service in self._services.values():
            service.index.refresh_learned_costs()

    def _place_waiting(self, service: _Service, max_choices: int) -> None:
        """Place the first waiting requests on free instances, in order."""
        ahead = 0
        for key, waiter in list(service.waiting.items()[:max_choices]):
            if not service.index.has_free_slot() or not self._has_allowance(service):
                return
            chosen = self._choose(service, waiter.request, ahead)
            if chosen is None:
                ahead += 1
                continue
            self._grant(service, key, waiter, chosen)

    def _has_allowance(self, service: _Service) -> bool:
        """Return whether another request of this entry may be in flight."""
        allowance = self._slot_limits.allowance(service.name)
        return allowance is None or service.in_flight_total < allowance

    def own_loads(self, selected: Callable[[str], bool]) -> dict[str, OwnLoad]:
        """Return the load of the selected services that are known."""
        loads = {}
        for name, service in self._services.items():
            if not selected(name):
                continue
            first = itertools.islice(service.waiting.values(), MAX_WAITERS_COUNTED)
            under_way = sum(waiter.request.under_way for waiter in first)
            self._rate_per_s(service, name)
            loads[name] = OwnLoad(
                in_flight=dict(service.in_flight),
                waiting_under_way=under_way,
                waiting_new=len(service.waiting) - under_way,
                completed=service.completed,
                slots=service.slots,
            )
        return loads

    def _dispatch_at(self, time_s: float) -> None:
        delay_s = time_s - self._clock.monotonic_s() + TIMER_MARGIN_S
        asyncio.get_running_loop().call_later(delay_s, self.dispatch_waiting)

    def _refuse_late_waiters(self, service: _Service, name: str) -> None:
        """Refuse waiting requests that will miss their deadline.

        Rate limits or the end of this process may bring it nearer than was known when
        they began to wait.
        """
        stopping = self._stop_by_s < math.inf
        if service.index.next_permit_s() is None and not stopping:
            return
        now_s = self._clock.monotonic_s()
        rate_per_s = self._rate_per_s(service, name)
        first_wait_s = self._paused_for_s(service) or 0.0
        if rate_per_s == 0.0 and not stopping:
            return
        for position, (key, waiter) in enumerate(list(service.waiting.items())):
            wait_s = max(first_wait_s, position / rate_per_s if rate_per_s else 0.0)
            if now_s + wait_s <= waiter.deadline_s:
                continue
            service.remove_waiting(key)
            if not waiter.slot.done():
                waiter.slot.set_exception(self._missed_deadline_error(waiter.request))

    def waiting_by_customer(self, service: str) -> Mapping[str, int]:
        """Return the number of waiting requests of a service by customer."""
        return self._service(service).waiting_by_customer

    def waiting_count(self, service: str) -> int:
        """Return the number of requests that wait for a service."""
        return len(self._service(service).waiting)

    def waiting_total(self) -> int:
        """Return the number of requests that wait, for all services."""
        return sum(len(service.waiting) for service in self._services.values())

    def retry_after_ms(self, service: str) -> int:
        """Return after which time a refused caller should send the request again."""
        found = self._service(service)
        wait_s = self._expected_wait_s(found, service, len(found.waiting))
        if wait_s is None:
            wait_s = SERVICE_RETRY_AFTER_MAX_S
        longest_s = SERVICE_RETRY_AFTER_MAX_S
        if found.index.next_permit_s() is not None:
            longest_s = RATE_LIMIT_RETRY_AFTER_MAX_S
        return int(1000 * min(longest_s, max(SERVICE_RETRY_AFTER_MIN_S, wait_s)))

    def _service(self, name: str) -> _Service:
        found = self._services.get(name)
        if found is None:
            index = InstanceIndex(clock=self._clock, random_share=self._random_share)
            found = self._services[name] = _Service(name=name, index=index)
        return found

    def _update_instance(self, state: UpstreamState) -> None:
        self._service(state.instance.service).index.update(state)

    def _choose(
        self, service: _Service, request: PlacementRequest, ahead: int = 0
    ) -> UpstreamState | None:
        """Return the cheapest instance with a free slot.

        None if waiting for a full instance of the same region, after the `ahead`
        requests that wait before this one, is cheaper.
        """
        affinity_instance = self._affinity_instance(service, request)
        best: UpstreamState | None = None
        best_cost_s = float("inf")
        for state in self._cached_candidates(service, request, affinity_instance):
            if state.is_full():
                continue
            cost_s = self._costs.total_s(state, request, affinity_instance)
            if cost_s < best_cost_s:
                best, best_cost_s = state, cost_s
        for zone in self._zones(service):
            min_cost_s = service.index.min_free_cost_s(zone)
            min_cost_s += self._costs.distance_s(zone)
            if best_cost_s <= min_cost_s:
                continue
            for state in service.index.cheapest_free(zone, request.excluded):
                cost_s = self._costs.total_s(state, request, affinity_instance)
                if cost_s < best_cost_s:
                    best, best_cost_s = state, cost_s
        if best is None or best_cost_s <= self._costs.min_nearby_s(service.index):
            return best
        if service.waiting and self._slot_limits.has_unused(service.name):
            # The next slots nearby go to the requests that wait already, also at other
            # entries. While all slots are used, more distant ones cost others more.
            return best
        nearby_cost_s = self._nearby_cost_s(
            service, request, affinity_instance, ahead if best.is_slow() else 0
        )
        if best_cost_s > nearby_cost_s:
            return None
        return best

    def _zones(self, service: _Service) -> Iterator[str]:
        """Return the zones that have instances, the zone of this process first."""
        if self._zone in service.index.zones:
            yield self._zone
        for zone in service.index.zones:
            if zone != self._zone:
                yield zone

    def _cached_candidates(
        self,
        service: _Service,
        request: PlacementRequest,
        affinity_instance: UpstreamState | None,
    ) -> Iterator[UpstreamState]:
        """Return instances that likely have cached state of the request.

        Full instances are included.
        """
        if affinity_instance is not None:
            yield affinity_instance
        instance_ids = itertools.chain(
            (request.preferred_instance_id,) if request.preferred_instance_id else (),
            self._cached_parts.holders(request.prompt_parts),
        )
        for instance_id in instance_ids:
            state = service.index.find(instance_id)
            if state is not None and instance_id not in request.excluded:
                yield state

    def _nearby_cost_s(
        self,
        service: _Service,
        request: PlacementRequest,
        affinity_instance: UpstreamState | None,
        ahead: int = 0,
    ) -> float:
        """Return the lowest cost of waiting for a full instance of the own region.

        A short wait for an instance nearby costs less than sending a request to a
        distant instance at once.
        """
        index = service.index
        full = [
            state
            for zone in index.zones
            if self._costs.is_nearby(zone)
            for state in index.cheapest_full(zone, request.excluded)
        ]
        full += (
            state
            for state in self._cached_candidates(service, request, affinity_instance)
            if state.is_full()
            and self._costs.is_nearby(state.instance.availability_zone)
        )
        return min(
            (
                self._costs.total_s(state, request, affinity_instance)
                + slot_wait_s(state)
                + self._queue_wait_s(service, state, ahead)
                for state in full
            ),
            default=float("inf"),
        )

    def _queue_wait_s(
        self, service: _Service, state: UpstreamState, ahead: int
    ) -> float:
        """Return how long the requests before one in the queue keep it waiting.

        Counted where the free instance is slow: learned costs can exceed any other
        cost, so that all requests would wait for fast instances otherwise.
        """
        if not ahead:
            return 0.0
        full = sum(
            len(positions.full)
            for zone, positions in service.index.zones.items()
            if self._costs.is_nearby(zone)
        )
        return ahead * slot_wait_s(state) / max(1, full)

    def _affinity_instance(
        self, service: _Service, request: PlacementRequest
    ) -> UpstreamState | None:
        """Return the instance that the affinity key hashes to, or None.

        Each zone has its own instance per key: traffic between zones costs more than a
        warm cache saves.
        """
        if not request.affinity_key:
            return None
        for zone in (self._zone, *sorted(service.index.zones)):
            found = service.index.affinity_instance(request.affinity_key, zone)
            if found is not None:
                break
        else:
            return None
        return None if found.instance.instance_id in request.excluded else found

    def _acquire_slot(
        self, state: UpstreamState, request: PlacementRequest
    ) -> UpstreamState:
        state.in_flight += 1
        service = self._service(request.service)
        service.record_sent(state.instance.instance_id)
        self._cached_parts.record(
            state, request.prompt_parts, self._clock.monotonic_s()
        )
        service.index.update(state)
        return state

    def _offer_slot(self, service: _Service, state: UpstreamState) -> None:
        """Offer a free slot to waiting requests in order until all slots are taken.

        A request declines if waiting for another instance nearby is cheaper.
        """
        instance_id = state.instance.instance_id
        if not service.waiting or service.index.find(instance_id) is not state:
            return
        nearby_cost_s = self._costs.min_nearby_s(service.index) + AFFINITY_BONUS_S
        is_slow = state.is_slow()
        for position, (key, waiter) in enumerate(
            list(service.waiting.items()[:MAX_WAITERS_CHECKED])
        ):
            if state.is_full():
                return
            ahead = position if is_slow else 0
            request = waiter.request
            if instance_id in request.excluded:
                continue
            affinity_instance = self._affinity_instance(service, request)
            cost_s = self._costs.total_s(state, request, affinity_instance)
            # Upper bound of the cost of the cheapest full instance: a cold cache.
            limit_s = nearby_cost_s + prefill_cost_s(request) + TIE_BREAK_JITTER_S
            if cost_s > limit_s + self._queue_wait_s(service, state, ahead):
                continue
            if cost_s <= self._nearby_cost_s(
                service, request, affinity_instance, ahead
            ):
                self._grant(service, key, waiter, state)

    def _grant(
        self, service: _Service, key: _QueueKey, waiter: _Waiter, state: UpstreamState
    ) -> None:
        service.remove_waiting(key)
        if not waiter.slot.done():
            waiter.slot.set_result(self._acquire_slot(state, waiter.request))

    def _check_capacity(self, service: _Service, request: PlacementRequest) -> None:
        """Raise if the request could not get a slot before its deadline."""
        index = service.index
        usable = index.usable_count() - sum(
            1 for excluded in request.excluded if index.find(excluded) is not None
        )
        if usable <= 0 and index.next_permit_s(request.excluded) is None:
            raise UnavailableError(
                f"no instance of {request.service} is available; "
                "send the request again",
                retry_after_ms=int(1000 * SERVICE_RETRY_AFTER_MAX_S),
            )
        position = service.waiting.bisect_right((request.rank, float("inf")))
        wait_s = self._expected_wait_s(service, request.service, position)
        if wait_s is not None and wait_s > request.remaining_s:
            raise self._missed_deadline_error(request)

    def _missed_deadline_error(self, request: PlacementRequest) -> LentilroadError:
        if self._stop_by_s < math.inf:
            return StoppingError.for_service(request.service)
        return self._overloaded_error(request)

    def _overloaded_error(self, request: PlacementRequest) -> OverloadedError:
        return OverloadedError(
            f"the expected wait for {request.service} exceeds the request's "
            "deadline; send the request again",
            retry_after_ms=self.retry_after_ms(request.service),
        )

    def _expected_wait_s(
        self, service: _Service, name: str, position: int
    ) -> float | None:
        """Return the expected wait at a position of the queue, or None if unknown."""
        rate_per_s = self._rate_per_s(service, name)
        if rate_per_s == 0.0:
            return None
        first_wait_s = self._paused_for_s(service)
        if first_wait_s is None:
            return (position + 1) / rate_per_s
        return max(first_wait_s, position / rate_per_s)

    def _rate_per_s(self, service: _Service, name: str) -> float:
        """Return the rate at which this process may expect to complete requests."""
        now_s = self._clock.monotonic_s()
        if service.rate_until_s <= now_s:
            service.rate_until_s = now_s + RATE_CACHE_S
            usable = [s for s in self._directory.instances(name) if s.usable(now_s)]
            service.rate_per_s = sum(state.expected_rate_per_s() for state in usable)
            service.slots = sum(state.instance.slots for state in usable)
        allowance = self._slot_limits.allowance(name)
        if allowance is None or allowance >= service.slots:
            return service.rate_per_s
        return service.rate_per_s * allowance / service.slots

    def _paused_for_s(self, service: _Service) -> float | None:
        """Return the time until a permit is expected, if all instances are paused."""
        if service.index.usable_count() > 0:
            return None
        permit_s = service.index.next_permit_s()
        return None if permit_s is None else permit_s - self._clock.monotonic_s()
