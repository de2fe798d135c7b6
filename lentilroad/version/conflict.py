"""Errors for configuration changes that conflict with a newer version."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import UTC, datetime

from lentilroad.errors import ConflictError, LentilroadError
from lentilroad.version.diff import Change, diff_configurations
from lentilroad.version.model import Configuration, Head

MAX_VERSIONS_SHOWN = 5
MAX_CHANGES_SHOWN = 10


class ConfigurationConflictError(ConflictError):
    """The configuration changed since the version that a change is based on.

    Parameters
    ----------
    message : str
        Authors, times and changes of the newer versions, and how to rebase.
    current_version : int
        Version to rebase on.
    changes : list[str]
        Changes since the version that the operator's change is based on.
    overlapping : list[str]
        Key paths that the refused change modifies as well.
    """

    def __init__(
        self,
        message: str,
        *,
        current_version: int,
        changes: list[str],
        overlapping: list[str],
    ) -> None:
        super().__init__(message)
        self.current_version = current_version
        self.changes = changes
        self.overlapping = overlapping


async def conflict_error(
    *,
    current: Head | None,
    based_on_version: int,
    proposed: Configuration,
    read_record: Callable[[int], Awaitable[Head]],
    read_configuration: Callable[[Head], Awaitable[Configuration]],
) -> ConflictError:
    """Build the error of a conflict, without details that cannot be read."""
    current_version = current.version if current else 0
    if current is None or based_on_version > current_version:
        return ConfigurationConflictError(
            f"the newest version is {current_version}, so a change cannot be based "
            f"on version {based_on_version}; use --based-on {current_version}",
            current_version=current_version,
            changes=[],
            overlapping=[],
        )
    heads = [current]
    current_changes: list[Change] = []
    own_changes: list[Change] = []
    try:
        first = max(based_on_version + 1, current_version - MAX_VERSIONS_SHOWN + 1)
        for version in range(current_version - 1, first - 1, -1):
            heads.append(await read_record(version))
        base = None
        if based_on_version:
            base = await read_configuration(await read_record(based_on_version))
        current_changes = diff_configurations(base, await read_configuration(current))
        own_changes = diff_configurations(base, proposed)
    except LentilroadError:
        # The conflict is certain, so it is reported even without its details.
        pass
    overlapping = _overlapping_paths(current_changes, own_changes)
    return ConfigurationConflictError(
        _message(heads, current_changes, overlapping, based_on_version),
        current_version=current_version,
        changes=[str(change) for change in current_changes],
        overlapping=overlapping,
    )


def _overlapping_paths(
    current_changes: list[Change], own_changes: list[Change]
) -> list[str]:
    paths = [change.key_path for change in current_changes]
    return [
        change.key_path
        for change in own_changes
        if any(_is_same_or_nested(change.key_path, path) for path in paths)
    ]


def _is_same_or_nested(left: str, right: str) -> bool:
    return left == right or left.startswith(right + ".") or right.startswith(left + ".")


def _message(
    heads: list[Head],
    current_changes: list[Change],
    overlapping: list[str],
    based_on: int,
) -> str:
    newest = heads[0]
    lines = [f"the configuration has changed since version {based_on}:"]
    for head in heads:
        when = datetime.fromtimestamp(head.time_s, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
        lines.append(f"  version {head.version} by {head.author} at {when}")
    for change in current_changes[:MAX_CHANGES_SHOWN]:
        lines.append(f"    {change}")
    if len(current_changes) > MAX_CHANGES_SHOWN:
        lines.append(f"    and {len(current_changes) - MAX_CHANGES_SHOWN} more changes")
    if overlapping:
        lines.append("  your change modifies the same keys: " + ", ".join(overlapping))
    lines.append(
        f"read version {newest.version} with `lentilroad history --text "
        f"{newest.version}`, add your change to it, and apply it with --based-on "
        f"{newest.version}"
    )
    return "\n".join(lines)
