"""Configuration of eliot for logs in JSON lines."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TextIO

import eliot


def configure_logging(*, log_file: Path | None, role: str, address: str) -> TextIO:
    """Write log messages as JSON lines.

    Parameters
    ----------
    log_file : Path or None
        File to append to; standard error when None.
    role : str
        Role of the process, added to every line.
    address : str
        Address of the process, added to every line.

    Returns
    -------
    TextIO
        The open destination.
    """
    destination = sys.stderr
    if log_file is not None:
        log_file.parent.mkdir(parents=True, exist_ok=True)
        destination = log_file.open("a", encoding="utf-8", buffering=1)
    eliot.add_global_fields(role=role, address=address)
    eliot.to_file(destination)
    return destination
