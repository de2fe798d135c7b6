"""Guard against choices that ignore load, caches, health or billed traffic."""

from __future__ import annotations

from random import Random

from lentilroad.request.routing import (
    CallShape,
    Candidate,
    choose_upstream,
    select_candidates,
    traffic_bytes,
)
from lentilroad.request.traffic import CrossRegionTraffic
from lentilroad.wire.messages import LoadReport, SidecarRecord
from tests.fakes.clock import ManualClock

CALL = CallShape(
    caller_id="a", region="r0", availability_zone="r0-a", prompt_tokens=6000
)


def candidate(address, *, region="r0", zone="a", running=0, state="serving", **fields):
    """Return a candidate, by default with a fresh load report."""
    return Candidate(
        record=SidecarRecord(
            address=address,
            upstream_id=address,
            kind="engine",
            names=["m"],
            region=region,
            availability_zone=f"{region}-{zone}",
            incarnation=1,
            state=state,
        ),
        load=LoadReport(running=running, limit=64, prefill_tokens_per_s=8000.0),
        report_age_s=fields.pop("report_age_s", 0.0),
        **fields,
    )


def chosen(*candidates, traffic=None):
    """Return the address of the chosen candidate, None if there is none."""
    choice = choose_upstream(candidates=candidates, call=CALL, traffic=traffic)
    return None if choice is None else choice.record.address


def test_holder_of_the_prefix_is_preferred():
    """A small difference in load must not outweigh a cached prefix."""
    holder = candidate("holder", running=20, cached_tokens=6000)
    assert chosen(holder, candidate("idle", running=10)) == "holder"


def test_overloaded_holder_is_not_chosen():
    """A cached prefix must not outweigh a long queue."""
    holder = candidate("holder", running=200, cached_tokens=6000)
    assert chosen(holder, candidate("idle")) == "idle"


def test_unhealthy_candidates_are_not_chosen():
    """A draining upstream or one with an open breaker must receive no calls."""
    draining = candidate("draining", state="draining")
    broken = candidate("broken", breaker_allows=False)
    assert chosen(draining, broken, candidate("good", running=60)) == "good"
    assert chosen(draining, broken) is None


def test_own_calls_count_while_the_report_is_frozen():
    """A frozen report of a low load must not attract all calls to one upstream."""
    frozen = candidate("frozen", running=0, report_age_s=60.0, in_flight=90)
    assert chosen(frozen, candidate("other", running=30)) == "other"


def test_old_report_of_high_load_is_discounted():
    """A high load that was reported a minute ago must not leave an upstream unused."""
    old = candidate("old", running=300, report_age_s=60.0)
    assert chosen(old, candidate("other", running=40)) == "old"


def test_other_region_is_used_only_without_healthy_local_candidate():
    """Load must not cause billed traffic, only a region without healthy upstreams."""
    remote = candidate("remote", region="r1")
    assert chosen(candidate("local", running=100), remote) == "local"
    assert chosen(candidate("local", breaker_allows=False), remote) == "remote"


def test_busy_candidate_does_not_cause_billed_traffic():
    """After a refusal because of load, the call must not leave the region."""
    busy = candidate("local", busy=True)
    assert chosen(busy, candidate("remote", region="r1")) is None


def test_gain_above_the_price_pays_for_traffic_within_the_volume():
    """The volume limit must hold even if every call gains by leaving the region."""
    clock = ManualClock()
    size_bytes = traffic_bytes(CALL)
    traffic = CrossRegionTraffic(
        clock=clock, price_micro_per_byte=0.001, bytes_per_s=size_bytes / 10.0
    )
    local = candidate("local", running=600)
    remote = candidate("remote", region="r1")
    choices = [chosen(local, remote, traffic=traffic) for _ in range(3)]
    assert choices == ["remote", "local", "local"]
    assert traffic.bytes_by_caller == {"a": size_bytes}
    clock.now_s = 10.0
    assert chosen(local, remote, traffic=traffic) == "remote"


def test_service_calls_go_to_the_less_loaded_upstream():
    """Calls of services have no tokens and must be balanced by their duration."""
    call = CallShape(
        caller_id="a",
        region="r0",
        availability_zone="r0-a",
        output_tokens=0,
        service_s=0.2,
    )
    candidates = [candidate("full", running=60), candidate("idle", zone="b")]
    choice = choose_upstream(candidates=candidates, call=call)
    assert choice.record.address == "idle"


def test_number_of_candidates_does_not_depend_on_the_pool():
    """The cost of a decision must not grow with the number of upstreams."""
    pool = [f"u{number}" for number in range(3900)]
    found = select_candidates(
        holders={"u1": 5, "elsewhere": 3}, pool=pool, random=Random(1), draws=4
    )
    assert found[:2] == ["u1", "elsewhere"]
    assert len(found) <= 6
    assert len(set(found)) == len(found)
