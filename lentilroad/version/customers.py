"""Customers of one version of the configuration, found by their keys."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

# Neither the value of a header nor the name of a customer contains a line feed.
SCOPE_SEPARATOR = "\n"


@dataclass(slots=True, kw_only=True, frozen=True)
class Customer:
    """A customer whose programs share a quota and a priority.

    Attributes
    ----------
    name : str
        Name, which instances receive with each request of the customer.
    priority : int or None
        Priority that replaces that of the route of each request; None to keep the
        route's.
    rate_per_s : float
        Requests per second over all entries; 0 for no limit.
    burst : float
        Requests that may exceed the rate at once.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    def is_limited(self) -> bool:
        """Return whether the customer has a quota."""
        return self.rate_per_s > 0.0


class CustomerTable:
    """Customers by the digests of their keys.

    Only digests are kept, and a lookup compares digests, so that its time does not
    depend on how much of a key matches.

    Parameters
    ----------
    customers : iterable of (Customer, iterable of str)
        Each customer with its keys.
    """

    __slots__ = ("_by_digest", "by_name")

    def __init__(self, *, customers: Iterable[tuple[Customer, Iterable[str]]]) -> None:
        self.by_name: dict[str, Customer] = {}
        self._by_digest: dict[bytes, Customer] = {}
        for customer, keys in customers:
            self.by_name[customer.name] = customer
            for key in keys:
                self._by_digest[key_digest(key)] = customer

    def find(self, key: str) -> Customer | None:
        """Return the customer that holds a key, or None."""
        return self._by_digest.get(key_digest(key))


def scoped_id(customer: Customer | None, plain_id: str) -> str:
    """Return an id that no other customer's requests share.

    Callers choose the ids of their programs and turns, so two customers may use the
    same one. Without a customer, or for an empty id, the id is returned unchanged.
    """
    if customer is None or not plain_id:
        return plain_id
    return f"{customer.name}{SCOPE_SEPARATOR}{plain_id}"


def unscoped_id(scoped: str) -> str:
    """Return the id that the caller sent, for messages and log lines."""
    return scoped.rpartition(SCOPE_SEPARATOR)[2]


def key_digest(key: str) -> bytes:
    """Return the digest by which a key is looked up."""
    return hashlib.sha256(key.encode()).digest()
