"""Routes, services and limits of one version of the configuration."""

from __future__ import annotations

import enum
from dataclasses import dataclass

# Callers abandon a stream after the longest of: this pause, this many times its
# latency target, this many times its pause target.
ABANDON_AFTER_S = 2.0
ABANDON_TARGETS = 4.0
ABANDON_PAUSES = 8.0


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes
    ----------
    services : tuple of (str, int)
        Services and their weights.
    attempts : int
        Most instances that one request may be sent to.
    priority : int
        Rank; 0 goes first.
    retains_conversation : bool
        Whether the system keeps the turns of a conversation.
    retention_s : float
        Seconds for which a turn is kept.
    resumable : bool
        Whether a stream may go on at another instance after its last event.
    target_event_gap_s : float
        Longest pause between events that is still on time; 0 if none is stated.
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

    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def abandon_after_gap_s(self) -> float:
        """Return the pause after which callers abandon a stream."""
        return max(
            ABANDON_AFTER_S,
            ABANDON_TARGETS * self.target_latency_s,
            ABANDON_PAUSES * self.target_event_gap_s,
        )


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineLimits:
    """Capacity of one instance of a service of model engines."""

    batch_slots: int
    cache_tokens: int
    tokens_per_event: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """A service that requests are routed to."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineLimits | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class ClientLimits:
    """Bounds on what a client may send and how long it may stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """One version of the routes.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : list of Route
        All routes.
    services : dict of str to Service
        Services by name.
    limits : ClientLimits
        Limits of client connections.
    """

    __slots__ = ("_by_host", "limits", "services", "version")

    def __init__(
        self,
        *,
        version: int,
        routes: list[Route],
        services: dict[str, Service],
        limits: ClientLimits,
    ) -> None:
        self.version = version
        self.services = services
        self.limits = limits
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix that begins `path`."""
        routes = self._by_host.get(host)
        if routes is None:
            return None
        # Prefixes end with a slash, so only the parents of the path are candidates.
        end = path.rfind("/")
        while end >= 0:
            found = routes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None
