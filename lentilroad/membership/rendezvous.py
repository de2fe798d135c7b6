"""Rendezvous hashing: stable ranks of nodes without a shared table."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def score(key: str, node: str) -> int:
    """Return the 64-bit weight of a node for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in descending order of their weight for the key.

    Adding or removing a node does not change the relative order of the other nodes.
    """
    return sorted(nodes, key=lambda node: (-score(key, node), node))
