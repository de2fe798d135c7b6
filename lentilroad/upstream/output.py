"""Output of one call, readable from any offset by any number of readers."""

from __future__ import annotations

import asyncio

from lentilroad.notifier import Notifier


class OutputBuffer:
    """Append-only text; a reader holds only a position.

    Offsets count characters from the start of the complete answer, including a forced
    prefix.

    Parameters
    ----------
    text : str, optional
        Initial text.
    """

    __slots__ = ("_close_notifier", "_pieces", "changed", "closed", "length")

    def __init__(self, *, text: str = "") -> None:
        self._pieces = [text] if text else []
        self.length = len(text)
        self.closed = False
        self.changed = Notifier()
        self._close_notifier = Notifier()

    def append(self, text: str) -> None:
        """Add text and wake the readers."""
        self._pieces.append(text)
        self.length += len(text)
        self.changed.notify()

    def close(self) -> None:
        """Mark the end of the output."""
        self.closed = True
        self.changed.notify()
        self._close_notifier.notify()

    async def wait_closed(self, timeout_s: float) -> None:
        """Wait for the end of the output, at most `timeout_s` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._close_notifier.wait()
        except TimeoutError:
            return

    def text(self) -> str:
        """Return the complete text."""
        return "".join(self._pieces)

    def reader(self, *, offset: int) -> OutputReader:
        """Return a reader that starts at `offset`."""
        return OutputReader(buffer=self, offset=offset)


class OutputReader:
    """Position in an output buffer."""

    __slots__ = ("_buffer", "_index", "_skip_characters", "offset")

    def __init__(self, *, buffer: OutputBuffer, offset: int) -> None:
        self._buffer = buffer
        self._index = 0
        self._skip_characters = offset
        self.offset = offset

    @property
    def has_unread(self) -> bool:
        """Whether the buffer has text after the position."""
        return self._index < len(self._buffer._pieces)

    def read(self) -> str:
        """Return the text after the position and advance to the end."""
        pieces = self._buffer._pieces
        count = len(pieces)
        if self._index == count:
            return ""
        index = self._index
        self._index = count
        text = pieces[index] if count - index == 1 else "".join(pieces[index:count])
        if self._skip_characters:
            skipped = min(self._skip_characters, len(text))
            self._skip_characters -= skipped
            text = text[skipped:]
        self.offset += len(text)
        return text
