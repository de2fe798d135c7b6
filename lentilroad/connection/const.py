"""Constants of connections between processes."""

from __future__ import annotations

IDLE_CLOSE_AFTER_S = 60.0
CONNECT_TIMEOUT_S = 1.5
# A stall of this process itself is not taken for a silent peer.
STALL_TOLERANCE_S = 0.5
HTTP2_WINDOW_BYTES = 4 * 2**20
SHUTDOWN_GRACE_S = 30.0
