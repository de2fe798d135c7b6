"""Tests of the command line, some against a running deployment."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys

import pytest

from lentilroad.cli.main import COMMANDS, main
from lentilroad.process.dev import DEV_CALLER_KEY, DEV_OPERATOR_KEY, start_dev


async def run(capsys, *arguments):
    """Run a command in a thread; return its exit code and output."""
    code = await asyncio.to_thread(main, list(arguments))
    return code, capsys.readouterr().out


@pytest.mark.parametrize("arguments", [["frobnicate"], ["check"], ["dev", "--x"]])
def test_wrong_usage_has_its_own_exit_code(capsys, arguments):
    """A mistyped command must not exit like a command that ran."""
    assert main(arguments) == 2


def test_help_names_every_command(capsys):
    """Every command must be listed in the help."""
    assert main(["--help"]) == 0
    text = capsys.readouterr().out
    assert all(f"lentilroad {name}" in text for name in COMMANDS)


def test_version_as_json(capsys):
    """Scripts must be able to read the version from JSON."""
    assert main(["version", "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["version"]


def test_settings_for_another_role_are_refused(tmp_path):
    """A sidecar's settings must not start an entry."""
    path = tmp_path / "sidecar.yaml"
    path.write_text(
        "role: sidecar\naddress: 127.0.0.1:1\nregion: r\navailability_zone: z\n"
        "seed_entries: ['127.0.0.1:2']\nupstream: {url: 'http://127.0.0.1:3',"
        " kind: engine, upstream_id: u, names: [m]}\n"
    )
    completed = subprocess.run(
        [sys.executable, "-m", "lentilroad", "entry", "--settings", str(path)],
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 2
    assert "lentilroad sidecar" in completed.stderr


async def test_operator_and_load_commands(capsys, monkeypatch):
    """Status, programs, load and drain must work with the keys and URL of dev."""
    dev = await start_dev()
    monkeypatch.setenv("LENTILROAD_URL", f"http://{dev.entry.settings.http_address}")
    monkeypatch.setenv("LENTILROAD_OPERATOR_KEY", DEV_OPERATOR_KEY)
    monkeypatch.setenv("LENTILROAD_KEY", DEV_CALLER_KEY)
    code, output = await run(capsys, "load", "--programs", "2", "--json")
    assert code == 0
    assert json.loads(output)["completed"] == 2
    code, output = await run(capsys, "status", "--json")
    assert json.loads(output)["configuration"]["version"] == 1
    code, output = await run(capsys, "programs", "--json")
    assert {program["state"] for program in json.loads(output)["programs"]} == {"ended"}
    monkeypatch.setenv("LENTILROAD_OPERATOR_KEY", "wrong")
    code, _ = await run(capsys, "status")
    assert code == 2
    monkeypatch.setenv("LENTILROAD_OPERATOR_KEY", DEV_OPERATOR_KEY)
    code, _ = await run(capsys, "drain")
    assert code == 0
    await dev.close()
