"""Counters and latency histograms, served as text."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable

# Bounds of the histograms' buckets in seconds, for answers of 1 ms to 10 s.
BUCKETS_S = (0.001, 0.003, 0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.5, 1.0, 3.0, 10.0)


class Telemetry:
    """Metrics of one process.

    Parameters
    ----------
    count_statsd, time_statsd : callable, optional
        Also get each count, and each time in milliseconds.
    """

    def __init__(
        self,
        *,
        count_statsd: Callable[[str], None] | None = None,
        time_statsd: Callable[[str, float], None] | None = None,
    ) -> None:
        self._counters: dict[tuple[str, tuple[tuple[str, str], ...]], int] = {}
        self._histograms: dict[str, list[float]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._count_statsd = count_statsd
        self._time_statsd = time_statsd

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + 1
        if self._count_statsd is not None:
            self._count_statsd(name)

    def observe(self, name: str, value_s: float) -> None:
        """Add a time in seconds to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            # One place a bucket, one for larger values, and the sum.
            histogram = [0.0] * (len(BUCKETS_S) + 2)
            self._histograms[name] = histogram
        histogram[bisect_left(BUCKETS_S, value_s)] += 1
        histogram[-1] += value_s
        if self._time_statsd is not None:
            self._time_statsd(name, value_s * 1000)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Serve a value that is read when it is asked for."""
        self._gauges[name] = read

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            written = ",".join(f'{key}="{text}"' for key, text in labels)
            suffix = f"{{{written}}}" if written else ""
            lines.append(f"lentilroad_{name}_total{suffix} {value}")
        for name, histogram in sorted(self._histograms.items()):
            total = 0.0
            for bound_s, number in zip(BUCKETS_S, histogram, strict=False):
                total += number
                lines.append(f'lentilroad_{name}_bucket{{le="{bound_s}"}} {int(total)}')
            total += histogram[len(BUCKETS_S)]
            lines.append(f'lentilroad_{name}_bucket{{le="+Inf"}} {int(total)}')
            lines.append(f"lentilroad_{name}_sum {histogram[-1]:.6f}")
            lines.append(f"lentilroad_{name}_count {int(total)}")
        for name, read in sorted(self._gauges.items()):
            lines.append(f"lentilroad_{name} {read()}")
        return "\n".join(lines) + "\n"
