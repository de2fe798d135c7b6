"""Planning of the commands that bring upstreams to the configured state."""

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
    """State of one upstream as reported by its sidecar; no role if `name` is empty."""

    upstream_id: str
    kind: Kind
    region: str
    availability_zone: str
    name: str = ""
    version: str = ""
    adapters: dict[str, str] = field(default_factory=dict)
    state: Literal["serving", "loading", "failed"] = "serving"
    # Cause of a failed load, as reported by the upstream.
    failure: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class Command:
    """One command to an upstream; its sidecar drains the upstream first.

    An upstream that checks fencing numbers rejects a command whose number is below
    the highest number received. Commands name a desired state, so they are idempotent.
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
    """Commands to send now, and the causes that delay other changes."""

    commands: list[Command] = field(default_factory=list)
    # Cause of the delay by name of the model, service or adapter.
    blocked: dict[str, str] = field(default_factory=dict)


class WeightBudget:
    """Token bucket, in bytes, for loads from the rate-limited weight store.

    Parameters
    ----------
    clock : Clock
        Time source.
    bytes_per_s : int
        Rate limit of the weight store.
    """

    __slots__ = ("_clock", "_free_bytes", "_refilled_time_s", "bytes_per_s")

    def __init__(self, *, clock: Clock, bytes_per_s: int) -> None:
        self._clock = clock
        self.bytes_per_s = bytes_per_s
        self._free_bytes = bytes_per_s * WEIGHT_STORE_BURST_S
        self._refilled_time_s = clock.monotonic_s()

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve the bytes of one load and return whether it may start.

        A load above the burst size makes the balance negative, which delays later
        loads.
        """
        now_s = self._clock.monotonic_s()
        added_bytes = (now_s - self._refilled_time_s) * self.bytes_per_s
        max_bytes = self.bytes_per_s * WEIGHT_STORE_BURST_S
        self._free_bytes = min(max_bytes, self._free_bytes + added_bytes)
        self._refilled_time_s = now_s
        if size_bytes and self._free_bytes <= 0:
            return False
        self._free_bytes -= size_bytes
        return True


@dataclass(slots=True, kw_only=True)
class _DesiredUpstream:
    """A configured model or service and the workers assigned to its role."""

    name: str
    kind: Kind
    upstream: Model | Service
    workers: list[Worker] = field(default_factory=list)

    @property
    def size_bytes(self) -> int:
        return getattr(self.upstream, "size_bytes", 0)

    def up_to_date(self) -> list[Worker]:
        return [
            worker for worker in self.workers if worker.version == self.upstream.version
        ]

    def failed_worker(self) -> Worker | None:
        return next((w for w in self.up_to_date() if w.state == "failed"), None)


def plan_commands(
    configuration: Configuration,
    workers: Sequence[Worker],
    *,
    fencing_number: int,
    budget: WeightBudget,
) -> Plan:
    """Compare the configured state with the reported state and plan commands.

    A model or service is loaded only after all its dependencies run as configured.
    A new version is loaded on a single worker first. If that load fails, the
    version is not loaded on further workers until the operator changes the
    configuration.

    Parameters
    ----------
    configuration : Configuration
        Version in force.
    workers : Sequence[Worker]
        All upstreams of the region as last reported.
    fencing_number : int
        Fencing number of the reconciler's lease.
    budget : WeightBudget
        Remaining bytes of the weight store's rate limit.
    """
    plan = Plan()
    desired_by_name = _desired_upstreams(configuration)
    free, missing = _assign(desired_by_name, workers)
    planner = _Planner(plan=plan, fencing_number=fencing_number, budget=budget)
    ready: set[str] = set()
    regions = {worker.region for worker in workers}
    for desired in _in_dependency_order(desired_by_name):
        waiting = [name for name in desired.upstream.depends_on if name not in ready]
        if waiting:
            cause = plan.blocked.get(waiting[0], "it does not run as configured")
            plan.blocked[desired.name] = f"waits for {waiting[0]}: {cause}"
            continue
        if planner.plan_loads(desired, free, missing[desired.name], regions):
            ready.add(desired.name)
    planner.plan_adapter_loads(configuration, desired_by_name)
    planner.plan_role_removals(free)
    return plan


def _desired_upstreams(configuration: Configuration) -> dict[str, _DesiredUpstream]:
    found = {
        name: _DesiredUpstream(name=name, kind="engine", upstream=model)
        for name, model in configuration.models.items()
    }
    for name, service in configuration.services.items():
        found[name] = _DesiredUpstream(name=name, kind="service", upstream=service)
    return found


def _assign(
    desired_by_name: dict[str, _DesiredUpstream], workers: Sequence[Worker]
) -> tuple[list[Worker], dict[str, list[tuple[str, str]]]]:
    """Assign workers to the roles that they already have.

    Returns the free workers, and the region and zone of each missing replica by name.
    """
    workers_by_zone: dict[tuple[str, str, str], list[Worker]] = defaultdict(list)
    free: list[Worker] = []
    for worker in sorted(workers, key=lambda worker: worker.upstream_id):
        desired = desired_by_name.get(worker.name)
        if desired is None or desired.kind != worker.kind:
            free.append(worker)
            continue
        workers_by_zone[worker.name, worker.region, worker.availability_zone].append(
            worker
        )
    missing: dict[str, list[tuple[str, str]]] = defaultdict(list)
    for name, desired in desired_by_name.items():
        for region, zones in desired.upstream.replicas.items():
            for zone, count in zones.items():
                zone_workers = workers_by_zone.pop((name, region, zone), [])
                # Workers that already run the configured version are kept first.
                zone_workers.sort(
                    key=lambda w, d=desired: w.version != d.upstream.version
                )
                desired.workers += zone_workers[:count]
                free += zone_workers[count:]
                missing[name] += [(region, zone)] * (count - len(zone_workers))
    for zone_workers in workers_by_zone.values():
        free += zone_workers
    return free, missing


def _in_dependency_order(
    desired_by_name: dict[str, _DesiredUpstream],
) -> Iterator[_DesiredUpstream]:
    """Yield dependencies before dependents; `check_semantics` refuses cycles."""
    done: set[str] = set()
    pending = [(name, False) for name in sorted(desired_by_name, reverse=True)]
    while pending:
        name, dependencies_visited = pending.pop()
        if dependencies_visited and name not in done:
            done.add(name)
            yield desired_by_name[name]
        if dependencies_visited or name in done:
            continue
        pending.append((name, True))
        for dependency in desired_by_name[name].upstream.depends_on:
            if dependency in desired_by_name and dependency not in done:
                pending.append((dependency, False))


class _Planner:
    """Adds commands to a plan within the rollout and weight store limits."""

    __slots__ = ("_budget", "_commanded_ids", "_fencing_number", "_plan")

    def __init__(
        self, *, plan: Plan, fencing_number: int, budget: WeightBudget
    ) -> None:
        self._plan = plan
        self._fencing_number = fencing_number
        self._budget = budget
        self._commanded_ids: set[str] = set()

    def plan_loads(
        self,
        desired: _DesiredUpstream,
        free: list[Worker],
        missing: list[tuple[str, str]],
        regions: set[str],
    ) -> bool:
        """Plan the loads of one upstream; return whether it runs as configured."""
        failed = desired.failed_worker()
        if failed is not None:
            self._plan.blocked[desired.name] = (
                f"version {desired.upstream.version} failed on {failed.upstream_id}: "
                f"{failed.failure or 'no cause reported'}; apply another version"
            )
            return False
        missing_in_region = [zone_key for zone_key in missing if zone_key[0] in regions]
        outdated = [w for w in desired.workers if w.version != desired.upstream.version]
        loading = [w for w in desired.up_to_date() if w.state == "loading"]
        if not missing_in_region and not outdated and not loading:
            return True
        self._plan.blocked.setdefault(desired.name, "a rollout is under way")
        remaining_loads = self._max_loading(desired, missing_in_region) - len(loading)
        for zone_key in missing_in_region:
            if remaining_loads <= 0:
                return False
            worker = _claim_free_worker(free, desired.kind, zone_key)
            if worker is None:
                self._plan.blocked[desired.name] = f"no free worker in {zone_key[1]}"
                continue
            if not self._load(worker, desired, "a replica is missing"):
                return False
            remaining_loads -= 1
        # Missing replicas load first: an upgrade interrupts a serving replica.
        for worker in outdated:
            if remaining_loads <= 0 or worker.state == "loading":
                return False
            reason = f"version {worker.version} runs"
            if not self._load(worker, desired, reason):
                return False
            remaining_loads -= 1
        return False

    def _max_loading(
        self, desired: _DesiredUpstream, missing_in_region: list[tuple[str, str]]
    ) -> int:
        """Return how many workers may load at once: one until a worker serves."""
        if not any(worker.state == "serving" for worker in desired.up_to_date()):
            return 1
        return max(
            1, int(ROLLOUT_SHARE * (len(desired.workers) + len(missing_in_region)))
        )

    def _load(self, worker: Worker, desired: _DesiredUpstream, reason: str) -> bool:
        if not self._budget.try_reserve(desired.size_bytes):
            self._plan.blocked[desired.name] = "the weight store's rate limit"
            return False
        self._commanded_ids.add(worker.upstream_id)
        self._plan.commands.append(
            Command(
                upstream_id=worker.upstream_id,
                action="load",
                name=desired.name,
                version=desired.upstream.version,
                size_bytes=desired.size_bytes,
                fencing_number=self._fencing_number,
                checks_fencing=desired.upstream.checks_fencing,
                reason=reason,
            )
        )
        return True

    def plan_adapter_loads(
        self, configuration: Configuration, desired_by_name: dict[str, _DesiredUpstream]
    ) -> None:
        """Plan adapter loads on engines that serve the adapter's model."""
        for name, adapter in configuration.adapters.items():
            desired = desired_by_name[adapter.model]
            for worker in desired.up_to_date():
                if (
                    worker.state != "serving"
                    or worker.upstream_id in self._commanded_ids
                ):
                    continue
                if worker.adapters.get(name) == adapter.version:
                    continue
                if not self._budget.try_reserve(adapter.size_bytes):
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
                        checks_fencing=desired.upstream.checks_fencing,
                        reason="the adapter is missing or has another version",
                    )
                )

    def plan_role_removals(self, free: list[Worker]) -> None:
        """Clear the role of unneeded workers, once no change is blocked."""
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
                        reason="no configured replica uses this upstream",
                    )
                )


def _claim_free_worker(
    free: list[Worker], kind: Kind, zone_key: tuple[str, str]
) -> Worker | None:
    """Remove a worker of a zone from `free`, preferring one without a role."""
    candidates = [
        worker
        for worker in free
        if worker.kind == kind
        and (worker.region, worker.availability_zone) == zone_key
        and worker.state != "loading"
    ]
    if not candidates:
        return None
    chosen = min(candidates, key=lambda worker: (bool(worker.name), worker.upstream_id))
    free.remove(chosen)
    return chosen
