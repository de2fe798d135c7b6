"""Commands that query or drain an entry: status, programs and drain."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Iterable
from typing import Any

from lentilroad.cli.const import EXIT_DONE, EXIT_UNAVAILABLE, EXIT_USAGE
from lentilroad.cli.errors import CommandError
from lentilroad.cli.operator_client import build_operator_client
from lentilroad.errors import LentilroadError, UnavailableError


def request_entry(arguments: dict[str, Any], method: str, path: str) -> dict[str, Any]:
    """Send a request to the operator routes of an entry.

    Raises
    ------
    CommandError
        The entry cannot be reached or refuses the request.
    """
    try:
        return asyncio.run(build_operator_client(arguments).request(method, path))
    except LentilroadError as error:
        is_unavailable = isinstance(error, UnavailableError)
        code = EXIT_UNAVAILABLE if is_unavailable else EXIT_USAGE
        raise CommandError(error.message, exit_code=code) from None


def print_table(header: list[str], rows: Iterable[list[Any]]) -> None:
    """Print rows in aligned columns."""
    lines = [header, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        sys.stdout.write("  ".join(cells).rstrip() + "\n")


def run_status(arguments: dict[str, Any]) -> int:
    """Run ``lentilroad status``."""
    status = request_entry(arguments, "GET", "/operator/v1/status")
    if arguments["--json"]:
        sys.stdout.write(json.dumps(status) + "\n")
        return EXIT_DONE
    configuration = status["configuration"]
    sys.stdout.write(
        f"entry {status['address']} in {status['availability_zone']}, "
        f"{status['shards_owned']} shards, "
        f"configuration version {configuration['version']}\n\n"
    )
    print_table(
        ["entry", "region", "availability zone", "state"],
        (
            [
                peer["address"],
                peer["region"],
                peer["availability_zone"],
                peer.get("state", "alive"),
            ]
            for peer in status["entries"]
        ),
    )
    sys.stdout.write("\n")
    print_table(
        ["sidecar", "upstream", "serves", "availability zone", "state"],
        (
            [
                sidecar["address"],
                sidecar["upstream_id"],
                ",".join(sidecar["names"]),
                sidecar["availability_zone"],
                sidecar.get("state", "serving"),
            ]
            for sidecar in status["sidecars"]
        ),
    )
    return EXIT_DONE


def run_programs(arguments: dict[str, Any]) -> int:
    """Run ``lentilroad programs``."""
    reply = request_entry(arguments, "GET", "/operator/v1/programs")
    if arguments["--json"]:
        sys.stdout.write(json.dumps(reply) + "\n")
        return EXIT_DONE
    print_table(
        ["program", "caller", "state", "turn"],
        (
            [
                program["program_id"],
                program["caller_id"],
                program["state"],
                program["turn_no"],
            ]
            for program in reply["programs"]
        ),
    )
    return EXIT_DONE


def run_drain(arguments: dict[str, Any]) -> int:
    """Run ``lentilroad drain``."""
    reply = request_entry(arguments, "POST", "/operator/v1/drain")
    if arguments["--json"]:
        sys.stdout.write(json.dumps(reply) + "\n")
    else:
        sys.stdout.write(f"{reply['draining']} is draining: its programs move away\n")
    return EXIT_DONE
