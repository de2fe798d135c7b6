"""Handler of Attach requests."""

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


class AttachHandler:
    """Stream the output of calls to any number of readers.

    Parameters
    ----------
    ledger : Ledger
        Records of calls.
    clock : Clock
        Source of time.
    limits : CallLimits
        Time that a reader waits for its call, and minimum time between chunks.
    """

    def __init__(self, *, ledger: Ledger, clock: Clock, limits: CallLimits) -> None:
        self._ledger = ledger
        self._clock = clock
        self._limits = limits

    async def attach(self, request: m.AttachRequest) -> AsyncIterator[m.OutputChunk]:
        """Yield a call's output from an offset."""
        record = await self._wait_for_call(request.call_id)
        if record is None:
            error = self._missing_error(request.call_id)
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

    async def _wait_for_call(self, call_id: str) -> CallRecord | None:
        """Wait for a call whose Dispatch may still be in flight."""
        try:
            async with asyncio.timeout(self._limits.attach_wait_s):
                while True:
                    record = self._ledger.get(call_id)
                    if record is not None:
                        return record
                    if self._ledger.tombstone(call_id) is not None:
                        return None
                    await self._ledger.changed.wait()
        except TimeoutError:
            return None

    def _missing_error(self, call_id: str) -> m.WireError:
        tombstone = self._ledger.tombstone(call_id)
        if tombstone is not None and tombstone.state != "released":
            return tombstone.result.error
        missing = NotFoundError(
            "the sidecar has no output of this call; ask the call's owner"
        )
        return to_wire_error(missing)
