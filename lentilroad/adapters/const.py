"""Constants of the adapters."""

from __future__ import annotations

CONNECT_TIMEOUT_S = 1.0
# Load, cache and command requests are small; a slower engine counts as unresponsive.
CONTROL_TIMEOUT_S = 5.0
REQUEST_ID_HEADER = "X-Request-Id"
PROGRAM_ID_HEADER = "X-Program-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
# A service sets this header to "not_run" when it refused before any side effect.
OUTCOME_HEADER = "X-Outcome"
MAX_ERROR_TEXT_BYTES = 200
MAX_WEIGHT_STORE_ATTEMPTS = 5

KEY_VALUE_TIMEOUT_S = 2.0
# Per process; the service handles several hundred writes/s and 2,000 reads/s in total.
KEY_VALUE_CALLS_PER_S = 5.0
KEY_VALUE_CALL_BURST = 50
MAX_KEY_VALUE_WATCHES = 16
INSTANCE_LIST_TIMEOUT_S = 2.0
