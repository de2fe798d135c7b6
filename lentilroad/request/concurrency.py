"""Adaptive limit of the calls that run at one upstream."""

from __future__ import annotations

from lentilroad.clock import Clock
from lentilroad.request import const


class ConcurrencyLimit:
    """Limit that follows the measured time between tokens and engine queueing.

    Engines admit everything that arrives. A short queue in the engine and a long
    one in the sidecar gives the sidecar the choice of what runs next.

    Parameters
    ----------
    clock : Clock
        Source of time.
    initial, minimum, maximum : int
        Bounds of the limit, in calls.
    time_per_token_target_s : float
        Time between tokens above which the limit is lowered.
    engine_queue_target_s : float
        Queueing inside the upstream above which the limit is lowered.
    """

    __slots__ = (
        "_clock",
        "_engine_queue_s",
        "_limit",
        "_maximum",
        "_minimum",
        "_queue_target_s",
        "_samples",
        "_time_per_token_s",
        "_token_target_s",
        "_was_full",
        "_window_start_s",
        "in_flight",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        initial: int = const.CONCURRENCY_INITIAL,
        minimum: int = const.CONCURRENCY_MIN,
        maximum: int = const.CONCURRENCY_MAX,
        time_per_token_target_s: float = const.TIME_PER_TOKEN_TARGET_S,
        engine_queue_target_s: float = const.ENGINE_QUEUE_TARGET_S,
    ) -> None:
        self._clock = clock
        self._limit = float(initial)
        self._minimum = minimum
        self._maximum = maximum
        self._token_target_s = time_per_token_target_s
        self._queue_target_s = engine_queue_target_s
        self._window_start_s = clock.monotonic_s()
        self._was_full = False
        self._start_window()
        self.in_flight = 0

    @property
    def limit(self) -> int:
        """Calls that may run at the same time."""
        return int(self._limit)

    def try_acquire(self) -> bool:
        """Take a slot; return False when all are taken."""
        if self.in_flight >= self.limit:
            self._was_full = True
            return False
        self.in_flight += 1
        if self.in_flight >= self.limit:
            self._was_full = True
        return True

    def release(
        self, *, time_per_token_s: float | None = None, engine_queue_s: float = 0.0
    ) -> None:
        """Give a slot back with what its call measured.

        Parameters
        ----------
        time_per_token_s : float, optional
            Mean time between tokens, None for calls without a measurement.
        engine_queue_s : float
            First-token time beyond the expected prefill time.
        """
        self.in_flight -= 1
        if time_per_token_s is None:
            return
        self._samples += 1
        self._time_per_token_s += time_per_token_s
        self._engine_queue_s += engine_queue_s
        if self._clock.monotonic_s() - self._window_start_s < (
            const.CONCURRENCY_WINDOW_S
        ):
            return
        self._adapt()
        self._start_window()

    def _adapt(self) -> None:
        time_per_token_s = self._time_per_token_s / self._samples
        engine_queue_s = self._engine_queue_s / self._samples
        if (
            time_per_token_s > self._token_target_s
            or engine_queue_s > self._queue_target_s
        ):
            lowered = self._limit * const.CONCURRENCY_DECREASE
            self._limit = max(float(self._minimum), lowered)
            return
        if self._was_full:
            self._limit = min(float(self._maximum), self._limit + 1.0)

    def _start_window(self) -> None:
        self._window_start_s = self._clock.monotonic_s()
        self._samples = 0
        self._time_per_token_s = 0.0
        self._engine_queue_s = 0.0
        self._was_full = False
