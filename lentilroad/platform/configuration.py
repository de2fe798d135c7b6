"""Decoding of the operators' configuration from the platform's metadata store."""

from __future__ import annotations

from typing import Annotated

import msgspec

from lentilroad.errors import ConfigurationError
from lentilroad.platform.customers import decode_customers
from lentilroad.version.routes import (
    ClientLimits,
    EngineLimits,
    Route,
    RouteKind,
    RouteTable,
    Service,
)
from lentilroad.wire.untrusted import Revision, UnreadableError, decode_json

CONFIGURATION_KEY = "op/config"
RETIRE_PREFIX = "op/retire/"
RETIRE_STATUS_PREFIX = "status/retire/"
MAX_COUNT = 10**12
MAX_TIME_MS = 10**10

# Larger numbers would overflow in later calculations.
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
_Rank = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]


class _TrafficSplit(msgspec.Struct, rename="pascal"):
    service: str
    weight: _Count = 1


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    prefix: str
    kind: str = "idempotent"
    timeout_ms: _Milliseconds = 30000
    target_latency_ms: _Milliseconds = 1000
    priority: _Rank = 0
    service: str | None = None
    traffic_split: list[_TrafficSplit] = []
    attempts: _Count = 1
    retain_conversation: bool = False
    retention_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME_MS)] = 0.0
    sticky_sessions: bool = False
    allow_resume: bool = False
    # A longer pause between two events of a stream counts as late.
    gap_aim_ms: _Milliseconds = 0.0
    allow_anonymous: bool = False


class _Engine(msgspec.Struct, rename="pascal"):
    slots: _Count = 1
    kv_cache_tokens: _Count = 0
    tokens_per_event: _Count = 1


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    health_check_path: str = "/health"
    max_connections: _Count = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: _Count = 16384
    max_body_bytes: _Count = 4194304
    header_timeout_ms: _Milliseconds = 3000
    idle_timeout_ms: _Milliseconds = 15000


class _Configuration(msgspec.Struct, rename="pascal"):
    version: Revision
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[msgspec.Raw] | None = None


def decode_configuration(content: bytes) -> RouteTable:
    """Decode the operators' configuration.

    Raises
    ------
    ConfigurationError
        The content is not JSON, or a field is missing or has a wrong type or value, or
        a number is out of range.
    """
    try:
        configuration = decode_json(content, _Configuration, strict=False)
        routes = [_route(route) for route in configuration.routes]
    except (UnreadableError, ValueError) as error:
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
        customers=decode_customers(configuration.tenants, configuration.version),
    )


def _route(route: _Route) -> Route:
    services = tuple((split.service, split.weight) for split in route.traffic_split)
    if route.service is not None:
        services = ((route.service, 1),)
    elif services and not any(weight for _, weight in services):
        raise ValueError(f"all services of route {route.name} have weight 0")
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
        open_to_all=route.allow_anonymous,
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
