"""Run lentilroad on the platform's machines.

Usage:
  lentilroad-platform entry [--learn-speeds] [--settings FILE]
  lentilroad-platform storage [--settings FILE]
  lentilroad-platform check [--settings FILE]
  lentilroad-platform review CONFIGURATION [--in-force FILE]

Commands:
  entry    Serve callers and route to the workers.
  storage  Keep conversations and budgets on the disk of this machine.
  check    Check the settings file and exit.
  review   Check a configuration (JSON) before it is sent: errors, entries without
           effect, limits that contradict each other, and what differs from the
           configuration in force.

Options:
  --learn-speeds   Send less work to instances whose streams take longer than
                   those of the others.
  --settings FILE  Settings in the platform's format (TOML); the variable
                   LENTILROAD_BOOT names it when omitted.

  --in-force FILE  Configuration in force, to compare with.

Exit codes:
  0  done
  2  the settings or the reviewed configuration are wrong
"""

from __future__ import annotations

import json
import os
import socket
import sys
from pathlib import Path

from docopt import docopt

from lentilroad.connection.const import LISTEN_BACKLOG
from lentilroad.connection.listener import open_listener, split_address
from lentilroad.errors import ConfigurationError
from lentilroad.platform.settings import (
    SETTINGS_VARIABLE,
    ProcessSettings,
    read_settings,
    settings_path,
)


def main(arguments: list[str]) -> int:
    """Run one command; return the exit code."""
    options = docopt(__doc__, argv=arguments)
    if options["review"]:
        return _review(options["CONFIGURATION"], options["--in-force"])
    try:
        path = settings_path(dict(os.environ), SETTINGS_VARIABLE, options["--settings"])
        settings = read_settings(path)
    except ConfigurationError as error:
        print(json.dumps({"event": "settings_wrong", "error": error.message}))
        return 2
    if options["check"]:
        return 0
    if options["storage"]:
        return _run_storage(settings)
    return _run_entry(settings, learn_speeds=options["--learn-speeds"])


def _review(path: str, in_force: str | None) -> int:
    from lentilroad.platform.review import Severity, review_configuration

    try:
        content = Path(path).read_bytes()
        content_in_force = Path(in_force).read_bytes() if in_force else None
    except OSError as error:
        print(f"error: {error.filename}: {error.strerror}; name a readable file")
        return 2
    findings = review_configuration(content, content_in_force)
    for finding in findings:
        print(finding.line())
    return 2 if any(f.severity is Severity.ERROR for f in findings) else 0


def _run_entry(settings: ProcessSettings, *, learn_speeds: bool) -> int:
    # Listen first: callers that connect while the modules load wait in the backlog
    # instead of being refused.
    listener = _listen(settings.client_address)
    _skip_system_certificates()
    import uvloop

    from lentilroad.platform.entry import run_entry
    from lentilroad.process.events import start_event_log

    start_event_log(role="entry")
    uvloop.run(run_entry(settings, listener, learn_speeds=learn_speeds))
    return 0


def _run_storage(settings: ProcessSettings) -> int:
    _skip_system_certificates()
    import uvloop

    from lentilroad.platform.storage import run_storage
    from lentilroad.process.events import start_event_log

    start_event_log(role="storage")
    uvloop.run(run_storage(settings))
    return 0


def _listen(address: str) -> socket.socket:
    listener = open_listener(*split_address(address))
    listener.listen(LISTEN_BACKLOG)
    return listener


def _skip_system_certificates() -> None:
    """Keep aiohttp from loading the system's certificates on import.

    Connections on the platform have no TLS, and loading the certificates takes a
    sixth of the start-up time.
    """
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
