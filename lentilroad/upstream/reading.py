"""Stream a call's output to a reader."""

from __future__ import annotations

from collections.abc import AsyncIterator

from lentilroad.clock import Clock
from lentilroad.upstream.ledger import CallRecord
from lentilroad.wire.messages import OutputChunk, Refused


async def read_output(
    *, record: CallRecord, offset: int, interval_s: float, clock: Clock
) -> AsyncIterator[OutputChunk]:
    """Yield the output of a call from `offset` characters on.

    All output since the last chunk is merged into one chunk, so that a slow reader
    causes few messages and needs no buffer of its own.

    Parameters
    ----------
    record : CallRecord
        The call.
    offset : int
        First character to yield, counted from the start of the complete answer.
    interval_s : float
        Minimum time between two chunks in seconds; the last chunk is not delayed.
    clock : Clock
        Source of time.
    """
    output = record.output
    reader = output.reader(offset=offset)
    sent_s = 0.0
    while True:
        closed = output.closed
        start = reader.offset
        text = reader.read()
        if closed:
            error = record.result.error if isinstance(record.result, Refused) else None
            yield OutputChunk(offset=start, text=text, finished=True, error=error)
            return
        if text:
            if interval_s:
                sent_s = clock.monotonic_s()
            yield OutputChunk(offset=start, text=text)
        if not reader.has_unread and not output.closed:
            # Awaits the future directly to save a coroutine: this runs once per token.
            await output.changed.future()
        wait_s = sent_s + interval_s - clock.monotonic_s() if interval_s else 0.0
        if wait_s > 0 and not output.closed:
            await output.wait_closed(wait_s)
