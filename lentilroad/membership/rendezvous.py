"""Rendezvous hashing: stable ranks without a table that must be agreed on."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def score(key: str, node: str) -> int:
    """Return the weight of a node for a key, 64 bits."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes by falling weight for the key.

    Adding or removing one node changes only the ranks that it takes or leaves.
    """
    return sorted(nodes, key=lambda node: (-score(key, node), node))
