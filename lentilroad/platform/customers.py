"""Decoding of the customers in the operators' configuration.

An entry with a fault costs as little as possible: the rest of it, all other customers
and the version itself stay in force. Keys appear in no message.
"""

from __future__ import annotations

import math
from typing import Annotated, Any

import msgspec

from lentilroad.process.events import log_event
from lentilroad.version.customers import Customer, CustomerTable
from lentilroad.wire.untrusted import UnreadableError, decode_json

MAX_NAME_LENGTH = 256
MAX_KEY_LENGTH = 4096
# Larger numbers would overflow in later calculations.
MAX_COUNT = 10**12
# Log lines for one version; a configuration may have thousands of customers.
MAX_LOGGED_FAULTS = 20

_INVALID = object()
_Rank = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
_Quantity = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]


class _Tenant(msgspec.Struct, rename="pascal"):
    """One entry; each field is decoded on its own."""

    name: msgspec.Raw = msgspec.Raw(b"null")
    api_keys: msgspec.Raw = msgspec.Raw(b"[]")
    priority: msgspec.Raw = msgspec.Raw(b"null")
    rate_per_s: msgspec.Raw = msgspec.Raw(b"0")
    burst: msgspec.Raw = msgspec.Raw(b"0")


class _Faults:
    """Faults of one version, which are logged up to a bound."""

    __slots__ = ("_count", "_version")

    def __init__(self, *, version: int) -> None:
        self._version = version
        self._count = 0

    def add(self, customer: str, fault: str) -> None:
        """Log a fault of a customer, with its effect and remedy."""
        self._count += 1
        if self._count <= MAX_LOGGED_FAULTS:
            log_event(
                "customer_faulty",
                version=self._version,
                customer=customer,
                fault=fault,
            )

    def log_count(self) -> None:
        """Log the number of faults if not all of them were logged."""
        if self._count > MAX_LOGGED_FAULTS:
            log_event("customers_faulty", version=self._version, faults=self._count)


def decode_customers(
    tenants: list[msgspec.Raw] | None, version: int
) -> CustomerTable | None:
    """Decode the customers of a version of the configuration.

    Parameters
    ----------
    tenants : list of msgspec.Raw or None
        Entries as received; None if the configuration has no such list. With an empty
        list no key is valid.
    version : int
        Version, for log lines.
    """
    if tenants is None:
        return None
    faults = _Faults(version=version)
    customers: dict[str, Customer] = {}
    keys: dict[str, list[str]] = {}
    for position, encoded in enumerate(tenants):
        try:
            tenant = decode_json(bytes(encoded), _Tenant)
            name = decode_json(bytes(tenant.name), str)
        except UnreadableError as error:
            faults.add(
                f"entry {position}",
                f"left out: it is no object with a Name ({error})",
            )
            continue
        if not _is_name(name):
            faults.add(
                f"entry {position}",
                "left out: its name is empty, too long, or has blanks at an end or "
                "control characters; correct the name",
            )
            continue
        if name in customers:
            faults.add(
                name,
                "named twice: it has the keys of all its entries, and the priority and "
                "quota of the first; write one entry",
            )
        else:
            customers[name] = _decode_customer(name, tenant, faults)
        keys.setdefault(name, []).extend(_decode_keys(name, tenant, faults))
    shared = _shared_keys(keys, faults)
    faults.log_count()
    return CustomerTable(
        customers=[
            (customer, [key for key in keys[name] if key not in shared])
            for name, customer in customers.items()
        ]
    )


def _decode_customer(name: str, tenant: _Tenant, faults: _Faults) -> Customer:
    priority = _decode(tenant.priority, _Rank | None)
    rate_per_s = _decode(tenant.rate_per_s, _Quantity | None)
    burst = _decode(tenant.burst, _Quantity | None)
    if priority is _INVALID:
        faults.add(name, "Priority is ignored; write an integer or leave it out")
    if rate_per_s is _INVALID:
        faults.add(
            name,
            "RatePerS is ignored, so that the customer has no limit; write a number "
            f"from 0 to {MAX_COUNT}",
        )
    if burst is _INVALID:
        faults.add(name, f"Burst counts as 0; write a number from 0 to {MAX_COUNT}")
    return Customer(
        name=name,
        priority=None if priority is _INVALID else priority,
        rate_per_s=0.0 if rate_per_s is _INVALID else rate_per_s or 0.0,
        burst=0.0 if burst is _INVALID else burst or 0.0,
    )


def _decode_keys(name: str, tenant: _Tenant, faults: _Faults) -> list[str]:
    encoded_keys = _decode(tenant.api_keys, list[msgspec.Raw] | None)
    if encoded_keys is _INVALID:
        faults.add(name, "ApiKeys is ignored; write a list of keys")
        return []
    decoded = [_decode(encoded, str) for encoded in encoded_keys or []]
    valid = [key for key in decoded if key is not _INVALID and _is_key(key)]
    if len(valid) < len(decoded):
        faults.add(
            name,
            f"{len(decoded) - len(valid)} of {len(decoded)} keys are left out; a key "
            f"has 1 to {MAX_KEY_LENGTH} printable ASCII characters and no blanks",
        )
    return valid


def _shared_keys(keys: dict[str, list[str]], faults: _Faults) -> set[str]:
    """Return the keys of more than one customer, which are valid for none of them.

    Any choice among them could show the conversations of one to another.
    """
    holders: dict[str, set[str]] = {}
    for name, own_keys in keys.items():
        for key in own_keys:
            holders.setdefault(key, set()).add(name)
    shared = {key: names for key, names in holders.items() if len(names) > 1}
    for names in shared.values():
        first, *others = sorted(names)
        faults.add(
            first,
            f"a key is left out, because {', '.join(others)} has it as well; give each "
            "customer its own keys",
        )
    return set(shared)


def _decode(encoded: msgspec.Raw, expected: Any) -> Any:
    """Return the decoded value, or `_INVALID`."""
    try:
        value = decode_json(bytes(encoded), expected, strict=False)
    except UnreadableError:
        return _INVALID
    if isinstance(value, float) and not math.isfinite(value):
        return _INVALID
    return value


def _is_name(name: str) -> bool:
    """Return whether a header can carry the name unchanged."""
    return (
        0 < len(name) <= MAX_NAME_LENGTH and name.isprintable() and name == name.strip()
    )


def _is_key(key: str) -> bool:
    """Return whether a request can carry the key."""
    return (
        0 < len(key) <= MAX_KEY_LENGTH
        and key.isascii()
        and key.isprintable()
        and " " not in key
    )
