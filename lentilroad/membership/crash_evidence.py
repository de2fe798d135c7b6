"""Crashes of instances and the requests that were running on them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from lentilroad.membership.crash_messages import Fingerprint

# A request that was running in this many crashes is a likely cause of them, which may
# only be run while few instances are down.
LIKELY_CAUSE_CRASHES = 2
BAN_AFTER_CRASHES = 3
# Entries report one crash within this time of each other.
SETTLE_S = 0.3
EVIDENCE_EXPIRY_S = 600.0
MAX_CRASHES = 512
MAX_RUNS_PER_CRASH = 64
MAX_RUNS = 4096

# Id of an instance and the number of its crash.
CrashKey = tuple[str, int]


@dataclass(slots=True, kw_only=True)
class Crash:
    """One crash and the requests that were running, as reported by all entries.

    Attributes
    ----------
    first_report_s : float
        Monotonic time of the first report.
    instances : int
        Number of instances of the service.
    explained : bool
        Whether a banned request was running.
    """

    service: str
    first_report_s: float
    instances: int
    explained: bool = False
    runs: set[Fingerprint] = field(default_factory=set)


class CrashEvidence:
    """Crashes that no banned request explains, by the requests they may be due to.

    The oldest crashes are dropped when the evidence exceeds its limits.
    """

    __slots__ = ("_by_key", "_crashes", "_latest", "_repeated", "_runs")

    def __init__(self) -> None:
        self._crashes: OrderedDict[CrashKey, Crash] = OrderedDict()
        # Newest crash of each instance.
        self._latest: dict[str, CrashKey] = {}
        self._by_key: dict[bytes, dict[CrashKey, Crash]] = {}
        # Digests that were in several crashes, in order of their second one.
        self._repeated: dict[bytes, None] = {}
        self._runs = 0

    def record(
        self,
        instance_id: str,
        crash: Crash,
        runs: Iterable[Fingerprint],
        *,
        last_sent_s: float,
    ) -> None:
        """Add requests to a crash of an instance, which its first report creates.

        An entry may know a restart under the same id later than the next crash. So
        crashes are told apart by what ran: requests that were sent after a crash had
        been reported ran after the restart.

        Parameters
        ----------
        last_sent_s : float
            Monotonic time at which the newest of the requests was sent.
        """
        key = self._latest.get(instance_id)
        known = None if key is None else self._crashes[key]
        if known is None or last_sent_s > known.first_report_s + SETTLE_S:
            key = (instance_id, 0 if key is None else key[1] + 1)
            self._latest[instance_id] = key
            self._crashes[key] = known = crash
        self._add_runs(key, known, runs)
        while self._runs > MAX_RUNS or len(self._crashes) > MAX_CRASHES:
            self._remove(next(iter(self._crashes)))

    def _add_runs(
        self, crash_key: CrashKey, crash: Crash, runs: Iterable[Fingerprint]
    ) -> None:
        if crash.explained:
            return
        for run in runs:
            if len(crash.runs) >= MAX_RUNS_PER_CRASH or run in crash.runs:
                continue
            crash.runs.add(run)
            self._runs += 1
            for key in run.digests():
                crashes = self._by_key.setdefault(key, {})
                crashes[crash_key] = crash
                if len(crashes) > 1:
                    self._repeated[key] = None

    def expire(self, now_s: float) -> None:
        """Remove crashes that are too old."""
        while self._crashes:
            crash_key, oldest = next(iter(self._crashes.items()))
            if now_s - oldest.first_report_s <= EVIDENCE_EXPIRY_S:
                return
            self._remove(crash_key)

    def clear(self, key: bytes) -> None:
        """Remove a digest from all crashes, since a request with it succeeded."""
        self._by_key.pop(key, None)
        self._repeated.pop(key, None)

    def explain(self, key: bytes) -> set[bytes]:
        """Remove all crashes of a digest as evidence against other requests.

        Requests that share the digest keep their evidence.

        Returns
        -------
        set of bytes
            Digests against which fewer crashes count now.
        """
        relieved: set[bytes] = set()
        for crash_key, crash in self._by_key.get(key, {}).items():
            crash.explained = True
            for run in [run for run in crash.runs if key not in run.digests()]:
                crash.runs.discard(run)
                self._runs -= 1
                for other in run.digests():
                    self._drop(other, crash_key)
                    relieved.add(other)
        return relieved

    def run_count(self) -> int:
        """Return the number of requests in all crashes."""
        return self._runs

    def newest_suspects(self) -> Iterator[bytes]:
        """Return the digests that crashes count against, the newest first."""
        return (key for key in reversed(self._by_key) if self.crash_count(key) > 0)

    def repeated(self) -> list[bytes]:
        """Return the digests that were in several crashes."""
        return list(self._repeated)

    def run_crash_count(self, run: Fingerprint) -> int:
        """Return the number of crashes that count against a request."""
        return max(self.crash_count(key) for key in run.digests())

    def recent_crashes(self, service: str, since_s: float) -> list[Crash]:
        """Return the crashes of a service that were reported since a time."""
        recent = []
        for crash in reversed(self._crashes.values()):
            if crash.first_report_s < since_s:
                break
            if crash.service == service:
                recent.append(crash)
        return recent

    def crash_count(self, key: bytes) -> int:
        """Return the number of crashes that count against a digest."""
        return sum(1 for _ in self.crashes(key))

    def crashes(self, key: bytes) -> Iterator[Crash]:
        """Return the crashes that count against a digest, in order of their reports.

        A crash in which several bodies were sent to a target does not count against the
        target: one of the bodies is the more likely cause.
        """
        for crash in self._by_key.get(key, {}).values():
            if sum(1 for run in crash.runs if run.target == key) <= 1:
                yield crash

    def contents(self, key: bytes) -> set[bytes]:
        """Return the bodies with which a digest was in a crash."""
        return {
            run.content
            for crash in self.crashes(key)
            for run in crash.runs
            if key in run.digests()
        }

    def unexplained_crashes(self, key: bytes, *, service: str, since_s: float) -> int:
        """Return the number of crashes of a service that no known request explains.

        Crashes with the given digest, with a banned request, or with another request
        that was in enough crashes to be banned are not counted.
        """
        related = self._by_key.get(key, {})
        return sum(
            1
            for crash_key, crash in self._crashes.items()
            if crash.service == service
            and crash.first_report_s >= since_s
            and not crash.explained
            and crash_key not in related
            and not self._has_likely_cause(crash)
        )

    def _has_likely_cause(self, crash: Crash) -> bool:
        return any(
            self.crash_count(key) >= BAN_AFTER_CRASHES
            for run in crash.runs
            for key in run.digests()
        )

    def _remove(self, crash_key: CrashKey) -> None:
        crash = self._crashes.pop(crash_key)
        instance_id, _ = crash_key
        if self._latest[instance_id] == crash_key:
            del self._latest[instance_id]
        self._runs -= len(crash.runs)
        for run in crash.runs:
            for key in run.digests():
                self._drop(key, crash_key)

    def _drop(self, key: bytes, crash_key: CrashKey) -> None:
        crashes = self._by_key.get(key)
        if crashes is None:
            return
        crashes.pop(crash_key, None)
        if len(crashes) < 2:
            self._repeated.pop(key, None)
        if not crashes:
            del self._by_key[key]
