"""Incremental reader of an event stream."""

from __future__ import annotations


class EventReader:
    """Collects the data of each event while the bytes pass through.

    Attributes
    ----------
    events : int
        Number of whole events.
    output : bytearray
        Data of each event, followed by a line feed.
    """

    __slots__ = ("_rest", "events", "output")

    def __init__(self) -> None:
        self._rest = b""
        self.events = 0
        self.output = bytearray()

    def feed(self, data: bytes) -> int:
        """Read the next bytes of the stream.

        Returns
        -------
        int
            Number of whole events that end in them.
        """
        before = self.events
        *whole, self._rest = (self._rest + data).replace(b"\r\n", b"\n").split(b"\n\n")
        # A line break may be cut between two reads; it is joined at the next one.
        for block in whole:
            self._read_event(block)
        return self.events - before

    def _read_event(self, block: bytes) -> None:
        lines = [
            line[5:].removeprefix(b" ")
            for line in block.split(b"\n")
            if line.startswith(b"data:")
        ]
        if not lines:
            return
        self.events += 1
        self.output += b"\n".join(lines) + b"\n"
