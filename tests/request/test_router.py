"""Guard against routing by outdated caches, loads or health of the upstreams."""

from __future__ import annotations

from random import Random

import pytest

from lentilroad.request.router import Router
from lentilroad.request.routing import CallShape
from lentilroad.wire.messages import LoadReport, SidecarRecord
from tests.fakes.clock import ManualClock

CALL = CallShape(
    caller_id="a", region="r0", availability_zone="r0-a", prompt_tokens=4000
)
LOAD = LoadReport(running=5, limit=64)


def record(address, **fields):
    """Return a record of the sidecar directory."""
    defaults = {
        "upstream_id": address,
        "kind": "engine",
        "names": ["m"],
        "region": "r0",
        "availability_zone": "r0-a",
        "incarnation": 1,
    }
    return SidecarRecord(address=address, **(defaults | fields))


@pytest.fixture
def clock():
    """Return a clock that the test advances."""
    return ManualClock()


@pytest.fixture
def router(clock):
    """Return a router with two local upstreams and one of another region."""
    router = Router(
        clock=clock, random=Random(1), region="r0", availability_zone="r0-a"
    )
    for address in ("x", "y"):
        router.update(record(address), LOAD)
    router.update(record("far", region="r1", availability_zone="r1-a"), LOAD)
    return router


def choose(router, **fields):
    """Return the address of the chosen upstream, None if there is none."""
    choice = router.choose(name="m", call=CALL, **fields)
    return None if choice is None else choice.record.address


def test_prefix_holder_is_chosen(router):
    """The choice must use the router's prefix table."""
    router.prefixes.record("p1", address="y", tokens=4000)
    assert choose(router, prefix_keys=("p1",)) == "y"


def test_restarted_upstream_holds_no_prefixes(router):
    """A new incarnation has an empty cache, so the old records must be removed."""
    router.prefixes.record("p1", address="y", tokens=4000)
    router.update(record("y", incarnation=2), LOAD)
    assert not router.prefixes.holders("p1")


def test_calls_between_two_reports_are_balanced(router):
    """Without the owner's own counts, all calls between reports go to one upstream."""
    addresses = []
    for number in range(20):
        address = choose(router)
        addresses.append(address)
        router.started(address, call_id=str(number))
    assert abs(addresses.count("x") - addresses.count("y")) <= 2


def test_dead_and_excluded_upstreams_are_not_chosen(router):
    """A failed call must move to another upstream, at last to another region."""
    assert choose(router, excluded=frozenset({"x"})) == "y"
    router.update(record("y", state="dead"))
    assert choose(router, excluded=frozenset({"x"})) == "far"


def test_failures_open_the_breaker_until_a_probe_succeeds(router, clock):
    """A failing upstream must be avoided, and used again after a successful probe."""
    for number in range(5):
        router.started("x", call_id=str(number))
        router.finished("x", call_id=str(number), succeeded=False)
    assert {choose(router) for _ in range(10)} == {"y"}
    clock.now_s += 3.0
    router.update(record("y", state="draining"))
    assert choose(router) == "x"


def test_refusals_do_not_open_the_breaker(router):
    """Refusals because of overload must not count as failures of the upstream."""
    for number in range(20):
        router.started("x", call_id=str(number))
        router.finished("x", call_id=str(number), succeeded=None)
    router.update(record("y", state="draining"))
    assert choose(router) == "x"


def test_unknown_model_has_no_upstream(router):
    """A call for a model without an upstream must not be sent."""
    assert router.choose(name="other", call=CALL) is None


def test_long_call_without_visible_progress_is_not_a_hang(router, clock):
    """The owner receives no tokens, so a long output must not open the breaker."""
    router.update(record("y", state="draining"))
    router.started("x", call_id="1")
    clock.now_s += 100.0
    assert choose(router) == "x"


def test_unresponsive_engine_is_avoided_until_it_produces_again(router):
    """A hang that the sidecar reports must stop new calls until it has ended."""
    router.update(record("x"), LoadReport(running=5, limit=64, silent_s=6.0))
    assert {choose(router) for _ in range(10)} == {"y"}
    router.update(record("x"), LoadReport(limit=64))
    assert choose(router) == "x"
