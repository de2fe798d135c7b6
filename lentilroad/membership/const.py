"""Constants of membership and shard succession."""

from __future__ import annotations

SHARD_COUNT = 512
SHARD_MAP_KEY_PREFIX = "shards/"

# Sidecars report to this many entries of their region.
SIDECAR_HOME_ENTRIES = 2
# A home entry removes a sidecar this long after its last heartbeat; heartbeats
# arrive every 500 ms.
SIDECAR_SILENT_AFTER_S = 1.5
# A record learned from a peer only: its home entries report its death, this limit
# covers the loss of both.
SIDECAR_FORGOTTEN_AFTER_S = 30.0
SIDECAR_REFRESH_INTERVAL_S = 10.0
DEAD_RECORD_RETENTION_S = 60.0
PIGGYBACK_RECORDS = 16
# Each update is sent this many times per factor of ten of the group's size.
PIGGYBACK_REPEATS = 4
