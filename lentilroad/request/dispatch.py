"""Which instance serves a request, and who waits for one."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lentilroad.clock import Clock
from lentilroad.errors import OverloadedError, UnavailableError
from lentilroad.membership.rendezvous import score
from lentilroad.membership.upstreams import (
    DEFAULT_RESPONSE_S,
    UpstreamDirectory,
    UpstreamState,
)
from lentilroad.request.const import (
    CACHED_PART_LIFETIME_S,
    FAILURE_COST_S,
    HOME_BONUS_S,
    MOST_CACHED_PARTS,
    OTHER_REGION_COST_S,
    OTHER_ZONE_COST_S,
    PREFILL_COST_S_PER_TOKEN,
    RETRY_AFTER_LEAST_S,
    RETRY_AFTER_MOST_S,
    TIE_SPREAD_S,
)


@dataclass(slots=True, kw_only=True)
class Work:
    """What the choice of an instance depends on.

    Attributes
    ----------
    rank : tuple of float
        Order among waiting work; the lowest goes first.
    preferred : str
        Instance that served the conversation last.
    excluded : set of str
        Instances that refused or failed this request.
    """

    service: str
    rank: tuple[float, ...]
    left_s: float
    prompt_parts: tuple[tuple[str, int], ...] = ()
    history_tokens: int = 0
    preferred: str = ""
    affinity_key: str = ""
    excluded: set[str] = field(default_factory=set)


@dataclass(slots=True, kw_only=True, eq=False)
class _Waiter:
    work: Work
    place: asyncio.Future[UpstreamState]


class Dispatcher:
    """Places of instances, and the work that waits for one.

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
        self._waiting: dict[str, list[tuple[tuple[float, ...], int, _Waiter]]] = {}
        self._numbers = itertools.count()
        self._random_share = random_share

    async def acquire(self, work: Work) -> UpstreamState:
        """Return an instance with a free place, and take the place.

        Raises
        ------
        UnavailableError
            No instance of the service can take work.
        OverloadedError
            No place becomes free in time.
        """
        if not self._waiting.get(work.service):
            chosen = self._choose(work)
            if chosen is not None:
                return self._take(chosen, work)
        self._refuse_hopeless(work)
        waiter = _Waiter(work=work, place=asyncio.get_running_loop().create_future())
        queue = self._waiting.setdefault(work.service, [])
        heapq.heappush(queue, (work.rank, next(self._numbers), waiter))
        self._serve_waiting(work.service)
        try:
            return await waiter.place
        except asyncio.CancelledError:
            self._forget(waiter)
            raise

    def has_other(self, work: Work, state: UpstreamState) -> bool:
        """Return whether another instance than `state` could take the work now."""
        now_s = self._clock.monotonic_s()
        return any(
            other is not state
            and other.in_flight < other.instance.slots
            and not other.silent(now_s)
            for other in self._usable(work)
        )

    def release(self, state: UpstreamState) -> None:
        """Give a place back."""
        state.in_flight -= 1
        self._serve_waiting(state.instance.service)

    def wake(self) -> None:
        """Look again at all waiting work after the list of instances changed."""
        for service in list(self._waiting):
            self._serve_waiting(service)

    def waiting(self, service: str) -> int:
        """Return how much work waits for a service."""
        return len(self._waiting.get(service, ()))

    def retry_after_ms(self, service: str) -> int:
        """Return when a refused caller is likely to find a place."""
        wait_s = self._expected_wait_s(service, self.waiting(service))
        if wait_s is None:
            wait_s = RETRY_AFTER_MOST_S
        return int(1000 * min(RETRY_AFTER_MOST_S, max(RETRY_AFTER_LEAST_S, wait_s)))

    def _usable(self, work: Work) -> list[UpstreamState]:
        now_s = self._clock.monotonic_s()
        return [
            state
            for state in self._directory.instances(work.service)
            if state.usable(now_s) and state.instance.instance_id not in work.excluded
        ]

    def _choose(self, work: Work) -> UpstreamState | None:
        best: UpstreamState | None = None
        best_cost_s = float("inf")
        local_wait_s = float("inf")
        usable = self._usable(work)
        home = self._home_instance(work, usable)
        for state in usable:
            cost_s = self._cost_s(state, work)
            if state is home:
                cost_s -= HOME_BONUS_S
            if state.in_flight >= state.instance.slots:
                if self._region_of(state.instance.availability_zone) == self._region:
                    wait_s = (state.response_s or DEFAULT_RESPONSE_S) / max(
                        1, state.instance.slots
                    )
                    local_wait_s = min(local_wait_s, wait_s + cost_s)
                continue
            if cost_s < best_cost_s:
                best, best_cost_s = state, cost_s
        # Waiting for a place nearby is better than a long way at once.
        if best is not None and best_cost_s > local_wait_s:
            return None
        return best

    def _home_instance(
        self, work: Work, usable: list[UpstreamState]
    ) -> UpstreamState | None:
        """Return the instance at which requests for the same object meet.

        Each zone has its own: bytes between zones cost more than a warm object saves.
        """
        if not work.affinity_key or not usable:
            return None
        near = [s for s in usable if s.instance.availability_zone == self._zone]
        return max(
            near or usable,
            key=lambda state: score(work.affinity_key, state.instance.instance_id),
        )

    def _cost_s(self, state: UpstreamState, work: Work) -> float:
        zone = state.instance.availability_zone
        cost_s = 0.0
        if self._region_of(zone) != self._region:
            cost_s += OTHER_REGION_COST_S
        elif zone != self._zone:
            cost_s += OTHER_ZONE_COST_S
        response_s = state.response_s or DEFAULT_RESPONSE_S
        cost_s += FAILURE_COST_S * state.failure_share
        now_s = self._clock.monotonic_s()
        if state.silent(now_s) or state.suspected_until_s > now_s:
            cost_s += FAILURE_COST_S
        # A few requests side by side hardly slow an instance; the last places do.
        load = state.in_flight / max(1, state.instance.slots)
        cost_s += response_s * load * load
        # Entries that know the same would all choose the same instance.
        cost_s += TIE_SPREAD_S * self._random_share()
        if state.instance.instance_id != work.preferred:
            cost_s += PREFILL_COST_S_PER_TOKEN * work.history_tokens
        since_s = self._clock.monotonic_s() - CACHED_PART_LIFETIME_S
        for part, tokens in work.prompt_parts:
            if state.recent_parts.get(part, float("-inf")) < since_s:
                cost_s += PREFILL_COST_S_PER_TOKEN * tokens
        return cost_s

    def _take(self, state: UpstreamState, work: Work) -> UpstreamState:
        state.in_flight += 1
        now_s = self._clock.monotonic_s()
        for part, _ in work.prompt_parts:
            state.recent_parts.pop(part, None)
            state.recent_parts[part] = now_s
        while len(state.recent_parts) > MOST_CACHED_PARTS:
            del state.recent_parts[next(iter(state.recent_parts))]
        return state

    def _refuse_hopeless(self, work: Work) -> None:
        usable = self._usable(work)
        if not usable:
            raise UnavailableError(
                f"no instance of {work.service} takes work; send it again",
                retry_after_ms=int(1000 * RETRY_AFTER_MOST_S),
            )
        wait_s = self._expected_wait_s(work.service, self._ahead(work))
        if wait_s is not None and wait_s > work.left_s:
            raise OverloadedError(
                f"the wait for {work.service} is longer than the request's deadline; "
                "send it again",
                retry_after_ms=self.retry_after_ms(work.service),
            )

    def _ahead(self, work: Work) -> int:
        queue = self._waiting.get(work.service, [])
        return sum(1 for rank, _, _ in queue if rank <= work.rank)

    def _expected_wait_s(self, service: str, ahead: int) -> float | None:
        now_s = self._clock.monotonic_s()
        rate = 0.0
        for state in self._directory.instances(service):
            if state.usable(now_s):
                rate += state.instance.slots / (state.response_s or DEFAULT_RESPONSE_S)
        return None if rate == 0.0 else (ahead + 1) / rate

    def _serve_waiting(self, service: str) -> None:
        queue = self._waiting.get(service)
        skipped = []
        while queue:
            entry = heapq.heappop(queue)
            waiter = entry[2]
            if waiter.place.done():
                continue
            chosen = self._choose(waiter.work)
            if chosen is None:
                skipped.append(entry)
                break
            waiter.place.set_result(self._take(chosen, waiter.work))
        for entry in skipped:
            heapq.heappush(self._waiting[service], entry)

    def _forget(self, waiter: _Waiter) -> None:
        place = waiter.place
        if place.done() and not place.cancelled():
            # The place was given in the moment in which the request ended.
            self.release(place.result())
            return
        queue = self._waiting.get(waiter.work.service, [])
        queue[:] = [entry for entry in queue if entry[2] is not waiter]
        heapq.heapify(queue)
