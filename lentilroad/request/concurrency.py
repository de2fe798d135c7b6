"""Adaptive limit of the concurrent calls at one upstream."""

from __future__ import annotations

from lentilroad.clock import Clock
from lentilroad.request import const


class ConcurrencyLimit:
    """Concurrency limit that adapts to the time between tokens and engine queueing.

    Engines admit every call that arrives. Keeping the engine's queue short and queueing
    in the sidecar instead lets the sidecar choose which call runs next.

    Parameters
    ----------
    clock : Clock
        Source of time.
    initial, minimum, maximum : int
        Initial value and bounds of the limit, in calls.
    time_per_token_target_s : float
        Time between tokens above which the limit is lowered.
    engine_queue_target_s : float
        Queueing time inside the upstream above which the limit is lowered.
    """

    __slots__ = (
        "_clock",
        "_engine_queue_s",
        "_has_live_samples",
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
        time_per_token_target_s: float = const.TIME_PER_TOKEN_MEAN_S,
        engine_queue_target_s: float = const.ENGINE_QUEUE_TARGET_S,
    ) -> None:
        self._clock = clock
        self._limit = float(initial)
        self._minimum = minimum
        self._maximum = maximum
        self._token_target_s = time_per_token_target_s
        self._queue_target_s = engine_queue_target_s
        self._window_start_s = clock.monotonic_s()
        self._has_live_samples = False
        self.in_flight = 0
        self._start_window()

    @property
    def limit(self) -> int:
        """Number of calls that may run concurrently."""
        return int(self._limit)

    def try_acquire(self) -> bool:
        """Acquire a slot; return False if none is free."""
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
        """Release a slot and add the measurements of its call.

        Parameters
        ----------
        time_per_token_s : float, optional
            Mean time between tokens, None for calls without a measurement.
        engine_queue_s : float
            First-token time beyond the expected prefill time.
        """
        self.in_flight -= 1
        if time_per_token_s is not None and not self._has_live_samples:
            self._add_sample(time_per_token_s, engine_queue_s)

    def observe(self, *, time_per_token_s: float, engine_queue_s: float = 0.0) -> None:
        """Add a sample from streams that are in flight.

        The mean of a finished call reflects the load of many seconds ago, which makes
        the limit overshoot; after the first live sample, measurements of finished calls
        are ignored.

        Parameters
        ----------
        time_per_token_s : float
            Time between the latest tokens.
        engine_queue_s : float
            First-token time beyond the expected prefill time.
        """
        self._has_live_samples = True
        self._add_sample(time_per_token_s, engine_queue_s)

    def _add_sample(self, time_per_token_s: float, engine_queue_s: float) -> None:
        self._samples += 1
        self._time_per_token_s += time_per_token_s
        self._engine_queue_s += engine_queue_s
        elapsed_s = self._clock.monotonic_s() - self._window_start_s
        if elapsed_s >= const.CONCURRENCY_WINDOW_S:
            self._adapt()
            self._start_window()

    def _adapt(self) -> None:
        time_per_token_s = self._time_per_token_s / self._samples
        engine_queue_s = self._engine_queue_s / self._samples
        headroom = self._token_target_s / max(1e-9, time_per_token_s)
        if engine_queue_s > self._queue_target_s:
            headroom = min(headroom, const.CONCURRENCY_DECREASE_FACTOR)
        if headroom < 1.0:
            lowered = self._limit * max(const.CONCURRENCY_DECREASE_FACTOR, headroom)
            self._limit = max(float(self._minimum), lowered)
        elif self._was_full:
            growth = min(const.CONCURRENCY_GROWTH_SHARE, (headroom - 1.0) / 2.0)
            raised = self._limit + max(0.25, growth * self._limit)
            self._limit = min(float(self._maximum), raised)

    def _start_window(self) -> None:
        self._window_start_s = self._clock.monotonic_s()
        self._samples = 0
        self._time_per_token_s = 0.0
        self._engine_queue_s = 0.0
        self._was_full = self.in_flight >= self.limit
