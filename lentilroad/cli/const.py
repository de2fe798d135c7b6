"""Exit codes and limits of the command line."""

from __future__ import annotations

EXIT_DONE = 0
EXIT_FAULTS = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNKNOWN = 5
EXIT_NOT_IN_FORCE = 6
CALLER_KEY_VARIABLE = "LENTILROAD_KEY"
