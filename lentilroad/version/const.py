"""Constants of the operators' configuration and its distribution."""

from __future__ import annotations

HEAD_KEY = "config/head"
PART_PREFIX = "config/part/"
VERSION_PREFIX = "config/version/"

# The key-value service rejects larger values.
VALUE_MAX_BYTES = 1_000_000
# A changed caller or service resends one part of about this size to every process.
# With 32 kB parts, 16,000 changes a day would use 7 of the allowed 12 kB/s per node.
PART_TARGET_BYTES = 4_096
# Each change stores about this many lines of the operator's text again.
LINES_PER_TEXT_PART = 24
# The head lists all parts and is sent to every process, so its size is bounded.
PARTS_PER_SECTION_MAX = 64
TEXT_MAX_BYTES = 8_000_000
DIGEST_BYTES = 16
# The head is sent to every process, so its list of changes is bounded.
MAX_CHANGES_IN_HEAD = 16
SWEPT_KEY = "config/swept"
# 7.5 hours of history at 16,000 changes a day, each of which stores about 10 kB.
RETAINED_HISTORY_VERSIONS = 5_000
SWEEP_BATCH_VERSIONS = 100
SWEEP_MAX_S = 30.0
HISTORY_DEFAULT_COUNT = 20

WATCHERS_PER_REGION = 2
WATCH_TIMEOUT_S = 30.0
PUSH_COUNT = 4
DIGEST_INTERVAL_S = 1.0
# Doubled after each failed attempt, for peers that are slow but alive.
CALL_TIMEOUT_S = 0.5
CALL_TIMEOUT_MAX_S = 4.0
RETRY_BACKOFF_MIN_S = 0.1
RETRY_BACKOFF_MAX_S = 2.0
# Share of digests sent to other regions when the own region has many entries.
REMOTE_REGION_DIGEST_SHARE = 0.1
# Two passes over 430 entries take 1.8 s, so a single reachable entry is found within
# 2 s even if one message is lost. A round exceeds the round trip to another region.
COLD_START_PEERS = 24
COLD_START_ROUND_S = 0.05
COLD_START_PASSES = 3
PULL_PEERS = 2
WRITE_ATTEMPTS = 5
# Keep six watchers that first read a large configuration below 200 reads/s, and an
# operator who writes a large configuration below 50 writes/s.
READ_BURST = 12
READ_PAUSE_S = 0.04
WRITE_BURST = 12
WRITE_PAUSE_S = 0.04
# Versions whose parts are retained in memory for peers that pull them late.
RETAINED_PART_VERSIONS = 2
KEY_VALUE_SOURCE = "key-value"
COLD_START_FIRST_ROUND_S = 0.3
COLD_START_DIGEST_INTERVAL_S = 0.25
RETRY_BACKOFF_DOUBLINGS = 6
WATCHER_CHECK_INTERVAL_S = 1.0
HISTORY_MAX_COUNT = 200
# JSON escapes can double the size of the text.
REQUEST_MAX_BYTES = 2 * TEXT_MAX_BYTES + 100_000
MAX_BEHIND_SHOWN = 20

RECONCILE_PREFIX = "reconcile/"
# Share of an upstream's workers that load a version at once after one serves it.
ROLLOUT_SHARE = 0.1
WEIGHT_STORE_BURST_S = 10.0
RECONCILE_INTERVAL_S = 1.0
# Upstreams report a started load with a lag of a few seconds.
COMMAND_REPORT_TIMEOUT_S = 30.0
