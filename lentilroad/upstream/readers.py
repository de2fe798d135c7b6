"""Handlers of the processes that read outputs."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from lentilroad.clock import Clock
from lentilroad.errors import NotFoundError
from lentilroad.upstream.ledger import CallRecord, Ledger
from lentilroad.upstream.limits import CallLimits
from lentilroad.upstream.reading import read_output
from lentilroad.wire import messages as m
from lentilroad.wire.convert import to_wire_error


class Readers:
    """Serve outputs to any number of readers.

    Parameters
    ----------
    ledger : Ledger
        The calls.
    clock : Clock
        Source of time.
    limits : CallLimits
        Time that a reader waits for its call, and time between chunks.
    """

    def __init__(self, *, ledger: Ledger, clock: Clock, limits: CallLimits) -> None:
        self._ledger = ledger
        self._clock = clock
        self._limits = limits

    async def attach(self, request: m.AttachRequest) -> AsyncIterator[m.OutputChunk]:
        """Yield a call's output from an offset."""
        record = await self._arrived(request.call_id)
        if record is None:
            error = self._missing(request.call_id)
            yield m.OutputChunk(
                offset=request.offset, text="", finished=True, error=error
            )
            return
        chunks = read_output(
            record=record,
            offset=request.offset,
            interval_s=self._limits.chunk_interval_s,
            clock=self._clock,
        )
        async for chunk in chunks:
            yield chunk

    async def _arrived(self, call_id: str) -> CallRecord | None:
        """Wait for a call whose Dispatch may still be under way."""
        try:
            async with asyncio.timeout(self._limits.attach_wait_s):
                while True:
                    record = self._ledger.get(call_id)
                    if record is not None:
                        return record
                    if self._ledger.settled(call_id) is not None:
                        return None
                    await self._ledger.arrived.wait()
        except TimeoutError:
            return None

    def _missing(self, call_id: str) -> m.WireError:
        settled = self._ledger.settled(call_id)
        if settled is not None and settled.state != "released":
            return settled.result.error
        missing = NotFoundError("the call's output is not here; ask its owner")
        return to_wire_error(missing)
