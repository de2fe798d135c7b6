"""Detection of crashed instances from the connections that they lose."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from lentilroad.connection.http_exchange import refuses_connections
from lentilroad.membership.crash_messages import Fingerprint
from lentilroad.membership.upstreams import UpstreamState
from lentilroad.process.events import log_event
from lentilroad.request.const import PROCESS_PROBE_TIMEOUT_S


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
    """

    def __init__(self, *, report: ReportCrash) -> None:
        self._report = report
        self._lost_runs: dict[UpstreamState, list[LostRun]] = {}
        self._probes: dict[UpstreamState, asyncio.Task[bool]] = {}

    def record_lost_run(self, state: UpstreamState, run: LostRun) -> asyncio.Task[bool]:
        """Record that the connection of a running request was lost.

        Returns
        -------
        asyncio.Task of bool
            Whether the instance has terminated; a crash was then reported.
        """
        self._lost_runs.setdefault(state, []).append(run)
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
            runs = self._lost_runs.pop(state)
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
