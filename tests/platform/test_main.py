"""Start of the processes from a settings file."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

from lentilroad.connection.listener import open_listener
from lentilroad.platform.__main__ import main

SETTINGS = """
NodeName = "frontend-a-1"
IpAddress = "127.0.0.1"
Zone = "a"
Region = "a"
InternalPortRange = [{peer}, {metrics}]
[Zones]
a = "a"
[ListenAddresses]
Frontend = "127.0.0.1:{client}"
Ready = "127.0.0.1:{ready}"
[Limits]
MemoryMb = 150
DiskMb = 0
[FaultTolerance]
Machines = 1
[Bounds]
DrainMs = 2500
GracePeriodS = 2
ConfigApplyMs = 2500
CatchUpS = 4.4
PassMs = 250
[Platform]
Address = "127.0.0.1:{store}"
"""


def _free_ports(count: int) -> list[int]:
    listeners = [open_listener("127.0.0.1", 0) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def _write(folder: Path) -> tuple[Path, int]:
    peer, metrics, client, ready, store = _free_ports(5)
    path = folder / "settings.toml"
    path.write_text(
        SETTINGS.format(
            peer=peer, metrics=metrics, client=client, ready=ready, store=store
        ),
        encoding="utf-8",
    )
    return path, client


def test_wrong_settings_fail_the_check_and_name_the_key(tmp_path, capsys) -> None:
    """Guard against a start that fails without naming what to correct."""
    path, _ = _write(tmp_path)
    path.write_text(path.read_text().replace("MemoryMb = 150", 'MemoryMb = "much"'))
    assert main(["check", "--settings", str(path)]) == 2
    line = json.loads(capsys.readouterr().out)
    assert line["event"] == "settings_wrong"
    assert "Limits.MemoryMb" in line["error"]


async def test_callers_that_connect_during_start_up_get_a_response(tmp_path) -> None:
    """Guard against refused connections while the process loads its modules."""
    path, client_port = _write(tmp_path)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lentilroad.platform",
        "entry",
        "--settings",
        str(path),
        stdout=asyncio.subprocess.PIPE,
        env=dict(os.environ),
    )
    assert process.stdout is not None
    try:
        async with asyncio.timeout(20.0):
            reader, writer = await _connect(client_port)
            # No log line yet: the process is still loading its modules.
            assert process.stdout._buffer == b""
            writer.write(
                b"GET /x HTTP/1.1\r\nHost: h\r\nLentilroad-Attempt-Id: 1\r\n\r\n"
            )
            head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503")
        assert b"Retry-After" in head
        writer.close()
    finally:
        process.kill()
        await process.wait()


async def _connect(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    while True:
        try:
            return await asyncio.open_connection("127.0.0.1", port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)
