"""Structured logging to standard output that never blocks the event loop."""

from __future__ import annotations

import fcntl
import os
import sys
import time
from collections import deque
from typing import Any

import eliot
import msgspec

# Lines are buffered while the reader of the output is slow. Lines above the limit are
# dropped, and their number is logged later.
BUFFER_LIMIT_BYTES = 1024 * 1024

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class LineWriter:
    """Eliot destination that writes JSON lines to a non-blocking file descriptor.

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
        """Write one message, or drop it if the buffer is full."""
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
        """Write as many buffered lines as the descriptor accepts."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the output; the loss cannot be reported.
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
    """Log eliot messages to standard output, with `fields` on each line."""
    eliot.add_global_fields(**fields)
    eliot.add_destinations(LineWriter(descriptor=sys.stdout.fileno()))


def log_event(event: str, /, **fields: Any) -> None:
    """Log one event.

    Parameters
    ----------
    event : str
        Constant name of the event.
    **fields : Any
        Inputs of the decision with their age or version, and its outcome.
    """
    eliot.Logger().write({"time_s": round(time.time(), 3), "event": event, **fields})
