"""Customers of requests, told apart by their keys."""

from __future__ import annotations

from collections.abc import Callable

from lentilroad.errors import UnauthenticatedError, UnavailableError
from lentilroad.request.const import SERVICE_RETRY_AFTER_MAX_S
from lentilroad.request.inbound import InboundRequest
from lentilroad.version.routes import RouteTable


def identify_customer(
    inbound: InboundRequest,
    table: RouteTable,
    *,
    open_to_all: bool,
    keys_confirmed: Callable[[], bool],
) -> None:
    """Set the customer of a request and drop its key.

    Each request is compared with the configuration in force, so that a key that was
    taken away ends with its version, also on connections that are open.

    Parameters
    ----------
    inbound : InboundRequest
        Request without its body.
    table : RouteTable
        Configuration in force.
    open_to_all : bool
        Whether the route's requests need no key. One that carries a valid key belongs
        to the key's customer all the same.
    keys_confirmed : callable
        Returns whether the configuration is recent enough to accept keys.

    Raises
    ------
    UnauthenticatedError
        The request needs a key and carries none, several, or one that is not in force.
    UnavailableError
        The request's key may have been taken away in a version that this process has
        not read.
    """
    if table.customers is None:
        return
    key, inbound.key = inbound.key, ""
    customer = table.customers.find(key) if key else None
    if not open_to_all and not key:
        raise UnauthenticatedError(
            "the request does not carry exactly one key; send one Authorization header "
            "of the form Bearer KEY"
        )
    if (customer is not None or not open_to_all) and not keys_confirmed():
        raise UnavailableError(
            "this entry cannot confirm that the key is still in force; send the "
            "request to another entry",
            retry_after_ms=int(SERVICE_RETRY_AFTER_MAX_S * 1000),
        )
    if customer is None and not open_to_all:
        raise UnauthenticatedError(
            f"configuration version {table.version} does not have the request's key; "
            "use a key that is in force, or add the key to a customer"
        )
    inbound.customer = customer
