"""What an entry knows about the agent programs that its requests belong to."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from lentilroad.clock import Clock
from lentilroad.request.inbound import InboundRequest
from lentilroad.version.routes import Route, RouteKind

# Priority of the customer, then of the route; the lowest is the most urgent.
Priority = tuple[int, int]

# Programs that an entry remembers, and for how long after their last request. Programs
# end within seconds; the bound keeps the smallest entries within their memory.
PROGRAMS_MAX = 4096
PROGRAM_LIFETIME_S = 120.0
# A count of prompts loses half of its weight in this time, so that a changed prompt
# format is learned within minutes.
COUNT_HALF_LIFE_S = 30.0
COUNT_SCALE_MAX = 1e6
# Prompts shorter than these few are taken for exceptions of their route. Deployments
# with sub-agents have one first turn among thirty.
SHORTEST_SHARE = 0.01
PROMPT_PARTS_MAX = 64
FINISH_EWMA_WEIGHT = 0.1
# Part of the stated finish time that a program needs on idle instances. Callers state
# 1.2 to 2.1 times the idle time, and the lower bound is the one that binds.
WORK_SHARE = 0.8
# Callers state the time that is left. Where the deadlines of a route's turns are alike,
# one that is shorter by more than this is that of a caller who was refused before.
WAITED_MIN_S = 0.06
# Share of the turns that may have a shorter deadline: those that returned.
UNALIKE_SHARE = 0.1
# Recent turns whose deadlines are compared.
DEADLINES_MAX = 31
DEADLINES_MIN = 8


@dataclass(slots=True, kw_only=True, frozen=True)
class ProgramState:
    """State of a request's program at the arrival of the request.

    Attributes
    ----------
    under_way : bool
        Whether the program has already run a request.
    finish_s : float or None
        Seconds until the program should be finished; None if not stated.
    finish_total_s : float
        Time that programs of the route have in total.
    remaining_work_s : float
        Time that the program still needs if none of its requests waits.
    returning : bool
        Whether a first request of the program was refused before, here or at another
        entry.
    """

    under_way: bool
    finish_s: float | None
    finish_total_s: float
    remaining_work_s: float
    returning: bool = False

    def slack_s(self) -> float:
        """Return how long the program can wait and still end in time."""
        if self.finish_s is None:
            return float("inf")
        return self.finish_s - self.remaining_work_s

    def is_too_late(self) -> bool:
        """Return whether the program cannot end within twice its finish time."""
        return self.slack_s() + self.finish_total_s < 0.0


@dataclass(slots=True, kw_only=True)
class _RouteTurns:
    """Turns of one route by the number of their prompt parts, with decaying weights."""

    service: str
    counts: list[float] = field(default_factory=lambda: [0.0] * PROMPT_PARTS_MAX)
    total: float = 0.0
    finish_total_s: float = 0.0
    deadlines_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=DEADLINES_MAX)
    )


@dataclass(slots=True, kw_only=True)
class _Program:
    seen_s: float
    finish_total_s: float
    under_way: bool


class ProgramTracker:
    """Tells programs under way from new ones, and estimates what they still need.

    A program's turns arrive at several entries, so a program is also recognized by its
    prompt: that of a later turn or of a sub-agent contains what precedes it, so it has
    more parts than the shortest prompts of its route.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_priorities",
        "_programs",
        "_routes",
        "_scale",
        "_scaled_s",
    )

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._programs: OrderedDict[str, _Program] = OrderedDict()
        self._routes: dict[str, _RouteTurns] = {}
        # Turns by service and priority.
        self._priorities: dict[tuple[str, Priority], float] = {}
        # Weight of a turn that arrives now; it grows instead of decaying all counts.
        self._scale = 1.0
        self._scaled_s = clock.monotonic_s()

    def state_of(self, inbound: InboundRequest, route: Route) -> ProgramState:
        """Return the state of a request's program."""
        is_turn = route.kind is RouteKind.STREAMING
        turns = self._routes.get(route.name)
        known = self._find(_program_key(inbound))
        under_way = (
            not is_turn
            or bool(inbound.previous_turn_id)
            or (known is not None and known.under_way)
            or self._is_continuation(inbound, turns)
        )
        waited_s = 0.0 if under_way else _waited_s(inbound, turns)
        finish_total_s = _finish_total_s(inbound, turns, known, under_way) + waited_s
        remaining_work_s = 0.0
        if is_turn:
            remaining_work_s = WORK_SHARE * finish_total_s
            if under_way and turns is not None:
                remaining_work_s *= _remaining_share(
                    turns, len(inbound.prompt_parts), self._shortest(turns)
                )
        return ProgramState(
            under_way=under_way,
            finish_s=inbound.finish_s,
            finish_total_s=finish_total_s,
            remaining_work_s=remaining_work_s,
            returning=not under_way and (known is not None or waited_s > 0.0),
        )

    def accepted(
        self,
        inbound: InboundRequest,
        route: Route,
        service: str,
        state: ProgramState,
        priority: Priority,
    ) -> None:
        """Record that a request was accepted, so that its program is under way."""
        self._remember(inbound, state, under_way=True)
        if route.kind is not RouteKind.STREAMING:
            return
        turns = self._routes.setdefault(route.name, _RouteTurns(service=service))
        if inbound.deadline_s is not None:
            turns.deadlines_s.append(inbound.deadline_s)
        weight = self._weight()
        turns.counts[min(len(inbound.prompt_parts), PROMPT_PARTS_MAX - 1)] += weight
        turns.total += weight
        key = service, priority
        self._priorities[key] = self._priorities.get(key, 0.0) + weight
        if state.under_way or state.returning or inbound.finish_s is None:
            return
        if turns.finish_total_s == 0.0:
            turns.finish_total_s = inbound.finish_s
        change_s = inbound.finish_s - turns.finish_total_s
        turns.finish_total_s += FINISH_EWMA_WEIGHT * change_s

    def refused(self, inbound: InboundRequest, state: ProgramState) -> None:
        """Record that the first request of a program was refused."""
        self._remember(inbound, state, under_way=False)

    def turns_per_program(self, service: str) -> float:
        """Return the mean number of turns, sub-agents included, of a program.

        Programs of all routes to the service count by how often they start.
        """
        total = first = 0.0
        for turns in self._routes.values():
            if turns.service != service:
                continue
            total += turns.total
            first += turns.counts[self._shortest(turns)]
        return total / first if first > 0.0 else 1.0

    def urgent_share(self, service: str, priority: Priority) -> float:
        """Return the share of a service's turns that are as urgent, or more so."""
        total = urgent = 0.0
        for (name, other_priority), weight in self._priorities.items():
            if name != service:
                continue
            total += weight
            if other_priority <= priority:
                urgent += weight
        return urgent / total if total > 0.0 else 1.0

    def _remember(
        self, inbound: InboundRequest, state: ProgramState, *, under_way: bool
    ) -> None:
        key = _program_key(inbound)
        if key is None:
            return
        known = self._programs.get(key)
        self._programs[key] = _Program(
            seen_s=self._clock.monotonic_s(),
            finish_total_s=state.finish_total_s,
            under_way=under_way or (known is not None and known.under_way),
        )
        self._programs.move_to_end(key)
        if len(self._programs) > PROGRAMS_MAX:
            self._programs.popitem(last=False)

    def _find(self, key: tuple[str, str] | None) -> _Program | None:
        if key is None:
            return None
        found = self._programs.get(key)
        if found is None:
            return None
        if self._clock.monotonic_s() - found.seen_s > PROGRAM_LIFETIME_S:
            del self._programs[key]
            return None
        return found

    def _is_continuation(
        self, inbound: InboundRequest, turns: _RouteTurns | None
    ) -> bool:
        if turns is None:
            return False
        return len(inbound.prompt_parts) > self._shortest(turns)

    def _shortest(self, turns: _RouteTurns) -> int:
        """Return the smallest number of prompt parts that is usual on a route."""
        for parts, count in enumerate(turns.counts):
            if count > SHORTEST_SHARE * turns.total:
                return parts
        return 0

    def _weight(self) -> float:
        now_s = self._clock.monotonic_s()
        self._scale *= 2.0 ** ((now_s - self._scaled_s) / COUNT_HALF_LIFE_S)
        self._scaled_s = now_s
        if self._scale > COUNT_SCALE_MAX:
            for turns in self._routes.values():
                turns.counts = [count / self._scale for count in turns.counts]
                turns.total /= self._scale
            for key in self._priorities:
                self._priorities[key] /= self._scale
            self._scale = 1.0
        return self._scale


def _program_key(inbound: InboundRequest) -> tuple[str, str] | None:
    """Return the key of a request's program; customers may choose the same ids."""
    if not inbound.program_id:
        return None
    customer = inbound.customer.name if inbound.customer is not None else ""
    return customer, inbound.program_id


def _finish_total_s(
    inbound: InboundRequest,
    turns: _RouteTurns | None,
    known: _Program | None,
    under_way: bool,
) -> float:
    if known is not None and known.finish_total_s > 0.0:
        return known.finish_total_s
    if not under_way and inbound.finish_s is not None:
        return inbound.finish_s
    return turns.finish_total_s if turns is not None else 0.0


def _waited_s(inbound: InboundRequest, turns: _RouteTurns | None) -> float:
    """Return how long a caller tried before, judged by the deadline that it states."""
    if turns is None or inbound.deadline_s is None:
        return 0.0
    if len(turns.deadlines_s) < DEADLINES_MIN:
        return 0.0
    deadlines_s = sorted(turns.deadlines_s)
    usual_s = deadlines_s[len(deadlines_s) // 2]
    # Callers of some routes give up at times of their own.
    if usual_s - deadlines_s[int(UNALIKE_SHARE * len(deadlines_s))] > WAITED_MIN_S:
        return 0.0
    waited_s = usual_s - inbound.deadline_s
    return waited_s if waited_s > WAITED_MIN_S else 0.0


def _remaining_share(turns: _RouteTurns, parts: int, shortest: int) -> float:
    """Return which share of a program's turns is expected to remain.

    In a steady state, the turns with more parts than a given one, divided by those
    with as many, are the turns that follow it.
    """
    parts = min(parts, PROMPT_PARTS_MAX - 1)
    if parts <= shortest or turns.counts[shortest] <= 0.0:
        return 1.0
    first = turns.total / turns.counts[shortest]
    if turns.counts[parts] <= 0.0:
        return min(1.0, 1.0 / first)
    return min(1.0, sum(turns.counts[parts:]) / turns.counts[parts] / first)
