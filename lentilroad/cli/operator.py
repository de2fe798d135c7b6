"""Commands that ask an entry: status, programs and drain."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import aiohttp

from lentilroad.cli.const import (
    EXIT_DONE,
    EXIT_UNREACHABLE,
    KEY_VARIABLE,
    OPERATOR_TIMEOUT_S,
)
from lentilroad.cli.errors import CommandError


def read_key(arguments: dict[str, Any]) -> str:
    """Return the key from its file or the environment.

    Raises
    ------
    CommandError
        There is no key.
    """
    path = arguments["--key-file"]
    if path is not None:
        try:
            return Path(path).read_text(encoding="utf-8").strip()
        except OSError as error:
            raise CommandError(f"{path}: {error.strerror}; check the path") from None
    key = os.environ.get(KEY_VARIABLE)
    if not key:
        raise CommandError(f"no key; set {KEY_VARIABLE} or use --key-file")
    return key


async def ask(arguments: dict[str, Any], method: str, path: str) -> dict[str, Any]:
    """Send a request to the operator routes of an entry.

    Raises
    ------
    CommandError
        The entry cannot be reached or refuses.
    """
    headers = {"Authorization": f"Bearer {read_key(arguments)}"}
    timeout = aiohttp.ClientTimeout(total=OPERATOR_TIMEOUT_S)
    url = arguments["--url"].rstrip("/") + path
    try:
        async with (
            aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
            session.request(method, url) as response,
        ):
            body = await response.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise CommandError(
            f"{url} does not answer ({error}); check --url",
            exit_code=EXIT_UNREACHABLE,
        ) from None
    if response.status >= 400:
        raise CommandError(body["error"]["message"], exit_code=EXIT_UNREACHABLE)
    return body


def print_table(header: list[str], rows: Iterable[list[Any]]) -> None:
    """Print rows in aligned columns."""
    lines = [header, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        sys.stdout.write("  ".join(cells).rstrip() + "\n")


async def run_status(arguments: dict[str, Any]) -> int:
    """Run ``lentilroad status``."""
    status = await ask(arguments, "GET", "/operator/v1/status")
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


async def run_programs(arguments: dict[str, Any]) -> int:
    """Run ``lentilroad programs``."""
    reply = await ask(arguments, "GET", "/operator/v1/programs")
    if arguments["--json"]:
        sys.stdout.write(json.dumps(reply) + "\n")
        return EXIT_DONE
    print_table(
        ["program", "caller", "state", "turn"],
        (
            [one["program_id"], one["caller_id"], one["state"], one["turn_no"]]
            for one in reply["programs"]
        ),
    )
    return EXIT_DONE


async def run_drain(arguments: dict[str, Any]) -> int:
    """Run ``lentilroad drain``."""
    reply = await ask(arguments, "POST", "/operator/v1/drain")
    if arguments["--json"]:
        sys.stdout.write(json.dumps(reply) + "\n")
    else:
        sys.stdout.write(f"{reply['draining']} hands its programs over\n")
    return EXIT_DONE
