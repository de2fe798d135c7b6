"""Commands for the operators' configuration.

Every command takes the dict that docopt returns and returns an exit code:

- 0: done
- 1: the configuration has faults
- 2: the command cannot run because of a wrong file, URL, key or version
- 3: conflict with a change by another operator; nothing was changed
- 4: the entry or the key-value service is unavailable; nothing was changed
- 5: the outcome is unknown; repeat with the printed write id
- 6: accepted, but not in force everywhere within the waiting time

With ``--json`` the result, or the error, is one JSON document on standard output.
Without it, progress and errors go to standard error.
"""

from __future__ import annotations

import asyncio
import getpass
import json
import secrets
import sys
import time
from collections.abc import Awaitable, Callable, Mapping
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from lentilroad.cli.const import (
    EXIT_CONFLICT,
    EXIT_DONE,
    EXIT_FAULTS,
    EXIT_NOT_IN_FORCE,
    EXIT_UNAVAILABLE,
    EXIT_UNKNOWN,
    EXIT_USAGE,
)
from lentilroad.cli.operator_client import (
    OperatorApiError,
    OperatorClient,
    build_operator_client,
)
from lentilroad.errors import (
    ConfigurationError,
    ConflictError,
    LentilroadError,
    OutcomeUnknownError,
    UnavailableError,
)
from lentilroad.version.text import check_text

API = "/operator/v1/configuration"
WAIT_DEFAULT_S = 30.0
PROGRESS_INTERVAL_S = 0.25

Arguments = Mapping[str, Any]
Command = Callable[[OperatorClient, Arguments], Awaitable[int]]


def run_check(arguments: Arguments) -> int:
    """Check ``FILE`` without an entry; print every fault."""
    try:
        text = _read_file(arguments["FILE"])
    except ConfigurationError as error:
        return _fail(arguments, error, EXIT_USAGE)
    problems, _ = check_text(text, file=arguments["FILE"])
    if arguments.get("--json"):
        entries = [
            {
                "line": problem.line,
                "key_path": problem.key_path,
                "found": problem.found,
                "expected": problem.expected,
                "remedy": problem.remedy,
            }
            for problem in problems
        ]
        _print_json({"valid": not problems, "problems": entries})
    else:
        for problem in problems:
            _print(str(problem))
        _print(f"{len(problems)} faults" if problems else "valid")
    return EXIT_FAULTS if problems else EXIT_DONE


def run_diff(arguments: Arguments) -> int:
    """Print the changes that applying ``FILE`` would make."""
    return _run(arguments, _diff)


def run_apply(arguments: Arguments) -> int:
    """Make ``FILE`` the next version and wait until it is in force everywhere."""
    return _run(arguments, _apply)


def run_history(arguments: Arguments) -> int:
    """Print author, time and changes of the versions, or the text of one version."""
    return _run(arguments, _history)


def run_rollback(arguments: Arguments) -> int:
    """Make the content of ``VERSION`` the next version, then wait as in `run_apply`."""
    return _run(arguments, _rollback)


def _run(arguments: Arguments, command: Command) -> int:
    try:
        return asyncio.run(command(build_operator_client(arguments), arguments))
    except LentilroadError as error:
        return _fail(arguments, error, _exit_code(error))


def _exit_code(error: LentilroadError) -> int:
    error_type = (
        error.error_type if isinstance(error, OperatorApiError) else type(error)
    )
    if error.outcome == "unknown" or issubclass(error_type, OutcomeUnknownError):
        return EXIT_UNKNOWN
    if issubclass(error_type, ConflictError):
        return EXIT_CONFLICT
    if issubclass(error_type, UnavailableError):
        return EXIT_UNAVAILABLE
    if isinstance(error, OperatorApiError) and issubclass(
        error_type, ConfigurationError
    ):
        return EXIT_FAULTS
    return EXIT_USAGE


def _fail(arguments: Arguments, error: LentilroadError, code: int) -> int:
    if arguments.get("--json"):
        details = {"code": error.code, "message": error.message}
        details["outcome"] = error.outcome
        if isinstance(error, OperatorApiError):
            details = error.details
        _print_json({"error": details, "exit_code": code})
    else:
        sys.stderr.write(error.message + "\n")
    return code


async def _diff(client: OperatorClient, arguments: Arguments) -> int:
    text = _read_file(arguments["FILE"])
    answer = await client.request("POST", API + "/diff", body={"text": text})
    if arguments.get("--json"):
        _print_json(answer)
        return EXIT_DONE
    for change in answer["changes"]:
        _print(change)
    _print(f"{len(answer['changes'])} changes against version {answer['version']}")
    return EXIT_DONE


async def _apply(client: OperatorClient, arguments: Arguments) -> int:
    body = {"text": _read_file(arguments["FILE"])}
    return await _change(client, arguments, API, body)


async def _rollback(client: OperatorClient, arguments: Arguments) -> int:
    body = {"version": _parse_integer(arguments["VERSION"], "VERSION")}
    return await _change(client, arguments, API + "/rollback", body)


async def _change(
    client: OperatorClient, arguments: Arguments, path: str, body: dict[str, Any]
) -> int:
    write_id = arguments.get("--write-id") or secrets.token_hex(16)
    body["author"] = arguments.get("--author") or getpass.getuser()
    body["based_on_version"] = await _base_version(client, arguments)
    body["write_id"] = write_id
    try:
        applied = await client.request("POST", path, body=body)
    except UnavailableError as error:
        if error.outcome == "not_run":
            raise
        raise OutcomeUnknownError(
            f"{error.message}; then repeat the command with --write-id {write_id} "
            f"--based-on {body['based_on_version']}, which applies it at most once"
        ) from error
    return await _report_applied(client, arguments, applied)


async def _base_version(client: OperatorClient, arguments: Arguments) -> int:
    option = arguments.get("--based-on")
    if option is not None:
        return _parse_integer(option, "--based-on")
    return (await client.request("GET", API, query={"text": "no"}))["version"]


async def _report_applied(
    client: OperatorClient, arguments: Arguments, applied: dict[str, Any]
) -> int:
    as_json = bool(arguments.get("--json"))
    version = applied["version"]
    if not as_json:
        status = "accepted" if applied["changed"] else "unchanged"
        _print(f"version {version} {status}")
        for change in applied["changes"] if applied["changed"] else ():
            _print(f"  {change}")
    progress = None
    if not arguments.get("--no-wait"):
        wait_s = float(arguments.get("--wait") or WAIT_DEFAULT_S)
        progress = await _wait_in_force(client, version, wait_s, quiet=as_json)
    if as_json:
        _print_json({**applied, "progress": progress})
    if progress is None or progress["in_force"] >= progress["processes"]:
        return EXIT_DONE
    return EXIT_NOT_IN_FORCE


async def _wait_in_force(
    client: OperatorClient, version: int, wait_s: float, *, quiet: bool
) -> dict[str, Any]:
    started_s = time.monotonic()
    reported = -1
    while True:
        progress = await client.request(
            "GET", API + "/progress", query={"version": version}
        )
        done = progress["in_force"] >= progress["processes"]
        timed_out = time.monotonic() - started_s >= wait_s
        if not quiet and progress["in_force"] != reported:
            reported = progress["in_force"]
            sys.stderr.write(f"in force in {reported} of {progress['processes']}\n")
        if done or timed_out:
            break
        await asyncio.sleep(PROGRESS_INTERVAL_S)
    if not quiet and not done:
        missing = ", ".join(progress["behind"])
        sys.stderr.write(
            f"not in force after {wait_s:g} s in: {missing}; they apply it once "
            "they can be reached; `lentilroad status` shows them\n"
        )
    return progress


async def _history(client: OperatorClient, arguments: Arguments) -> int:
    if arguments.get("--text"):
        query = {"version": _parse_integer(arguments["--text"], "--text")}
        answer = await client.request("GET", API, query=query)
        if arguments.get("--json"):
            _print_json(answer)
        else:
            sys.stdout.write(answer["text"])
        return EXIT_DONE
    query = {}
    if arguments.get("--count"):
        query["count"] = _parse_integer(arguments["--count"], "--count")
    answer = await client.request("GET", API + "/history", query=query)
    if arguments.get("--json"):
        _print_json(answer)
        return EXIT_DONE
    for version in answer["versions"]:
        written = datetime.fromtimestamp(version["time_s"], UTC).strftime("%FT%TZ")
        restored = (
            f", restored version {version['restored']}" if version["restored"] else ""
        )
        _print(
            f"version {version['version']} by {version['author']} at {written}"
            f"{restored}"
        )
        for change in version["changes"]:
            _print(f"  {change}")
    return EXIT_DONE


def _read_file(name: str) -> str:
    try:
        if name == "-":
            return sys.stdin.read()
        return Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "it is not UTF-8 text"
        raise ConfigurationError(
            f"cannot read {name}: {reason}; check the path"
        ) from error


def _parse_integer(value: Any, name: str) -> int:
    if not str(value).isascii() or not str(value).isdigit():
        raise ConfigurationError(f"{name} must be a whole number, found {value!r}")
    return int(value)


def _print(line: str) -> None:
    sys.stdout.write(line + "\n")


def _print_json(value: Any) -> None:
    sys.stdout.write(json.dumps(value) + "\n")
