"""Counters, gauges and latency histograms in the Prometheus text format."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable

# Upper bounds of the histogram buckets, for latencies from 1 ms to 10 s.
BUCKET_BOUNDS_S = (0.001, 0.003, 0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.5, 1.0, 3.0, 10.0)


class Telemetry:
    """Counters, gauges and histograms of one process.

    Parameters
    ----------
    count_statsd, time_statsd : callable, optional
        Also receive each count, and each time in milliseconds.
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
            # One count per bucket, one for larger values, and the sum of all values.
            histogram = [0.0] * (len(BUCKET_BOUNDS_S) + 2)
            self._histograms[name] = histogram
        histogram[bisect_left(BUCKET_BOUNDS_S, value_s)] += 1
        histogram[-1] += value_s
        if self._time_statsd is not None:
            self._time_statsd(name, value_s * 1000)

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge; `read` returns its value whenever the metrics are rendered."""
        self._gauges[name] = read

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            label_text = ",".join(f'{key}="{text}"' for key, text in labels)
            suffix = f"{{{label_text}}}" if label_text else ""
            lines.append(f"lentilroad_{name}_total{suffix} {value}")
        for name, histogram in sorted(self._histograms.items()):
            total = 0.0
            for bound_s, count in zip(BUCKET_BOUNDS_S, histogram, strict=False):
                total += count
                lines.append(f'lentilroad_{name}_bucket{{le="{bound_s}"}} {int(total)}')
            total += histogram[len(BUCKET_BOUNDS_S)]
            lines.append(f'lentilroad_{name}_bucket{{le="+Inf"}} {int(total)}')
            lines.append(f"lentilroad_{name}_sum {histogram[-1]:.6f}")
            lines.append(f"lentilroad_{name}_count {int(total)}")
        for name, read in sorted(self._gauges.items()):
            lines.append(f"lentilroad_{name} {read()}")
        return "\n".join(lines) + "\n"
