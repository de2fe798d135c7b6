"""Typed form of the operators' configuration."""

from __future__ import annotations

from typing import Literal

import msgspec


class _Value(msgspec.Struct, kw_only=True, frozen=True):
    """Base of all configuration values; they are never changed."""


class Zone(_Value):
    """Workers of one availability zone."""

    engine_workers: int = 0
    service_workers: int = 0


class Region(_Value):
    """One region with its availability zones."""

    availability_zones: dict[str, Zone]


class Operation(_Value):
    """One operation of a service."""

    repeatable: bool
    price_micro: int = 0
    timeout_s: float = 30.0


class Service(_Value):
    """A plain service; `replicas` is region to availability zone to count."""

    version: str
    operations: dict[str, Operation]
    depends_on: list[str] = []
    replicas: dict[str, dict[str, int]] = {}
    calls_per_replica: int = 16
    checks_fencing: bool = False


class Model(_Value):
    """A model that engines serve."""

    version: str
    context_tokens: int
    depends_on: list[str] = []
    replicas: dict[str, dict[str, int]] = {}
    calls_per_replica: int = 16
    checks_fencing: bool = False
    prompt_price_micro_per_1k_tokens: int = 0
    completion_price_micro_per_1k_tokens: int = 0
    size_bytes: int = 0


class Adapter(_Value):
    """An adapter that is loaded beside a model."""

    model: str
    version: str
    size_bytes: int = 0


class Limits(_Value):
    """Limits of the whole deployment."""

    concurrent_programs: int = 10_000
    concurrent_calls: int | None = None
    requests_per_s: float = 1_000.0
    max_tokens_per_turn: int = 4_096
    program_idle_s: float = 900.0
    program_duration_s: float = 86_400.0
    weight_store_bytes_per_s: int = 1_000_000_000


class ProgramBudget(_Value):
    """Budget of a program that names none; None means unlimited."""

    tokens: int | None = None
    money_micro: int | None = None
    turns: int | None = None


class CallerLimits(_Value):
    """Limits of one caller."""

    concurrent_programs: int | None = None
    concurrent_calls: int | None = None
    requests_per_s: float | None = None


class Caller(_Value):
    """A customer; keys are stored as SHA-256 only."""

    key_sha256: list[str]
    models: list[str] | None = None
    services: list[str] | None = None
    share: float = 1.0
    limits: CallerLimits = CallerLimits()
    budget: ProgramBudget | None = None


class Latency(_Value):
    """One-way latencies that placement assumes."""

    between_zones_ms: float = 1.0
    between_regions_ms: float = 12.0
    to_clients_ms: float = 3.0


class Weights(_Value):
    """Weights of the scheduler's goals."""

    program_latency: float = 1.0
    wasted_cache: float = 1.0
    late_turns: float = 0.0


class General(_Value):
    """Values that belong to the deployment as a whole."""

    deployment: str
    latency: Latency = Latency()
    weights: Weights = Weights()
    limits: Limits = Limits()
    budget: ProgramBudget = ProgramBudget()


class Configuration(_Value):
    """The whole operators' configuration."""

    general: General
    regions: dict[str, Region]
    models: dict[str, Model] = {}
    adapters: dict[str, Adapter] = {}
    services: dict[str, Service] = {}
    callers: dict[str, Caller] = {}

    def operation(self, service: str, operation: str) -> Operation | None:
        """Return an operation, or None when it does not exist."""
        found = self.services.get(service)
        return found.operations.get(operation) if found else None

    def caller_of_key(self, key_sha256: str) -> str | None:
        """Return the caller to whom a key hash belongs."""
        for name, caller in self.callers.items():
            if key_sha256 in caller.key_sha256:
                return name
        return None


class Head(msgspec.Struct, kw_only=True, frozen=True):
    """Head of one version; it names the parts that make up its content."""

    version: int
    parent: int
    author: str
    time_s: float
    write_id: str
    parts: list[str]
    # The operator's text; only operators read it, it is not distributed.
    text_parts: list[str] = []
    # Version whose content a rollback restored.
    restored: int | None = None
    changes: list[str] = []
    action: Literal["apply", "rollback"] = "apply"


class ConfigurationVersion(msgspec.Struct, kw_only=True, frozen=True):
    """One version in force; a request keeps the object it started with."""

    head: Head
    configuration: Configuration

    @property
    def version(self) -> int:
        """Number of the version."""
        return self.head.version


class DistributionStatus(msgspec.Struct, kw_only=True):
    """What a process reports about its configuration."""

    version: int
    wanted_version: int
    highest_version: int
    write_id: str
    author: str
    applied_time_s: float
    in_force_time_s: float
    watcher: bool
    last_error: str
