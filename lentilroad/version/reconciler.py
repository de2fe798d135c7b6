"""Loop that keeps one region's upstreams in the configured state."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

import eliot
import msgspec

from lentilroad.clock import Clock
from lentilroad.errors import ConflictError, LentilroadError, StaleEpochError
from lentilroad.version.const import COMMAND_REPORT_TIMEOUT_S, RECONCILE_INTERVAL_S
from lentilroad.version.model import ConfigurationVersion
from lentilroad.version.reconcile import (
    Command,
    Plan,
    WeightBudget,
    Worker,
    plan_commands,
)
from lentilroad.version.reconcile_lease import ReconcileLease


class ReconcilerStatus(msgspec.Struct, kw_only=True):
    """What the reconciler of a region is doing."""

    holder: bool = False
    # Name to the cause of its delay.
    blocked: dict[str, str] = {}
    sent_commands: int = 0
    last_error: str = ""


class Reconciler:
    """Compares the version in force with what runs and sends commands.

    Parameters
    ----------
    clock : Clock
        Time source.
    lease : ReconcileLease
        Right to command this region's upstreams.
    is_candidate : Callable
        Tells whether this entry should hold the lease now, for example as the
        region's first watcher.
    current : Callable
        Returns the version in force, such as `ConfigurationDistributor.current`.
    workers : Callable
        Returns the region's upstreams with their last report.
    send : Callable
        Sends a command to an upstream's sidecar. Raises `StaleEpochError` when the
        upstream has seen a higher fencing number.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        lease: ReconcileLease,
        is_candidate: Callable[[], bool],
        current: Callable[[], ConfigurationVersion | None],
        workers: Callable[[], Sequence[Worker]],
        send: Callable[[Command], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._lease = lease
        self._is_candidate = is_candidate
        self._current = current
        self._workers = workers
        self._send = send
        self._number = 0
        self._budget: WeightBudget | None = None
        # Commands whose effect the upstream has not reported yet.
        self._sent: dict[str, tuple[Command, float]] = {}
        self.status = ReconcilerStatus()

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            try:
                await self._round()
                self.status.last_error = ""
            except (ConflictError, StaleEpochError) as error:
                # Another entry holds the lease; it plans anew from the reports.
                self._lose(error)
            except LentilroadError as error:
                self._note(error)
            await self._clock.sleep(RECONCILE_INTERVAL_S)

    def _lose(self, error: LentilroadError) -> None:
        self._number = 0
        self._sent.clear()
        self._note(error)

    def _note(self, error: LentilroadError) -> None:
        self.status.holder = self._number > 0
        if error.message != self.status.last_error:
            eliot.log_message(
                message_type="reconcile:problem",
                code=error.code,
                reason=error.message,
            )
        self.status.last_error = error.message

    async def _round(self) -> None:
        version = self._current()
        if version is None or not self._is_candidate():
            self._number = 0
            self.status.holder = False
            return
        if not self._number:
            self._number = await self._lease.take()
        self.status.holder = True
        plan = self._plan(version)
        self.status.blocked = plan.blocked
        if not plan.commands:
            return
        await self._lease.confirm()
        for command in plan.commands:
            await self._command(command)

    def _plan(self, version: ConfigurationVersion) -> Plan:
        rate = version.configuration.general.limits.weight_store_bytes_per_s
        if self._budget is None or self._budget.bytes_per_s != rate:
            self._budget = WeightBudget(clock=self._clock, bytes_per_s=rate)
        return plan_commands(
            version.configuration,
            [self._with_sent(worker) for worker in self._workers()],
            fencing_number=self._number,
            budget=self._budget,
        )

    async def _command(self, command: Command) -> None:
        # Noted first: an answer may be lost after the command took effect.
        self._sent[command.upstream_id] = (command, self._clock.monotonic_s())
        self.status.sent_commands += 1
        eliot.log_message(
            message_type="reconcile:command",
            upstream_id=command.upstream_id,
            action=command.action,
            name=command.name,
            version=command.version,
            fencing_number=command.fencing_number,
            reason=command.reason,
        )
        try:
            await self._send(command)
        except StaleEpochError:
            raise
        except LentilroadError as error:
            # Planned again when the upstream does not report the effect in time.
            self._note(error)

    def _with_sent(self, worker: Worker) -> Worker:
        """Return what a worker will report once its command has taken effect."""
        found = self._sent.get(worker.upstream_id)
        if found is None:
            return worker
        command, sent_s = found
        late = self._clock.monotonic_s() - sent_s > COMMAND_REPORT_TIMEOUT_S
        if late or _has_taken_effect(worker, command):
            del self._sent[worker.upstream_id]
            return worker
        return _expected(worker, command)


def _has_taken_effect(worker: Worker, command: Command) -> bool:
    if command.action == "load_adapter":
        return worker.adapters.get(command.name) == command.version
    if command.action == "clear_role":
        return worker.name != command.name
    return (worker.name, worker.version) == (command.name, command.version)


def _expected(worker: Worker, command: Command) -> Worker:
    if command.action == "load_adapter":
        adapters = {**worker.adapters, command.name: command.version}
        return replace(worker, adapters=adapters)
    if command.action == "clear_role":
        return replace(worker, name="", version="")
    return replace(
        worker,
        name=command.name,
        version=command.version,
        adapters={},
        state="loading",
        failure="",
    )
