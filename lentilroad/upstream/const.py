"""Constants of the sidecar's call handling."""

from __future__ import annotations

SWEEP_INTERVAL_S = 0.5
# A call without an owner must outlive a takeover (3 s) and a one-minute partition
# between regions.
ORPHAN_LIMIT_S = 60.0
# The longest prompt (180,000 tokens) needs up to half a minute of prefill.
FIRST_OUTPUT_LIMIT_S = 60.0
OUTPUT_GAP_LIMIT_S = 10.0
SERVICE_LIMIT_S = 30.0
RESUME_ATTEMPTS = 3
RESUME_DELAY_S = 0.2
CANCEL_ATTEMPTS = 3
CANCEL_DELAY_S = 0.2
# An Attach can arrive before its Dispatch, because different entries send them.
ATTACH_WAIT_S = 1.0
# A record takes about 0.5 KB; 7 calls/s for 10 minutes produce 4,200 records.
LEDGER_MAX_RECORDS = 100_000
# Limit of the output of ended calls that no owner has released.
RETAINED_OUTPUT_LIMIT_BYTES = 64 * 2**20
QUEUE_MAX_CALLS = 256
MAX_RUNNING_CALLS = 32
RETRY_AFTER_MS = 1_000
DRAINING_RETRY_AFTER_MS = 100
# After its last call, a draining sidecar waits this long for owners to release results.
DRAIN_RELEASE_WAIT_S = 10.0
# An engine that does not respond to cancels must not delay the process's exit.
CLOSE_LIMIT_S = 2.0
ENGINE_POLL_INTERVAL_S = 1.0
# Weight of a new value in the moving averages of times; the last ten values dominate.
SMOOTHING_FACTOR = 0.2
