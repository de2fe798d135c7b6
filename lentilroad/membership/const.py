"""Constants of group membership and shard succession."""

from __future__ import annotations

SHARD_COUNT = 512
SHARD_MAP_KEY_PREFIX = "shards/"

# Entries of its region to which a sidecar sends heartbeats.
SIDECAR_HOME_ENTRIES = 2
# A home entry declares a sidecar dead this long after its last heartbeat, which is
# three heartbeat intervals of 500 ms.
SIDECAR_UNRESPONSIVE_AFTER_S = 1.5
# An entry that becomes a home entry of a sidecar declares the sidecar dead if no
# heartbeat arrives within this time. Covers the loss of a sidecar together with both
# earlier home entries.
SIDECAR_FIRST_HEARTBEAT_TIMEOUT_S = 5.0
# Sidecar records whose home entries are checked in each sweep. Ranking all 1,300 of a
# region at once would block the event loop for about 60 ms.
SIDECAR_AUDIT_BATCH = 20
DEAD_SIDECAR_RETENTION_S = 60.0
MAX_PIGGYBACK_RECORDS = 16
# Number of messages that carry each update.
PIGGYBACK_REPEATS = 4

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.5
CROSS_REGION_PROBE_INTERVAL_S = 1.0
INDIRECT_PROBES = 2
SUSPICION_TIMEOUT_S = 1.5
# Dead entries are retained long enough that stale gossip cannot make them alive again.
DEAD_PEER_RETENTION_S = 600.0
# Dead entries and unknown seeds are probed at this interval, so that the two halves of
# a partitioned group merge again.
REJOIN_INTERVAL_S = 5.0
# Each probe also carries records in rotation, which repairs lost gossip. One record of
# each kind keeps an idle probe and its reply near 0.5 KB; an entry's budget for control
# traffic is 12 KB/s.
ROTATING_PEERS = 1
ROTATING_SIDECARS = 1
# Entries of a region that exchange updates with other regions.
CROSS_REGION_ENTRIES = 2
# Entries of a region that watch the shard map in the key-value service.
MAP_WATCH_ENTRIES = 2

SUCCESSION_TICK_S = 0.25
# A standby sends a heartbeat of its own to an owner that was not seen for this long.
# The owner's heartbeats may be lost on one broken connection.
OWNER_PROBE_AFTER_S = 1.0
PAIR_CALL_TIMEOUT_S = 0.4
# An entry that refused a connection gets no new role for this long. The probes detect a
# dead entry within that time.
REFUSED_CONNECTION_TTL_S = 5.0
GRANT_TIMEOUT_S = 0.4
# An arbiter is replaced after the probes have reported it dead for this long.
ARBITER_REPLACE_AFTER_S = 1.0
MAX_CONCURRENT_GRANTS = 32
MAX_HEARTBEAT_EPOCHS = 32
MAX_HEARTBEAT_RECORDS = 64
# A delay of a periodic task beyond this value means that this process was paused.
PAUSE_THRESHOLD_S = 1.0
# Shards that have lost owner and standby are reassigned after this time; see
# docs/OPERATIONS.md.
RECOVERY_AFTER_S = 10.0
# A recovery raises the epoch by this step, beyond any epoch that partitioned entries
# may still grant.
RECOVERY_EPOCH_STEP = 1000
# A sole owner that was paused for this long reads the shard map before it commits,
# since it may have been replaced.
SOLE_OWNER_PAUSE_S = 5.0

MAP_WATCH_TIMEOUT_S = 30.0
MAP_RETRY_S = 5.0
MAP_WRITE_DELAY_MIN_S = 0.2
MAP_WRITE_DELAY_MAX_S = 1.0
# A standby or arbiter writes a record that its owner has not written to the shard map
# after this time; the owner may have died before the write.
WRITE_FOR_OWNER_AFTER_S = 5.0
REBALANCE_INTERVAL_S = 1.0
REBALANCE_AFTER_S = 5.0

# New work must stop within 3 s after the platform lists an instance as leaving.
INSTANCE_LIST_INTERVAL_S = 2.0
