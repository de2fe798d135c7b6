"""Decoding of the operators' configuration from the platform's metadata store."""

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


class _TrafficSplit(msgspec.Struct, rename="pascal"):
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
    traffic_split: list[_TrafficSplit] = []
    attempts: int = 1
    retain_conversation: bool = False
    retention_s: float = 0.0
    sticky_sessions: bool = False
    allow_resume: bool = False
    # A longer pause between two events of a stream counts as late.
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
        The content is not JSON, or a field is missing or has a wrong type or value.
    """
    try:
        configuration = msgspec.json.decode(content, type=_Configuration, strict=False)
        routes = [_route(route) for route in configuration.routes]
    except (msgspec.MsgspecError, ValueError) as error:
        raise ConfigurationError(
            f"the configuration in {CONFIGURATION_KEY} is invalid ({error}); "
            "write a corrected version"
        ) from error
    return RouteTable(
        version=configuration.version,
        routes=routes,
        services={
            service.name: _service(service) for service in configuration.services
        },
        limits=ClientLimits(
            max_header_bytes=configuration.limits.max_header_bytes,
            max_body_bytes=configuration.limits.max_body_bytes,
            header_timeout_s=configuration.limits.header_timeout_ms / 1000,
            idle_timeout_s=configuration.limits.idle_timeout_ms / 1000,
        ),
    )


def _route(route: _Route) -> Route:
    services = tuple((split.service, split.weight) for split in route.traffic_split)
    if route.service is not None:
        services = ((route.service, 1),)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=RouteKind(route.kind),
        services=services,
        timeout_s=route.timeout_ms / 1000,
        target_latency_s=route.target_latency_ms / 1000,
        attempts=max(1, route.attempts),
        priority=route.priority,
        sticky=route.sticky_sessions,
        retains_conversation=route.retain_conversation,
        retention_s=route.retention_s,
        resumable=route.allow_resume,
        target_event_gap_s=route.gap_aim_ms / 1000,
    )


def _service(service: _Service) -> Service:
    engine = None
    if service.engine is not None:
        engine = EngineLimits(
            batch_slots=service.engine.slots,
            cache_tokens=service.engine.kv_cache_tokens,
            tokens_per_event=service.engine.tokens_per_event,
        )
    return Service(
        name=service.name,
        health_path=service.health_check_path,
        max_connections=service.max_connections,
        engine=engine,
    )
