"""Index of the instances of one service, ordered by the cost of sending to them."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from lentilroad.clock import Clock
from lentilroad.membership.rendezvous import score
from lentilroad.membership.upstreams import DEFAULT_RESPONSE_S, UpstreamState
from lentilroad.request.const import FAILURE_COST_S, LEAVING_COST_S

# Points of each instance on the hash ring; more points spread the affinity keys more
# evenly.
RING_POINTS_PER_INSTANCE = 16
# Instances of a zone that one choice compares, not counting the skipped ones.
MAX_CANDIDATES_PER_ZONE = 3
# Instances of a zone that one choice may skip because they are unresponsive, suspected
# of failing, or excluded for the request.
MAX_SKIPPED_PER_ZONE = 16

# Cost in seconds, tie breaker, instance id.
_Position = tuple[float, float, str]


@dataclass(slots=True, kw_only=True, eq=False)
class _Zone:
    """Usable instances of one availability zone, the cheapest first.

    ``ring`` is a consistent hash ring of all instances of the zone that are not
    draining.
    """

    free: SortedList[_Position] = field(default_factory=SortedList)
    full: SortedList[_Position] = field(default_factory=SortedList)
    ring: SortedList[tuple[int, str]] = field(default_factory=SortedList)


class InstanceIndex:
    """Index of the usable instances of one service by zone, cost and hash ring.

    An update of one instance takes logarithmic time.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random_share : callable
        Returns a random number from 0 to 1, used to order instances of equal cost.
    """

    __slots__ = (
        "_clock",
        "_exclusions",
        "_pauses",
        "_positions",
        "_random_share",
        "_states",
        "_tie_breakers",
        "zones",
    )

    def __init__(self, *, clock: Clock, random_share: Callable[[], float]) -> None:
        self._clock = clock
        self._random_share = random_share
        self._states: dict[str, UpstreamState] = {}
        self._positions: dict[str, tuple[SortedList[_Position], _Position]] = {}
        # Random per process, so that entries with the same information spread their
        # requests over instances of equal cost.
        self._tie_breakers: dict[str, float] = {}
        # Times at which exclusions, pauses and drain times end.
        self._exclusions: list[tuple[float, str]] = []
        # Times at which permits are expected, by the id of each paused instance.
        self._pauses: dict[str, float] = {}
        self.zones: dict[str, _Zone] = {}

    def update(self, state: UpstreamState) -> None:
        """Re-index an instance by its current state."""
        instance_id = state.instance.instance_id
        if state.removed and self._states.get(instance_id) is not state:
            return
        self._remove_position(instance_id)
        self._pauses.pop(instance_id, None)
        zone = self._zone(state)
        now_s = self._clock.monotonic_s()
        if state.removed or state.draining(now_s):
            self._remove(instance_id, zone)
            return
        if self._states.get(instance_id) is not state:
            self._add(state, zone)
        blocked_until_s = max(state.excluded_until_s, state.paused_until_s)
        if state.leaving_since_s is not None:
            heapq.heappush(self._exclusions, (state.last_resort_until_s(), instance_id))
        if blocked_until_s > now_s:
            heapq.heappush(self._exclusions, (blocked_until_s, instance_id))
            if state.paused_until_s == blocked_until_s:
                self._pauses[instance_id] = state.permit_expected_s
            return
        cost_s = base_cost_s(state)
        positions = zone.free
        if state.is_full():
            positions = zone.full
            cost_s += slot_wait_s(state)
        position = (cost_s, self._tie_breakers[instance_id], instance_id)
        positions.add(position)
        self._positions[instance_id] = (positions, position)

    def end_expired_exclusions(self) -> None:
        """Re-index instances after the end of an exclusion, pause or drain time."""
        now_s = self._clock.monotonic_s()
        while self._exclusions and self._exclusions[0][0] <= now_s:
            _, instance_id = heapq.heappop(self._exclusions)
            state = self._states.get(instance_id)
            if state is None:
                continue
            if instance_id not in self._positions or state.draining(now_s):
                self.update(state)

    def find(self, instance_id: str) -> UpstreamState | None:
        """Return an instance, or None if it is not usable now."""
        if instance_id not in self._positions:
            return None
        return self._states[instance_id]

    def usable_count(self) -> int:
        """Return how many instances are usable now."""
        return len(self._positions)

    def next_permit_s(self, excluded: Collection[str] = ()) -> float | None:
        """Return when the first permit for a paused instance is expected.

        None if no instance is paused by its rate limit.
        """
        return min(
            (
                expected_s
                for instance_id, expected_s in self._pauses.items()
                if instance_id not in excluded
            ),
            default=None,
        )

    def min_answer_s(self) -> float:
        """Return the time in which the fastest instance most likely answers."""
        return min(
            (self._states[i].likely_answer_s() for i in self._positions), default=0.0
        )

    def has_free_slot(self) -> bool:
        """Return whether any usable instance has a free slot."""
        return any(zone.free for zone in self.zones.values())

    def min_free_cost_s(self, zone: str) -> float:
        """Return the lowest cost of an instance of a zone that has a free slot."""
        positions = self.zones[zone].free
        return positions[0][0] if positions else float("inf")

    def min_full_cost_s(self, zone: str) -> float:
        """Return the lowest cost of a full instance of a zone, including its wait."""
        positions = self.zones[zone].full
        return positions[0][0] if positions else float("inf")

    def cheapest_free(self, zone: str, excluded: set[str]) -> Iterator[UpstreamState]:
        """Return the cheapest instances of a zone that have a free slot."""
        return self._cheapest(self.zones[zone].free, excluded)

    def cheapest_full(self, zone: str, excluded: set[str]) -> Iterator[UpstreamState]:
        """Return the cheapest full instances of a zone, including their wait."""
        return self._cheapest(self.zones[zone].full, excluded)

    def affinity_instance(self, key: str, zone: str) -> UpstreamState | None:
        """Return the usable instance of a zone that an affinity key hashes to."""
        found = self.zones.get(zone)
        if found is None or not found.ring:
            return None
        ring = found.ring
        start = ring.bisect((score(key, zone), ""))
        for step in range(
            min(len(ring), MAX_SKIPPED_PER_ZONE * RING_POINTS_PER_INSTANCE)
        ):
            state = self.find(ring[(start + step) % len(ring)][1])
            if state is not None and not state.leaves():
                return state
        return None

    def _cheapest(
        self, positions: SortedList[_Position], excluded: set[str]
    ) -> Iterator[UpstreamState]:
        now_s = self._clock.monotonic_s()
        candidates = 0
        first_skipped: UpstreamState | None = None
        for index in range(
            min(len(positions), MAX_CANDIDATES_PER_ZONE + MAX_SKIPPED_PER_ZONE)
        ):
            instance_id = positions[index][2]
            if instance_id in excluded:
                continue
            state = self._states[instance_id]
            if state.unresponsive(now_s) or state.suspected_until_s > now_s:
                first_skipped = first_skipped or state
                continue
            yield state
            candidates += 1
            if candidates == MAX_CANDIDATES_PER_ZONE:
                return
        # An unresponsive or suspected instance is still better than no instance.
        if candidates == 0 and first_skipped is not None:
            yield first_skipped

    def _zone(self, state: UpstreamState) -> _Zone:
        return self.zones.setdefault(state.instance.availability_zone, _Zone())

    def _remove_position(self, instance_id: str) -> None:
        found = self._positions.pop(instance_id, None)
        if found is not None:
            positions, position = found
            positions.remove(position)

    def _add(self, state: UpstreamState, zone: _Zone) -> None:
        instance_id = state.instance.instance_id
        if instance_id not in self._states:
            zone.ring.update(_ring_points(instance_id))
            self._tie_breakers[instance_id] = self._random_share()
        self._states[instance_id] = state

    def _remove(self, instance_id: str, zone: _Zone) -> None:
        if self._states.pop(instance_id, None) is None:
            return
        del self._tie_breakers[instance_id]
        for point in _ring_points(instance_id):
            zone.ring.remove(point)


def base_cost_s(state: UpstreamState) -> float:
    """Return the part of an instance's cost that is the same for all requests."""
    # A few concurrent requests hardly slow an instance down; the last slots do, so
    # that the cost grows with the square of the load.
    load = state.in_flight / max(1, state.instance.slots)
    response_s = state.mean_response_s or DEFAULT_RESPONSE_S
    cost_s = response_s * load * load + FAILURE_COST_S * state.failure_share
    return cost_s + (LEAVING_COST_S if state.leaving_since_s is not None else 0.0)


def slot_wait_s(state: UpstreamState) -> float:
    """Return the expected wait for a free slot of a full instance, in seconds."""
    return (state.mean_response_s or DEFAULT_RESPONSE_S) / max(1, state.instance.slots)


def _ring_points(instance_id: str) -> list[tuple[int, str]]:
    return [
        (score(str(number), instance_id), instance_id)
        for number in range(RING_POINTS_PER_INSTANCE)
    ]
