"""Build one executable file that holds lentilroad and its dependencies.

The file is a zip application. Its first start unpacks it, because extension modules
cannot be loaded from a zip file, into a folder named by the file's digest, and then
replaces the process by exec: no second process stays.

Usage:
  build [--output=FILE]

Options:
  --output=FILE  File to write [default: dist/lentilroad].
"""

from __future__ import annotations

import shutil
import sys
import tempfile
import zipapp
from importlib import metadata
from pathlib import Path

from docopt import docopt
from packaging.markers import default_environment
from packaging.requirements import Requirement

PACKAGE = "lentilroad"
START = '''"""Unpack once, then become the unpacked program."""
import hashlib, os, pathlib, sys, tempfile, zipfile

archive = pathlib.Path(sys.argv[0]).resolve()
digest = hashlib.sha256(archive.read_bytes()).hexdigest()[:16]
cache = os.environ.get("LENTILROAD_CACHE")
own = pathlib.Path(tempfile.gettempdir(), f"lentilroad-{os.getuid()}")
root = pathlib.Path(cache) if cache else own
root.mkdir(mode=0o700, parents=True, exist_ok=True)
if root.stat().st_uid != os.getuid():
    sys.exit(f"{root} belongs to another user; set LENTILROAD_CACHE to an own folder")
folder = root / digest
if not folder.exists():
    fresh = pathlib.Path(tempfile.mkdtemp(dir=root))
    with zipfile.ZipFile(archive) as packed:
        packed.extractall(fresh)
    try:
        fresh.rename(folder)
    except OSError:
        pass  # another start was faster
environment = {**os.environ, "PYTHONPATH": str(folder / "lib")}
arguments = [sys.executable, "-s", "-m", "lentilroad", *sys.argv[1:]]
os.execve(sys.executable, arguments, environment)
'''


def dependencies(name: str, found: set[str] | None = None) -> set[str]:
    """Return a distribution and all that it needs at run time."""
    found = set() if found is None else found
    if name in found:
        return found
    found.add(name)
    environment = {**default_environment(), "extra": ""}
    for text in metadata.requires(name) or []:
        requirement = Requirement(text)
        if requirement.marker is None or requirement.marker.evaluate(environment):
            dependencies(requirement.name.lower().replace("_", "-"), found)
    return found


def copy_distribution(name: str, target: Path) -> None:
    """Copy the files of an installed distribution."""
    distribution = metadata.distribution(name)
    for file in distribution.files or []:
        if file.parts[0] in ("..", "bin") or "__pycache__" in file.parts:
            continue
        path = target / file
        path.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(str(file.locate()), path)


def build(output: Path) -> None:
    """Write the file."""
    source = Path(__file__).resolve().parents[1]
    with tempfile.TemporaryDirectory() as folder:
        staged = Path(folder)
        library = staged / "lib"
        ignore = shutil.ignore_patterns("__pycache__", "*.pyc")
        shutil.copytree(source, library / PACKAGE, ignore=ignore)
        for name in sorted(dependencies(PACKAGE) - {PACKAGE}):
            copy_distribution(name, library)
        (staged / "__main__.py").write_text(START, encoding="utf-8")
        output.parent.mkdir(parents=True, exist_ok=True)
        zipapp.create_archive(
            staged, output, interpreter="/usr/bin/env python3", compressed=True
        )


def main(argv: list[str] | None = None) -> int:
    """Run the command."""
    output = Path(docopt(__doc__ or "", argv=argv)["--output"])
    build(output)
    size_mb = output.stat().st_size / 1e6
    sys.stdout.write(f"{output} written, {size_mb:.1f} MB\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
