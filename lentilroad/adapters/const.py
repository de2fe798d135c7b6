"""Constants of the adapters."""

from __future__ import annotations

CONNECT_TIMEOUT_S = 1.0
# Load, cache and command requests are small; a slower engine counts as hanging.
CONTROL_TIMEOUT_S = 5.0
REQUEST_ID_HEADER = "X-Request-Id"
PROGRAM_ID_HEADER = "X-Program-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
# A service that refuses before any effect says so with the value "not_run".
OUTCOME_HEADER = "X-Outcome"
ERROR_TEXT_LIMIT = 200
WEIGHT_STORE_ATTEMPTS = 5
