"""Errors of the command line."""

from __future__ import annotations

from lentilroad.cli.const import EXIT_USAGE


class CommandError(Exception):
    """Failure of a command, with a message that says how to correct it.

    Parameters
    ----------
    message : str
        Text for the terminal.
    exit_code : int
        Exit code of the process.
    """

    def __init__(self, message: str, *, exit_code: int = EXIT_USAGE) -> None:
        super().__init__(message)
        self.exit_code = exit_code
