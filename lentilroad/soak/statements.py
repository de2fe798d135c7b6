"""Checks that entries follow what workers state about themselves in their answers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from lentilroad.soak.world import ProgramProcess
from lentilroad.standins.platform_worker import Run

# Bounds of the platform's rules.
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
TOLD_AFTER_S = 0.5
SETTLING_S = 4.0
DRAIN_S = 2.5

Worker = tuple[str, int]


@dataclass(slots=True, kw_only=True)
class LimitPeriod:
    """Time in which a worker states the same limit.

    Attributes
    ----------
    began_s, ended_s : float
        Loop times.
    """

    worker: Worker
    limit_per_s: float
    began_s: float
    ended_s: float = float("inf")


@dataclass(slots=True, kw_only=True)
class _Sent:
    entry: ProgramProcess
    sent_s: float


@dataclass(slots=True, kw_only=True)
class StatementChecks:
    """What callers saw of workers' statements, and the checks against the runs.

    Attributes
    ----------
    periods : list of LimitPeriod
        Limits that the workers stated.
    """

    periods: list[LimitPeriod] = field(default_factory=list)
    _sent: dict[str, _Sent] = field(default_factory=dict)
    _limit_passed_s: dict[tuple[str, Worker], list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _leaving_passed_s: dict[tuple[str, Worker], list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def record_sent(self, request_id: str, entry: ProgramProcess, now_s: float) -> None:
        """Record that a caller sent a request to an entry."""
        self._sent[request_id] = _Sent(entry=entry, sent_s=now_s)

    def record_answer(
        self,
        entry: ProgramProcess,
        worker: Worker,
        headers: Iterable[str],
        now_s: float,
    ) -> None:
        """Record the statements of an answer that an entry passed on."""
        names = {name.lower() for name in headers}
        if "server-limit" in names:
            self._limit_passed_s[entry.name, worker].append(now_s)
        if "server-leaving" in names:
            self._leaving_passed_s[entry.name, worker].append(now_s)

    def violations(self, runs: Iterable[Run]) -> list[str]:
        """Return the requests that workers got against their statements."""
        by_worker: dict[Worker, list[Run]] = defaultdict(list)
        for run in runs:
            by_worker[run.worker].append(run)
        found: list[str] = []
        for period in self.periods:
            found += self._limit_violations(period, by_worker[period.worker])
        for worker, worker_runs in by_worker.items():
            for run in worker_runs:
                if self._is_after_drain(run, worker):
                    found.append(f"{run.request_id} reached {worker}, which had left")
        return found

    def _limit_violations(self, period: LimitPeriod, runs: list[Run]) -> list[str]:
        times_s = sorted(
            run.received_s
            for run in runs
            if period.began_s + SETTLING_S <= run.received_s < period.ended_s
            and self._was_told(run, period)
        )
        allowed = EXCESS_FACTOR * period.limit_per_s * WINDOW_S + EXCESS_REQUESTS
        for index, start_s in enumerate(times_s):
            received = sum(1 for t in times_s[index:] if t < start_s + WINDOW_S)
            if received > allowed:
                return [
                    f"{period.worker} got {received} requests in {WINDOW_S} s at a "
                    f"limit of {period.limit_per_s} a second"
                ]
        return []

    def _was_told(self, run: Run, period: LimitPeriod) -> bool:
        sent = self._sent.get(run.request_id)
        if sent is None:
            return False
        disturbed_s = _last_disturbance_s(sent.entry, run.received_s)
        return any(
            max(disturbed_s, period.began_s) <= passed_s
            and passed_s + TOLD_AFTER_S <= run.received_s
            for passed_s in self._limit_passed_s[sent.entry.name, period.worker]
        )

    def _is_after_drain(self, run: Run, worker: Worker) -> bool:
        sent = self._sent.get(run.request_id)
        if sent is None:
            return False
        disturbed_s = _last_disturbance_s(sent.entry, run.received_s)
        return any(
            disturbed_s <= passed_s and passed_s + DRAIN_S < sent.sent_s
            for passed_s in self._leaving_passed_s[sent.entry.name, worker]
        )


def _last_disturbance_s(entry: ProgramProcess, before_s: float) -> float:
    return max(
        (time_s for time_s in entry.disturbed_s if time_s <= before_s),
        default=float("-inf"),
    )
