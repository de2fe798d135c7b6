"""Constants of the conversation store."""

from __future__ import annotations

# Extends the retention of turns: the wall clock may step by seconds between write and
# expiry.
RETENTION_MARGIN_S = 60.0
# Shortest retention of a program's grants. A program may return within the retention of
# its turns, by which the grants are kept longer if it exceeds this time.
LEDGER_RETENTION_S = 180.0
# Extension of a lifetime that is announced to the other disks of the same records. It
# leaves half of the margin for the announcement.
ANNOUNCE_EXTENSION_S = RETENTION_MARGIN_S / 2
LIFETIME_EXCHANGE_INTERVAL_S = 10.0
LIFETIME_EXCHANGE_TIMEOUT_S = 4.0
SEGMENT_BYTES = 4 * 1024 * 1024
# Above this used share a disk refuses new turns, which then go to other disks, until
# old turns expire: acknowledged turns are never removed early.
DISK_MAX_USED_SHARE = 0.8
# Used share of the disk at which a warning is logged.
DISK_WARN_USED_SHARE = 0.6
# Turns above this size use only a part of the memory for the texts of turns, so that
# a few long ones leave room for all others.
SMALL_TURN_BYTES = 64 * 1024
LARGE_TURNS_MEMORY_SHARE = 0.75
# Interval between write attempts to a disk that refused a write.
DISK_RETRY_S = 0.5
SWEEP_INTERVAL_S = 5.0
# Delays and timeouts of calls to storage members. Calls within a region take 1 to
# 5 ms, calls to another region 25 ms.
READ_HEDGE_AFTER_S = 0.08
READ_TIMEOUT_S = 0.6
WRITE_HEDGE_AFTER_S = 0.15
WRITE_TIMEOUT_S = 1.0
RESERVE_TIMEOUT_S = 0.5
# Interval between probes of members that failed a call.
MEMBER_PROBE_INTERVAL_S = 0.2
# A disk whose sync takes longer is reported as stalled; a sync normally takes 1 ms.
DISK_STALL_S = 0.3
# Time after which the unused tokens of an idle program are released.
GRANT_IDLE_TIMEOUT_S = 0.5
# An entry acquires tokens for the next turn in advance only while its grant stays
# within this share of the budget.
PREPAY_MAX_BUDGET_SHARE = 0.5
# Wait before each new attempt to acquire unused tokens of other entries.
RECLAIM_WAIT_S = 0.4
RECLAIM_ATTEMPTS = 4
# Size of the in-memory cache of conversations at an entry.
HISTORY_CACHE_BYTES = 6 * 1024 * 1024
JOIN_RETRY_INTERVAL_S = 0.3
# Spreads the first join attempts of all storage members over this time.
JOIN_SPREAD_S = 0.5
# Time after which an empty instance replaces an unresponsive member. It leaves most of
# the catch-up time, at least 4.4 s, for copying.
MEMBER_REPLACE_AFTER_S = 1.5
MEMBER_PROBE_TIMEOUT_S = 0.6
PULL_BATCH_BYTES = 256 * 1024
PULL_TIMEOUT_S = 4.0
# Attempts of a reservation whose member list turned out to be outdated.
RESERVE_ATTEMPTS = 2
# retry_after of a call to which too few members replied: restarted members reply within
# half a second, and a caller has several attempts.
RETRY_AFTER_MS = 300
# Delay before a call is also sent through another entry. Members reply within 30 ms; an
# unresponsive member may be unreachable from this entry only.
RELAY_AFTER_S = 0.2
# Entries that receive a call concurrently while no entry is known to reach the members.
RELAY_FANOUT = 3
# Added to the timeout of a relayed call: the round trip between the two entries.
RELAY_MARGIN_S = 0.05
# Interval at which an entry announces its address to storage members.
ANNOUNCE_INTERVAL_S = 5.0
# Interval and number of members of the announcements right after a start.
ANNOUNCE_STARTUP_INTERVAL_S = 1.0
ANNOUNCE_STARTUP_MEMBERS = 2
ENTRY_EXPIRY_S = 12.0
# An entry announces itself to this many of the nearest members. Without the bound, the
# messages in a large fleet would grow with entries times members.
ANNOUNCE_MAX_MEMBERS = 12
