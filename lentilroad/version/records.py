"""Immutable values of the configuration in the key-value service."""

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
    """An accepted change, with the encoded head and the parts to distribute."""

    head: Head
    head_value: bytes
    parts: dict[str, bytes]
    # False if the text is identical to the text of the newest version.
    changed: bool = True


def version_key(version: int) -> str:
    """Return the key of a version's permanent record."""
    return f"{VERSION_PREFIX}{version:012d}"


def not_written_error() -> UnavailableError:
    """Return the error of a change that was not written."""
    return UnavailableError(
        "the key-value service is unavailable and the configuration is unchanged; "
        "repeat the command when the service is available again",
        outcome="not_run",
    )


async def read_part(key_value: KeyValueStore, digest: str) -> bytes:
    """Read a part from the key-value service.

    Raises
    ------
    NotFoundError
        The service does not store the part.
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
    """Write an immutable value, unless its key exists already.

    Raises
    ------
    UnavailableError
        All attempts failed; the configuration is unchanged.
    """
    for attempt in range(WRITE_ATTEMPTS):
        try:
            await key_value.compare_and_swap(key=key, value=value, expected_revision=0)
            return
        except ConflictError:
            return
        except UnavailableError:
            await pause(attempt)
    raise not_written_error()


async def restore_swept_parts(
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
        # The change is accepted, and the sweeper restores used parts as well.
        eliot.log_message(
            message_type="version:parts_not_confirmed", reason=error.message
        )


def outcome_unknown_error(write_id: str) -> OutcomeUnknownError:
    """Return the error of a change that may have taken effect."""
    return OutcomeUnknownError(
        "the key-value service did not confirm the change; repeat the command with "
        f"--write-id {write_id}, which cannot apply it twice"
    )


def head_not_attempted_error(write_id: str | None) -> LentilroadError:
    """Return the error of an outage before this attempt wrote the head.

    If the operator gave a write id, an earlier attempt may have written the head.
    """
    return not_written_error() if write_id is None else outcome_unknown_error(write_id)


def has_same_content(
    head: Head, parts: dict[str, bytes], text_digests: list[str]
) -> bool:
    """Return whether a head has these parts and this text."""
    return head.parts == list(parts) and head.text_parts == text_digests
