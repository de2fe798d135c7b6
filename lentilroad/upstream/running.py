"""Execution of queued calls and stopping of hanging calls."""

from __future__ import annotations

import asyncio

import eliot
import msgspec

from lentilroad.adapters.engine import Engine
from lentilroad.adapters.service import Service
from lentilroad.clock import Clock
from lentilroad.errors import (
    DeadlineExceededError,
    LentilroadError,
    UnavailableError,
    UpstreamError,
)
from lentilroad.notifier import Notifier
from lentilroad.upstream import const
from lentilroad.upstream.engine_care import EngineMaintenance
from lentilroad.upstream.execution import run_chat, run_service
from lentilroad.upstream.interfaces import RunnerQueue
from lentilroad.upstream.ledger import CallRecord, Ledger
from lentilroad.upstream.limits import CallLimits
from lentilroad.upstream.refusal import refused
from lentilroad.wire import messages as m


class CallExecution:
    """Run the queued calls of one upstream.

    Parameters
    ----------
    clock : Clock
        Source of time.
    queue : RunnerQueue
        Queue in front of the upstream.
    engine, service : Engine or Service, optional
        The upstream.
    ledger : Ledger
        At-most-once records; receives every result.
    maintenance : EngineMaintenance
        Sends cancels and tracks the programs that hold memory.
    limits : CallLimits
        Timeouts of calls.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        queue: RunnerQueue,
        engine: Engine | None,
        service: Service | None,
        ledger: Ledger,
        maintenance: EngineMaintenance,
        limits: CallLimits,
    ) -> None:
        self._clock = clock
        self.queue = queue
        self._engine = engine
        self._service = service
        self._ledger = ledger
        self._maintenance = maintenance
        self._limits = limits
        self.running: dict[str, CallRecord] = {}
        self.time_per_token_s = 0.0
        self.queue_wait_s = 0.0
        self.idle_since_s = 0.0
        self.changed = Notifier()

    def enqueue(self, record: CallRecord) -> None:
        """Queue a call and start it when a slot is free.

        Raises a `LentilroadError` with the outcome ``not_run`` if the queue refuses
        the call; the call is then not added to the ledger.
        """
        self.queue.push(
            record, priority=record.request.priority, deadline_s=record.deadline_s
        )
        self._ledger.add(record)
        if record.deadline_s is not None:
            record.timer = asyncio.get_running_loop().call_later(
                record.deadline_s - record.created_s, self.expire, record
            )
        self.start_ready()

    def start_ready(self) -> None:
        """Start calls while the queue has a free slot."""
        while (record := self.queue.pop_ready()) is not None:
            self._start(record)
        self.stop_refused()

    def stop_refused(self) -> None:
        """Stop queued calls that the queue has refused meanwhile."""
        for record, error in self.queue.take_refused():
            self.stop(record, error)

    def _start(self, record: CallRecord) -> None:
        now_s = self._clock.monotonic_s()
        wait_s = now_s - record.created_s
        self.queue_wait_s += const.SMOOTHING_FACTOR * (wait_s - self.queue_wait_s)
        record.started_s = now_s
        record.last_output_s = now_s
        record.changed.notify()
        self.running[record.call_id] = record
        if record.request.kind == "chat":
            self._maintenance.programs.started(record.program_id, now_s=now_s)
        record.task = asyncio.ensure_future(self._execute(record))

    async def _execute(self, record: CallRecord) -> None:
        record.task_started = True
        try:
            if record.result is None:
                self.end(record, await self._run(record))
        except asyncio.CancelledError:
            if record.result is None:
                error = UnavailableError("the sidecar is stopping", outcome="unknown")
                self.end(record, refused(error, record.output.text()))
        except LentilroadError as error:
            self.end(record, self._failure(record, error))
        except Exception as exception:
            eliot.log_message(
                message_type="upstream:call_failed",
                call_id=record.call_id,
                exception=repr(exception),
            )
            error = UpstreamError(
                "the sidecar failed to run the call; see its log", outcome="unknown"
            )
            self.end(record, self._failure(record, error))
        await self._clean_up(record)

    async def _run(self, record: CallRecord) -> m.Finished:
        if record.request.kind == "chat":
            assert self._engine is not None
            finished = await run_chat(
                engine=self._engine, record=record, clock=self._clock
            )
        else:
            assert self._service is not None
            finished = await run_service(service=self._service, record=record)
        started_s = record.started_s or 0.0
        finished.duration_s = self._clock.monotonic_s() - started_s
        return finished

    def _failure(self, record: CallRecord, error: LentilroadError) -> m.Refused:
        if record.tokens:
            error.outcome = "ran"
        return refused(error, record.output.text())

    async def _clean_up(self, record: CallRecord) -> None:
        is_chat = record.request.kind == "chat"
        if is_chat and not isinstance(record.result, m.Finished):
            await self._maintenance.cancel(record.call_id)
        now_s = self._clock.monotonic_s()
        del self.running[record.call_id]
        if is_chat:
            usage = m.Usage()
            if isinstance(record.result, m.Finished):
                usage = record.result.usage
            tokens = usage.prompt_tokens + usage.completion_tokens
            self._maintenance.programs.ended(
                record.program_id, tokens=tokens, now_s=now_s
            )
            self._maintenance.wake()
        self.queue.finished(
            record,
            service_s=now_s - (record.started_s or now_s),
            succeeded=isinstance(record.result, m.Finished),
            time_per_token_s=record.time_per_token_s,
            engine_queue_s=self._engine_queue_s(record),
        )
        self.start_ready()
        self.changed.notify()

    def end(self, record: CallRecord, result: m.Finished | m.Refused) -> None:
        """Record and publish the result of a call."""
        if record.result is not None:
            return
        now_s = self._clock.monotonic_s()
        record.result = result
        record.ended_s = now_s
        self.idle_since_s = now_s
        if record.timer is not None:
            record.timer.cancel()
            record.timer = None
        self._update_token_time(record)
        # The prompt is no longer needed: a repeated Dispatch only follows the call.
        record.request = msgspec.structs.replace(
            record.request, messages=[], payload=b"", forced_prefix=""
        )
        record.output.close()
        record.changed.notify()
        if record.released:
            self._ledger.release(record, now_s=now_s)
        else:
            self._ledger.end(record)

    def _update_token_time(self, record: CallRecord) -> None:
        if record.tokens < 2:
            return
        span_s = record.last_output_s - record.first_output_s
        record.time_per_token_s = span_s / (record.tokens - 1)
        change_s = record.time_per_token_s - self.time_per_token_s
        self.time_per_token_s += const.SMOOTHING_FACTOR * change_s

    def _engine_queue_s(self, record: CallRecord) -> float:
        """Return the time to first token in excess of the expected prefill time."""
        load = self._maintenance.load
        if load is None or not load.prefill_tokens_per_s:
            return 0.0
        if not isinstance(record.result, m.Finished) or not record.tokens:
            return 0.0
        usage = record.result.usage
        uncached = usage.prompt_tokens - usage.cached_tokens
        expected_s = uncached / load.prefill_tokens_per_s + load.time_per_token_s
        first_s = record.first_output_s - (record.started_s or 0.0)
        return max(0.0, first_s - expected_s)

    def stop(self, record: CallRecord, error: LentilroadError) -> None:
        """Stop a call: publish the error at once, then cancel the task."""
        if record.result is not None:
            return
        if record.started_s is None:
            self.queue.remove(record)
            error.outcome = "not_run"
            # The result marks the call as refused, so that it never starts.
            self.end(record, refused(error, record.output.text()))
            return
        self.end(record, self._failure(record, error))
        # A task cancelled before its first step would never run its cleanup.
        if record.task is not None and record.task_started:
            record.task.cancel()

    def expire(self, record: CallRecord) -> None:
        """Stop a call whose deadline has passed."""
        is_service = record.request.kind == "service"
        error = DeadlineExceededError(
            "the deadline passed before the call ended; set a later deadline",
            outcome="unknown" if is_service else "ran",
        )
        self.stop(record, error)

    def stop_hanging(self) -> None:
        """Stop calls whose upstream has produced no output for too long."""
        now_s = self._clock.monotonic_s()
        for record in list(self.running.values()):
            self._stop_if_hanging(record, now_s)

    def _stop_if_hanging(self, record: CallRecord, now_s: float) -> None:
        if record.request.kind == "service":
            limit_s = self._limits.service_s
        elif record.tokens:
            limit_s = self._limits.output_gap_s
        else:
            limit_s = self._limits.first_output_s
        if record.result is not None or now_s - record.last_output_s < limit_s:
            return
        eliot.log_message(
            message_type="upstream:hanging",
            call_id=record.call_id,
            limit_s=limit_s,
        )
        error = UpstreamError(
            f"the upstream produced no output for {limit_s:g} s; use another upstream",
            outcome="unknown",
        )
        self.stop(record, error)
