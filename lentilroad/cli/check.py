"""``lentilroad check``: check process settings or the operators' configuration."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from lentilroad.cli import configuration
from lentilroad.cli.const import EXIT_DONE, EXIT_FAULTS
from lentilroad.process.settings import SettingsError, load_settings


def _is_settings(path: str) -> bool:
    """Return whether a file has a ``role:`` line, as process settings do."""
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError):
        return False
    return any(line.startswith("role:") for line in lines)


def run_check(arguments: dict[str, Any]) -> int:
    """Run ``lentilroad check`` and return its exit code."""
    path = arguments["FILE"]
    if not _is_settings(path):
        return configuration.run_check(arguments)
    try:
        load_settings(path)
    except SettingsError as error:
        _print_report(arguments, [str(problem) for problem in error.problems])
        return EXIT_FAULTS
    _print_report(arguments, [])
    return EXIT_DONE


def _print_report(arguments: dict[str, Any], problems: list[str]) -> None:
    if arguments["--json"]:
        document = {"valid": not problems, "problems": problems}
        sys.stdout.write(json.dumps(document) + "\n")
        return
    lines = [*problems, f"{len(problems)} faults" if problems else "valid"]
    sys.stdout.write("\n".join(lines) + "\n")
