"""Run lentilroad on the platform's machines.

Usage:
  lentilroad-platform (entry | storage) [--settings FILE]
  lentilroad-platform check [--settings FILE]

Commands:
  entry    Serve callers and route to the workers.
  storage  Keep conversations and budgets on the disk of this machine.
  check    Check the settings file and exit.

Options:
  --settings FILE  Settings in the platform's format (TOML); the variable
                   LENTILROAD_BOOT names it when omitted.

Exit codes:
  0  done
  2  the settings are wrong
"""

from __future__ import annotations

import os
import sys

import uvloop
from docopt import docopt

from lentilroad.errors import ConfigurationError
from lentilroad.platform.roles import run_entry, run_storage, settings_path
from lentilroad.platform.settings import SETTINGS_VARIABLE, read_settings
from lentilroad.process.events import log_event, start_event_log


def main(arguments: list[str]) -> int:
    """Run one role; returns the exit code."""
    given = docopt(__doc__, argv=arguments)
    role = "entry" if given["entry"] else "storage"
    start_event_log(role=role)
    try:
        path = settings_path(dict(os.environ), SETTINGS_VARIABLE, given["--settings"])
        settings = read_settings(path)
    except ConfigurationError as error:
        log_event("settings_wrong", error=error.message)
        return 2
    if given["check"]:
        return 0
    uvloop.run(run_entry(settings) if given["entry"] else run_storage(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
