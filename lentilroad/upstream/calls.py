"""Handlers of the methods that entries call on a sidecar."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any

import eliot

from lentilroad.adapters.engine import Engine
from lentilroad.adapters.service import Service
from lentilroad.clock import Clock
from lentilroad.errors import (
    DeadlineExceededError,
    LentilroadError,
    OverloadedError,
    ProgramEndedError,
    UnavailableError,
)
from lentilroad.upstream import const
from lentilroad.upstream.engine_care import EngineMaintenance
from lentilroad.upstream.fencing import CommandGate, EpochFence
from lentilroad.upstream.interfaces import RunnerQueue
from lentilroad.upstream.ledger import CallRecord, Ledger
from lentilroad.upstream.limits import CallLimits
from lentilroad.upstream.output import OutputBuffer
from lentilroad.upstream.readers import AttachHandler
from lentilroad.upstream.refusal import check_acceptable, refused
from lentilroad.upstream.resolving import resolve_call
from lentilroad.upstream.running import CallExecution
from lentilroad.wire import messages as m
from lentilroad.wire import services
from lentilroad.wire.convert import to_wire_error


class CallRunner:
    """Run calls at one upstream and serve requests of entries.

    Text and offsets count characters from the start of the whole answer: chunks,
    `Finished.text` and `Refused.text` include the forced prefix.

    Parameters
    ----------
    record : SidecarRecord
        This sidecar's directory entry.
    clock : Clock
        Source of time; must agree with the running event loop.
    queue : RunnerQueue
        Queue in front of the upstream.
    limit : callable
        Returns how many calls may run at the same time, for the load report.
    engine : Engine, optional
        The upstream, when it is an engine.
    service : Service, optional
        The upstream, when it is a plain service.
    ledger : Ledger, optional
        At-most-once records of calls.
    limits : CallLimits, optional
        Timeouts of calls and of their records.
    """

    def __init__(
        self,
        *,
        record: m.SidecarRecord,
        clock: Clock,
        queue: RunnerQueue,
        limit: Callable[[], int],
        engine: Engine | None = None,
        service: Service | None = None,
        ledger: Ledger | None = None,
        limits: CallLimits | None = None,
    ) -> None:
        self.record = record
        self.config_version = 0
        self._clock = clock
        self._queue = queue
        self._limit = limit
        self._engine = engine
        self.ledger = Ledger() if ledger is None else ledger
        self._limits = limits or CallLimits()
        self._fence = EpochFence()
        self.attach_handler = AttachHandler(
            ledger=self.ledger, clock=clock, limits=self._limits
        )
        self.maintenance = EngineMaintenance(engine=engine, clock=clock)
        self.programs = self.maintenance.programs
        self.commands = None if engine is None else CommandGate(engine=engine)
        self._execution = CallExecution(
            clock=clock,
            queue=queue,
            engine=engine,
            service=service,
            ledger=self.ledger,
            maintenance=self.maintenance,
            limits=self._limits,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def handlers(self) -> Mapping[services.Method, Callable[[Any], Any]]:
        """Return the handlers for `lentilroad.wire.services.MethodTable`."""
        return {
            services.DISPATCH: self.dispatch,
            services.ATTACH: self.attach,
            services.RELEASE: self.release,
            services.CANCEL: self.cancel,
            services.RESOLVE: self.resolve,
            services.FORGET: self.forget,
            services.CONFIRM_PROGRAMS: self.confirm_programs,
            services.HEARTBEAT: self.heartbeat,
        }

    def start(self) -> None:
        """Start the background tasks."""
        self._tasks = [asyncio.ensure_future(self._sweep_forever())]
        if self._engine is not None:
            self._tasks.append(asyncio.ensure_future(self.maintenance.run_forever()))

    async def close(self) -> None:
        """Stop at once; running calls end with an unknown outcome."""
        tasks = list(self._tasks)
        for record in list(self._execution.running.values()):
            self._execution.stop(
                record, UnavailableError("the sidecar is stopping", outcome="unknown")
            )
            if record.task is not None:
                tasks.append(record.task)
        for task in self._tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=const.CLOSE_LIMIT_S)

    # Dispatch

    async def dispatch(
        self, request: m.DispatchRequest
    ) -> AsyncIterator[m.DispatchEvent]:
        """Run a call, or follow it if it was already accepted, and yield its events."""
        record = self.ledger.get(request.call_id)
        tombstone = self.ledger.tombstone(request.call_id)
        try:
            self._fence.check(shard=request.shard, epoch=request.epoch)
        except LentilroadError as error:
            if record is not None:
                error.outcome = "unknown"
            elif tombstone is not None:
                error.outcome = tombstone.result.error.outcome
            yield m.DispatchEvent(event=refused(error))
            return
        if tombstone is not None:
            yield m.DispatchEvent(event=tombstone.result)
            return
        if record is None:
            accepted = self._accept(request)
            if isinstance(accepted, m.Refused):
                yield m.DispatchEvent(event=accepted)
                return
            record = accepted
        async for event in self._follow(record):
            yield m.DispatchEvent(event=event)

    async def _follow(
        self, record: CallRecord
    ) -> AsyncIterator[m.Queued | m.Started | m.Finished | m.Refused]:
        record.dispatch_streams += 1
        try:
            yield m.Queued(position=len(self._queue), load=self._load_report())
            while record.started_s is None and record.result is None:
                await record.changed.wait()
            if record.started_s is not None:
                yield m.Started()
            while record.result is None:
                await record.changed.wait()
            yield record.result
        finally:
            record.dispatch_streams -= 1
            record.orphaned_since_s = self._clock.monotonic_s()

    def _accept(self, request: m.DispatchRequest) -> CallRecord | m.Refused:
        now_s = self._clock.monotonic_s()
        deadline_s = None
        if request.deadline_time_s is not None:
            deadline_s = now_s + request.deadline_time_s - self._clock.time_s()
        record = CallRecord(
            call_id=request.call_id,
            program_id=request.program_id,
            request=request,
            output=OutputBuffer(text=request.forced_prefix),
            created_s=now_s,
            deadline_s=deadline_s,
        )
        try:
            check_acceptable(request=request, record=self.record)
            self._check_capacity(deadline_s, now_s)
            self._execution.enqueue(record)
        except LentilroadError as error:
            eliot.log_message(
                message_type="upstream:refused",
                call_id=request.call_id,
                code=error.code,
                outcome=error.outcome,
            )
            return self.ledger.refuse(request.call_id, error, now_s=now_s).result
        return record

    def _check_capacity(self, deadline_s: float | None, now_s: float) -> None:
        if self.ledger.full:
            raise OverloadedError(
                "the sidecar's ledger of recent calls is full; choose another upstream",
                retry_after_ms=const.RETRY_AFTER_MS,
            )
        if deadline_s is not None and deadline_s <= now_s:
            raise DeadlineExceededError("the deadline has passed; set a later deadline")

    # Output and records

    def attach(self, request: m.AttachRequest) -> AsyncIterator[m.OutputChunk]:
        """Yield a call's output from an offset; slow readers receive longer chunks."""
        return self.attach_handler.attach(request)

    async def release(self, request: m.ReleaseRequest) -> m.Acknowledgement:
        """Discard a call's output after its owner committed it."""
        error = self._stale_epoch_error(request.shard, request.epoch)
        if error is not None:
            return m.Acknowledgement(error=error)
        record = self.ledger.get(request.call_id)
        if record is None:
            return m.Acknowledgement()
        record.released = True
        if record.result is not None:
            self.ledger.release(record, now_s=self._clock.monotonic_s())
            self._execution.changed.notify()
        return m.Acknowledgement()

    async def cancel(self, request: m.CancelRequest) -> m.Acknowledgement:
        """Cancel a call; a service call that has started runs to completion."""
        error = self._stale_epoch_error(request.shard, request.epoch)
        if error is not None:
            return m.Acknowledgement(error=error)
        record = self.ledger.get(request.call_id)
        if record is not None:
            self._cancel(record)
        elif self.ledger.tombstone(request.call_id) is None:
            self.ledger.block(request.call_id, now_s=self._clock.monotonic_s())
        return m.Acknowledgement()

    def _cancel(self, record: CallRecord) -> None:
        if record.started_s is not None and record.request.kind == "service":
            return
        error = ProgramEndedError("the call was cancelled", outcome="ran")
        self._execution.stop(record, error)

    async def resolve(self, request: m.ResolveRequest) -> m.ResolveReply:
        """Return the state of a call; a call that was never received is blocked."""
        error = self._stale_epoch_error(request.shard, request.epoch)
        if error is not None:
            return m.ResolveReply(state="unknown", error=error)
        return resolve_call(
            ledger=self.ledger,
            request=request,
            incarnation=self.record.incarnation,
            now_s=self._clock.monotonic_s(),
        )

    def _stale_epoch_error(self, shard: str, epoch: int) -> m.WireError | None:
        try:
            self._fence.check(shard=shard, epoch=epoch)
        except LentilroadError as error:
            return to_wire_error(error)
        return None

    # Programs

    async def forget(self, request: m.ForgetRequest) -> m.Acknowledgement:
        """Cancel a program's model calls and release its memory."""
        error = self._stale_epoch_error(request.shard, request.epoch)
        if error is not None:
            return m.Acknowledgement(error=error)
        for record in list(self.ledger.records.values()):
            if record.program_id == request.program_id:
                self._cancel(record)
        if self._engine is not None:
            self.programs.forget(request.program_id)
            self.maintenance.wake()
        return m.Acknowledgement()

    async def confirm_programs(
        self, request: m.ConfirmProgramsRequest
    ) -> m.Acknowledgement:
        """Retain the memory of programs that are still active."""
        error = self._stale_epoch_error(request.shard, request.epoch)
        if error is None:
            now_s = self._clock.monotonic_s()
            self.programs.confirm(request.program_ids, now_s=now_s)
        return m.Acknowledgement(error=error)

    async def heartbeat(self, request: m.PairHeartbeat) -> m.SidecarHeartbeat:
        """Answer with this sidecar's record and load."""
        return self.report()

    def report(self) -> m.SidecarHeartbeat:
        """Return the record and load that entries receive."""
        return m.SidecarHeartbeat(
            record=self.record,
            load=self._load_report(),
            config_version=self.config_version,
        )

    def _load_report(self) -> m.LoadReport:
        engine = self.maintenance.load
        report = m.LoadReport(
            running=len(self._execution.running),
            queued=len(self._queue),
            limit=self._limit(),
            cached_tokens=self.programs.cached_tokens(),
            time_per_token_s=self._execution.time_per_token_s,
            queue_wait_s=self._execution.queue_wait_s,
        )
        if engine is not None:
            report.cache_capacity_tokens = engine.cache_capacity_tokens
            report.prefill_tokens_per_s = engine.prefill_tokens_per_s
        return report

    # Periodic work and shutdown

    async def _sweep_forever(self) -> None:
        while True:
            await self._clock.sleep(const.SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Stop hanging and orphaned calls, and expire old records and programs."""
        now_s = self._clock.monotonic_s()
        self._execution.stop_hanging()
        self._execution.stop_refused()
        for record in list(self.ledger.records.values()):
            if record.result is None:
                self._check_orphan(record, now_s)
        self.ledger.sweep(now_s)
        if self.programs.forget_unconfirmed(now_s=now_s):
            self.maintenance.wake()

    def _check_orphan(self, record: CallRecord, now_s: float) -> None:
        if record.dispatch_streams or record.request.kind == "service":
            return
        if now_s - record.orphaned_since_s >= self._limits.orphan_s:
            error = UnavailableError(
                "no owner has followed or resolved the call in time", outcome="ran"
            )
            self._execution.stop(record, error)

    def start_draining(self) -> None:
        """Refuse new calls; accepted calls run to completion."""
        if self.record.state == "serving":
            self.record.state = "draining"
            self.record.sequence += 1

    async def drained(self) -> None:
        """Wait until calls have ended and owners have released their results."""
        while self._execution.running or len(self._queue):
            await self._execution.changed.wait()
        limit_s = self._execution.idle_since_s + self._limits.drain_release_s
        while self.ledger.records and self._clock.monotonic_s() < limit_s:
            await self._clock.sleep(const.SWEEP_INTERVAL_S / 10)
