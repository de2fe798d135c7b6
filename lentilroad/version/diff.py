"""What changes in effect between two configurations."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from lentilroad.version.model import Configuration


@dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """One value that differs; None on a side means that it is absent."""

    key_path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.key_path}: {_show(self.after)}"
        if self.after is None:
            return f"- {self.key_path}: {_show(self.before)}"
        return f"~ {self.key_path}: {_show(self.before)} -> {_show(self.after)}"


def _show(value: Any) -> str:
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= 80 else text[:77] + "..."


def diff_configurations(
    before: Configuration | None, after: Configuration
) -> list[Change]:
    """Compare two configurations with all defaults filled in.

    Comments, order and values written out that equal a default are no change.

    Parameters
    ----------
    before : Configuration or None
        None when nothing is in force yet.
    after : Configuration
        The new configuration.

    Returns
    -------
    list[Change]
        Sorted by key path.
    """
    left = _flat(before) if before is not None else {}
    changes = _walk("", left, _flat(after))
    return sorted(changes, key=lambda change: change.key_path)


def _flat(configuration: Configuration) -> dict[str, Any]:
    plain = msgspec.to_builtins(configuration)
    # The values of `general` stand at the top level of the operators' text.
    return {**plain.pop("general"), **plain}


def _walk(path: str, left: Any, right: Any) -> Iterator[Change]:
    if left == right:
        return
    if not isinstance(left, dict) or not isinstance(right, dict):
        yield Change(key_path=path, before=left, after=right)
        return
    for key in left.keys() | right.keys():
        below = f"{path}.{key}" if path else key
        yield from _walk(below, left.get(key), right.get(key))
