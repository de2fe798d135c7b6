"""Structured log lines on standard output that never block the process."""

from __future__ import annotations

import fcntl
import os
import sys
import time
from collections import deque
from typing import Any

import eliot
import msgspec

# Lines wait here while the reader of the output is slow; more are counted and dropped.
BUFFER_LIMIT_BYTES = 1024 * 1024

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class LineWriter:
    """Destination that writes JSON lines to a file descriptor without waiting.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    """

    __slots__ = ("_buffered_bytes", "_descriptor", "_lines", "dropped")

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message, or drop it when too many lines wait."""
        for name in ("task_uuid", "task_level"):
            message.pop(name, None)
        line = _ENCODER.encode(message) + b"\n"
        if self._buffered_bytes + len(line) > BUFFER_LIMIT_BYTES:
            self.dropped += 1
            return
        if self.dropped and not self._lines:
            dropped, self.dropped = self.dropped, 0
            self._append(
                _ENCODER.encode({"event": "log_dropped", "lines": dropped}) + b"\n"
            )
        self._append(line)
        self.flush()

    def flush(self) -> None:
        """Write as many waiting lines as the descriptor takes."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Without a reader there is nowhere to report the loss.
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()

    def _append(self, line: bytes) -> None:
        self._lines.append(line)
        self._buffered_bytes += len(line)


def start_event_log(**fields: Any) -> None:
    """Send eliot messages to standard output, with `fields` on each line."""
    eliot.add_global_fields(**fields)
    eliot.add_destinations(LineWriter(descriptor=sys.stdout.fileno()))


def log_event(event: str, /, **fields: Any) -> None:
    """Write one line.

    Parameters
    ----------
    event : str
        What happened, a constant.
    **fields : Any
        Inputs of the decision, their age or version, and its outcome.
    """
    eliot.Logger().write({"time_s": round(time.time(), 3), "event": event, **fields})
