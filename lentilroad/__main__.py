"""Run the command line with ``python -m lentilroad``."""

from __future__ import annotations

import sys

from lentilroad.cli.main import main

if __name__ == "__main__":
    sys.exit(main())
