"""Identity of a disk, by which an emptied one is told from the one before."""

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
        found = path.read_text(encoding="ascii").strip()
    except (FileNotFoundError, UnicodeDecodeError):
        found = ""
    if len(found) == 16:
        return found, False
    disk_id = secrets.token_hex(8)
    folder.mkdir(parents=True, exist_ok=True)
    with path.open("w", encoding="ascii") as file:
        file.write(disk_id)
        file.flush()
        os.fsync(file.fileno())
    return disk_id, True
