"""Instances of one service, ordered so that a choice looks at a few of them only."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from lentilroad.clock import Clock
from lentilroad.membership.rendezvous import score
from lentilroad.membership.upstreams import DEFAULT_RESPONSE_S, UpstreamState
from lentilroad.request.const import FAILURE_COST_S

# Points of one instance on the ring of objects; more spread the objects more evenly.
RING_POINTS = 16
# Instances of a zone that a choice looks at beyond those that it has to pass over.
LOOK_AT = 3
# Instances of a zone that a choice passes over, since they are silent or have refused
# the request, before it leaves the zone aside.
PASS_OVER = 16

_Position = tuple[float, float, str]


@dataclass(slots=True, kw_only=True, eq=False)
class _Zone:
    """Usable instances of one availability zone, the cheapest first."""

    free: SortedList[_Position] = field(default_factory=SortedList)
    full: SortedList[_Position] = field(default_factory=SortedList)
    ring: SortedList[tuple[int, str]] = field(default_factory=SortedList)


class InstanceIndex:
    """Usable instances of one service by zone, load and place on the ring.

    Every change of an instance moves it in logarithmic time.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random_share : callable
        Returns a random number from 0 to 1, to order equals.
    """

    __slots__ = (
        "_away",
        "_clock",
        "_positions",
        "_random_share",
        "_states",
        "_ties",
        "zones",
    )

    def __init__(self, *, clock: Clock, random_share: Callable[[], float]) -> None:
        self._clock = clock
        self._random_share = random_share
        self._states: dict[str, UpstreamState] = {}
        self._positions: dict[str, tuple[SortedList[_Position], _Position]] = {}
        # Entries that know the same order equal instances differently.
        self._ties: dict[str, float] = {}
        self._away: list[tuple[float, str]] = []
        self.zones: dict[str, _Zone] = {}

    def note(self, state: UpstreamState) -> None:
        """Put an instance where its present condition belongs."""
        instance_id = state.instance.instance_id
        if state.removed and self._states.get(instance_id) is not state:
            return
        self._take_out(instance_id)
        zone = self._zone(state)
        if state.removed or state.instance.draining:
            self._leave(instance_id, zone)
            return
        if self._states.get(instance_id) is not state:
            self._join(state, zone)
        if state.excluded_until_s > self._clock.monotonic_s():
            heapq.heappush(self._away, (state.excluded_until_s, instance_id))
            return
        cost_s = base_cost_s(state)
        places = zone.free
        if state.in_flight >= state.instance.slots:
            places = zone.full
            cost_s += place_wait_s(state)
        position = (cost_s, self._ties[instance_id], instance_id)
        places.add(position)
        self._positions[instance_id] = (places, position)

    def note_time(self) -> None:
        """Take back the instances whose exclusion has ended."""
        now_s = self._clock.monotonic_s()
        while self._away and self._away[0][0] <= now_s:
            _, instance_id = heapq.heappop(self._away)
            state = self._states.get(instance_id)
            if state is not None and instance_id not in self._positions:
                self.note(state)

    def find(self, instance_id: str) -> UpstreamState | None:
        """Return an instance that is usable now."""
        if instance_id not in self._positions:
            return None
        return self._states[instance_id]

    def usable_count(self) -> int:
        """Return how many instances are usable now."""
        return len(self._positions)

    def any_free(self) -> bool:
        """Return whether a usable instance has a free place."""
        return any(zone.free for zone in self.zones.values())

    def least_free_s(self, zone: str) -> float:
        """Return the lowest cost in a zone of an instance with a free place."""
        places = self.zones[zone].free
        return places[0][0] if places else float("inf")

    def least_full_s(self, zone: str) -> float:
        """Return the lowest cost and wait in a zone of an instance without one."""
        places = self.zones[zone].full
        return places[0][0] if places else float("inf")

    def free(self, zone: str, excluded: set[str]) -> Iterator[UpstreamState]:
        """Return the cheapest instances of a zone with a free place."""
        return self._cheapest(self.zones[zone].free, excluded)

    def full(self, zone: str, excluded: set[str]) -> Iterator[UpstreamState]:
        """Return the instances of a zone whose places are free the soonest."""
        return self._cheapest(self.zones[zone].full, excluded)

    def home(self, key: str, zone: str) -> UpstreamState | None:
        """Return the usable instance of a zone at which an object's requests meet."""
        found = self.zones.get(zone)
        if found is None or not found.ring:
            return None
        ring = found.ring
        start = ring.bisect((score(key, zone), ""))
        for step in range(min(len(ring), PASS_OVER * RING_POINTS)):
            state = self.find(ring[(start + step) % len(ring)][1])
            if state is not None:
                return state
        return None

    def _cheapest(
        self, places: SortedList[_Position], excluded: set[str]
    ) -> Iterator[UpstreamState]:
        now_s = self._clock.monotonic_s()
        looked_at = 0
        passed_over: UpstreamState | None = None
        for index in range(min(len(places), LOOK_AT + PASS_OVER)):
            instance_id = places[index][2]
            if instance_id in excluded:
                continue
            state = self._states[instance_id]
            if state.unresponsive(now_s) or state.suspected_until_s > now_s:
                passed_over = passed_over or state
                continue
            yield state
            looked_at += 1
            if looked_at == LOOK_AT:
                return
        # A silent instance is better than none.
        if looked_at == 0 and passed_over is not None:
            yield passed_over

    def _zone(self, state: UpstreamState) -> _Zone:
        return self.zones.setdefault(state.instance.availability_zone, _Zone())

    def _take_out(self, instance_id: str) -> None:
        found = self._positions.pop(instance_id, None)
        if found is not None:
            places, position = found
            places.remove(position)

    def _join(self, state: UpstreamState, zone: _Zone) -> None:
        instance_id = state.instance.instance_id
        if instance_id not in self._states:
            zone.ring.update(_points(instance_id))
            self._ties[instance_id] = self._random_share()
        self._states[instance_id] = state

    def _leave(self, instance_id: str, zone: _Zone) -> None:
        if self._states.pop(instance_id, None) is None:
            return
        del self._ties[instance_id]
        for point in _points(instance_id):
            zone.ring.remove(point)


def base_cost_s(state: UpstreamState) -> float:
    """Return what any request pays at an instance, in seconds."""
    # A few requests side by side hardly slow an instance; the last places do.
    load = state.in_flight / max(1, state.instance.slots)
    response_s = state.mean_response_s or DEFAULT_RESPONSE_S
    return response_s * load * load + FAILURE_COST_S * state.failure_share


def place_wait_s(state: UpstreamState) -> float:
    """Return how long it takes until a place of a full instance is free."""
    return (state.mean_response_s or DEFAULT_RESPONSE_S) / max(1, state.instance.slots)


def _points(instance_id: str) -> list[tuple[int, str]]:
    return [
        (score(str(number), instance_id), instance_id) for number in range(RING_POINTS)
    ]
