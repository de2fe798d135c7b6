"""The owner's choice must follow the directory."""

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
    """Return a sidecar's record."""
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


class Time(SystemClock):
    """Clock that a test advances."""

    now_s = 0.0

    def monotonic_s(self):
        """Return the time that was set."""
        return self.now_s


@pytest.fixture
def clock():
    """Return a clock at zero."""
    return Time()


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
def choice(clock, directory):
    """Return a choice over the directory."""
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


def choose(choice, clock, *, excluded=frozenset()):
    """Choose for a chat call after the directory was read again."""
    clock.now_s += 1.0
    return choice.choose(
        program_id="p",
        kind="chat",
        name="model",
        prompt_tokens=10,
        excluded=excluded,
        prefix_sidecars=(),
        caller_id="a",
    )


def test_draining_sidecar_gets_no_new_call(choice, clock, directory):
    """A leaving upstream must receive no new work."""
    directory.learn([record(1), record(2)])
    directory.learn([record(1, state="draining", sequence=1)])
    assert {choose(choice, clock).address for _ in range(20)} == {"10.0.0.2:1"}


def test_no_upstream_is_an_early_refusal(choice, clock, directory):
    """Without a sidecar the call must be refused as not run."""
    with pytest.raises(OverloadedError) as caught:
        choose(choice, clock)
    assert caught.value.outcome == "not_run"
    assert caught.value.retry_after_ms


def test_other_region_is_used_only_without_one_here(choice, clock, directory):
    """Traffic between regions is billed, and must be counted when it is used."""
    directory.learn([record(1), record(2, region="there")])
    assert {choose(choice, clock).address for _ in range(20)} == {"10.0.0.1:1"}
    assert choice.cross_region_bytes == 0
    excluded = frozenset(["10.0.0.1:1"])
    assert choose(choice, clock, excluded=excluded).address == "10.0.0.2:1"
    assert choice.cross_region_bytes > 0


async def test_load_of_a_dispatched_call_is_kept():
    """An owner that is no home of a sidecar must still learn its load."""
    load = m.LoadReport(queued=7)

    async def stream(address, method, request, timeout_s):
        yield m.DispatchEvent(event=m.Queued(load=load))
        yield m.DispatchEvent(event=m.Started())

    noted = []
    noting = record_load_reports(stream, lambda address, report: noted.append(report))
    events = [event async for event in noting("x", DISPATCH, None, None)]
    assert len(events) == 2
    assert noted == [load]
