"""What an operator learns when another one was faster."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import UTC, datetime

from lentilroad.errors import ConflictError, LentilroadError
from lentilroad.version.diff import Change, diff_configurations
from lentilroad.version.model import Configuration, Head

SHOWN_VERSIONS = 5
SHOWN_CHANGES = 10


class ConfigurationConflictError(ConflictError):
    """The configuration changed since the version that a change is based on.

    Parameters
    ----------
    message : str
        Who changed what and when, and how to rebase.
    current_version : int
        Version to rebase on.
    changes : list[str]
        What changed since the operator's version.
    overlapping : list[str]
        Key paths that the refused change touches as well.
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
    wanted: Configuration,
    read_record: Callable[[int], Awaitable[Head]],
    read_configuration: Callable[[Head], Awaitable[Configuration]],
) -> ConflictError:
    """Describe a conflict; details are left out when they cannot be read."""
    current_version = current.version if current else 0
    if current is None or based_on_version > current_version:
        return ConfigurationConflictError(
            f"the newest version is {current_version}, so a change cannot be based "
            f"on version {based_on_version}; give --based-on {current_version}",
            current_version=current_version,
            changes=[],
            overlapping=[],
        )
    heads = [current]
    theirs: list[Change] = []
    mine: list[Change] = []
    try:
        first = max(based_on_version + 1, current_version - SHOWN_VERSIONS + 1)
        for version in range(current_version - 1, first - 1, -1):
            heads.append(await read_record(version))
        base = None
        if based_on_version:
            base = await read_configuration(await read_record(based_on_version))
        theirs = diff_configurations(base, await read_configuration(current))
        mine = diff_configurations(base, wanted)
    except LentilroadError:
        # The conflict itself is certain; its details are only a help.
        pass
    overlapping = _overlap(theirs, mine)
    return ConfigurationConflictError(
        _message(heads, theirs, overlapping, based_on_version),
        current_version=current_version,
        changes=[str(change) for change in theirs],
        overlapping=overlapping,
    )


def _overlap(theirs: list[Change], mine: list[Change]) -> list[str]:
    paths = [change.key_path for change in theirs]
    return [
        change.key_path
        for change in mine
        if any(_touches(change.key_path, path) for path in paths)
    ]


def _touches(left: str, right: str) -> bool:
    return left == right or left.startswith(right + ".") or right.startswith(left + ".")


def _message(
    heads: list[Head], theirs: list[Change], overlapping: list[str], based_on: int
) -> str:
    newest = heads[0]
    lines = [f"the configuration has changed since version {based_on}:"]
    for head in heads:
        when = datetime.fromtimestamp(head.time_s, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
        lines.append(f"  version {head.version} by {head.author} at {when}")
    for change in theirs[:SHOWN_CHANGES]:
        lines.append(f"    {change}")
    if len(theirs) > SHOWN_CHANGES:
        lines.append(f"    and {len(theirs) - SHOWN_CHANGES} more changes")
    if overlapping:
        lines.append("  your change touches the same keys: " + ", ".join(overlapping))
    lines.append(
        f"read version {newest.version} with `lentilroad history --text "
        f"{newest.version}`, add your change to it, and apply it with --based-on "
        f"{newest.version}"
    )
    return "\n".join(lines)
