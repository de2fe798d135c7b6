"""Run lentilroad on the platform's machines.

Usage:
  lentilroad-platform entry [--learn-speeds] [--settings FILE]
  lentilroad-platform storage [--settings FILE]
  lentilroad-platform check [--settings FILE]

Commands:
  entry    Serve callers and route to the workers.
  storage  Keep conversations and budgets on the disk of this machine.
  check    Check the settings file and exit.

Options:
  --learn-speeds   Send less work to instances whose streams take longer than
                   those of the others.
  --settings FILE  Settings in the platform's format (TOML); the variable
                   LENTILROAD_BOOT names it when omitted.

Exit codes:
  0  done
  2  the settings are wrong
"""

from __future__ import annotations

import json
import os
import socket
import sys

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
