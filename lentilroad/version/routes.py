"""Routes, services and limits of one version of the configuration."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from lentilroad.version.customers import Customer, CustomerTable

# Callers abandon a stream after the longest of: this gap between events, this multiple
# of the latency target, this multiple of the target gap between events.
ABANDON_AFTER_S = 2.0
ABANDON_LATENCY_MULTIPLE = 4.0
ABANDON_EVENT_GAP_MULTIPLE = 8.0


class RouteKind(enum.Enum):
    """Kind of requests of a route, which decides whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """Settings for requests of one host and path prefix.

    Attributes
    ----------
    services : tuple of (str, int)
        Services and their weights.
    attempts : int
        Maximum number of instances that one request may be sent to.
    priority : int
        Scheduling priority; 0 is the highest.
    retains_conversation : bool
        Whether the storage members retain the turns of a conversation.
    retention_s : float
        Time for which a turn is retained.
    resumable : bool
        Whether a stream may resume at another instance after its last event.
    target_event_gap_s : float
        Target for the longest gap between events; 0 if none is configured.
    open_to_all : bool
        Whether requests need no key although the configuration has customers.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[tuple[str, int], ...]
    timeout_s: float
    target_latency_s: float
    attempts: int = 1
    priority: int = 0
    sticky: bool = False
    retains_conversation: bool = False
    retention_s: float = 0.0
    resumable: bool = False
    target_event_gap_s: float = 0.0
    open_to_all: bool = False

    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def abandon_after_gap_s(self) -> float:
        """Return the gap between events after which callers abandon a stream."""
        return max(
            ABANDON_AFTER_S,
            ABANDON_LATENCY_MULTIPLE * self.target_latency_s,
            ABANDON_EVENT_GAP_MULTIPLE * self.target_event_gap_s,
        )


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineLimits:
    """Capacity of one instance of a service of model engines."""

    batch_slots: int
    cache_tokens: int
    tokens_per_event: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """A service that receives requests."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineLimits | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class ClientLimits:
    """Size limits and timeouts of client connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


def request_priority(route: Route, customer: Customer | None) -> int:
    """Return the priority of a customer's requests to a route; 0 is the highest.

    The priority of a customer that has one replaces the route's.
    """
    if customer is None or customer.priority is None:
        return route.priority
    return customer.priority


class RouteTable:
    """Routes, services and client limits of one configuration version.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : list of Route
        Routes of all hosts.
    services : dict of str to Service
        Services by name.
    limits : ClientLimits
        Limits of client connections.
    customers : CustomerTable, optional
        Customers and their keys; None if requests need no key.
    """

    __slots__ = ("_by_host", "customers", "limits", "services", "version")

    def __init__(
        self,
        *,
        version: int,
        routes: list[Route],
        services: dict[str, Service],
        limits: ClientLimits,
        customers: CustomerTable | None = None,
    ) -> None:
        self.version = version
        self.customers = customers
        self.services = services
        self.limits = limits
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def callers_compete(self, service: str) -> bool:
        """Return whether customers compete for the engines of a service."""
        if self.customers is None:
            return False
        found = self.services.get(service)
        return found is not None and found.engine is not None

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix that begins `path`."""
        routes = self._by_host.get(host)
        if routes is None:
            return None
        # Prefixes end with a slash, so only prefixes that end at a slash can match.
        end = path.rfind("/")
        while end >= 0:
            found = routes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None
