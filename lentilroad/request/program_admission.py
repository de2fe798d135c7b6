"""Admission of new programs when a service is short of slots at all entries together.

Only the first request of a program is refused here. Each entry decides on its own from
the same view of the service's load, which is some 100 to 200 ms old. It refuses a share
of the new programs that grows with the load, so that the entries together neither admit
nor refuse all programs of one view.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lentilroad.clock import Clock
from lentilroad.errors import OverloadedError
from lentilroad.request.customer_shares import CustomerShares
from lentilroad.request.program_tracker import Priority, ProgramState
from lentilroad.request.service_load import ServiceLoad

# A view that is older says nothing about the load of now; entries then admit all.
VIEW_MAX_AGE_S = 1.0
# Admissions of this long before the view arrived are not yet part of it.
VIEW_DELAY_S = 0.1
# Requests sent and waiting, as a share of the slots, at which the first and all new
# programs are refused. A program under way leaves its slot between turns and needs it
# again, so new programs must not take the last slots. At the upper bound, a fifth of
# the slots waits, which is a fraction of the time of one turn.
LOAD_REFUSE_FIRST = 0.95
LOAD_REFUSE_ALL = 1.2
# Share of a program's slack that it may use up before its first request starts.
SLACK_SHARE = 0.7
# New programs of all kinds accept the same longest wait, so that none is served less.
WAIT_MAX_S = 0.35
# Urgent programs may use this share of the slots while less urgent ones ask for some,
# so that the less urgent kinds are not starved.
URGENT_SLOTS_SHARE = 0.8
# A shortage counts as over once no program was refused for this long. Slots that are
# free for a moment during a burst belong to programs that can still end in time.
SHORTAGE_HOLD_S = 1.0
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 0.3
# Part of the capacity for new programs that is planned for those that return.
RETURN_SHARE = 0.5
RETRY_AFTER_SPREAD = 0.2

LoadOf = Callable[[str], ServiceLoad | None]


@dataclass(slots=True, kw_only=True, frozen=True)
class Admission:
    """Decision on the first request of a program.

    Attributes
    ----------
    reason : str
        ``""`` if admitted, else ``slots``, ``wait``, ``share`` or ``returning``.
    retry_after_s : float
        Time after which a refused program should return.
    usage : float
        Requests in flight and waiting at all entries, per slot of the service.
    refused_share : float
        Share of the new programs that was refused at this load, from 0 to 1.
    """

    reason: str = ""
    retry_after_s: float = 0.0
    usage: float = 0.0
    refused_share: float = 0.0

    def error(self, service: str) -> OverloadedError:
        """Return the error of a refused program."""
        return OverloadedError(
            f"the programs under way need all slots of {service}; start the program "
            "again after the given time",
            retry_after_ms=int(1000 * self.retry_after_s),
        )


ADMITTED = Admission()


class _Decisions:
    """What this entry decided lately for a service and a priority."""

    __slots__ = ("admitted_s", "return_at_s", "shares", "short_until_s")

    def __init__(self, *, shares: CustomerShares) -> None:
        self.admitted_s: deque[float] = deque()
        self.return_at_s = 0.0
        self.short_until_s = float("-inf")
        self.shares = shares


class ProgramAdmission:
    """Decides which new programs start.

    Parameters
    ----------
    load : callable
        Returns the `ServiceLoad` of a service, or None if there is no shared view.
    clock : Clock
        Source of time.
    random_share : callable
        Returns a random number from 0 to 1.
    """

    __slots__ = ("_clock", "_decisions", "_load", "_random_share")

    def __init__(
        self,
        *,
        load: LoadOf,
        clock: Clock,
        random_share: Callable[[], float] = random.random,
    ) -> None:
        self._load = load
        self._clock = clock
        self._random_share = random_share
        self._decisions: dict[tuple[str, Priority], _Decisions] = {}

    def current_load(self, service: str) -> ServiceLoad | None:
        """Return the view of a service, or None if there is none or it is too old."""
        load = self._load(service)
        if load is None or load.slots <= 0:
            return None
        age_s = self._clock.monotonic_s() - load.measured_at_s
        return load if age_s <= VIEW_MAX_AGE_S else None

    def decide(
        self,
        *,
        service: str,
        state: ProgramState,
        customer: str,
        weight: float | None,
        priority: Priority,
        urgent_share: float,
        turns_per_program: float,
    ) -> Admission:
        """Decide on the first request of a program.

        Parameters
        ----------
        service : str
            Service of the request.
        state : ProgramState
            State of the program.
        customer : str
            Name of the customer.
        weight : float or None
            What the customer is entitled to, relative to others; None if not stated.
        priority : tuple of (int, int)
            Priority of the request; the lowest is the most urgent.
        urgent_share : float
            Share of the service's turns that are as urgent, or more so.
        turns_per_program : float
            Mean number of turns of a program of the service.
        """
        load = self.current_load(service)
        if load is None:
            return ADMITTED
        now_s = self._clock.monotonic_s()
        mine = self._decisions.get((service, priority))
        if mine is None:
            mine = _Decisions(shares=CustomerShares(clock=self._clock))
            self._decisions[service, priority] = mine
        mine.shares.arrived(customer, weight)
        pending = _pending_admissions(mine.admitted_s, load)
        reason, share = _refused_share(
            load, pending, state, turns_per_program, urgent_share
        )
        if share > 0.0:
            mine.short_until_s = now_s + SHORTAGE_HOLD_S
            own_share = mine.shares.refused_share(customer, share)
            if own_share > share:
                reason = "share"
            refused = self._random_share() < own_share
        else:
            refused = False
        # A program that was refused before has used up the time that it could wait.
        if state.returning and now_s < mine.short_until_s:
            refused, reason = True, "returning"
        if not refused:
            mine.admitted_s.append(now_s)
            return ADMITTED
        rate_per_s = load.completed_per_s / max(1.0, turns_per_program)
        rate_per_s *= RETURN_SHARE / max(1, load.entries)
        return Admission(
            reason=reason,
            retry_after_s=self._retry_after_s(mine, load, rate_per_s),
            usage=_usage(load, pending, urgent_share),
            refused_share=share,
        )

    def _retry_after_s(
        self, mine: _Decisions, load: ServiceLoad, rate_per_s: float
    ) -> float:
        """Return when a place is expected, later for each further refusal."""
        now_s = self._clock.monotonic_s()
        excess = load.in_flight + load.waiting_under_way + load.waiting_new
        excess -= LOAD_REFUSE_FIRST * load.slots
        drain_s = max(0.0, excess) / max(1.0, load.completed_per_s)
        first_s = now_s + max(RETRY_AFTER_MIN_S, drain_s)
        step_s = 1.0 / rate_per_s if rate_per_s > 0.0 else RETRY_AFTER_MAX_S
        mine.return_at_s = max(first_s, mine.return_at_s + step_s)
        mine.return_at_s = min(mine.return_at_s, now_s + RETRY_AFTER_MAX_S)
        wait_s = mine.return_at_s - now_s
        return wait_s * (1.0 + RETRY_AFTER_SPREAD * self._random_share())


def _pending_admissions(admitted_s: deque[float], load: ServiceLoad) -> int:
    """Return how many of this entry's admissions the view does not contain yet."""
    since_s = load.measured_at_s - VIEW_DELAY_S
    while admitted_s and admitted_s[0] < since_s:
        admitted_s.popleft()
    return len(admitted_s)


def _usage(load: ServiceLoad, pending: int, urgent_share: float) -> float:
    """Return the requests in flight and waiting per slot that a program may use.

    More urgent requests go first, so that less urgent ones do not count.
    """
    requests = load.in_flight + load.waiting_under_way + load.waiting_new + pending
    usage = requests / load.slots
    return min(usage, urgent_share * usage / URGENT_SLOTS_SHARE)


def _refused_share(
    load: ServiceLoad,
    pending: int,
    state: ProgramState,
    turns_per_program: float,
    urgent_share: float,
) -> tuple[str, float]:
    """Return the reason and the share of new programs to refuse, from 0 to 1."""
    usage = _usage(load, pending, urgent_share)
    slots_share = (usage - LOAD_REFUSE_FIRST) / (LOAD_REFUSE_ALL - LOAD_REFUSE_FIRST)
    wait_share = 0.0
    if load.completed_per_s > 0.0 and usage > 1.0:
        # Programs under way go first, so new ones only get the slots that they leave.
        new_per_s = load.completed_per_s / max(1.0, turns_per_program)
        wait_s = load.waiting_under_way / load.completed_per_s
        wait_s += (load.waiting_new + pending) / new_per_s
        wait_s *= urgent_share
        allowed_s = min(WAIT_MAX_S, SLACK_SHARE * max(0.0, state.slack_s()))
        wait_share = wait_s / allowed_s - 1.0 if allowed_s > 0.0 else 1.0
    if wait_share > slots_share:
        return "wait", min(1.0, max(0.0, wait_share))
    return "slots", min(1.0, max(0.0, slots_share))
