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

    Everything that arrived since the last chunk goes into one chunk, so that a slow
    reader costs few messages and no memory of its own.

    Parameters
    ----------
    record : CallRecord
        The call.
    offset : int
        First character wanted, counted from the start of the whole answer.
    interval_s : float
        Smallest time between two chunks in seconds; the last one does not wait.
    clock : Clock
        Source of time.
    """
    output = record.output
    reader = output.reader(offset=offset)
    sent_s = 0.0
    while True:
        closed = output.closed
        start = reader.offset
        text = reader.take()
        if closed:
            error = record.result.error if isinstance(record.result, Refused) else None
            yield OutputChunk(offset=start, text=text, finished=True, error=error)
            return
        if text:
            if interval_s:
                sent_s = clock.monotonic_s()
            yield OutputChunk(offset=start, text=text)
        if not reader.behind and not output.closed:
            # Awaited without a coroutine in between: this runs once per token.
            await output.changed.future()
        wait_s = sent_s + interval_s - clock.monotonic_s() if interval_s else 0.0
        if wait_s > 0 and not output.closed:
            await output.wait_closed(wait_s)
