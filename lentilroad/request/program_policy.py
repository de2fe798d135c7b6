"""Order and admission of programs' requests at one entry."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lentilroad.clock import Clock
from lentilroad.request.inbound import InboundRequest
from lentilroad.request.program_admission import (
    ADMITTED,
    Admission,
    LoadOf,
    ProgramAdmission,
)
from lentilroad.request.program_order import (
    effective_priority,
    waiting_rank,
    waits_in_excess,
)
from lentilroad.request.program_tracker import ProgramTracker
from lentilroad.version.customers import Customer
from lentilroad.version.routes import Route

WaitingByCustomer = Callable[[str], Mapping[str, int]]

# Weight of customers without a quota, relative to those with one.
DEFAULT_WEIGHT = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class ProgramDecision:
    """What a request's program and customer mean for it.

    Attributes
    ----------
    rank : tuple of float
        Sort key among waiting requests; the lowest starts first.
    under_way : bool
        Whether the program has already run a request.
    """

    admission: Admission
    rank: tuple[float, ...]
    under_way: bool


class ProgramPolicy:
    """Decides which requests of programs start, and in which order they wait.

    Parameters
    ----------
    clock : Clock
        Source of time.
    load : callable
        Returns the `ServiceLoad` of a service, or None if there is no shared view.
    waiting : callable
        Returns the waiting requests of a service at this entry by customer.
    random_share : callable
        Returns a random number from 0 to 1.
    """

    __slots__ = ("_admission", "_tracker", "_waiting")

    def __init__(
        self,
        *,
        clock: Clock,
        load: LoadOf,
        waiting: WaitingByCustomer,
        random_share: Callable[[], float] = random.random,
    ) -> None:
        self._tracker = ProgramTracker(clock=clock)
        self._admission = ProgramAdmission(
            load=load, clock=clock, random_share=random_share
        )
        self._waiting = waiting

    def decide(
        self, inbound: InboundRequest, route: Route, service: str, began_s: float
    ) -> ProgramDecision:
        """Decide whether a request may start, and in which order it waits.

        Parameters
        ----------
        began_s : float
            Monotonic time at which the request arrived.
        """
        state = self._tracker.state_of(inbound, route)
        customer = inbound.customer
        name = customer.name if customer is not None else ""
        priority = effective_priority(route, customer)
        admission = ADMITTED
        if not state.under_way:
            admission = self._admission.decide(
                service=service,
                state=state,
                customer=name,
                weight=_weight(customer),
                priority=priority,
                turns_per_program=self._tracker.turns_per_program(service),
            )
        if admission.reason:
            self._tracker.refused(inbound, state)
        else:
            self._tracker.accepted(inbound, route, service, state)
        waiting = self._waiting(service)
        in_excess = waits_in_excess(
            waiting.get(name, 0), sum(waiting.values()), len(waiting)
        )
        return ProgramDecision(
            admission=admission,
            rank=waiting_rank(
                state=state, priority=priority, began_s=began_s, in_excess=in_excess
            ),
            under_way=state.under_way,
        )


def _weight(customer: Customer | None) -> float:
    if customer is None or not customer.is_limited():
        return DEFAULT_WEIGHT
    return customer.rate_per_s
