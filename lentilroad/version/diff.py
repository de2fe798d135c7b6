"""Effective differences between two configurations."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from lentilroad.version.model import Configuration


@dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """A value that differs; `before` or `after` is None where it is absent."""

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

    Comments, order and explicitly written default values do not count as changes.

    Parameters
    ----------
    before : Configuration or None
        None when no configuration is in force yet.
    after : Configuration
        The new configuration.

    Returns
    -------
    list[Change]
        Sorted by key path.
    """
    before_values = _top_level(before) if before is not None else {}
    changes = _changes_below("", before_values, _top_level(after))
    return sorted(changes, key=lambda change: change.key_path)


def _top_level(configuration: Configuration) -> dict[str, Any]:
    plain = msgspec.to_builtins(configuration)
    # In the operators' text the values of `general` are top-level keys.
    return {**plain.pop("general"), **plain}


def _changes_below(path: str, before: Any, after: Any) -> Iterator[Change]:
    if before == after:
        return
    if not isinstance(before, dict) or not isinstance(after, dict):
        yield Change(key_path=path, before=before, after=after)
        return
    for key in before.keys() | after.keys():
        child_path = f"{path}.{key}" if path else key
        yield from _changes_below(child_path, before.get(key), after.get(key))
