"""Commands that bring the running upstreams to the configured state."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Literal

from lentilroad.clock import Clock
from lentilroad.version.const import (
    ROLLOUT_SHARE,
    WEIGHT_STORE_BURST_S,
)
from lentilroad.version.model import Configuration, Model, Service

Kind = Literal["engine", "service"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Worker:
    """One upstream as its sidecar reports it; `name` is empty without a role."""

    upstream_id: str
    kind: Kind
    region: str
    availability_zone: str
    name: str = ""
    version: str = ""
    adapters: dict[str, str] = field(default_factory=dict)
    state: Literal["serving", "loading", "failed"] = "serving"
    # Cause of a failed load, as the upstream gave it.
    failure: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class Command:
    """One command to an upstream; its sidecar drains the upstream first.

    An upstream that checks fencing numbers refuses a command below the highest one
    that it has seen. Commands name a wanted state, so repeating one is harmless.
    """

    upstream_id: str
    action: Literal["load", "load_adapter", "clear_role"]
    name: str
    version: str
    size_bytes: int
    fencing_number: int
    checks_fencing: bool
    reason: str


@dataclass(slots=True, kw_only=True)
class Plan:
    """Commands to send now, and why other changes wait."""

    commands: list[Command] = field(default_factory=list)
    # Name to the cause of the delay.
    blocked: dict[str, str] = field(default_factory=dict)


class WeightBudget:
    """Bytes that may be loaded from the rate-limited weight store now.

    Parameters
    ----------
    clock : Clock
        Time source.
    bytes_per_s : int
        Rate of the store.
    """

    __slots__ = ("_clock", "_filled_s", "_free_bytes", "bytes_per_s")

    def __init__(self, *, clock: Clock, bytes_per_s: int) -> None:
        self._clock = clock
        self.bytes_per_s = bytes_per_s
        self._free_bytes = bytes_per_s * WEIGHT_STORE_BURST_S
        self._filled_s = clock.monotonic_s()

    def take(self, size_bytes: int) -> bool:
        """Reserve a load; a load above the burst makes later ones wait longer."""
        now_s = self._clock.monotonic_s()
        filled = (now_s - self._filled_s) * self.bytes_per_s
        burst = self.bytes_per_s * WEIGHT_STORE_BURST_S
        self._free_bytes = min(burst, self._free_bytes + filled)
        self._filled_s = now_s
        if size_bytes and self._free_bytes <= 0:
            return False
        self._free_bytes -= size_bytes
        return True


@dataclass(slots=True, kw_only=True)
class _Wanted:
    """One name with the workers that hold its role."""

    name: str
    kind: Kind
    upstream: Model | Service
    workers: list[Worker] = field(default_factory=list)

    @property
    def size_bytes(self) -> int:
        return getattr(self.upstream, "size_bytes", 0)

    def current(self) -> list[Worker]:
        return [one for one in self.workers if one.version == self.upstream.version]

    def failure(self) -> Worker | None:
        return next((one for one in self.current() if one.state == "failed"), None)


def plan_commands(
    configuration: Configuration,
    workers: Sequence[Worker],
    *,
    fencing_number: int,
    budget: WeightBudget,
) -> Plan:
    """Compare what is wanted with what runs.

    Dependencies come first: a name waits until everything that it depends on runs
    as configured. A new version starts on one worker. If that load fails, the
    version goes no further until the operator changes the configuration.

    Parameters
    ----------
    configuration : Configuration
        Version in force.
    workers : Sequence[Worker]
        All upstreams of the region with their last report.
    fencing_number : int
        Number of the reconciler's lease.
    budget : WeightBudget
        Limit of the weight store.
    """
    plan = Plan()
    wanted = _wanted(configuration)
    free, missing = _assign(wanted, workers)
    planner = _Planner(plan=plan, fencing_number=fencing_number, budget=budget)
    ready: set[str] = set()
    regions = {worker.region for worker in workers}
    for one in _in_dependency_order(wanted):
        waiting = [name for name in one.upstream.depends_on if name not in ready]
        if waiting:
            cause = plan.blocked.get(waiting[0], "it is not running as configured")
            plan.blocked[one.name] = f"waits for {waiting[0]}: {cause}"
            continue
        if planner.bring_up(one, free, missing[one.name], regions):
            ready.add(one.name)
    planner.adapters(configuration, wanted)
    planner.clear(free)
    return plan


def _wanted(configuration: Configuration) -> dict[str, _Wanted]:
    found = {
        name: _Wanted(name=name, kind="engine", upstream=model)
        for name, model in configuration.models.items()
    }
    for name, service in configuration.services.items():
        found[name] = _Wanted(name=name, kind="service", upstream=service)
    return found


def _assign(
    wanted: dict[str, _Wanted], workers: Sequence[Worker]
) -> tuple[list[Worker], dict[str, list[tuple[str, str]]]]:
    """Keep workers in their role where it is wanted; return free ones and gaps."""
    places: dict[tuple[str, str, str], list[Worker]] = defaultdict(list)
    free: list[Worker] = []
    for worker in sorted(workers, key=lambda one: one.upstream_id):
        one = wanted.get(worker.name)
        if one is None or one.kind != worker.kind:
            free.append(worker)
            continue
        places[worker.name, worker.region, worker.availability_zone].append(worker)
    missing: dict[str, list[tuple[str, str]]] = defaultdict(list)
    for name, one in wanted.items():
        for region, zones in one.upstream.replicas.items():
            for zone, count in zones.items():
                held = places.pop((name, region, zone), [])
                # Workers that already run the wanted version are kept first.
                held.sort(key=lambda w, o=one: w.version != o.upstream.version)
                one.workers += held[:count]
                free += held[count:]
                missing[name] += [(region, zone)] * (count - len(held))
    for held in places.values():
        free += held
    return free, missing


def _in_dependency_order(wanted: dict[str, _Wanted]) -> Iterator[_Wanted]:
    """Yield dependencies before dependents; the check has refused cycles."""
    done: set[str] = set()
    pending = [(name, False) for name in sorted(wanted, reverse=True)]
    while pending:
        name, leave = pending.pop()
        if leave and name not in done:
            done.add(name)
            yield wanted[name]
        if leave or name in done:
            continue
        pending.append((name, True))
        for dependency in wanted[name].upstream.depends_on:
            if dependency in wanted and dependency not in done:
                pending.append((dependency, False))


class _Planner:
    """Collects commands within the limits."""

    __slots__ = ("_budget", "_busy", "_fencing_number", "_plan")

    def __init__(
        self, *, plan: Plan, fencing_number: int, budget: WeightBudget
    ) -> None:
        self._plan = plan
        self._fencing_number = fencing_number
        self._budget = budget
        self._busy: set[str] = set()

    def bring_up(
        self,
        one: _Wanted,
        free: list[Worker],
        missing: list[tuple[str, str]],
        regions: set[str],
    ) -> bool:
        """Plan the loads of one name; return whether it runs as configured."""
        failed = one.failure()
        if failed is not None:
            self._plan.blocked[one.name] = (
                f"version {one.upstream.version} failed on {failed.upstream_id}: "
                f"{failed.failure or 'no cause given'}; apply another version"
            )
            return False
        gaps = [place for place in missing if place[0] in regions]
        outdated = [w for w in one.workers if w.version != one.upstream.version]
        loading = [w for w in one.current() if w.state == "loading"]
        if not gaps and not outdated and not loading:
            return True
        self._plan.blocked.setdefault(one.name, "a rollout is under way")
        allowed = self._allowed(one, gaps) - len(loading)
        for place in gaps:
            if allowed <= 0:
                return False
            worker = _take_free(free, one.kind, place)
            if worker is None:
                self._plan.blocked[one.name] = f"no free worker in {place[1]}"
                continue
            if not self._load(worker, one, "a replica is missing"):
                return False
            allowed -= 1
        # Gaps are filled first: an upgrade takes a serving replica away for a while.
        for worker in outdated:
            if allowed <= 0 or worker.state == "loading":
                return False
            reason = f"version {worker.version} runs"
            if not self._load(worker, one, reason):
                return False
            allowed -= 1
        return False

    def _allowed(self, one: _Wanted, gaps: list[tuple[str, str]]) -> int:
        """Return how many workers may load at once: one until one serves."""
        if not any(worker.state == "serving" for worker in one.current()):
            return 1
        return max(1, int(ROLLOUT_SHARE * (len(one.workers) + len(gaps))))

    def _load(self, worker: Worker, one: _Wanted, reason: str) -> bool:
        if not self._budget.take(one.size_bytes):
            self._plan.blocked[one.name] = "the weight store's rate limit"
            return False
        self._busy.add(worker.upstream_id)
        self._plan.commands.append(
            Command(
                upstream_id=worker.upstream_id,
                action="load",
                name=one.name,
                version=one.upstream.version,
                size_bytes=one.size_bytes,
                fencing_number=self._fencing_number,
                checks_fencing=one.upstream.checks_fencing,
                reason=reason,
            )
        )
        return True

    def adapters(
        self, configuration: Configuration, wanted: dict[str, _Wanted]
    ) -> None:
        """Plan the loads of adapters on engines that serve their model."""
        for name, adapter in configuration.adapters.items():
            one = wanted[adapter.model]
            for worker in one.current():
                if worker.state != "serving" or worker.upstream_id in self._busy:
                    continue
                if worker.adapters.get(name) == adapter.version:
                    continue
                if not self._budget.take(adapter.size_bytes):
                    self._plan.blocked[name] = "the weight store's rate limit"
                    return
                self._plan.commands.append(
                    Command(
                        upstream_id=worker.upstream_id,
                        action="load_adapter",
                        name=name,
                        version=adapter.version,
                        size_bytes=adapter.size_bytes,
                        fencing_number=self._fencing_number,
                        checks_fencing=one.upstream.checks_fencing,
                        reason="the adapter is missing or has another version",
                    )
                )

    def clear(self, free: list[Worker]) -> None:
        """Take the role from workers that nothing needs, once nothing is missing."""
        if self._plan.blocked:
            return
        for worker in free:
            if worker.name:
                self._plan.commands.append(
                    Command(
                        upstream_id=worker.upstream_id,
                        action="clear_role",
                        name=worker.name,
                        version=worker.version,
                        size_bytes=0,
                        fencing_number=self._fencing_number,
                        checks_fencing=False,
                        reason="the configuration does not place it here",
                    )
                )


def _take_free(free: list[Worker], kind: Kind, place: tuple[str, str]) -> Worker | None:
    """Take a free worker of a place, one without a role first."""
    fitting = [
        worker
        for worker in free
        if worker.kind == kind
        and (worker.region, worker.availability_zone) == place
        and worker.state != "loading"
    ]
    if not fitting:
        return None
    chosen = min(fitting, key=lambda worker: (bool(worker.name), worker.upstream_id))
    free.remove(chosen)
    return chosen
