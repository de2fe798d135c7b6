"""Storage of the operators' configuration in the key-value service."""

from __future__ import annotations

import random as random_module
from collections.abc import Awaitable, Callable

import eliot

from lentilroad.adapters.key_value import KeyValueItem, KeyValueStore
from lentilroad.clock import Clock
from lentilroad.errors import (
    ConflictError,
    NotFoundError,
    UnavailableError,
)
from lentilroad.version.conflict import conflict_error
from lentilroad.version.const import (
    HEAD_KEY,
    MAX_CHANGES_IN_HEAD,
    PART_PREFIX,
    RETRY_BACKOFF_MAX_S,
    RETRY_BACKOFF_MIN_S,
    WRITE_ATTEMPTS,
    WRITE_BURST,
    WRITE_PAUSE_S,
)
from lentilroad.version.diff import diff_configurations
from lentilroad.version.model import Configuration, Head
from lentilroad.version.parts import (
    decode_head,
    digest_of,
    encode_head,
    join_configuration,
    split_configuration,
    split_text,
)
from lentilroad.version.reader import ConfigurationReader
from lentilroad.version.records import (
    AppliedChange,
    has_same_content,
    head_not_attempted_error,
    not_written_error,
    outcome_unknown_error,
    restore_swept_parts,
    version_key,
    write_once,
)
from lentilroad.version.text import compile_text

OnApplied = Callable[[AppliedChange], Awaitable[None]]


class ConfigurationStore(ConfigurationReader):
    """Stores versions of the operators' configuration; version numbers only increase.

    Parameters
    ----------
    key_value : KeyValueStore
        Key-value service of the platform.
    clock : Clock
        Time source for change times and retry delays.
    random : random.Random
        Random source for write ids and jitter.
    on_applied : Callable, optional
        Called with each accepted change, such as
        `ConfigurationDistributor.distribute`.
    local_part : Callable, optional
        Returns a part that this process stores, such as
        `ConfigurationDistributor.local_part`; saves reads of the service.
    new_write_id : Callable, optional
        Returns a unique write id.
    """

    def __init__(
        self,
        *,
        key_value: KeyValueStore,
        clock: Clock,
        random: random_module.Random | None = None,
        on_applied: OnApplied | None = None,
        local_part: Callable[[str], bytes | None] = lambda digest: None,
        new_write_id: Callable[[], str] | None = None,
    ) -> None:
        super().__init__(key_value=key_value, local_part=local_part)
        self._clock = clock
        self._random = random or random_module.SystemRandom()
        self._on_applied = on_applied
        self._new_write_id = new_write_id or self._random_write_id

    def _random_write_id(self) -> str:
        return f"{self._random.getrandbits(128):032x}"

    async def apply(
        self,
        text: str,
        author: str,
        based_on_version: int,
        *,
        write_id: str | None = None,
    ) -> AppliedChange:
        """Validate a text and store it as the next version.

        Parameters
        ----------
        text : str
            The whole YAML document.
        author : str
            Name of the operator, recorded in the history.
        based_on_version : int
            Version that the change is based on; 0 before the first version.
        write_id : str, optional
            Idempotency key of the change: a repeat with the same id after a lost
            answer is not applied twice.

        Raises
        ------
        InvalidTextError
            The text is invalid.
        ConfigurationConflictError
            The configuration has changed since `based_on_version`; the error names
            the changes, their authors and how to rebase.
        UnavailableError
            The key-value service is unavailable; nothing was changed.
        OutcomeUnknownError
            The answer to the write was lost and the service stays unavailable.
        """
        configuration = compile_text(text)
        text_values = split_text(text)
        return await self._change(
            configuration=configuration,
            parts=split_configuration(configuration),
            text_parts={digest_of(value): value for value in text_values},
            text_digests=[digest_of(value) for value in text_values],
            author=author,
            based_on_version=based_on_version,
            write_id=write_id,
        )

    async def rollback(
        self,
        version: int,
        author: str,
        based_on_version: int,
        *,
        write_id: str | None = None,
    ) -> AppliedChange:
        """Store the content of an earlier version as the next version; see `apply`."""
        try:
            old = await self.read_version(version)
            parts = await self._read_parts(old.parts)
            text_parts = await self._read_parts(old.text_parts)
        except UnavailableError as error:
            raise head_not_attempted_error(write_id) from error
        return await self._change(
            configuration=join_configuration(parts.values()),
            parts=parts,
            text_parts=text_parts,
            text_digests=old.text_parts,
            author=author,
            based_on_version=based_on_version,
            write_id=write_id,
            restored=version,
        )

    async def _change(
        self,
        *,
        configuration: Configuration,
        parts: dict[str, bytes],
        text_parts: dict[str, bytes],
        text_digests: list[str],
        author: str,
        based_on_version: int,
        write_id: str | None,
        restored: int | None = None,
    ) -> AppliedChange:
        change_id = write_id or self._new_write_id()
        try:
            item = await self._key_value.read(key=HEAD_KEY)
            current = decode_head(item.value) if item else None
            written = await self._find_written(current, based_on_version + 1, change_id)
            if written is not None:
                return await self._applied(written, parts)
            if (current.version if current else 0) != based_on_version:
                raise await self._conflict(current, based_on_version, configuration)
            if current is not None and has_same_content(current, parts, text_digests):
                # Restores parts of the newest version that the service has lost.
                await self._restore_parts({**parts, **text_parts})
                value = encode_head(current)
                return AppliedChange(
                    head=current, head_value=value, parts=parts, changed=False
                )
            changes, stored = await self._changes(current, configuration)
            await self._write_parts({**parts, **text_parts}, stored)
            if item is not None:
                await self._write_once(version_key(based_on_version), item.value)
        except UnavailableError as error:
            raise head_not_attempted_error(write_id) from error
        head = Head(
            version=based_on_version + 1,
            parent=based_on_version,
            author=author,
            time_s=self._clock.time_s(),
            write_id=change_id,
            parts=list(parts),
            text_parts=text_digests,
            restored=restored,
            changes=changes,
            action="rollback" if restored is not None else "apply",
        )
        head = await self._swap_head(head, item, configuration)
        new = {k: v for k, v in {**parts, **text_parts}.items() if k not in stored}
        await self._restore_parts(new)
        return await self._applied(head, parts)

    async def _changes(
        self, current: Head | None, configuration: Configuration
    ) -> tuple[list[str], set[str]]:
        """Return the list of changes, and the digests that are stored already."""
        if current is None:
            return [], set()
        try:
            before = await self.read_configuration(current)
        except NotFoundError as error:
            return [f"unknown: {error.message}"], set()
        changes = [str(change) for change in diff_configurations(before, configuration)]
        rest = len(changes) - MAX_CHANGES_IN_HEAD
        if rest > 0:
            changes = [*changes[:MAX_CHANGES_IN_HEAD], f"and {rest} more changes"]
        return changes, {*current.parts, *current.text_parts}

    async def _applied(self, head: Head, parts: dict[str, bytes]) -> AppliedChange:
        eliot.log_message(
            message_type="version:applied",
            version=head.version,
            author=head.author,
            action=head.action,
            write_id=head.write_id,
            change_count=len(head.changes),
        )
        applied = AppliedChange(head=head, head_value=encode_head(head), parts=parts)
        if self._on_applied is not None:
            await self._on_applied(applied)
        return applied

    async def _find_written(
        self, current: Head | None, version: int, write_id: str
    ) -> Head | None:
        """Return the head of `version` if it has the write id, else None."""
        if current is None or current.version < version:
            return None
        head = current
        if current.version > version:
            try:
                head = await self._read_record(version)
            except NotFoundError as error:
                raise outcome_unknown_error(write_id) from error
        return head if head.write_id == write_id else None

    async def _swap_head(
        self, head: Head, item: KeyValueItem | None, configuration: Configuration
    ) -> Head:
        """Replace the head and return the stored one.

        Every attempt expects the same revision, so at most one attempt takes effect,
        even if an earlier attempt is delayed.
        """
        may_be_written = False
        for attempt in range(WRITE_ATTEMPTS):
            try:
                await self._key_value.compare_and_swap(
                    key=HEAD_KEY,
                    value=encode_head(head),
                    expected_revision=item.revision if item else 0,
                )
                return head
            except ConflictError:
                written = await self._read_back(head, configuration, may_be_written)
                if written is not None:
                    return written
            except UnavailableError as error:
                may_be_written = may_be_written or error.outcome != "not_run"
            await self._pause(attempt)
        raise (
            outcome_unknown_error(head.write_id)
            if may_be_written
            else not_written_error()
        )

    async def _read_back(
        self, head: Head, configuration: Configuration, may_be_written: bool
    ) -> Head | None:
        """Return the stored head if an earlier attempt of this change wrote it.

        Returns None if the head cannot be read and this change may have been written.
        """
        try:
            current = await self.read_head()
            written = await self._find_written(current, head.version, head.write_id)
        except UnavailableError as error:
            if may_be_written:
                return None
            raise ConflictError(
                "another operator changed the configuration first, and the "
                "key-value service is unavailable; run `lentilroad history` later"
            ) from error
        if written is None:
            raise await self._conflict(current, head.parent, configuration)
        return written

    async def _conflict(
        self, current: Head | None, based_on_version: int, proposed: Configuration
    ) -> ConflictError:
        return await conflict_error(
            current=current,
            based_on_version=based_on_version,
            proposed=proposed,
            read_record=self._read_record,
            read_configuration=self.read_configuration,
        )

    async def _write_parts(self, parts: dict[str, bytes], stored: set[str]) -> None:
        new = [digest for digest in parts if digest not in stored]
        for index, digest in enumerate(new):
            if index >= WRITE_BURST:
                await self._clock.sleep(WRITE_PAUSE_S)
            await self._write_once(PART_PREFIX + digest, parts[digest])

    async def _restore_parts(self, parts: dict[str, bytes]) -> None:
        await restore_swept_parts(self._key_value, parts, pause=self._pause)

    async def _write_once(self, key: str, value: bytes) -> None:
        await write_once(self._key_value, key, value, pause=self._pause)

    async def _pause(self, attempt: int) -> None:
        delay_s = min(RETRY_BACKOFF_MAX_S, RETRY_BACKOFF_MIN_S * 2**attempt)
        await self._clock.sleep(delay_s * self._random.uniform(0.5, 1.0))
