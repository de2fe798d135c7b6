"""Control loop that keeps a region's upstreams in the configured state."""

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
    """Status of a region's reconciler."""

    holder: bool = False
    # Cause of the delay by name of the model, service or adapter.
    blocked: dict[str, str] = {}
    sent_commands: int = 0
    last_error: str = ""


class Reconciler:
    """Compares the version in force with the upstreams' reports and sends commands.

    Parameters
    ----------
    clock : Clock
        Time source.
    lease : ReconcileLease
        Lease to send commands to this region's upstreams.
    is_candidate : Callable
        Returns whether this entry should hold the lease now, for example as the
        region's first watcher.
    current : Callable
        Returns the version in force, such as `ConfigurationDistributor.current`.
    workers : Callable
        Returns the region's upstreams as last reported.
    send : Callable
        Sends a command to an upstream's sidecar. Raises `StaleEpochError` when the
        upstream has received a higher fencing number.
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
        self._fencing_number = 0
        self._budget: WeightBudget | None = None
        # Command and send time of each upstream that has not reported its effect.
        self._unreported: dict[str, tuple[Command, float]] = {}
        self.status = ReconcilerStatus()

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            try:
                await self._reconcile_once()
                self.status.last_error = ""
            except (ConflictError, StaleEpochError) as error:
                # The new lease holder plans from the upstreams' reports alone.
                self._handle_lost_lease(error)
            except LentilroadError as error:
                self._record_error(error)
            await self._clock.sleep(RECONCILE_INTERVAL_S)

    def _handle_lost_lease(self, error: LentilroadError) -> None:
        self._fencing_number = 0
        self._unreported.clear()
        self._record_error(error)

    def _record_error(self, error: LentilroadError) -> None:
        self.status.holder = self._fencing_number > 0
        if error.message != self.status.last_error:
            eliot.log_message(
                message_type="reconcile:problem",
                code=error.code,
                reason=error.message,
            )
        self.status.last_error = error.message

    async def _reconcile_once(self) -> None:
        version = self._current()
        if version is None or not self._is_candidate():
            self._fencing_number = 0
            self.status.holder = False
            return
        if not self._fencing_number:
            self._fencing_number = await self._lease.acquire()
        self.status.holder = True
        plan = self._plan(version)
        self.status.blocked = plan.blocked
        if not plan.commands:
            return
        await self._lease.confirm()
        for command in plan.commands:
            await self._send_command(command)

    def _plan(self, version: ConfigurationVersion) -> Plan:
        rate = version.configuration.general.limits.weight_store_bytes_per_s
        if self._budget is None or self._budget.bytes_per_s != rate:
            self._budget = WeightBudget(clock=self._clock, bytes_per_s=rate)
        return plan_commands(
            version.configuration,
            [self._expected_worker(worker) for worker in self._workers()],
            fencing_number=self._fencing_number,
            budget=self._budget,
        )

    async def _send_command(self, command: Command) -> None:
        # Recorded before sending: the answer may be lost after the command took effect.
        self._unreported[command.upstream_id] = (command, self._clock.monotonic_s())
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
            # The command is planned again if its effect is not reported before
            # COMMAND_REPORT_TIMEOUT_S.
            self._record_error(error)

    def _expected_worker(self, worker: Worker) -> Worker:
        """Return the worker as reported after its pending command takes effect."""
        unreported = self._unreported.get(worker.upstream_id)
        if unreported is None:
            return worker
        command, sent_time_s = unreported
        expired = self._clock.monotonic_s() - sent_time_s > COMMAND_REPORT_TIMEOUT_S
        if expired or _has_taken_effect(worker, command):
            del self._unreported[worker.upstream_id]
            return worker
        return _after_command(worker, command)


def _has_taken_effect(worker: Worker, command: Command) -> bool:
    if command.action == "load_adapter":
        return worker.adapters.get(command.name) == command.version
    if command.action == "clear_role":
        return worker.name != command.name
    return (worker.name, worker.version) == (command.name, command.version)


def _after_command(worker: Worker, command: Command) -> Worker:
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
