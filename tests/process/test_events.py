"""Log lines that never block the process, and metrics as text."""

from __future__ import annotations

import json
import os

from lentilroad.process.events import BUFFER_LIMIT_BYTES, LineWriter
from lentilroad.process.telemetry import Telemetry


def test_lines_are_json_and_are_buffered_for_a_slow_reader() -> None:
    """Guard against a full pipe that blocks the event loop."""
    reading, writing = os.pipe()
    writer = LineWriter(descriptor=writing)
    for number in range(60_000):
        writer({"event": "x", "n": number, "pad": "y" * 40})
    assert writer.dropped > 0
    received = b""
    while len(received) < BUFFER_LIMIT_BYTES:
        received += os.read(reading, 65536)
        writer.flush()
    writer({"event": "later"})
    lines = received.split(b"\n")[:-1]
    assert json.loads(lines[0]) == {"event": "x", "n": 0, "pad": "y" * 40}
    assert all(json.loads(line)["event"] == "x" for line in lines)
    os.close(reading)
    os.close(writing)


def test_line_without_a_reader_is_dropped_without_an_error() -> None:
    """Guard against a closed pipe that ends the process."""
    reading, writing = os.pipe()
    os.close(reading)
    writer = LineWriter(descriptor=writing)
    writer({"event": "x"})
    os.close(writing)


def test_metrics_are_served_as_text() -> None:
    """Guard against metrics that are not in the Prometheus text format."""
    telemetry = Telemetry()
    telemetry.count("requests", status="200")
    telemetry.count("requests", status="200")
    telemetry.observe("request_s", 0.05)
    telemetry.observe("request_s", 100.0)
    telemetry.add_gauge("open", lambda: 3)
    text = telemetry.text()
    assert 'lentilroad_requests_total{status="200"} 2' in text
    assert 'lentilroad_request_s_bucket{le="0.06"} 1' in text
    assert 'lentilroad_request_s_bucket{le="+Inf"} 2' in text
    assert "lentilroad_request_s_count 2" in text
    assert "lentilroad_open 3" in text
