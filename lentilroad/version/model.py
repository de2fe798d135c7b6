"""Typed form of the operators' configuration."""

from __future__ import annotations

from typing import Literal

import msgspec


class _Value(msgspec.Struct, kw_only=True, frozen=True):
    """Base class of all immutable configuration values."""


class Zone(_Value):
    """Workers of one availability zone."""

    engine_workers: int = 0
    service_workers: int = 0


class Region(_Value):
    """Availability zones of one region."""

    availability_zones: dict[str, Zone]


class Operation(_Value):
    """One operation of a service."""

    repeatable: bool
    price_micro: int = 0
    timeout_s: float = 30.0


class Service(_Value):
    """A service; `replicas` maps region to availability zone to replica count."""

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
    """An adapter that engines load in addition to its model."""

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
    """Default budget of a program; None means unlimited."""

    tokens: int | None = None
    money_micro: int | None = None
    turns: int | None = None


class CallerLimits(_Value):
    """Limits of one caller."""

    concurrent_programs: int | None = None
    concurrent_calls: int | None = None
    requests_per_s: float | None = None


class Caller(_Value):
    """A customer; API keys are stored only as SHA-256 digests."""

    key_sha256: list[str]
    models: list[str] | None = None
    services: list[str] | None = None
    share: float = 1.0
    limits: CallerLimits = CallerLimits()
    budget: ProgramBudget | None = None


class Latency(_Value):
    """One-way latencies assumed for placement."""

    between_zones_ms: float = 1.0
    between_regions_ms: float = 12.0
    to_clients_ms: float = 3.0


class Weights(_Value):
    """Weights of the scheduler's objectives."""

    program_latency: float = 1.0
    wasted_cache: float = 1.0
    late_turns: float = 0.0


class General(_Value):
    """Values that apply to the whole deployment."""

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
        """Return the name of the caller whose key has this hash, or None."""
        for name, caller in self.callers.items():
            if key_sha256 in caller.key_sha256:
                return name
        return None


class Head(msgspec.Struct, kw_only=True, frozen=True):
    """Head of one version: its metadata and the digests of its parts."""

    version: int
    parent: int
    author: str
    time_s: float
    write_id: str
    parts: list[str]
    # Digests of the operator's text, which is stored but not distributed.
    text_parts: list[str] = []
    # Version whose content was restored by a rollback.
    restored: int | None = None
    changes: list[str] = []
    action: Literal["apply", "rollback"] = "apply"


class ConfigurationVersion(msgspec.Struct, kw_only=True, frozen=True):
    """A version in force; a request uses the object it started with to its end."""

    head: Head
    configuration: Configuration

    @property
    def version(self) -> int:
        """Number of the version."""
        return self.head.version


class DistributionStatus(msgspec.Struct, kw_only=True):
    """Configuration status that a process reports."""

    version: int
    wanted_version: int
    highest_version: int
    write_id: str
    author: str
    applied_time_s: float
    in_force_time_s: float
    watcher: bool
    last_error: str
