"""Constants of the operators' configuration and its distribution."""

from __future__ import annotations

HEAD_KEY = "config/head"
PART_PREFIX = "config/part/"
VERSION_PREFIX = "config/version/"

# The key-value service refuses values above 1 MB.
VALUE_MAX_BYTES = 1_000_000
# A changed caller or service re-sends one part of about this size to every process.
# With 32 kB parts, 16,000 changes a day cost 7 kB/s per node of the allowed 12 kB/s.
PART_TARGET_BYTES = 4_096
# A change stores about this many lines of the operator's text again.
LINES_PER_TEXT_PART = 24
# The head names every part and travels to every process, so it stays small.
PARTS_PER_SECTION_MAX = 64
TEXT_MAX_BYTES = 8_000_000
DIGEST_BYTES = 16
# The head travels to every process, so its list of changes is bounded.
CHANGES_IN_HEAD = 16
SWEPT_KEY = "config/swept"
# 16,000 changes a day leave about 10 kB each in the service: 7.5 hours of history.
RETAINED_HISTORY_VERSIONS = 5_000
SWEEP_BATCH = 100
SWEEP_MAX_S = 30.0
HISTORY_DEFAULT_COUNT = 20

WATCHERS_PER_REGION = 2
WATCH_TIMEOUT_S = 30.0
PUSH_COUNT = 4
DIGEST_INTERVAL_S = 1.0
# Doubles with each failed attempt, for peers that are slow and not dead.
CALL_TIMEOUT_S = 0.5
CALL_TIMEOUT_MAX_S = 4.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
# Share of digests sent to another region when the own region has many entries.
FAR_DIGEST_SHARE = 0.1
# Two passes over 430 entries take 1.8 s, so a single reachable one is found within 2 s
# even when one message is lost. A round is longer than an answer from another region.
COLD_START_PEERS = 24
COLD_ROUND_S = 0.05
COLD_PASSES = 3
PULL_PEERS = 2
WRITE_ATTEMPTS = 5
# Six watchers that read a large configuration for the first time stay below 200
# reads/s, and an operator who writes one stays below 50 writes/s.
READ_BURST = 12
READ_PAUSE_S = 0.04
WRITE_BURST = 12
WRITE_PAUSE_S = 0.04
# Versions whose parts stay in memory, so that late peers can still pull them.
RETAINED_PART_VERSIONS = 2
KEY_VALUE_SOURCE = "key-value"
COLD_START_WAIT_S = 0.3
COLD_INTERVAL_S = 0.25
RETRY_DOUBLINGS = 6
WATCHER_CHECK_INTERVAL_S = 1.0
HISTORY_MAX_COUNT = 200
# JSON escapes can double the size of a text.
REQUEST_MAX_BYTES = 2 * TEXT_MAX_BYTES + 100_000
STATUS_SHOWN_BEHIND = 20

RECONCILE_PREFIX = "reconcile/"
# Share of a name's workers that load a proven version at the same time.
ROLLOUT_SHARE = 0.1
WEIGHT_STORE_BURST_S = 10.0
RECONCILE_INTERVAL_S = 1.0
# An upstream reports a started load within seconds; its reports lag.
COMMAND_REPORT_TIMEOUT_S = 30.0
