"""Order and admission of programs' requests at one entry."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lentilroad.clock import Clock
from lentilroad.process.events import log_event
from lentilroad.process.telemetry import Telemetry
from lentilroad.request.inbound import InboundRequest
from lentilroad.request.program_admission import Admission, LoadOf, ProgramAdmission
from lentilroad.request.program_order import (
    program_priority,
    waiting_rank,
    waits_in_excess,
)
from lentilroad.request.program_tracker import ProgramState, ProgramTracker
from lentilroad.version.customers import Customer
from lentilroad.version.routes import Route

WaitingByCustomer = Callable[[str], Mapping[str, int]]

# Customers with counters of their own; the others are counted together.
CUSTOMER_LABELS_MAX = 100
OTHER_CUSTOMERS = "other"


@dataclass(slots=True, kw_only=True, frozen=True)
class ProgramDecision:
    """What a request's program and customer mean for it.

    Attributes
    ----------
    rank : tuple of float or None
        Sort key among waiting requests, the lowest starts first; None if the load of
        the service at all entries is unknown.
    """

    admission: Admission
    rank: tuple[float, ...] | None


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
    telemetry : Telemetry
        Counters of programs.
    random_share : callable
        Returns a random number from 0 to 1.
    """

    __slots__ = ("_admission", "_labels", "_telemetry", "_tracker", "_waiting")

    def __init__(
        self,
        *,
        clock: Clock,
        load: LoadOf,
        waiting: WaitingByCustomer,
        telemetry: Telemetry,
        random_share: Callable[[], float] = random.random,
    ) -> None:
        self._tracker = ProgramTracker(clock=clock)
        self._admission = ProgramAdmission(
            load=load, clock=clock, random_share=random_share
        )
        self._waiting = waiting
        self._telemetry = telemetry
        self._labels: set[str] = set()

    def state_of(self, inbound: InboundRequest, route: Route) -> ProgramState:
        """Return the state of a request's program."""
        return self._tracker.state_of(inbound, route)

    def decide(
        self,
        inbound: InboundRequest,
        route: Route,
        service: str,
        state: ProgramState,
        began_s: float,
    ) -> ProgramDecision:
        """Decide whether a request may start, and in which order it waits.

        Parameters
        ----------
        state : ProgramState
            State of the request's program.
        began_s : float
            Monotonic time at which the request arrived.
        """
        customer = inbound.customer
        name = customer.name if customer is not None else ""
        priority = program_priority(route, customer)
        admission = Admission()
        if not state.under_way:
            admission = self._admission.decide(
                service=service,
                state=state,
                customer=name,
                weight=_share_weight(customer),
                priority=priority,
                urgent_share=self._tracker.urgent_share(service, priority),
                turns_per_program=self._tracker.turns_per_program(service),
            )
            self._record(inbound, route, service, admission)
        if admission.reason:
            self._tracker.refused(inbound, state)
            return ProgramDecision(admission=admission, rank=None)
        self._tracker.accepted(inbound, route, service, state, priority)
        if self._admission.current_load(service) is None:
            return ProgramDecision(admission=admission, rank=None)
        waiting = self._waiting(service)
        in_excess = waits_in_excess(
            waiting.get(name, 0), sum(waiting.values()), len(waiting)
        )
        rank = waiting_rank(
            state=state, priority=priority, began_s=began_s, in_excess=in_excess
        )
        return ProgramDecision(admission=admission, rank=rank)

    def _record(
        self, inbound: InboundRequest, route: Route, service: str, admission: Admission
    ) -> None:
        """Count the first request of a program, and log it if it is refused."""
        name = inbound.customer.name if inbound.customer is not None else ""
        if name not in self._labels:
            if len(self._labels) < CUSTOMER_LABELS_MAX:
                self._labels.add(name)
            else:
                name = OTHER_CUSTOMERS
        if not admission.reason:
            self._telemetry.count("programs_admitted", customer=name)
            return
        self._telemetry.count(
            "programs_refused", customer=name, reason=admission.reason
        )
        log_event(
            "program_refused",
            request=inbound.request_id,
            program=inbound.program_id,
            customer=name,
            route=route.name,
            service=service,
            reason=admission.reason,
            usage=round(admission.usage, 2),
            refused_share=round(admission.refused_share, 2),
            retry_after_ms=int(1000 * admission.retry_after_s),
        )


def _share_weight(customer: Customer | None) -> float | None:
    """Return the quota by which a customer's share is weighed, or None."""
    if customer is None or not customer.is_limited():
        return None
    return customer.rate_per_s
