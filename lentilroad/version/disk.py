"""Copy of the configuration in force, stored in a process's data folder."""

from __future__ import annotations

import os
from pathlib import Path

import eliot
import msgspec

from lentilroad.version.parts import digest_of
from lentilroad.wire.untrusted import DECODING_ERRORS


class _SavedVersion(msgspec.Struct, kw_only=True):
    head: bytes
    parts: dict[str, bytes]


class ConfigurationDisk:
    """Stores the newest version that a process put in force.

    Parameters
    ----------
    folder : pathlib.Path
        Data folder of the process; created if it does not exist.
    """

    __slots__ = ("_content_path", "_highest_path")

    def __init__(self, *, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._content_path = folder / "configuration.msgpack"
        self._highest_path = folder / "configuration.version"

    def read_highest(self) -> int:
        """Return the highest version ever put in force, or 0 if it cannot be read."""
        try:
            return int(self._highest_path.read_text())
        except (OSError, ValueError):
            return 0

    def read(self) -> tuple[bytes, dict[str, bytes]] | None:
        """Return the encoded head and the parts, or None if missing or damaged."""
        try:
            saved = msgspec.msgpack.decode(
                self._content_path.read_bytes(), type=_SavedVersion
            )
        except FileNotFoundError:
            return None
        except (OSError, *DECODING_ERRORS) as error:
            eliot.log_message(
                message_type="version:disk_damaged",
                path=str(self._content_path),
                reason=str(error),
            )
            return None
        if any(digest_of(value) != name for name, value in saved.parts.items()):
            eliot.log_message(
                message_type="version:disk_damaged",
                path=str(self._content_path),
                reason="a part does not match its digest",
            )
            return None
        return saved.head, saved.parts

    def write(self, *, version: int, head: bytes, parts: dict[str, bytes]) -> None:
        """Save a version before it is put in force.

        The version number is saved before the content: after a power loss in
        between, the process refuses lower versions and pulls the content from a peer.
        """
        _write_atomically(self._highest_path, str(version).encode())
        _write_atomically(
            self._content_path,
            msgspec.msgpack.encode(_SavedVersion(head=head, parts=parts)),
        )


def _write_atomically(path: Path, value: bytes) -> None:
    temporary = path.with_suffix(path.suffix + ".new")
    with temporary.open("wb") as file:
        file.write(value)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
