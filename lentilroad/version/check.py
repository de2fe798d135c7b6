"""Semantic checks of the operators' configuration, beyond its schema."""

from __future__ import annotations

import difflib
from collections import Counter
from collections.abc import Iterable, Iterator

from lentilroad.version.const import TEXT_MAX_BYTES, VALUE_MAX_BYTES
from lentilroad.version.model import Caller, Configuration, Model, Service
from lentilroad.yaml_source import Problem, Source, format_key_path

MAX_CYCLE_NAMES_SHOWN = 8
Upstreams = dict[str, tuple[str, Model | Service]]


def check_size(text: str, *, file: str) -> list[Problem]:
    """Refuse text that cannot be stored in values of the key-value service."""
    problems = []
    for line_no, line in enumerate(text.splitlines(), start=1):
        size_bytes = len(line.encode())
        if size_bytes > VALUE_MAX_BYTES:
            problems.append(
                Problem(
                    file=file,
                    line=line_no,
                    key_path=line.split(":", 1)[0].strip()[:64],
                    found=f"a value of {size_bytes} bytes",
                    expected=f"at most {VALUE_MAX_BYTES} bytes in one value",
                    remedy="split the value, or store the data elsewhere",
                )
            )
    total_bytes = len(text.encode())
    if total_bytes > TEXT_MAX_BYTES:
        problems.append(
            Problem(
                file=file,
                line=0,
                key_path="",
                found=f"{total_bytes} bytes",
                expected=f"at most {TEXT_MAX_BYTES} bytes in the whole document",
                remedy="remove entries that no region uses",
            )
        )
    return problems


def check_semantics(source: Source, configuration: Configuration) -> list[Problem]:
    """Return all inconsistencies of a configuration that matches its schema."""
    upstreams = _upstreams(configuration)
    problems = list(_check_ambiguous_names(source, configuration))
    problems += _check_dependencies(source, upstreams)
    problems += _check_cycles(source, upstreams)
    problems += _check_placements(source, configuration, upstreams)
    problems += _check_adapters(source, configuration)
    problems += _check_callers(source, configuration)
    problems += _check_limits(source, configuration, upstreams)
    return problems


def _upstreams(configuration: Configuration) -> Upstreams:
    found: Upstreams = {n: ("models", m) for n, m in configuration.models.items()}
    found.update({n: ("services", s) for n, s in configuration.services.items()})
    return found


def _suggest(name: str, options: Iterable[str]) -> str:
    matches = difflib.get_close_matches(name, list(options), n=1)
    return (
        f"did you mean {matches[0]}?"
        if matches
        else "define it or remove this reference"
    )


def _check_ambiguous_names(
    source: Source, configuration: Configuration
) -> Iterator[Problem]:
    for name in configuration.models.keys() & configuration.services.keys():
        yield source.problem(
            ("services", name),
            "the name of a model",
            "different names for models and services",
            "rename the service",
        )


def _check_dependencies(source: Source, upstreams: Upstreams) -> Iterator[Problem]:
    for name, (section, upstream) in upstreams.items():
        for index, dependency in enumerate(upstream.depends_on):
            path = (section, name, "depends_on", index)
            if dependency not in upstreams:
                yield source.problem(
                    path,
                    f"{dependency!r}",
                    "a service or model of this configuration",
                    _suggest(dependency, upstreams),
                )
                continue
            if upstream.replicas and not _replica_count(upstreams[dependency][1]):
                yield source.problem(
                    path,
                    f"{dependency!r} without replicas",
                    "a dependency with at least one replica",
                    f"place {dependency} in a region or remove the dependency",
                )


def _replica_count(upstream: Model | Service) -> int:
    return sum(sum(zones.values()) for zones in upstream.replicas.values())


def _check_cycles(source: Source, upstreams: Upstreams) -> Iterator[Problem]:
    finished: set[str] = set()
    for start in upstreams:
        cycle = _find_cycle(start, upstreams, finished)
        if cycle:
            section = upstreams[cycle[0]][0]
            yield source.problem(
                (section, cycle[0], "depends_on"),
                "the cycle " + _show_cycle(cycle),
                "dependencies without a cycle",
                "remove one of these dependencies",
            )


def _show_cycle(cycle: list[str]) -> str:
    shown = cycle[:MAX_CYCLE_NAMES_SHOWN]
    rest = ["..."] if len(cycle) > len(shown) else []
    return " -> ".join([*shown, *rest, cycle[0]])


def _find_cycle(
    start: str, upstreams: Upstreams, finished: set[str]
) -> list[str] | None:
    path: list[str] = []
    pending = [(start, False)]
    while pending:
        name, dependencies_visited = pending.pop()
        if dependencies_visited:
            path.pop()
            finished.add(name)
            continue
        if name in finished or name not in upstreams:
            continue
        path.append(name)
        pending.append((name, True))
        for dependency in upstreams[name][1].depends_on:
            if dependency in path:
                cycle = path[path.index(dependency) :]
                finished.update(path)
                return cycle
            pending.append((dependency, False))
    return None


def _check_placements(
    source: Source, configuration: Configuration, upstreams: Upstreams
) -> Iterator[Problem]:
    placed: Counter[tuple[str, str, str]] = Counter()
    for name, (section, upstream) in upstreams.items():
        for region, zones in upstream.replicas.items():
            path = (section, name, "replicas", region)
            if region not in configuration.regions:
                yield source.problem(
                    path,
                    "an unknown region",
                    "one of " + ", ".join(configuration.regions),
                    _suggest(region, configuration.regions),
                )
                continue
            known = configuration.regions[region].availability_zones
            for zone, count in zones.items():
                if zone not in known:
                    yield source.problem(
                        (*path, zone),
                        "an unknown availability zone",
                        f"one of {region}'s: " + ", ".join(known),
                        _suggest(zone, known),
                    )
                    continue
                placed[section, region, zone] += count
    yield from _check_worker_counts(source, configuration, placed)


def _check_worker_counts(
    source: Source,
    configuration: Configuration,
    placed: Counter[tuple[str, str, str]],
) -> Iterator[Problem]:
    for (section, region, zone), replicas in sorted(placed.items()):
        zone_value = configuration.regions[region].availability_zones[zone]
        key = "engine_workers" if section == "models" else "service_workers"
        workers = getattr(zone_value, key)
        if replicas > workers:
            yield source.problem(
                ("regions", region, "availability_zones", zone, key),
                f"{workers} workers for {replicas} replicas of {section}",
                "at least as many workers as replicas",
                f"lower the replicas in {zone} or raise {key}",
            )


def _check_adapters(source: Source, configuration: Configuration) -> Iterator[Problem]:
    for name, adapter in configuration.adapters.items():
        if adapter.model not in configuration.models:
            yield source.problem(
                ("adapters", name, "model"),
                f"{adapter.model!r}",
                "a model of this configuration",
                _suggest(adapter.model, configuration.models),
            )


def _check_callers(source: Source, configuration: Configuration) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    for name, caller in configuration.callers.items():
        for index, digest in enumerate(caller.key_sha256):
            owner = owners.setdefault(digest, name)
            if owner != name:
                yield source.problem(
                    ("callers", name, "key_sha256", index),
                    f"the key of caller {owner}",
                    "a unique key for each caller",
                    "issue a new key",
                )
        yield from _check_allowed_names(source, configuration, name, caller)


def _check_allowed_names(
    source: Source, configuration: Configuration, name: str, caller: Caller
) -> Iterator[Problem]:
    models = configuration.models.keys() | configuration.adapters.keys()
    pairs = (("models", caller.models, models), ("services", caller.services, None))
    for key, allowed, known in pairs:
        options = known if known is not None else configuration.services.keys()
        for index, allowed_name in enumerate(allowed or []):
            if allowed_name not in options:
                yield source.problem(
                    ("callers", name, key, index),
                    f"{allowed_name!r}",
                    f"one of the {key} of this configuration",
                    _suggest(allowed_name, options),
                )


def _check_limits(
    source: Source, configuration: Configuration, upstreams: Upstreams
) -> Iterator[Problem]:
    limits = configuration.general.limits
    capacity = sum(
        _replica_count(upstream) * upstream.calls_per_replica
        for _, upstream in upstreams.values()
    )
    ceilings = {
        "concurrent_calls": min(limits.concurrent_calls or capacity, capacity),
        "concurrent_programs": limits.concurrent_programs,
        "requests_per_s": limits.requests_per_s,
    }
    yield from _check_ceiling(
        source, ("limits", "concurrent_calls"), limits.concurrent_calls, capacity
    )
    max_context_tokens = max(
        (m.context_tokens for m in configuration.models.values()), default=0
    )
    if max_context_tokens and limits.max_tokens_per_turn > max_context_tokens:
        yield from _check_ceiling(
            source,
            ("limits", "max_tokens_per_turn"),
            limits.max_tokens_per_turn,
            max_context_tokens,
        )
    for name, caller in configuration.callers.items():
        for key, ceiling in ceilings.items():
            path = ("callers", name, "limits", key)
            yield from _check_ceiling(
                source, path, getattr(caller.limits, key), ceiling
            )


def _check_ceiling(
    source: Source,
    path: tuple[str, ...],
    value: float | None,
    ceiling: float,
) -> Iterator[Problem]:
    if value is None or value <= ceiling:
        return
    yield source.problem(
        path,
        f"{value:g}",
        f"at most {ceiling:g}, the capacity of the deployment",
        f"lower {format_key_path(path)} or add capacity",
    )
