"""Incremental parser of a server-sent event stream."""

from __future__ import annotations

from lentilroad.errors import UpstreamError

# Typical events have a few hundred bytes; the bound guards against an event that never
# ends.
MAX_EVENT_BYTES = 256 * 1024
# Bound on the collected data of one stream, which goes into the conversation's record.
MAX_OUTPUT_BYTES = 4 * 1024 * 1024
MAX_ID_DIGITS = 100


class EventReader:
    """Splits a stream into complete events, also across a resumed run.

    A run is one execution of the request at an instance. A stream that breaks off can
    be resumed by a second run, which continues after the last complete event.

    Parameters
    ----------
    collect_output : bool
        Whether to collect the data of the events in `output`.

    Attributes
    ----------
    event_count : int
        Number of complete events.
    output : bytearray
        Data of all complete events, each followed by a line feed.
    last_id : str
        Id of the latest complete event; empty before the first event with an id.
    """

    __slots__ = (
        "_buffer",
        "_collect_output",
        "_resuming",
        "event_count",
        "last_id",
        "output",
    )

    def __init__(self, *, collect_output: bool = True) -> None:
        self._collect_output = collect_output
        self._buffer = b""
        self._resuming = False
        self.event_count = 0
        self.output = bytearray()
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """Parse the next bytes of the stream.

        Returns
        -------
        bytes
            The bytes up to the end of the last complete event, as received.

        Raises
        ------
        UpstreamError
            An event or the collected output is larger than its bound, or a resumed
            run repeats events of the previous run.
        """
        data = self._buffer + data
        end = max(data.rfind(b"\n\n") + 2, data.rfind(b"\n\r\n") + 3)
        if end < 3:
            end = 0
        complete, self._buffer = data[:end], data[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise UpstreamError(
                f"an event of the stream is larger than {MAX_EVENT_BYTES} bytes",
                outcome="unknown",
            )
        for block in complete.replace(b"\r\n", b"\n").split(b"\n\n"):
            self._read_event(block)
        if len(self.output) > MAX_OUTPUT_BYTES:
            raise UpstreamError(
                f"a stream is larger than {MAX_OUTPUT_BYTES} bytes", outcome="unknown"
            )
        return complete

    def pop_partial_event(self) -> bytes:
        """Return the bytes after the last complete event and clear the buffer."""
        partial, self._buffer = self._buffer, b""
        return partial

    def begin_next_run(self) -> None:
        """Discard an incomplete event; the next run sends that event again."""
        self._buffer = b""
        self._resuming = self.event_count > 0

    def _read_event(self, block: bytes) -> None:
        lines = []
        for line in block.split(b"\n"):
            if line.startswith(b"data:"):
                lines.append(line[5:].removeprefix(b" "))
            elif line.startswith(b"id:"):
                self._record_id(line[3:].strip().decode("latin-1"))
        if not lines:
            return
        self.event_count += 1
        if self._collect_output:
            self.output += b"\n".join(lines) + b"\n"

    def _record_id(self, event_id: str) -> None:
        if self._resuming:
            self._resuming = False
            if not _is_later_id(event_id, self.last_id):
                raise UpstreamError(
                    f"the stream was to be resumed after event {self.last_id}, but "
                    f"starts with event {event_id}",
                    outcome="unknown",
                )
        self.last_id = event_id


def _is_later_id(event_id: str, previous_id: str) -> bool:
    if _is_integer(event_id) and _is_integer(previous_id):
        return int(event_id) > int(previous_id)
    return event_id != previous_id


def _is_integer(text: str) -> bool:
    """Return whether `int` accepts a text, which it does not for very long numbers."""
    return text.isascii() and text.isdecimal() and len(text) <= MAX_ID_DIGITS
