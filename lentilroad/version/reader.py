"""Reading the operators' configuration from the key-value service."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lentilroad.adapters.key_value import KeyValueStore
from lentilroad.errors import NotFoundError
from lentilroad.version.const import HEAD_KEY, HISTORY_DEFAULT_COUNT
from lentilroad.version.model import Configuration, Head
from lentilroad.version.parts import decode_head, join_configuration
from lentilroad.version.records import read_part, version_key


class ConfigurationReader:
    """Read-only access to the versions in the key-value service.

    Parameters
    ----------
    key_value : KeyValueStore
        Key-value service of the platform.
    local_part : Callable
        Returns a part that this process stores, or None.
    """

    def __init__(
        self,
        *,
        key_value: KeyValueStore,
        local_part: Callable[[str], bytes | None],
    ) -> None:
        self._key_value = key_value
        self._local_part = local_part

    async def read_head(self) -> Head | None:
        """Return the newest accepted head, or None before the first version."""
        item = await self._key_value.read(key=HEAD_KEY)
        return decode_head(item.value) if item else None

    async def read_version(self, version: int) -> Head:
        """Return the head of one version.

        Raises
        ------
        NotFoundError
            The version does not exist.
        """
        head = await self.read_head()
        if head is not None and head.version == version:
            return head
        return await self._read_record(version)

    async def read_configuration(self, head: Head) -> Configuration:
        """Return the typed configuration of a version."""
        return join_configuration((await self._read_parts(head.parts)).values())

    async def read_text(self, head: Head) -> str:
        """Return the text that the operator applied."""
        values = await self._read_parts(head.text_parts)
        return b"".join(values[digest] for digest in head.text_parts).decode()

    async def history(
        self, count: int = HISTORY_DEFAULT_COUNT, *, before: int | None = None
    ) -> list[Head]:
        """Return the heads of the versions, newest first.

        Parameters
        ----------
        count : int
            Maximum number of versions to return.
        before : int, optional
            Return only versions below this number.
        """
        head = await self.read_head()
        if head is None:
            return []
        newest = head.version if before is None else min(before - 1, head.version)
        heads = []
        try:
            for version in range(newest, max(newest - count, 0), -1):
                is_head = version == head.version
                heads.append(head if is_head else await self._read_record(version))
        except NotFoundError:
            # The sweeper has removed this version and all older ones.
            pass
        return heads

    async def _read_record(self, version: int) -> Head:
        item = await self._key_value.read(key=version_key(version))
        if item is None:
            raise NotFoundError(
                f"version {version} does not exist; `lentilroad history` lists versions"
            )
        return decode_head(item.value)

    async def _read_parts(self, digests: Iterable[str]) -> dict[str, bytes]:
        parts = {}
        for digest in digests:
            local = self._local_part(digest)
            parts[digest] = local or await read_part(self._key_value, digest)
        return parts
