"""Targets that are known to be missed."""

from __future__ import annotations

from pathlib import Path

KNOWN_RED = Path(__file__).resolve().parents[2] / "KNOWN-RED.txt"


def known_misses(path: Path = KNOWN_RED) -> set[str]:
    """Return the row names listed as ``bench <name>: ...`` in the file."""
    if not path.exists():
        return set()
    names = set()
    for line in path.read_text().splitlines():
        if line.startswith("bench "):
            names.add(line.removeprefix("bench ").split(":", 1)[0].strip())
    return names
