"""Hedging: a second attempt of an idempotent call that is unusually slow."""

from __future__ import annotations

from collections import OrderedDict

from lentilroad.request import const
from lentilroad.request.retry import RetryBudget
from lentilroad.sketch import DurationSketch


class HedgingPolicy:
    """Decide when a call gets a second attempt, from observed durations.

    The first response is used and the other attempt is cancelled, so only idempotent
    calls are hedged. The budget bounds the additional load when all calls of an
    upstream become slow.

    Parameters
    ----------
    budget : RetryBudget
        Budget of second attempts.
    quantile : float
        Share of calls that are expected to finish before a second attempt starts.
    """

    __slots__ = ("_budget", "_counts", "_quantile", "_sketches")

    def __init__(
        self, *, budget: RetryBudget, quantile: float = const.HEDGE_QUANTILE
    ) -> None:
        self._budget = budget
        self._quantile = quantile
        self._sketches: OrderedDict[str, DurationSketch] = OrderedDict()
        self._counts: dict[str, int] = {}

    def record_success(self, operation: str, *, duration_s: float) -> None:
        """Record a successful call and its duration since the first attempt."""
        sketch = self._sketches.get(operation)
        if sketch is None:
            sketch = self._sketches[operation] = DurationSketch(
                shortest_s=const.HEDGE_DURATION_MIN_S
            )
            self._counts[operation] = 0
            if len(self._sketches) > const.HEDGE_OPERATIONS_MAX:
                evicted, _ = self._sketches.popitem(last=False)
                del self._counts[evicted]
        self._sketches.move_to_end(operation)
        sketch.observe(duration_s)
        self._counts[operation] += 1
        self._budget.record_success()

    def delay_s(self, operation: str, *, idempotent: bool) -> float | None:
        """Return the delay before a second attempt, None for no second attempt.

        An operation with too few recorded durations is not hedged.

        Parameters
        ----------
        operation : str
            Service and operation.
        idempotent : bool
            Whether the operators' configuration declares the operation as repeatable.
        """
        if not idempotent or self._counts.get(operation, 0) < const.HEDGE_SAMPLES_MIN:
            return None
        return self._sketches[operation].quantile_s(self._quantile)

    def try_start(self) -> bool:
        """Spend the budget for one second attempt; return False if it is used up."""
        return self._budget.try_spend()
