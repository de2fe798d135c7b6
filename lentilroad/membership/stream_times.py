"""Times that instances need for their streams, learned from the streams themselves.

Engines of one service differ in speed, and some slow down before all of their slots are
taken. Each stream shows both by the time between its events.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentilroad.clock import Clock
from lentilroad.process.events import log_event

# Weight of the newest time between two events; a stream of five events replaces about
# half of the mean.
GAP_WEIGHT = 0.12
FIRST_EVENT_WEIGHT = 0.3
EVENT_COUNT_WEIGHT = 0.05
# Weight of the newest sample in the means of all instances of a service.
SERVICE_WEIGHT = 0.02
# Streams of an instance, and of its service, before their means are compared.
MIN_INSTANCE_STREAMS = 2
MIN_SERVICE_STREAMS = 30
# Instances whose times differ from the service's mean by less than this share are
# treated as equal: prompts of different lengths and noise cause such differences.
TOLERATED_DIFFERENCE = 0.2
# Half-life of what is known of an instance that gets no requests.
KNOWLEDGE_HALF_LIFE_S = 10.0
# Bound on how much slower or faster than the mean an instance is taken for.
MAX_RATIO = 8.0
# Samples of one chunk that count; so many replace 98 % of a mean. A chunk may hold
# thousands of events.
MAX_GAPS_PER_CHUNK = 32
# Cost of a further concurrent request to an instance without a complete stream, as a
# share of the service's mean stream time.
UNPROVEN_COST_SHARE = 0.5
# Events that arrive while earlier ones take longer than this to be forwarded are not
# measured: the caller, and not the instance, sets the pace.
MAX_FORWARD_S = 0.02
# An instance's ratio is logged when it changed by this factor.
LOGGED_CHANGE = 1.5


@dataclass(slots=True, kw_only=True)
class StreamTimes:
    """Running means over streams.

    Attributes
    ----------
    first_event_s : float
        Time from sending a request to the first event.
    event_gap_s : float
        Time between two events.
    events : float
        Events of one stream.
    streams : int
        Streams that ended normally.
    updated_at_s : float
        Monotonic time of the newest sample.
    gap_weight : float
        Least weight of the next time between events, raised after a time without
        streams.
    logged_ratio : float
        Ratio to the service's mean that was logged last.
    """

    first_event_s: float = 0.0
    event_gap_s: float = 0.0
    events: float = 0.0
    streams: int = 0
    updated_at_s: float = float("-inf")
    gap_weight: float = 0.0
    logged_ratio: float = 1.0

    def stream_s(self, events: float) -> float:
        """Return the expected time of a stream of so many events."""
        return self.first_event_s + max(0.0, events - 1.0) * self.event_gap_s


class ServiceTimes:
    """Stream times of the instances of one service, as this process observed them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_mean")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._mean = StreamTimes()

    def record_first_event(self, times: StreamTimes, first_event_s: float) -> None:
        """Record the time until the first event of a stream of an instance."""
        weight = max(FIRST_EVENT_WEIGHT, 1.0 - self._certainty(times))
        times.updated_at_s = self._clock.monotonic_s()
        times.first_event_s = _mix(times.first_event_s, first_event_s, weight)
        # The first event of a stream is followed by its gaps: old gaps fade as well.
        times.gap_weight = max(times.gap_weight, weight)
        mean = self._mean
        mean.first_event_s = _mix(mean.first_event_s, first_event_s, SERVICE_WEIGHT)

    def record_gaps(self, times: StreamTimes, elapsed_s: float, count: int) -> None:
        """Record that `count` events arrived `elapsed_s` after the previous one."""
        times.updated_at_s = self._clock.monotonic_s()
        gap_s = elapsed_s / count
        for _ in range(min(count, MAX_GAPS_PER_CHUNK)):
            weight = max(GAP_WEIGHT, times.gap_weight)
            times.event_gap_s = _mix(times.event_gap_s, gap_s, weight)
            times.gap_weight *= 1.0 - weight
        mean = self._mean
        mean.event_gap_s = _mix(mean.event_gap_s, gap_s, SERVICE_WEIGHT)

    def record_end(self, times: StreamTimes, events: int) -> None:
        """Record that a stream ended normally."""
        times.streams += 1
        self._mean.streams += 1
        self._mean.events = _mix(self._mean.events, events, EVENT_COUNT_WEIGHT)

    def ratio(self, times: StreamTimes) -> float:
        """Return an instance's time between events as a multiple of the service's mean.

        What is known of an instance without recent streams fades towards 1, so that
        one that was slow is tried again, at first with few requests.
        """
        mean = self._mean
        if (
            times.streams < MIN_INSTANCE_STREAMS
            or mean.streams < MIN_SERVICE_STREAMS
            or times.event_gap_s == 0.0
            or mean.event_gap_s == 0.0
        ):
            return 1.0
        # The time to the first event also depends on the distance, on the prompt and on
        # short queues, and would move work between equal instances.
        ratio = times.event_gap_s / mean.event_gap_s
        ratio = max(1.0 / MAX_RATIO, min(MAX_RATIO, ratio))
        return 1.0 + (ratio - 1.0) * self._certainty(times)

    def cost_s(self, times: StreamTimes, in_flight: int) -> float:
        """Return the cost of an instance by its stream times, 0 for an average one.

        Parameters
        ----------
        times : StreamTimes
            Times of the instance.
        in_flight : int
            Requests of this process to the instance that have not ended.
        """
        mean = self._mean
        mean_stream_s = mean.stream_s(mean.events)
        if mean.streams >= MIN_SERVICE_STREAMS and times.streams == 0:
            return UNPROVEN_COST_SHARE * mean_stream_s * in_flight
        difference = self.ratio(times) - 1.0
        beyond = max(0.0, abs(difference) - TOLERATED_DIFFERENCE)
        return mean_stream_s * (beyond if difference > 0.0 else -beyond)

    def _certainty(self, times: StreamTimes) -> float:
        """Return how much of what is known of an instance still counts, 0 to 1."""
        age_s = self._clock.monotonic_s() - times.updated_at_s
        return 0.5 ** (age_s / KNOWLEDGE_HALF_LIFE_S)


class StreamObserver:
    """Measures one run of a stream at an instance.

    Parameters
    ----------
    instance_id : str
        Id of the instance.
    service_times : ServiceTimes
        Times of the instance's service.
    times : StreamTimes
        Times of the instance.
    sent_s : float
        Monotonic time at which the request was sent.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_events",
        "_forwarded_s",
        "_instance_id",
        "_last_s",
        "_service_times",
        "_times",
    )

    def __init__(
        self,
        *,
        instance_id: str,
        service_times: ServiceTimes,
        times: StreamTimes,
        sent_s: float,
        clock: Clock,
    ) -> None:
        self._instance_id = instance_id
        self._service_times = service_times
        self._times = times
        self._clock = clock
        self._last_s = sent_s
        self._forwarded_s = sent_s
        self._events = 0

    def record_events(self, count: int) -> None:
        """Record that complete events have arrived."""
        now_s = self._clock.monotonic_s()
        elapsed_s = now_s - self._last_s
        waited_for_caller = self._forwarded_s - self._last_s > MAX_FORWARD_S
        self._last_s = now_s
        if not self._events:
            self._service_times.record_first_event(self._times, elapsed_s)
        elif not waited_for_caller:
            self._service_times.record_gaps(self._times, elapsed_s, count)
        self._events += count

    def record_forwarded(self, now_s: float) -> None:
        """Record the monotonic time at which the caller had taken the events."""
        self._forwarded_s = now_s

    def record_end(self) -> None:
        """Record that the stream ended normally."""
        if not self._events:
            return
        self._service_times.record_end(self._times, self._events)
        ratio = self._service_times.ratio(self._times)
        change = ratio / self._times.logged_ratio
        if 1.0 / LOGGED_CHANGE < change < LOGGED_CHANGE:
            return
        self._times.logged_ratio = ratio
        log_event(
            "upstream_speed_changed",
            instance=self._instance_id,
            stream_time_ratio=round(ratio, 2),
            first_event_ms=int(1000 * self._times.first_event_s),
            event_gap_ms=int(1000 * self._times.event_gap_s),
            streams=self._times.streams,
        )


def _mix(mean: float, sample: float, weight: float) -> float:
    return sample if mean == 0.0 else mean + weight * (sample - mean)
