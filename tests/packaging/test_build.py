"""The shipped file must run as one process without an installation."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from lentilroad.packaging.build import build


def children(process_id):
    """Return the child processes of a process."""
    tasks = Path(f"/proc/{process_id}/task").iterdir()
    return [
        child for task in tasks for child in (task / "children").read_text().split()
    ]


def test_shipped_file_starts_no_second_process(tmp_path):
    """A launcher that stays as a parent would double the processes."""
    file = tmp_path / "lentilroad"
    build(file)
    environment = {
        "PATH": f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}",
        "LENTILROAD_CACHE": str(tmp_path / "cache"),
    }
    process = subprocess.Popen(
        [str(file), "dev", "--port", "0"],
        env=environment,
        cwd=tmp_path,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert "callers' interface" in process.stdout.readline()
        command = Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")
        assert b"dev" in command
        assert children(process.pid) == []
    finally:
        process.terminate()
        assert process.wait() == 0
