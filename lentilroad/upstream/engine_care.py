"""Release of engine memory and polling of the engine's load."""

from __future__ import annotations

import asyncio

import eliot

from lentilroad.adapters.engine import Engine, EngineLoad
from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.notifier import Notifier
from lentilroad.upstream.const import ENGINE_POLL_INTERVAL_S
from lentilroad.upstream.execution import cancel_at_engine
from lentilroad.upstream.programs import ProgramTable


class EngineMaintenance:
    """Release programs, retry failed cancels, and poll load and cache events.

    Releases and cancels are retried until the engine acknowledges them.

    Parameters
    ----------
    engine : Engine or None
        The engine; None for a service, which holds no program memory.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, engine: Engine | None, clock: Clock) -> None:
        self._engine = engine
        self._clock = clock
        self.programs = ProgramTable()
        self.load: EngineLoad | None = None
        self.load_received_s = 0.0
        self._pending_cancels: set[str] = set()
        self._woken = Notifier()

    async def cancel(self, call_id: str) -> None:
        """Cancel a completion; a failed cancel is retried later."""
        if self._engine is None:
            return
        self._pending_cancels.add(call_id)
        if await cancel_at_engine(
            engine=self._engine, call_id=call_id, clock=self._clock
        ):
            self._pending_cancels.discard(call_id)

    async def release_all(self) -> None:
        """Release every program before the upstream is removed."""
        for program_id in list(self.programs.programs):
            self.programs.forget(program_id)
        await self.run_once()

    def wake(self) -> None:
        """Send pending releases now instead of at the next poll."""
        if self.programs.releasing:
            self._woken.notify()

    async def run_forever(self) -> None:
        """Send pending releases and cancels when woken, and poll periodically."""
        next_poll_s = self._clock.monotonic_s()
        while True:
            wait_s = next_poll_s - self._clock.monotonic_s()
            if wait_s <= 0:
                next_poll_s = self._clock.monotonic_s() + ENGINE_POLL_INTERVAL_S
                await self.run_once()
                continue
            try:
                async with asyncio.timeout(wait_s):
                    await self._woken.wait()
            except TimeoutError:
                continue
            # The end of every call wakes this loop; polling each time would double the
            # number of requests to the engine.
            await self.run_once(poll=False)

    async def run_once(self, *, poll: bool = True) -> None:
        """Send pending releases and cancels and, if `poll` is set, poll the engine."""
        if self._engine is None:
            return
        try:
            await self._release_programs(self._engine)
            await self._retry_cancels(self._engine)
            if poll:
                await self._poll(self._engine)
        except LentilroadError as error:
            eliot.log_message(message_type="upstream:engine_silent", code=error.code)

    async def _release_programs(self, engine: Engine) -> None:
        for program_id in sorted(self.programs.releasing):
            await engine.release_program(program_id=program_id)
            self.programs.releasing.discard(program_id)

    async def _retry_cancels(self, engine: Engine) -> None:
        for call_id in sorted(self._pending_cancels):
            await engine.cancel(request_id=call_id)
            self._pending_cancels.discard(call_id)

    async def _poll(self, engine: Engine) -> None:
        self.load = await engine.load()
        now_s = self._clock.monotonic_s()
        self.load_received_s = now_s
        events = await engine.cache_events(after=self.programs.last_event_sequence)
        self.programs.apply_events(events, now_s=now_s)
