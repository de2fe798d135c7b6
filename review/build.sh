#!/usr/bin/env bash
# Compile the stand-ins of the review's scripts; they need what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPATH=../target/deps python3 -c "import aiohttp"
python3 -m compileall -q common [1-9]
