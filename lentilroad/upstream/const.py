"""Constants of the sidecar's call handling."""

from __future__ import annotations

SWEEP_INTERVAL_S = 0.5
# A call without an owner outlives a takeover (3 s) and a region split of a minute.
ORPHAN_LIMIT_S = 60.0
# The longest prompt (180,000 tokens) needs up to half a minute of prefill.
FIRST_OUTPUT_LIMIT_S = 60.0
OUTPUT_GAP_LIMIT_S = 10.0
SERVICE_LIMIT_S = 30.0
RESUME_ATTEMPTS = 3
RESUME_DELAY_S = 0.2
CANCEL_ATTEMPTS = 3
CANCEL_DELAY_S = 0.2
# An Attach can overtake its Dispatch, because they come from different entries.
ATTACH_WAIT_S = 1.0
# Records need about 0.5 KB; 7 calls/s for 10 minutes are 4,200 of them.
LEDGER_LIMIT = 100_000
# Output of ended calls that no owner has released yet.
RETAINED_OUTPUT_LIMIT_BYTES = 64 * 2**20
QUEUE_LIMIT = 256
CONCURRENCY_LIMIT = 32
RETRY_AFTER_MS = 1_000
DRAINING_RETRY_AFTER_MS = 100
# After its last call a draining sidecar waits this long for owners to take results.
DRAIN_RELEASE_WAIT_S = 10.0
# An engine that does not answer cancels must not delay the end of the process.
CLOSE_LIMIT_S = 2.0
ENGINE_POLL_INTERVAL_S = 1.0
# Smoothing of measured times: the last ten values dominate.
SMOOTHING = 0.2
