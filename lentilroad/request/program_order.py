"""Order of the requests that wait for a slot, by what their programs can still reach.

Programs that can no longer end within twice their time go last. Among the others the
priority decides, the customer's or the route's; admission keeps some slots for less
urgent programs. Within a priority, programs under way go before new ones, since the
work already done for them is lost if they end too late, and before those that will end
late. Requests of customers that have far more waiting than the others follow the rest
of their group, and programs under way are ordered by the time at which they have to
start their next request.
"""

from __future__ import annotations

from lentilroad.request.program_tracker import Priority, ProgramState
from lentilroad.version.customers import Customer
from lentilroad.version.routes import Route, request_priority

UNDER_WAY, NEW, LATE = 0.0, 1.0, 2.0
# A program counts as late if less than this share of the estimated work fits into the
# time that is left. Programs of one route differ, so an estimate may be twice too high.
LATE_WORK_SHARE = 0.5
# Start time that is assumed for programs that state no finish time.
DEFAULT_SLACK_S = 10.0
# A customer with this many times its equal share of the waiting requests, and at least
# as many as the minimum, goes last in its group.
EXCESS_FACTOR = 3.0
EXCESS_MIN = 4


def program_priority(route: Route, customer: Customer | None) -> Priority:
    """Return the priority of a request; the lowest is the most urgent.

    The customer's priority goes before the route's. Among requests of customers with
    the same priority, the route's decides.
    """
    return request_priority(route, customer), route.priority


def waits_in_excess(own: int, total: int, customers: int) -> bool:
    """Return whether a customer has far more waiting requests than its share.

    Parameters
    ----------
    own : int
        Waiting requests of the customer.
    total : int
        Waiting requests of all customers.
    customers : int
        Customers with waiting requests.
    """
    if own < EXCESS_MIN or customers < 2:
        return False
    others = (total - own) / (customers - 1)
    return own > EXCESS_FACTOR * others


def waiting_rank(
    *, state: ProgramState, priority: Priority, began_s: float, in_excess: bool
) -> tuple[float, ...]:
    """Return the sort key of a waiting request; the lowest starts first.

    Parameters
    ----------
    state : ProgramState
        State of the request's program at its arrival.
    priority : tuple of (int, int)
        Priority of the request; the lowest is the most urgent.
    began_s : float
        Monotonic time at which the request arrived.
    in_excess : bool
        Whether the request's customer has far more waiting than its share.
    """
    first, second = priority
    excess = 1.0 if in_excess else 0.0
    if state.is_too_late():
        # In order of arrival, so that none of them waits forever.
        return (1.0, 0.0, 0.0, LATE, excess, began_s)
    if state.finish_s is not None and (
        state.finish_s < LATE_WORK_SHARE * state.remaining_work_s
    ):
        return (0.0, first, second, LATE, excess, began_s)
    if not state.under_way:
        return (0.0, first, second, NEW, excess, began_s)
    slack_s = min(state.slack_s(), DEFAULT_SLACK_S)
    return (0.0, first, second, UNDER_WAY, excess, began_s + slack_s)
