"""Constants of clients of outside systems."""

from __future__ import annotations

KEY_VALUE_TIMEOUT_S = 2.0
# One process; the service takes several hundred writes/s and 2,000 reads/s from all.
KEY_VALUE_CALLS_PER_S = 5.0
KEY_VALUE_CALL_BURST = 50
KEY_VALUE_WATCHES = 16
INSTANCE_LIST_TIMEOUT_S = 2.0
