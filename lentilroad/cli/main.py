"""lentilroad, a scheduler for agent programs.

Usage:
  lentilroad version [--json]
  lentilroad (-h | --help)

Options:
  --json     Print JSON.
  -h --help  Show this text.
"""

from __future__ import annotations

import json
import sys

from docopt import docopt

from lentilroad import __version__


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    arguments = docopt(__doc__, argv=argv)
    text = json.dumps({"version": __version__}) if arguments["--json"] else __version__
    sys.stdout.write(text + "\n")
    return 0
