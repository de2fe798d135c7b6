"""Constants of membership and shard succession."""

from __future__ import annotations

SHARD_COUNT = 512
SHARD_MAP_KEY_PREFIX = "shards/"

# Sidecars report to this many entries of their region.
SIDECAR_HOME_ENTRIES = 2
# A home entry removes a sidecar this long after its last heartbeat; heartbeats
# arrive every 500 ms.
SIDECAR_SILENT_AFTER_S = 1.5
# An entry that becomes the home of a sidecar declares it dead when it does not
# report within this time; this covers the loss of both earlier homes.
SIDECAR_UNCLAIMED_AFTER_S = 5.0
# Records whose home is checked in each sweep; ranking all of a region's 1,300 at
# once would stall the process for about 60 ms.
SIDECAR_AUDIT_SLICE = 20
DEAD_RECORD_RETENTION_S = 60.0
PIGGYBACK_RECORDS = 16
# Each update is sent this many times per factor of ten of the group's size.
PIGGYBACK_REPEATS = 4

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.5
CROSS_REGION_PROBE_INTERVAL_S = 1.0
INDIRECT_PROBES = 2
SUSPICION_S = 1.5
# Long enough that stale gossip about a dead entry cannot bring it back.
DEAD_PEER_RETENTION_S = 600.0
# Dead entries and seeds are probed so that two halves of a split group rejoin.
REJOIN_INTERVAL_S = 5.0
# Rotating records in each probe repair updates that gossip lost. One of each keeps
# an idle probe with its answer near 0.5 KB of an entry's 12 KB/s.
ROTATING_PEERS = 1
ROTATING_SIDECARS = 1
# Entries of a region that exchange updates with other regions, and that watch the
# shard map.
REGION_LINK_ENTRIES = 2
MAP_WATCH_ENTRIES = 2

SUCCESSION_TICK_S = 0.25
# A second connection to a silent owner, before it counts as dead: its heartbeats
# may be lost on one connection that went silent.
OWNER_PROBE_AFTER_S = 1.0
PAIR_CALL_TIMEOUT_S = 0.4
# How long an entry that refused a connection gets no new role; the probes have
# found its death by then.
REFUSED_FOR_S = 5.0
GRANT_TIMEOUT_S = 0.4
# Time that the probes have called an arbiter dead before it is replaced.
ARBITER_LOST_AFTER_S = 1.0
CONCURRENT_GRANTS = 32
HEARTBEAT_EPOCHS = 32
HEARTBEAT_RECORDS = 64
# A gap between two ticks beyond this means that this process was paused.
PAUSE_GAP_S = 1.0
# Shards whose pair is lost are assigned anew after this time; see
# docs/OPERATIONS.md.
RECOVERY_AFTER_S = 10.0
# Epochs of a recovery stay clear of those that cut-off entries may still grant.
RECOVERY_EPOCH_STEP = 1000
# A sole owner that was paused this long checks that it was not replaced.
SOLE_OWNER_PAUSE_S = 5.0

MAP_WATCH_TIMEOUT_S = 30.0
MAP_RETRY_S = 5.0
WRITE_BACK_MIN_S = 0.2
WRITE_BACK_MAX_S = 1.0
# A standby or an arbiter writes a record that its owner has not written by then; the
# owner may have died before it could.
WRITE_FOR_OWNER_AFTER_S = 5.0
REBALANCE_INTERVAL_S = 1.0
REBALANCE_AFTER_S = 5.0

# New work must stop within 3 s after the platform shows an instance as leaving.
INSTANCE_LIST_INTERVAL_S = 2.0
