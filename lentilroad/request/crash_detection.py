"""Detection of crashed instances from the connections that they lose."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from lentilroad.clock import Clock
from lentilroad.connection.http_exchange import refuses_connections
from lentilroad.membership.crash_messages import Fingerprint
from lentilroad.membership.upstreams import UpstreamState
from lentilroad.process.events import log_event
from lentilroad.request.const import PROCESS_PROBE_TIMEOUT_S

# A run that was abandoned may still crash its instance within this time.
ABANDONED_RUN_S = 0.5


@dataclass(slots=True, kw_only=True)
class LostRun:
    """Run of a request without a complete response.

    Attributes
    ----------
    sent_s : float
        Monotonic time at which the request was sent.
    on_trial : bool
        Whether the request was a suspect of earlier crashes.
    """

    fingerprint: Fingerprint
    sent_s: float
    on_trial: bool


ReportCrash = Callable[[UpstreamState, list[LostRun]], Awaitable[None]]


class CrashDetector:
    """Tells crashes of instances from failures of single connections.

    An instance has crashed if it refuses connections after it lost some. All requests
    that it lost meanwhile belong to the same crash. One that does not respond may still
    be running. An instance that leaves may end as planned, which counts only against
    suspects of earlier crashes.

    Parameters
    ----------
    report : callable
        Receives a crashed instance and the runs of this process that it lost.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, report: ReportCrash, clock: Clock) -> None:
        self._report = report
        self._clock = clock
        self._lost_runs: dict[UpstreamState, list[LostRun]] = {}
        self._abandoned_runs: dict[UpstreamState, list[LostRun]] = {}
        self._probes: dict[UpstreamState, asyncio.Task[bool]] = {}

    def record_lost_run(self, state: UpstreamState, run: LostRun) -> asyncio.Task[bool]:
        """Record that the connection of a running request was lost.

        Returns
        -------
        asyncio.Task of bool
            Whether the instance has terminated; a crash was then reported.
        """
        self._lost_runs.setdefault(state, []).append(run)
        return self._start_probe(state)

    def record_abandoned_run(
        self, state: UpstreamState, run: LostRun
    ) -> asyncio.Task[bool]:
        """Record that a request was abandoned while the instance may run it.

        Returns
        -------
        asyncio.Task of bool
            Whether the instance has terminated `ABANDONED_RUN_S` later; a crash was
            then reported.
        """
        self._abandoned_runs.setdefault(state, []).append(run)
        return asyncio.ensure_future(self._watch_abandoned_run(state, run))

    async def _watch_abandoned_run(self, state: UpstreamState, run: LostRun) -> bool:
        await self._clock.sleep(ABANDONED_RUN_S)
        if run not in self._abandoned_runs.get(state, []):
            # Another run was lost meanwhile, and both were reported.
            return True
        terminated = await asyncio.shield(self._start_probe(state))
        if not terminated:
            self._abandoned_runs[state].remove(run)
            if not self._abandoned_runs[state]:
                del self._abandoned_runs[state]
        return terminated

    def _start_probe(self, state: UpstreamState) -> asyncio.Task[bool]:
        probe = self._probes.get(state)
        if probe is None:
            probe = self._probes[state] = asyncio.ensure_future(self._probe(state))
        return probe

    async def _probe(self, state: UpstreamState) -> bool:
        try:
            terminated = await refuses_connections(
                state.instance.address, timeout_s=PROCESS_PROBE_TIMEOUT_S
            )
        finally:
            del self._probes[state]
            runs = self._lost_runs.pop(state, [])
        if terminated:
            runs += self._abandoned_runs.pop(state, [])
        planned = state.leaves()
        log_event(
            "upstream_lost_runs",
            instance=state.instance.instance_id,
            service=state.instance.service,
            terminated=terminated,
            planned=planned,
            requests=[
                [run.fingerprint.target.hex(), run.fingerprint.content.hex()]
                for run in runs
            ],
        )
        if planned:
            runs = [run for run in runs if run.on_trial]
        if terminated and runs:
            await self._report(state, runs)
        return terminated
