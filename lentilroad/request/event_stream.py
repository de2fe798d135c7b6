"""Incremental reader of an event stream."""

from __future__ import annotations

from lentilroad.errors import UpstreamError

# Events of a few hundred bytes are usual. One without an end is no event.
MAX_EVENT_BYTES = 256 * 1024
# Sum of the data of one stream that is kept for a conversation's record.
MAX_OUTPUT_BYTES = 4 * 1024 * 1024


class EventReader:
    """Cuts a stream into whole events, from one run or from several in a row.

    Parameters
    ----------
    collect_output : bool
        Whether the data of the events is collected.

    Attributes
    ----------
    event_count : int
        Number of whole events.
    output : bytearray
        Data of each event, followed by a line feed.
    last_id : str
        Id of the newest whole event; empty before the first one with an id.
    """

    __slots__ = (
        "_joining",
        "_collect_output",
        "_rest",
        "event_count",
        "last_id",
        "output",
    )

    def __init__(self, *, collect_output: bool = True) -> None:
        self._collect_output = collect_output
        self._rest = b""
        self._joining = False
        self.event_count = 0
        self.output = bytearray()
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """Read the next bytes of the stream.

        Returns
        -------
        bytes
            All bytes up to the end of the last whole event, as received.

        Raises
        ------
        UpstreamError
            An event or the whole output is larger than its bound, or a run that
            should go on repeats events of the run before.
        """
        data = self._rest + data
        end = max(data.rfind(b"\n\n") + 2, data.rfind(b"\n\r\n") + 3)
        if end < 3:
            end = 0
        whole, self._rest = data[:end], data[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise UpstreamError(
                f"an event is larger than {MAX_EVENT_BYTES} bytes", outcome="unknown"
            )
        for block in whole.replace(b"\r\n", b"\n").split(b"\n\n"):
            self._read_event(block)
        if len(self.output) > MAX_OUTPUT_BYTES:
            raise UpstreamError(
                f"a stream is larger than {MAX_OUTPUT_BYTES} bytes", outcome="unknown"
            )
        return whole

    def pop_partial_event(self) -> bytes:
        """Return the bytes after the last whole event, and forget them."""
        rest, self._rest = self._rest, b""
        return rest

    def begin_next_run(self) -> None:
        """Drop the part of an event that was cut; the next run goes on after it."""
        self._rest = b""
        self._joining = self.event_count > 0

    def _read_event(self, block: bytes) -> None:
        lines = []
        for line in block.split(b"\n"):
            if line.startswith(b"data:"):
                lines.append(line[5:].removeprefix(b" "))
            elif line.startswith(b"id:"):
                self._note_id(line[3:].strip().decode("latin-1"))
        if not lines:
            return
        self.event_count += 1
        if self._collect_output:
            self.output += b"\n".join(lines) + b"\n"

    def _note_id(self, event_id: str) -> None:
        if self._joining:
            self._joining = False
            if not _follows(event_id, self.last_id):
                raise UpstreamError(
                    f"a run that should go on after event {self.last_id} began with "
                    f"event {event_id}",
                    outcome="unknown",
                )
        self.last_id = event_id


def _follows(event_id: str, previous_id: str) -> bool:
    if event_id.isdecimal() and previous_id.isdecimal():
        return int(event_id) > int(previous_id)
    return event_id != previous_id
