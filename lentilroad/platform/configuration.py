"""Operators' configuration as the platform's store holds it."""

from __future__ import annotations

import msgspec

from lentilroad.errors import ConfigurationError
from lentilroad.version.routes import (
    ClientLimits,
    EngineLimits,
    Route,
    RouteKind,
    RouteTable,
    Service,
)

CONFIGURATION_KEY = "op/config"
RETIRE_PREFIX = "op/retire/"
RETIRE_STATUS_PREFIX = "status/retire/"


class _Split(msgspec.Struct, rename="pascal"):
    service: str
    weight: int = 1


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    prefix: str
    kind: str = "idempotent"
    timeout_ms: float = 30000
    target_latency_ms: float = 1000
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Split] = []
    attempts: int = 1
    retain_conversation: bool = False
    retention_s: float = 0.0
    sticky_sessions: bool = False
    allow_resume: bool = False
    # Longest pause between two events of a stream that is still on time.
    gap_aim_ms: float = 0.0


class _Engine(msgspec.Struct, rename="pascal"):
    slots: int = 1
    kv_cache_tokens: int = 0
    tokens_per_event: int = 1


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    health_check_path: str = "/health"
    max_connections: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Configuration(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_configuration(content: bytes) -> RouteTable:
    """Decode the operators' configuration.

    Raises
    ------
    ConfigurationError
        The content cannot be read.
    """
    try:
        read = msgspec.json.decode(content, type=_Configuration, strict=False)
        routes = [_route(route) for route in read.routes]
    except (msgspec.MsgspecError, ValueError) as error:
        raise ConfigurationError(
            f"{CONFIGURATION_KEY} cannot be read ({error}); write it again"
        ) from error
    return RouteTable(
        version=read.version,
        routes=routes,
        services={service.name: _service(service) for service in read.services},
        limits=ClientLimits(
            header_bytes=read.limits.max_header_bytes,
            body_bytes=read.limits.max_body_bytes,
            header_timeout_s=read.limits.header_timeout_ms / 1000,
            idle_timeout_s=read.limits.idle_timeout_ms / 1000,
        ),
    )


def _route(read: _Route) -> Route:
    services = tuple((split.service, split.weight) for split in read.traffic_split)
    if read.service is not None:
        services = ((read.service, 1),)
    return Route(
        name=read.name,
        host=read.host.lower(),
        prefix=read.prefix,
        kind=RouteKind(read.kind),
        services=services,
        timeout_s=read.timeout_ms / 1000,
        target_latency_s=read.target_latency_ms / 1000,
        attempts=max(1, read.attempts),
        priority=read.priority,
        sticky=read.sticky_sessions,
        keeps_conversation=read.retain_conversation,
        retention_s=read.retention_s,
        resumable=read.allow_resume,
        pause_target_s=read.gap_aim_ms / 1000,
    )


def _service(read: _Service) -> Service:
    engine = None
    if read.engine is not None:
        engine = EngineLimits(
            batch_slots=read.engine.slots,
            cache_tokens=read.engine.kv_cache_tokens,
            tokens_per_event=read.engine.tokens_per_event,
        )
    return Service(
        name=read.name,
        health_path=read.health_check_path,
        most_connections=read.max_connections,
        engine=engine,
    )
