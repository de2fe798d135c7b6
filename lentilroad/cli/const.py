"""Exit codes and limits of the command line."""

from __future__ import annotations

EXIT_DONE = 0
EXIT_NO = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
KEY_VARIABLE = "LENTILROAD_KEY"
OPERATOR_TIMEOUT_S = 10.0
