"""Constants shared by all packages."""

from __future__ import annotations

HEARTBEAT_INTERVAL_S = 0.5
# Three missed heartbeats; replacing an unresponsive peer must take at most 2 s.
PEER_UNRESPONSIVE_AFTER_S = 1.5
STOP_NEW_WORK_WITHIN_S = 3.0
CALL_RECORD_RETENTION_S = 600.0
CONFIRM_PROGRAMS_INTERVAL_S = 20.0
UNCONFIRMED_PROGRAM_RETENTION_S = 60.0
