"""Costs of sending a request to an instance, by which instances are compared."""

from __future__ import annotations

from collections.abc import Callable

from lentilroad.clock import Clock
from lentilroad.membership.upstreams import UpstreamState
from lentilroad.request.const import (
    AFFINITY_BONUS_S,
    CACHED_PART_LIFETIME_S,
    FAILURE_COST_S,
    OTHER_REGION_COST_S,
    OTHER_ZONE_COST_S,
    PREFILL_COST_S_PER_TOKEN,
    TIE_BREAK_JITTER_S,
)
from lentilroad.request.instance_index import InstanceIndex, base_cost_s
from lentilroad.request.work import PlacementRequest


class PlacementCosts:
    """Costs in seconds of the caller's time.

    Parameters
    ----------
    clock : Clock
        Source of time.
    availability_zone : str
        Zone of this process.
    region_of : callable
        Returns the region of a zone.
    random_share : callable
        Returns a random number from 0 to 1, used to choose among instances of
        similar cost.
    """

    __slots__ = ("_clock", "_random_share", "_region", "_region_of", "_zone")

    def __init__(
        self,
        *,
        clock: Clock,
        availability_zone: str,
        region_of: Callable[[str], str],
        random_share: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._zone = availability_zone
        self._region_of = region_of
        self._region = region_of(availability_zone)
        self._random_share = random_share

    def is_nearby(self, zone: str) -> bool:
        """Return whether a zone is in the region of this process."""
        return self._region_of(zone) == self._region

    def distance_s(self, zone: str) -> float:
        """Return the cost of sending a request to a zone."""
        if zone == self._zone:
            return 0.0
        return OTHER_ZONE_COST_S if self.is_nearby(zone) else OTHER_REGION_COST_S

    def min_nearby_s(self, index: InstanceIndex) -> float:
        """Return a lower bound of the cost of any full instance of the own region."""
        return min(
            (
                index.min_full_cost_s(zone) + self.distance_s(zone) - AFFINITY_BONUS_S
                for zone in index.zones
                if self.is_nearby(zone)
            ),
            default=float("inf"),
        )

    def total_s(
        self,
        state: UpstreamState,
        request: PlacementRequest,
        affinity_instance: UpstreamState | None,
    ) -> float:
        """Return the cost of sending a request to an instance.

        Parameters
        ----------
        affinity_instance : UpstreamState or None
            Instance that the request's affinity key hashes to.
        """
        cost_s = base_cost_s(state)
        cost_s += self.distance_s(state.instance.availability_zone)
        now_s = self._clock.monotonic_s()
        if state.unresponsive(now_s) or state.suspected_until_s > now_s:
            cost_s += FAILURE_COST_S
        if state is affinity_instance:
            cost_s -= AFFINITY_BONUS_S
        # Without a random term, entries with the same information would all choose the
        # same instance.
        cost_s += TIE_BREAK_JITTER_S * self._random_share()
        if state.instance.instance_id != request.preferred_instance_id:
            cost_s += PREFILL_COST_S_PER_TOKEN * request.history_tokens
        since_s = now_s - CACHED_PART_LIFETIME_S
        for part, tokens in request.prompt_parts:
            if state.recent_parts.get(part, float("-inf")) < since_s:
                cost_s += PREFILL_COST_S_PER_TOKEN * tokens
        return cost_s


def prefill_cost_s(request: PlacementRequest) -> float:
    """Return the cost of a request's prompt on an instance that has cached none."""
    tokens = request.history_tokens + sum(tokens for _, tokens in request.prompt_parts)
    return PREFILL_COST_S_PER_TOKEN * tokens
