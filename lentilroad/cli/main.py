"""lentilroad, a scheduler for agent programs.

Usage:
  lentilroad entry --settings FILE
  lentilroad sidecar --settings FILE
  lentilroad dev [--port PORT]
  lentilroad standin KIND --listen ADDRESS [--model NAME] [--step-ms MS]
  lentilroad check FILE [--json]
  lentilroad diff FILE [--url URL] [--key-file PATH] [--json]
  lentilroad apply FILE [--url URL] [--key-file PATH] [--author NAME]
                   [--based-on VERSION] [--write-id ID] [--no-wait] [--wait SECONDS]
                   [--json]
  lentilroad history [--url URL] [--key-file PATH] [--count COUNT] [--text VERSION]
                     [--json]
  lentilroad rollback VERSION [--url URL] [--key-file PATH] [--author NAME]
                      [--based-on VERSION] [--write-id ID] [--no-wait]
                      [--wait SECONDS] [--json]
  lentilroad status [--url URL] [--key-file PATH] [--json]
  lentilroad programs [--url URL] [--key-file PATH] [--json]
  lentilroad drain [--url URL] [--key-file PATH] [--json]
  lentilroad load [--url URL] [--key-file PATH] [--deployment NAME]
                  [--programs COUNT] [--concurrency COUNT] [--seed SEED]
                  [--plot FILE] [--json]
  lentilroad version [--json]
  lentilroad (-h | --help)

Commands:
  entry     Run an entry: callers reach it, and it owns programs.
  sidecar   Run the process beside one upstream.
  dev       Run all roles with stand-ins in one process.
  standin   Run a stand-in: engine, service, key-value or weight-store.
  check     Check settings or the operators' configuration, and print every error.
  diff      Show what a configuration would change.
  apply     Put a configuration in force and wait until every process uses it.
  history   List the versions of the configuration.
  rollback  Put the content of an earlier version in force as a new version.
  status    Show entries, sidecars and the configuration in force.
  programs  List the programs that an entry owns.
  drain     Refuse new work at an entry and move its programs to other entries.
  load      Run generated programs against an entry and print latency percentiles.
  version   Print the version.

Options:
  --settings FILE      Settings of the process (YAML).
  --port PORT          Port of the callers' interface; 0 selects a free port
                       [default: 8080].
  --listen ADDRESS     Address to listen on, "ip:port".
  --model NAME         Model of a stand-in engine; any model when omitted.
  --step-ms MS         Time of one step of a stand-in engine [default: 10].
  --url URL            An entry's HTTP address; LENTILROAD_URL when omitted.
  --key-file PATH      File with the key. When omitted, the operator's key is read
                       from LENTILROAD_OPERATOR_KEY, and for load the caller's key
                       from LENTILROAD_KEY.
  --author NAME        Author shown in the history; the user's name when omitted.
  --based-on VERSION   Version that the change is based on; the newest when omitted.
  --write-id ID        Identity of the write, to repeat a command whose outcome is
                       unknown without applying it twice.
  --wait SECONDS       Longest wait until the version is in force.
  --count COUNT        Number of versions to list.
  --text VERSION       Print the text of one version.
  --no-wait            Do not wait until the version is in force everywhere.
  --deployment NAME    Programs to run: ndende or hill_country [default: ndende].
  --programs COUNT     Number of programs [default: 50].
  --concurrency COUNT  Programs that run at the same time [default: 10].
  --seed SEED          Seed of the programs [default: 1].
  --plot FILE          Draw the latencies to a PNG or SVG file.
  --json               Print JSON.
  -h --help            Show this text.

Exit codes:
  0  done
  1  faults were found, or programs failed
  2  the command cannot run because of wrong usage, file, URL or key
  3  conflict with a change by another operator; nothing was changed
  4  the entry or the key-value service is unavailable; nothing was changed
  5  the outcome is unknown; repeat with the printed write id
  6  accepted, but not in force everywhere within the waiting time

Examples
--------
  lentilroad dev --port 8080
  lentilroad check site.yaml
  export LENTILROAD_URL=http://127.0.0.1:8080
  LENTILROAD_OPERATOR_KEY=example-operator-key lentilroad status
  LENTILROAD_OPERATOR_KEY=example-operator-key lentilroad apply site.yaml
  LENTILROAD_KEY=example-ndende-key lentilroad load --programs 20
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from importlib import import_module
from typing import Any

import uvloop
from docopt import docopt

from lentilroad import __version__
from lentilroad.cli import const
from lentilroad.cli.errors import CommandError
from lentilroad.errors import LentilroadError

Command = Callable[[dict[str, Any]], int]


def _entry(arguments: dict[str, Any]) -> int:
    from lentilroad.process.entry import run_entry

    uvloop.run(run_entry(settings=_process_settings(arguments, "entry")))
    return const.EXIT_DONE


def _sidecar(arguments: dict[str, Any]) -> int:
    from lentilroad.process.sidecar import run_sidecar_from_settings

    uvloop.run(run_sidecar_from_settings(_process_settings(arguments, "sidecar")))
    return const.EXIT_DONE


def _process_settings(arguments: dict[str, Any], role: str) -> Any:
    from lentilroad.process.logging import configure_logging
    from lentilroad.process.settings import load_settings

    settings = load_settings(arguments["--settings"])
    if settings.role != role:
        raise CommandError(
            f"the settings are for the role {settings.role!r}; "
            f"run 'lentilroad {settings.role}'",
            exit_code=const.EXIT_USAGE,
        )
    configure_logging(
        log_file=settings.observability.log_file,
        role=settings.role,
        address=settings.address,
    )
    return settings


def _dev(arguments: dict[str, Any]) -> int:
    from lentilroad.process.dev import run_dev

    uvloop.run(run_dev(port=int(arguments["--port"])))
    return const.EXIT_DONE


def _lazy_command(module: str, function: str) -> Command:
    # The module is imported on use, so that other commands start without loading it.
    def run(arguments: dict[str, Any]) -> int:
        command_module = import_module(f"lentilroad.cli.{module}")
        return getattr(command_module, function)(arguments)

    return run


def _version(arguments: dict[str, Any]) -> int:
    text = json.dumps({"version": __version__}) if arguments["--json"] else __version__
    sys.stdout.write(text + "\n")
    return const.EXIT_DONE


COMMANDS: dict[str, Command] = {
    "entry": _entry,
    "sidecar": _sidecar,
    "dev": _dev,
    "standin": _lazy_command("standin", "run_standin"),
    "check": _lazy_command("check", "run_check"),
    "diff": _lazy_command("configuration", "run_diff"),
    "apply": _lazy_command("configuration", "run_apply"),
    "history": _lazy_command("configuration", "run_history"),
    "rollback": _lazy_command("configuration", "run_rollback"),
    "status": _lazy_command("operator", "run_status"),
    "programs": _lazy_command("operator", "run_programs"),
    "drain": _lazy_command("operator", "run_drain"),
    "load": _lazy_command("load", "run_load"),
    "version": _version,
}


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    try:
        arguments = docopt(__doc__, argv=argv)
    except SystemExit as stop:
        if stop.code in (None, 0):
            return const.EXIT_DONE
        sys.stderr.write(f"{stop.code}\n")
        return const.EXIT_USAGE
    name = next(name for name in COMMANDS if arguments.get(name))
    try:
        return COMMANDS[name](arguments)
    except BrokenPipeError:
        # The reader of the pipe, such as ``head``, closed it early.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return const.EXIT_DONE
    except CommandError as error:
        sys.stderr.write(f"{error}\n")
        return error.exit_code
    except LentilroadError as error:
        sys.stderr.write(f"{error.message}\n")
        return const.EXIT_USAGE
