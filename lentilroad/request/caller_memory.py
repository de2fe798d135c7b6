"""Room for callers' bodies and for answers that callers have not read yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lentilroad.clock import Clock
from lentilroad.connection.byte_budget import ByteBudget, Hold, HoldState
from lentilroad.errors import OverloadedError
from lentilroad.process.events import log_event
from lentilroad.process.telemetry import Telemetry

SWEEP_INTERVAL_S = 0.1
# The crowd that fills the budget is refused or evicted within a few seconds.
RETRY_AFTER_MS = 1000


class CallerMemory:
    """Admits bytes within the budgets of one process.

    Parameters
    ----------
    clock : Clock
        Source of time.
    telemetry : Telemetry
        Counters and gauges.
    bodies_bytes : int
        Bytes of request bodies.
    answers_bytes : int
        Bytes of large answers. They have their own budget: a request keeps its body
        until it is answered, so bodies alone would leave no room to finish one.

    Attributes
    ----------
    bodies, answers : ByteBudget
        Budgets of request bodies and of answers.
    """

    __slots__ = ("_clock", "_sweeps", "_telemetry", "answers", "bodies")

    def __init__(
        self,
        *,
        clock: Clock,
        telemetry: Telemetry,
        bodies_bytes: int,
        answers_bytes: int,
    ) -> None:
        self._clock = clock
        self._telemetry = telemetry
        self._sweeps: set[ByteBudget] = set()
        self.bodies = ByteBudget(clock=clock, total_bytes=bodies_bytes)
        self.answers = ByteBudget(clock=clock, total_bytes=answers_bytes)

    def held_bytes(self) -> int:
        """Return the bytes of all bodies and large answers."""
        return self.bodies.held_bytes + self.answers.held_bytes

    def begin_transfer(self, hold: Hold) -> None:
        """Record that the caller itself sends or reads the bytes from now on."""
        hold.begin_transfer(self._clock.monotonic_s())

    def record_progress(self, hold: Hold) -> None:
        """Record that the caller sent or read some bytes."""
        hold.record_progress(self._clock.monotonic_s())

    async def hold_body(
        self, size_bytes: int, *, on_evict: Callable[[], None], timeout_s: float
    ) -> Hold:
        """Wait for room for a body before it is read.

        Raises
        ------
        OverloadedError
            There was no room in time; the request has not run.
        """
        hold = self.bodies.request(
            size_bytes, on_evict=lambda: self._evict("body", on_evict)
        )
        if hold.state is HoldState.GRANTED:
            return hold
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._wait(self.bodies, hold)
        except TimeoutError:
            pass
        finally:
            if hold.state is HoldState.WAITING:
                self.bodies.release(hold)
        if hold.state is HoldState.GRANTED:
            return hold
        self._telemetry.count("callers_refused", reason="no_memory")
        raise OverloadedError(
            f"this entry has no {size_bytes} bytes of memory for the request's body; "
            "send the request again or to another entry",
            retry_after_ms=RETRY_AFTER_MS,
        )

    async def hold_answer(
        self, size_bytes: int, *, on_evict: Callable[[], None]
    ) -> Hold:
        """Wait for room for a large answer; the caller's deadline ends the wait."""
        while True:
            hold = self.answers.request(
                size_bytes, on_evict=lambda: self._evict("answer", on_evict)
            )
            try:
                if hold.state is HoldState.WAITING:
                    await self._wait(self.answers, hold)
            finally:
                if hold.state is HoldState.WAITING:
                    self.answers.release(hold)
            if hold.state is HoldState.GRANTED:
                return hold
            await self._clock.sleep(SWEEP_INTERVAL_S)

    async def _wait(self, budget: ByteBudget, hold: Hold) -> None:
        if hold.state is not HoldState.WAITING:
            return
        decided = asyncio.get_running_loop().create_future()

        def on_decision() -> None:
            if not decided.done():
                decided.set_result(None)

        hold.on_decision(on_decision)
        self._sweep_while_waiting(budget)
        try:
            await decided
        except asyncio.CancelledError:
            # The room may have been granted just before.
            budget.release(hold)
            raise

    def _sweep_while_waiting(self, budget: ByteBudget) -> None:
        if budget in self._sweeps:
            return
        self._sweeps.add(budget)

        def sweep() -> None:
            budget.sweep()
            if budget.has_waiting():
                loop.call_later(SWEEP_INTERVAL_S, sweep)
            else:
                self._sweeps.discard(budget)

        loop = asyncio.get_running_loop()
        loop.call_soon(sweep)

    def _evict(self, kind: str, on_evict: Callable[[], None]) -> None:
        self._telemetry.count("callers_refused", reason=f"slow_{kind}")
        log_event("caller_evicted", kind=kind, held_bytes=self.held_bytes())
        on_evict()
