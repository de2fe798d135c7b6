"""Decoding of customers, of their keys, and of requests that carry one."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from lentilroad.platform import customers as decoding
from lentilroad.platform.configuration import decode_configuration
from lentilroad.platform.requests import decode_request, encode_request
from lentilroad.platform.settings import decode_settings
from lentilroad.version.customers import Customer, CustomerTable
from tests.platform.test_decoding import SETTINGS

HEAD = [(b"Host", b"h"), (b"Lentilroad-Attempt-Id", b"a1")]
ODD = Customer(name="odd")
SOUND = {"Name": "sound", "ApiKeys": ["key-sound"], "RatePerS": 5, "Burst": 2}


def _customers(tenants: Any) -> CustomerTable | None:
    document = {"Version": 3, "Tenants": tenants}
    return decode_configuration(json.dumps(document).encode()).customers


def _found(*tenants: Any) -> CustomerTable:
    table = _customers([*tenants, SOUND])
    assert table is not None
    assert table.find("key-sound") == Customer(name="sound", rate_per_s=5.0, burst=2.0)
    return table


@pytest.fixture
def faults(monkeypatch) -> list[dict[str, Any]]:
    """Return the fields of all logged faults."""
    logged: list[dict[str, Any]] = []
    monkeypatch.setattr(
        decoding, "log_event", lambda name, **fields: logged.append(fields)
    )
    return logged


def test_only_a_configuration_without_the_list_needs_no_keys() -> None:
    """Guard against an emptied list of customers that opens all routes."""
    assert decode_configuration(b'{"Version": 3}').customers is None
    assert _customers(None) is None
    empty = _customers([])
    assert empty is not None
    assert empty.find("key-sound") is None


@pytest.mark.parametrize(
    ("change", "customer"),
    [
        ({"Name": None}, None),
        ({"Name": 5}, None),
        ({"Name": ""}, None),
        ({"Name": "odd "}, None),
        ({"Name": "odd\r\nX: 1"}, None),
        ({"Name": "n" * 257}, None),
        ({"RatePerS": -1}, ODD),
        ({"RatePerS": 1e300}, ODD),
        ({"RatePerS": "nan"}, ODD),
        ({"RatePerS": int("9" * 400)}, ODD),
        ({"Burst": -5}, ODD),
        ({"Priority": "first"}, ODD),
        ({"Priority": 10**30}, ODD),
    ],
)
def test_odd_field_of_a_customer_costs_as_little_as_possible(
    change: dict, customer: Customer | None, faults
) -> None:
    """Guard against one odd customer that loses the version or forges a header."""
    table = _found({"Name": "odd", "ApiKeys": ["key-odd"], **change})
    assert table.find("key-odd") == customer
    assert [f["customer"] for f in faults] == ["odd" if customer else "entry 0"]
    assert "key-odd" not in json.dumps(faults)


@pytest.mark.parametrize("tenant", [7, {"ApiKeys": ["key-odd"]}])
def test_entry_that_is_no_customer_is_left_out(tenant: Any, faults) -> None:
    """Guard against one odd entry that loses the version."""
    assert _found(tenant).find("key-odd") is None
    assert [fault["customer"] for fault in faults] == ["entry 0"]
    assert "key-odd" not in json.dumps(faults)


def test_keys_that_no_request_can_carry_are_left_out(faults) -> None:
    """Guard against an empty key that lets in requests without one."""
    odd_keys = ["", "with blank", "tab\t", "ключ", "k" * 4097, 7, None]
    table = _found({"Name": "odd", "ApiKeys": [*odd_keys, "key-odd"]})
    assert table.find("key-odd") == ODD
    for key in odd_keys:
        assert table.find(str(key)) is None
    assert len(faults) == 1
    assert "with blank" not in json.dumps(faults)


def test_key_of_two_customers_is_valid_for_neither(faults) -> None:
    """Guard against a request that reads the conversations of the wrong customer."""
    table = _found(
        {"Name": "a", "ApiKeys": ["key-a", "key-both"]},
        {"Name": "b", "ApiKeys": ["key-both", "key-b"]},
    )
    assert table.find("key-both") is None
    assert table.find("key-a") == Customer(name="a")
    assert table.find("key-b") == Customer(name="b")
    assert "key-both" not in json.dumps(faults)
    assert [fault["customer"] for fault in faults] == ["a"]


def test_keys_of_thousands_of_customers_are_logged_in_short_lines(faults) -> None:
    """Guard against lines that name all customers and crowd out the rest of the log."""
    shared = [f"key-{number}" for number in range(100)]
    table = _found(*[{"Name": f"c{n}", "ApiKeys": shared} for n in range(3000)])
    assert table.find("key-1") is None
    assert max(len(json.dumps(fault)) for fault in faults) < 1000


def test_customer_named_twice_keeps_all_its_keys(faults) -> None:
    """Guard against keys that are refused because their customer has two entries."""
    table = _found(
        {"Name": "a", "ApiKeys": ["key-1"], "RatePerS": 9},
        {"Name": "a", "ApiKeys": ["key-1", "key-2"], "RatePerS": 900},
    )
    both = Customer(name="a", rate_per_s=9.0)
    assert (table.find("key-1"), table.find("key-2")) == (both, both)
    assert [fault["customer"] for fault in faults] == ["a"]


def test_thousands_of_faults_are_logged_in_few_lines(faults) -> None:
    """Guard against a configuration that floods the log of every entry."""
    _found(*[{"Name": f"c{n}", "RatePerS": -1} for n in range(3000)])
    assert len(faults) == decoding.MAX_LOGGED_FAULTS + 1
    assert faults[-1]["faults"] == 3000


@pytest.mark.parametrize(
    ("values", "key"),
    [
        ([b"Bearer k1"], "k1"),
        ([b" bearer  k1 "], "k1"),
        ([], ""),
        ([b"k1"], ""),
        ([b"Basic k1"], ""),
        ([b"Bearer"], ""),
        ([b"Bearer k1", b"Bearer k1"], ""),
        ([b"", b"Bearer k1"], ""),
    ],
)
def test_exactly_one_key_is_read(values: list[bytes], key: str) -> None:
    """Guard against two keys of which two processes would read different ones."""
    credentials = [(b"AUTHORIZATION", value) for value in values]
    inbound = decode_request("GET", "/", [*HEAD, *credentials], with_customers=True)
    assert inbound.key == key
    assert inbound.credential == ""
    assert "k1" not in repr(inbound)


@pytest.mark.parametrize("with_customers", [True, False])
def test_key_and_forged_name_do_not_reach_the_worker(*, with_customers: bool) -> None:
    """Guard against a worker that learns a key or trusts a client's name (UNASKED)."""
    inbound = decode_request(
        "GET",
        "/",
        [
            *HEAD,
            (b"Authorization", b"Bearer k1"),
            (b"lentilroad-TENANT", b"forged"),
            (b"Lentilroad-Tenant", b"forged"),
            (b"Lentilroad_Tenant", b"forged"),
        ],
        with_customers=with_customers,
    )
    if with_customers:
        inbound.customer = Customer(name="Ndëndë")
    head = encode_request(inbound, "i-1", 1.0, b"", "")
    assert b"forged" not in head
    assert (b"Authorization: Bearer k1\r\n" in head) is not with_customers
    name = "Lentilroad-Tenant: Ndëndë\r\n".encode()
    assert (name in head) is with_customers


@pytest.mark.parametrize(
    ("bounds", "revoke_s"),
    [
        ({}, None),
        ({"RevokeMs": 5000}, None),
        ({"RevokeWhenPartitioned": False, "RevokeMs": 5000}, None),
        ({"RevokeWhenPartitioned": True, "RevokeMs": 5000}, 5.0),
    ],
)
def test_limit_on_the_age_of_keys_is_read(bounds: dict, revoke_s: float | None) -> None:
    """Guard against deployments without the setting that refuse keys."""
    document = copy.deepcopy(SETTINGS)
    document["Bounds"].update(bounds)
    assert decode_settings(document).bounds.revoke_s == revoke_s
