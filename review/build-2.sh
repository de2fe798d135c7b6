#!/usr/bin/env bash
# Compile the stand-ins that the scripts of cases 6 to 10 start; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps${PYTHONPATH:+:$PYTHONPATH}"
python3 -m compileall -q --invalidation-mode checked-hash \
    lentilroad/standins review/common2
for case in 6 7 8 9 10; do
    if [ -f "review/$case/case.py" ]; then
        python3 -m compileall -q --invalidation-mode checked-hash "review/$case"
    fi
done
python3 -c "import review.common2.harness"
