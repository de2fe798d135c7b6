"""Values of the configuration that are written once and never change."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import eliot

from lentilroad.adapters.key_value import KeyValueStore
from lentilroad.errors import (
    ConflictError,
    LentilroadError,
    NotFoundError,
    OutcomeUnknownError,
    UnavailableError,
)
from lentilroad.version.const import PART_PREFIX, VERSION_PREFIX, WRITE_ATTEMPTS
from lentilroad.version.model import Head


@dataclass(slots=True, kw_only=True, frozen=True)
class AppliedChange:
    """Result of an accepted change; `head_value` and `parts` can be distributed."""

    head: Head
    head_value: bytes
    parts: dict[str, bytes]
    # False when the text has the same effect and wording as the version in force.
    changed: bool = True


def version_key(version: int) -> str:
    """Return the key of a version's permanent record."""
    return f"{VERSION_PREFIX}{version:012d}"


def unchanged_error() -> UnavailableError:
    """Return the error of a change that certainly had no effect."""
    return UnavailableError(
        "the key-value service is unavailable and the configuration is unchanged; "
        "repeat the command when the service is back",
        outcome="not_run",
    )


async def read_part(key_value: KeyValueStore, digest: str) -> bytes:
    """Return a part.

    Raises
    ------
    NotFoundError
        The service does not hold the part.
    """
    item = await key_value.read(key=PART_PREFIX + digest)
    if item is None:
        raise NotFoundError(
            f"part {digest} is missing in the key-value service; apply the "
            "operators' file again"
        )
    return item.value


async def write_once(
    key_value: KeyValueStore,
    key: str,
    value: bytes,
    *,
    pause: Callable[[int], Awaitable[None]],
) -> None:
    """Write a value that never changes; an existing one is the same.

    Raises
    ------
    UnavailableError
        The service stays unavailable; the configuration is unchanged.
    """
    for attempt in range(WRITE_ATTEMPTS):
        try:
            await key_value.compare_and_swap(key=key, value=value, expected_revision=0)
            return
        except ConflictError:
            return
        except UnavailableError:
            await pause(attempt)
    raise unchanged_error()


async def rewrite_swept(
    key_value: KeyValueStore,
    parts: dict[str, bytes],
    *,
    pause: Callable[[int], Awaitable[None]],
) -> None:
    """Write parts again that a sweep removed before the head was written."""
    try:
        for digest, value in parts.items():
            if await key_value.read(key=PART_PREFIX + digest) is None:
                await write_once(key_value, PART_PREFIX + digest, value, pause=pause)
    except UnavailableError as error:
        # The change is accepted; the sweep makes the same check on its side.
        eliot.log_message(
            message_type="version:parts_not_confirmed", reason=error.message
        )


def unknown_error(write_id: str) -> OutcomeUnknownError:
    """Return the error of a change that may have taken effect."""
    return OutcomeUnknownError(
        "the key-value service did not confirm the change; repeat the command with "
        f"--write-id {write_id}, which cannot apply it twice"
    )


def before_write_error(write_id: str | None) -> LentilroadError:
    """Return the error of an outage before this attempt wrote the head.

    A given write id may belong to an earlier attempt that did write it.
    """
    return unchanged_error() if write_id is None else unknown_error(write_id)


def same_content(head: Head, parts: dict[str, bytes], text_digests: list[str]) -> bool:
    """Tell whether a head has these parts and this wording."""
    return head.parts == list(parts) and head.text_parts == text_digests
