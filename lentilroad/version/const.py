"""Constants of the operators' configuration and its distribution."""

from __future__ import annotations

HEAD_KEY = "config/head"
PART_PREFIX = "config/part/"
VERSION_PREFIX = "config/version/"

# The key-value service refuses values above 1 MB.
VALUE_MAX_BYTES = 1_000_000
# A changed caller or service re-sends one part of about this size to every process.
PART_TARGET_BYTES = 32_768
LINES_PER_TEXT_PART = 256
TEXT_MAX_BYTES = 8_000_000
DIGEST_BYTES = 16
# The head travels to every process, so its list of changes is bounded.
CHANGES_IN_HEAD = 16
HISTORY_DEFAULT_COUNT = 20

WATCHERS_PER_REGION = 2
WATCH_TIMEOUT_S = 30.0
PUSH_COUNT = 4
DIGEST_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 1.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
# Share of digests sent to another region when the own region has many entries.
FAR_DIGEST_SHARE = 0.1
COLD_START_PEERS = 3
WRITE_ATTEMPTS = 5
# Versions whose parts stay in memory, so that late peers can still pull them.
KEPT_VERSIONS = 2
KEY_VALUE_SOURCE = "key-value"
COLD_START_WAIT_S = 0.3
COLD_INTERVAL_S = 0.25
RETRY_DOUBLINGS = 6
WATCHER_CHECK_INTERVAL_S = 1.0
