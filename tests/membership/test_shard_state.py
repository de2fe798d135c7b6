"""Tests of the grant rules of shard succession."""

from __future__ import annotations

import pytest

from lentilroad.membership.shard_state import Promise, ShardRecords
from lentilroad.wire.messages import GrantRequest, ShardRecord
from tests.membership.test_sidecars import ManualClock

SHARD = "r1/0000"
BASE = ShardRecord(
    epoch=5,
    owner="o",
    standby="s",
    arbiter="a",
    owner_started_ms=1,
    standby_started_ms=1,
    arbiter_started_ms=1,
)


def make_records(address, started_ms=1, ended=()):
    """Return the records of one entry, and the log of its callbacks."""
    log = []
    records = ShardRecords(
        address=address,
        started_ms=started_ms,
        clock=ManualClock(),
        on_gained=lambda shard, record: log.append(("gained", record.epoch)),
        on_lost=lambda shard: log.append(("lost",)),
        on_changed=lambda shard, record: log.append(("changed", record.epoch)),
        process_ended=lambda address, started_ms: address in ended,
    )
    return records, log


def proposal(proposer, *, epoch=6, owner=None, standby="a", arbiter="b"):
    """Return a request for the record after BASE."""
    record = ShardRecord(
        epoch=epoch, owner=owner or proposer, standby=standby, arbiter=arbiter
    )
    return GrantRequest(shard=SHARD, record=record, base=BASE, proposer=proposer)


@pytest.mark.parametrize("order", [("o", "s"), ("s", "o")])
def test_arbiter_grants_the_next_epoch_once(order):
    """Guard against owner and standby both continuing after they lose contact."""
    records, _ = make_records("a")
    first, second = (proposal(proposer) for proposer in order)
    assert records.grant(first).granted
    reply = records.grant(second)
    assert not reply.granted
    assert reply.highest == first.record
    assert not reply.in_force
    # A higher epoch is refused too: the first grant may already be in force.
    assert not records.grant(proposal(order[1], epoch=9)).granted


def test_repeated_request_gets_the_same_answer():
    """Guard against a proposer that is blocked by a lost reply."""
    records, _ = make_records("a")
    assert records.grant(proposal("s")).granted
    assert records.grant(proposal("s")).granted


def test_restarted_arbiter_grants_nothing():
    """Guard against a second grant by a process that has lost its earlier grants."""
    records, _ = make_records("a", started_ms=2)
    assert not records.grant(proposal("s")).granted


def test_grant_to_an_ended_process_does_not_block_the_owner():
    """Guard against a standby that cannot be replaced after it died in a takeover."""
    ended = []
    records, _ = make_records("a", ended=ended)
    assert records.grant(proposal("s")).granted
    assert not records.grant(proposal("o", epoch=7)).granted
    ended.append("s")
    assert not records.grant(proposal("o", epoch=6)).granted
    assert records.grant(proposal("o", epoch=7)).granted
    assert not records.accepts(SHARD, 6, "s")


def test_entry_outside_the_record_neither_proposes_nor_grants():
    """Guard against decisions by entries without a role in the record."""
    records, _ = make_records("a")
    assert not records.grant(proposal("x")).granted
    records, _ = make_records("x")
    assert not records.grant(proposal("s")).granted


def test_owner_never_grants_a_proposal_of_its_standby():
    """Guard against two entries that serve a shard at once.

    A standby needs the grant of the arbiter.
    """
    records, _ = make_records("o")
    records.merge(SHARD, BASE)
    assert not records.grant(proposal("s", standby="o")).granted


def test_proposal_for_a_replaced_record_is_refused():
    """Guard against a resumed owner that does not receive the record in force."""
    records, _ = make_records("a")
    later = ShardRecord(epoch=6, owner="s", standby="a", arbiter="b")
    records.merge(SHARD, later)
    reply = records.grant(proposal("o", epoch=7))
    assert (reply.granted, reply.highest, reply.in_force) == (False, later, True)


def test_standby_abandons_its_proposal_for_the_owners_proposal():
    """Guard against a dead arbiter that cannot be replaced.

    The standby has proposed a takeover and got no reply from that arbiter.
    """
    records, _ = make_records("s")
    records.merge(SHARD, BASE)
    own = proposal("s").record
    records.states[SHARD].promise = Promise(record=own, proposer="s")
    assert not records.grant(proposal("o", epoch=6, standby="s")).granted
    assert records.grant(proposal("o", epoch=7, standby="s")).granted
    assert records.states[SHARD].promise.record.epoch == 7


def test_granted_epoch_is_in_force_only_after_its_owner_acts():
    """Guard against an arbiter that becomes standby by an abandoned proposal."""
    records, _ = make_records("a")
    records.merge(SHARD, BASE)
    assert records.grant(proposal("s")).granted
    assert records.states[SHARD].record == BASE
    assert records.standby_states() == []
    assert not records.accepts(SHARD, 6, "o")
    assert records.accepts(SHARD, 6, "s")
    assert records.states[SHARD].record.epoch == 6
    assert not records.accepts(SHARD, 5, "o")


def test_standby_of_a_sole_owner_waits_for_its_first_message():
    """Guard against a takeover from a sole owner that may still commit alone.

    The owner may not have received the record that names the standby.
    """
    records, _ = make_records("s")
    record = ShardRecord(epoch=3, owner="o", standby="s", from_sole_owner=True)
    records.merge(SHARD, record)
    assert not records.states[SHARD].activated
    assert records.accepts(SHARD, 3, "o")
    assert records.states[SHARD].activated


def test_callbacks_report_gain_change_and_loss():
    """Guard against programs that are dropped or loaded at the wrong time."""
    records, log = make_records("o")
    records.merge(SHARD, BASE)
    records.decide(SHARD, ShardRecord(epoch=6, owner="o", standby="a"))
    records.merge(SHARD, ShardRecord(epoch=5, owner="x"))
    records.merge(SHARD, ShardRecord(epoch=7, owner="a", standby="x"))
    assert log == [("gained", 5), ("changed", 6), ("lost",)]


def test_owner_that_missed_epochs_loses_and_regains_the_shard():
    """Guard against programs that lack the commits of an owner in between."""
    records, log = make_records("o")
    records.merge(SHARD, BASE)
    records.merge(SHARD, ShardRecord(epoch=8, owner="o", standby="a"))
    assert log == [("gained", 5), ("lost",), ("gained", 8)]


def test_owner_keeps_the_shard_under_its_own_proposal():
    """Guard against an owner that drops its programs when it gets a standby by CAS."""
    records, log = make_records("o")
    records.merge(SHARD, BASE)
    extended = ShardRecord(epoch=6, owner="o", standby="x")
    records.proposed[SHARD] = extended
    records.merge(SHARD, extended)
    assert log == [("gained", 5), ("changed", 6)]


def test_record_of_an_earlier_process_gives_no_ownership():
    """Guard against a restarted entry, which has no programs, acting as their owner."""
    records, log = make_records("o", started_ms=2)
    records.merge(SHARD, BASE)
    assert records.owned_states() == []
    assert log == []
