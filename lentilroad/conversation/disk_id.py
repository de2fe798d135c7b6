"""Identity of a disk, which distinguishes an emptied disk from its predecessor."""

from __future__ import annotations

import os
import secrets
from pathlib import Path

DISK_FILE = "disk-id"


def read_disk_id(folder: Path) -> tuple[str, bool]:
    """Return the identity of the disk and whether it is new.

    Parameters
    ----------
    folder : Path
        Data folder; an empty one gets a new identity.
    """
    path = folder / DISK_FILE
    try:
        content = path.read_text(encoding="ascii").strip()
    except (FileNotFoundError, UnicodeDecodeError):
        content = ""
    if len(content) == 16:
        return content, False
    disk_id = secrets.token_hex(8)
    folder.mkdir(parents=True, exist_ok=True)
    with path.open("w", encoding="ascii") as file:
        file.write(disk_id)
        file.flush()
        os.fsync(file.fileno())
    return disk_id, True
