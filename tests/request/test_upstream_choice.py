"""Guard against upstream choices that contradict the sidecar directory."""

from __future__ import annotations

from random import Random

import pytest

from lentilroad.clock import SystemClock
from lentilroad.errors import OverloadedError
from lentilroad.membership.sidecars import SidecarDirectory
from lentilroad.request.router import Router
from lentilroad.request.upstream_choice import UpstreamSelector, record_load_reports
from lentilroad.wire import messages as m
from lentilroad.wire.services import DISPATCH


def record(number, **changes):
    """Return the directory record of a sidecar."""
    fields = {
        "address": f"10.0.0.{number}:1",
        "upstream_id": f"u{number}",
        "kind": "engine",
        "names": ["model"],
        "region": "here",
        "availability_zone": "here-a",
        "incarnation": 1,
    }
    return m.SidecarRecord(**(fields | changes))


class SteppedClock(SystemClock):
    """Clock whose monotonic time is set by the test."""

    now_s = 0.0

    def monotonic_s(self):
        """Return the time that the test has set."""
        return self.now_s


@pytest.fixture
def clock():
    """Return a clock at zero."""
    return SteppedClock()


@pytest.fixture
def directory(clock):
    """Return an empty directory."""
    return SidecarDirectory(
        clock=clock,
        address="10.0.9.9:1",
        region="here",
        incarnation=1,
        alive_entries=lambda region: ["10.0.9.9:1"],
    )


@pytest.fixture
def selector(clock, directory):
    """Return a selector over the directory."""
    return UpstreamSelector(
        router=Router(
            clock=clock, random=Random(1), region="here", availability_zone="here-a"
        ),
        directory=directory,
        regions=lambda: ["here", "there"],
        region="here",
        availability_zone="here-a",
        clock=clock,
    )


def choose(selector, clock, *, excluded=frozenset()):
    """Choose for a chat call, late enough for the directory to be read again."""
    clock.now_s += 1.0
    return selector.choose(
        program_id="p",
        kind="chat",
        name="model",
        prompt_tokens=10,
        excluded=excluded,
        prefix_sidecars=(),
        caller_id="a",
    )


def test_draining_sidecar_gets_no_new_call(selector, clock, directory):
    """A draining upstream must receive no new calls."""
    directory.merge([record(1), record(2)])
    directory.merge([record(1, state="draining", sequence=1)])
    assert {choose(selector, clock).address for _ in range(20)} == {"10.0.0.2:1"}


def test_call_without_upstream_is_refused(selector, clock, directory):
    """Without a sidecar the call must be refused with the outcome ``not_run``."""
    with pytest.raises(OverloadedError) as caught:
        choose(selector, clock)
    assert caught.value.outcome == "not_run"
    assert caught.value.retry_after_ms


def test_other_region_is_used_only_without_local_sidecar(selector, clock, directory):
    """Traffic between regions is billed: it must be avoided, and counted when used."""
    directory.merge([record(1), record(2, region="there")])
    assert {choose(selector, clock).address for _ in range(20)} == {"10.0.0.1:1"}
    assert selector.cross_region_bytes == 0
    excluded = frozenset(["10.0.0.1:1"])
    assert choose(selector, clock, excluded=excluded).address == "10.0.0.2:1"
    assert selector.cross_region_bytes > 0


async def test_load_in_dispatch_replies_is_recorded():
    """An entry that receives no heartbeats of a sidecar must record its load reports.

    Sidecars send heartbeats to their home entries only; other owners receive the load
    with the replies to their dispatches.
    """
    load = m.LoadReport(queued=7)

    async def stream(address, method, request, timeout_s):
        yield m.DispatchEvent(event=m.Queued(load=load))
        yield m.DispatchEvent(event=m.Started())

    recorded = []
    wrapped = record_load_reports(
        stream, lambda address, report: recorded.append(report)
    )
    events = [event async for event in wrapped("x", DISPATCH, None, None)]
    assert len(events) == 2
    assert recorded == [load]
