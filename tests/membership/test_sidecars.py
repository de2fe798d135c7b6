"""Tests of the sidecar directory that routing reads."""

from __future__ import annotations

import pytest

from lentilroad.membership.sidecars import SidecarDirectory
from lentilroad.wire.messages import (
    LoadReport,
    PingReply,
    SidecarHeartbeat,
    SidecarRecord,
)

ENTRIES = ["10.0.0.1:7000", "10.0.0.2:7000"]


class ManualClock:
    """Clock with a settable time."""

    now_s = 0.0

    def monotonic_s(self):
        """Return the time that was set."""
        return self.now_s


def make_directory(clock, *, address=ENTRIES[0], entries=ENTRIES):
    """Return the directory of one entry."""
    return SidecarDirectory(
        clock=clock,
        address=address,
        region="r1",
        incarnation=1,
        alive_entries=lambda region: entries,
    )


def make_record(**changes):
    """Return the record of a sidecar."""
    fields = {
        "address": "10.0.1.1:7100",
        "upstream_id": "engine-1",
        "kind": "engine",
        "names": ["small", "large"],
        "region": "r1",
        "availability_zone": "z1",
        "incarnation": 10,
    }
    return SidecarRecord(**(fields | changes))


def heartbeat(**changes):
    """Return a heartbeat of the sidecar of `make_record`."""
    return SidecarHeartbeat(record=make_record(**changes), load=LoadReport(queued=3))


def gossip(sender, receiver):
    """Send the pending updates of one directory to another."""
    message = PingReply(alive=True)
    sender.fill_probe(message, False)
    receiver.read_probe("", message)


def serving_addresses(directory):
    """Return the addresses that serve the model "small"."""
    return [found.record.address for found in directory.serving("small", "r1")]


async def test_serving_finds_by_name_and_region_with_load_age():
    """Guard against the selection of a sidecar of another model or region."""
    clock = ManualClock()
    directory = make_directory(clock)
    await directory.heartbeat(heartbeat())
    clock.now_s = 0.75
    (found,) = directory.serving("large", "r1")
    assert (found.load.queued, found.load_age_s) == (3, 0.75)
    assert directory.serving("large", "r2") == []
    assert directory.serving("other", "r1") == []


async def test_unresponsive_sidecar_is_removed_at_all_entries():
    """Guard against new work for a sidecar that has stopped its heartbeats."""
    clock = ManualClock()
    home = make_directory(clock)
    other = make_directory(clock, address="10.0.0.9:7000")
    await home.heartbeat(heartbeat())
    gossip(home, other)
    assert serving_addresses(other) == ["10.0.1.1:7100"]
    for clock.now_s in (0.5, 1.0, 1.5):
        home.sweep()
    assert serving_addresses(home) == ["10.0.1.1:7100"]
    clock.now_s = 2.0
    home.sweep()
    gossip(home, other)
    assert serving_addresses(home) == serving_addresses(other) == []


async def test_draining_and_leaving_stop_new_work_at_once():
    """Guard against new work for an upstream that is draining or leaving."""
    directory = make_directory(ManualClock())
    await directory.heartbeat(heartbeat())
    directory.set_leaving(["engine-1"])
    assert serving_addresses(directory) == []
    directory.set_leaving([])
    assert serving_addresses(directory) == ["10.0.1.1:7100"]
    await directory.heartbeat(heartbeat(state="draining", sequence=1))
    assert serving_addresses(directory) == []


async def test_one_lost_connection_does_not_remove_a_live_sidecar():
    """Guard against a live sidecar removed by one home entry that lost contact.

    The home entry that still receives heartbeats overrides that report.
    """
    clock = ManualClock()
    disconnected, connected = (
        make_directory(clock, address=address) for address in ENTRIES
    )
    await disconnected.heartbeat(heartbeat())
    await connected.heartbeat(heartbeat())
    for clock.now_s in (0.5, 1.0, 1.5, 2.0):
        disconnected.sweep()
        await connected.heartbeat(heartbeat())
        connected.sweep()
    assert serving_addresses(disconnected) == []
    gossip(disconnected, connected)
    gossip(connected, disconnected)
    assert (
        serving_addresses(disconnected)
        == serving_addresses(connected)
        == ["10.0.1.1:7100"]
    )


async def test_entry_that_is_no_longer_home_does_not_declare_a_death():
    """Guard against the removal of a sidecar that reports to others after a join."""
    clock = ManualClock()
    directory = make_directory(clock, entries=["10.0.0.8:7000", "10.0.0.9:7000"])
    await directory.heartbeat(heartbeat())
    for clock.now_s in (0.5, 1.0, 1.5, 2.0, 2.5):
        directory.sweep()
    assert serving_addresses(directory) == ["10.0.1.1:7100"]


async def test_sidecar_lost_with_both_home_entries_is_removed():
    """Guard against a record that persists because its home entries are dead."""
    clock = ManualClock()
    directory = make_directory(clock)
    directory.merge([make_record()])
    for step in range(14):
        clock.now_s = step * 0.5
        directory.sweep()
    assert serving_addresses(directory) == []


async def test_pause_of_the_entry_does_not_remove_its_sidecars():
    """Guard against sidecars declared dead for heartbeats missed in a pause."""
    clock = ManualClock()
    directory = make_directory(clock)
    await directory.heartbeat(heartbeat())
    directory.sweep()
    clock.now_s = 8.0
    directory.sweep()
    assert serving_addresses(directory) == ["10.0.1.1:7100"]


@pytest.mark.parametrize("incarnation", [9, 11])
async def test_restarted_sidecar_replaces_its_earlier_record(incarnation):
    """Guard against the record or load report of an earlier process."""
    directory = make_directory(ManualClock())
    await directory.heartbeat(heartbeat())
    directory.merge([make_record(incarnation=incarnation)])
    (found,) = directory.serving("small", "r1")
    assert found.record.incarnation == max(10, incarnation)
    assert found.load.queued == (3 if incarnation == 9 else 0)


async def test_reply_names_the_home_entries():
    """Guard against sidecars that do not receive new home entries after a join."""
    directory = make_directory(ManualClock())
    reply = await directory.heartbeat(heartbeat())
    assert sorted(reply.home_entries) == ENTRIES


async def test_heartbeat_without_record_needs_a_known_one():
    """Guard against a restarted entry that does not request the missing record."""
    directory = make_directory(ManualClock())
    record = make_record()
    short = SidecarHeartbeat(
        load=LoadReport(queued=3),
        address=record.address,
        incarnation=record.incarnation,
        sequence=record.sequence,
    )
    assert (await directory.heartbeat(short)).wants_record
    assert directory.record(record.address) is None
    first = await directory.heartbeat(heartbeat())
    assert first.home_entries
    again = await directory.heartbeat(short)
    assert not again.wants_record
    assert again.home_entries == []
