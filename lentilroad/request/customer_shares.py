"""Shares of customers when only a part of the new programs can start."""

from __future__ import annotations

from dataclasses import dataclass

from lentilroad.clock import Clock

# Arrivals lose half of their weight in this time: short enough to notice a customer
# that sends many times its usual, long enough for a few arrivals of each customer.
ARRIVAL_HALF_LIFE_S = 2.0
# Customers with fewer recent arrivals are forgotten.
ARRIVALS_MIN = 0.05


@dataclass(slots=True, kw_only=True)
class _Arrivals:
    count: float
    updated_s: float
    weight: float | None


class CustomerShares:
    """Divides what can start among customers, max-min fair by their weights.

    A customer that asks for less than its share is served before customers that ask
    for more.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_arrivals", "_clock")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._arrivals: dict[str, _Arrivals] = {}

    def arrived(self, customer: str, weight: float | None) -> None:
        """Record that a new program of a customer arrived.

        Parameters
        ----------
        weight : float or None
            What the customer is entitled to, relative to others; None for the mean of
            the customers that have a weight.
        """
        now_s = self._clock.monotonic_s()
        found = self._arrivals.get(customer)
        if found is None:
            found = _Arrivals(count=0.0, updated_s=now_s, weight=weight)
            self._arrivals[customer] = found
        found.count = _decayed(found, now_s) + 1.0
        found.updated_s = now_s
        found.weight = weight

    def refused_share(self, customer: str, share: float) -> float:
        """Return which share of a customer's new programs is refused.

        Parameters
        ----------
        customer : str
            Name of the customer, which has arrived before.
        share : float
            Share of the new programs of all customers that is refused, from 0 to 1.
        """
        if share >= 1.0:
            return 1.0
        now_s = self._clock.monotonic_s()
        counts: list[tuple[float, float | None]] = []
        for name, arrivals in list(self._arrivals.items()):
            count = _decayed(arrivals, now_s)
            if count < ARRIVALS_MIN:
                del self._arrivals[name]
                continue
            counts.append((count, arrivals.weight))
        found = self._arrivals.get(customer)
        if found is None:
            return share
        weights = [weight for _, weight in counts if weight is not None]
        mean_weight = sum(weights) / len(weights) if weights else 1.0
        demands = [(count, weight or mean_weight) for count, weight in counts]
        level = _fair_level(demands, (1.0 - share) * sum(count for count, _ in demands))
        allowed = level * (found.weight or mean_weight)
        return max(0.0, 1.0 - allowed / _decayed(found, now_s))


def _decayed(arrivals: _Arrivals, now_s: float) -> float:
    age_s = now_s - arrivals.updated_s
    return arrivals.count * 2.0 ** (-age_s / ARRIVAL_HALF_LIFE_S)


def _fair_level(demands: list[tuple[float, float]], capacity: float) -> float:
    """Return the arrivals per weight that each customer may have.

    Parameters
    ----------
    demands : list of (float, float)
        Arrivals and weight of each customer.
    capacity : float
        Arrivals that can start, below the sum of all.
    """
    remaining_weight = sum(weight for _, weight in demands)
    for count, weight in sorted(demands, key=lambda item: item[0] / item[1]):
        level = capacity / remaining_weight
        if count >= level * weight:
            return level
        capacity -= count
        remaining_weight -= weight
    return float("inf")
