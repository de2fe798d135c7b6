"""Times of instances that are learned from streams, at the limits of their range."""

from __future__ import annotations

import pytest

from lentilroad.membership import stream_times
from lentilroad.membership.stream_times import (
    MAX_RATIO,
    MIN_SERVICE_STREAMS,
    ServiceTimes,
    StreamObserver,
    StreamTimes,
)
from tests.fakes.clock import ManualClock


def _stream(
    service: ServiceTimes,
    times: StreamTimes,
    clock: ManualClock,
    chunks: list[tuple[float, int]],
) -> None:
    """Observe a stream whose chunks have a time since the one before and events."""
    observer = StreamObserver(
        instance_id="i",
        service_times=service,
        times=times,
        sent_s=clock.monotonic_s(),
        clock=clock,
    )
    for elapsed_s, events in chunks:
        clock.now_s += elapsed_s
        observer.record_events(events)
    observer.record_end()


@pytest.mark.parametrize(
    ("others", "chunks"),
    [
        # No time at all, also of the service.
        ([(0.0, 1), (0.0, 1)], [(0.0, 1), (0.0, 1)]),
        # One chunk, so that there is no time between events.
        ([(0.0, 5)], [(0.0, 5)]),
        ([(0.1, 1), (0.1, 1)], [(0.3, 5)]),
        ([(0.1, 1)], [(0.3, 1)]),
        # A millionth and a million times of the mean.
        ([(1e3, 1), (1e3, 1)], [(1e-3, 1), (1e-3, 1)]),
        ([(1e-3, 1), (1e-3, 1)], [(1e3, 1), (1e3, 1)]),
        # Gaps of no time after one with time.
        ([(0.0, 1), (1.0, 1)], [(0.0, 1), (1.0, 1), (0.0, 50_000)]),
    ],
)
def test_ratio_stays_in_its_bounds(others, chunks, monkeypatch) -> None:
    """Guard against a division by zero that breaks off streams, and odd costs."""
    monkeypatch.setattr(stream_times, "log_event", lambda name, **fields: None)
    clock = ManualClock()
    service, mean, times = ServiceTimes(clock=clock), StreamTimes(), StreamTimes()
    for _ in range(MIN_SERVICE_STREAMS):
        _stream(service, mean, clock, others)
    for _ in range(4):
        _stream(service, times, clock, chunks)
        assert 1.0 / MAX_RATIO <= service.ratio(times) <= MAX_RATIO
    assert service.cost_s(times, 0) == pytest.approx(service.cost_s(times, 9))


def test_gap_of_mean_that_fades_to_zero_is_no_divisor() -> None:
    """Guard against the mean of very many gaps of no time."""
    clock = ManualClock()
    service, times, other = ServiceTimes(clock=clock), StreamTimes(), StreamTimes()
    for _ in range(MIN_SERVICE_STREAMS):
        service.record_first_event(times, 0.0)
        service.record_gaps(times, 1.0, 1)
        service.record_end(times, 2)
    for _ in range(40_000):
        service.record_gaps(other, 0.0, 1)
    assert service.ratio(times) <= MAX_RATIO


def test_caller_that_reads_slowly_does_not_make_an_instance_slow() -> None:
    """Guard against callers that move work away from sound instances."""
    clock = ManualClock()
    service, times = ServiceTimes(clock=clock), StreamTimes()
    observer = StreamObserver(
        instance_id="i", service_times=service, times=times, sent_s=0.0, clock=clock
    )
    for _ in range(5):
        clock.now_s += 0.05
        observer.record_events(1)
        observer.record_forwarded(clock.now_s)
    # The caller stops reading for 2 s; then the events of this time arrive at once.
    clock.now_s += 2.0
    observer.record_forwarded(clock.now_s)
    observer.record_events(1)
    observer.record_forwarded(clock.now_s)
    clock.now_s += 0.05
    observer.record_events(1)
    assert times.event_gap_s == pytest.approx(0.05)
