"""Constants of the conversation store."""

from __future__ import annotations

# Turns stay readable this long after their retention: the time of day may step by
# seconds between write and expiry.
RETENTION_MARGIN_S = 60.0
# A program that was stopped may come back within the retention of its turns.
LEDGER_RETENTION_S = 180.0
SEGMENT_BYTES = 4 * 1024 * 1024
# Share of the disk that segments may take. Beyond it new turns go to other disks until
# the retention of old ones ends: what was acknowledged is never removed early.
DISK_MAX_USED_SHARE = 0.8
# Share at which the log warns.
DISK_WARN_USED_SHARE = 0.6
# A disk that refused a write is tried again at this interval.
DISK_RETRY_S = 0.5
SWEEP_INTERVAL_S = 5.0
# In-region calls take 1 to 5 ms, calls to another region 25 ms.
READ_HEDGE_AFTER_S = 0.08
READ_TIMEOUT_S = 0.6
WRITE_HEDGE_AFTER_S = 0.15
WRITE_TIMEOUT_S = 1.0
RESERVE_TIMEOUT_S = 0.5
# Members that failed a call are asked again at this interval.
MEMBER_PROBE_INTERVAL_S = 0.2
# A sync takes 1 ms; a disk that holds one for longer counts as failed.
DISK_STALL_S = 0.3
# Idle grants of a program are handed back after this time.
GRANT_IDLE_TIMEOUT_S = 0.5
# A program whose budget is below this share is given tokens turn by turn.
PREPAY_MAX_BUDGET_SHARE = 0.5
# How long a turn waits for tokens that other entries hold but do not use.
RECLAIM_WAIT_S = 0.4
RECLAIM_ATTEMPTS = 4
# Conversations that an entry keeps in memory.
HISTORY_CACHE_BYTES = 6 * 1024 * 1024
JOIN_RETRY_INTERVAL_S = 0.3
# The first tries of all instances with a disk are spread over this time.
JOIN_SPREAD_S = 0.5
# Silence after which a member without an answer is replaced by an empty instance.
# It leaves most of the catch-up time, 4.4 s at the least, for copying.
MEMBER_REPLACE_AFTER_S = 1.5
MEMBER_PROBE_TIMEOUT_S = 0.6
PULL_BATCH_BYTES = 256 * 1024
PULL_TIMEOUT_S = 4.0
# Tries of a reservation whose list of members turned out to be old.
RESERVE_ATTEMPTS = 2
# When a caller comes back after too few members answered: restarted members answer
# within half a second, and a caller has several tries.
RETRY_AFTER_MS = 300
# Members answer within 30 ms; one that takes longer may be cut off.
RELAY_AFTER_S = 0.2
# Entries that are asked at once while none is known to reach the members.
RELAY_FANOUT = 3
# A relay answers this much after its own call timed out: one way and back.
RELAY_MARGIN_S = 0.05
# Entries tell the storage members where they are at this interval.
ANNOUNCE_INTERVAL_S = 5.0
# The same in the first seconds, to the nearest members only.
ANNOUNCE_STARTUP_INTERVAL_S = 1.0
ANNOUNCE_STARTUP_MEMBERS = 2
ENTRY_EXPIRY_S = 12.0
# The nearest members that are told; more would let the messages of a large fleet grow
# with entries times members.
ANNOUNCE_MAX_MEMBERS = 12
