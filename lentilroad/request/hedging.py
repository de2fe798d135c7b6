"""Second attempt of an idempotent call that takes unusually long."""

from __future__ import annotations

from collections import OrderedDict

from lentilroad.request import const
from lentilroad.request.retry import RetryBudget
from lentilroad.sketch import DurationSketch


class HedgingPolicy:
    """Learned time after which a second attempt is worth its load.

    The first answer counts and the other attempt is cancelled, so only calls that
    may be repeated are hedged. The budget bounds the additional load when an
    upstream becomes slow as a whole.

    Parameters
    ----------
    budget : RetryBudget
        Budget of second attempts.
    quantile : float
        Share of calls that are answered before a second attempt starts.
    """

    __slots__ = ("_budget", "_counts", "_quantile", "_sketches")

    def __init__(
        self, *, budget: RetryBudget, quantile: float = const.HEDGE_QUANTILE
    ) -> None:
        self._budget = budget
        self._quantile = quantile
        self._sketches: OrderedDict[str, DurationSketch] = OrderedDict()
        self._counts: dict[str, int] = {}

    def record_answer(self, operation: str, *, duration_s: float) -> None:
        """Record a call that was answered, and its time since the first attempt."""
        sketch = self._sketches.get(operation)
        if sketch is None:
            sketch = self._sketches[operation] = DurationSketch(
                shortest_s=const.HEDGE_DURATION_MIN_S
            )
            self._counts[operation] = 0
            if len(self._sketches) > const.HEDGE_OPERATIONS_MAX:
                oldest, _ = self._sketches.popitem(last=False)
                del self._counts[oldest]
        self._sketches.move_to_end(operation)
        sketch.observe(duration_s)
        self._counts[operation] += 1
        self._budget.succeeded()

    def delay_s(self, operation: str, *, idempotent: bool) -> float | None:
        """Return when to start a second attempt, None for never.

        Parameters
        ----------
        operation : str
            Service and operation.
        idempotent : bool
            Whether the operators declare the operation as repeatable.
        """
        if not idempotent or self._counts.get(operation, 0) < const.HEDGE_SAMPLES_MIN:
            return None
        return self._sketches[operation].quantile_s(self._quantile)

    def try_start(self) -> bool:
        """Take one second attempt from the budget when its time has come."""
        return self._budget.try_spend()
