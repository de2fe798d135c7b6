"""Tests of the ranks that determine the owners of shards."""

from __future__ import annotations

from lentilroad.membership.rendezvous import rank

NODES = [f"10.0.0.{n}:7000" for n in range(10)]


def test_removing_a_node_keeps_the_order_of_the_others():
    """Guard against a lost entry that moves the shards of other entries."""
    for key in ("a", "b", "c"):
        ranked = rank(key, NODES)
        without = rank(key, [node for node in NODES if node != ranked[0]])
        assert without == ranked[1:]


def test_keys_spread_over_the_nodes():
    """Guard against one entry that receives most of the shards."""
    counts = dict.fromkeys(NODES, 0)
    for number in range(2000):
        counts[rank(f"shard-{number}", NODES)[0]] += 1
    assert min(counts.values()) > 140
    assert max(counts.values()) < 260
