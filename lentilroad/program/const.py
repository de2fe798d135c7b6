"""Constants of programs and their replication."""

from __future__ import annotations

DEFAULT_TURN_TIMEOUT_S = 600.0
# A sidecar enforces the deadline itself and knows the outcome better than the owner,
# so that the owner gives it this long to answer after the deadline.
DEADLINE_GRACE_S = 0.5
MAX_TURNS = 500
MAX_CALLS = 2_000
MAX_PROGRAM_TIME_S = 86_400.0
MAX_SUB_AGENTS = 1_000
MAX_QUEUED_TURNS = 16
QUEUE_FULL_RETRY_AFTER_MS = 1_000
NOT_OWNER_RETRY_AFTER_MS = 100

MAX_ATTEMPTS = 4
BACKOFF_BASE_S = 0.05
BACKOFF_LIMIT_S = 1.0
# Two questions cover one lost connection; a dead sidecar is known after both.
RESOLVE_ATTEMPTS = 2
RESOLVE_TIMEOUT_S = 1.0
DISPATCH_ATTEMPTS = 3
# The front detects a lost sidecar within 1.5 s and then sends what it has relayed.
EMITTED_TEXT_WAIT_S = 2.0
SIDECAR_CALL_TIMEOUT_S = 1.0
FORGET_ATTEMPTS = 5
FORGET_BACKOFF_S = 0.5

REPLICATE_TIMEOUT_S = 1.0
REPLICATE_RETRY_S = 0.1
OWNERSHIP_POLL_S = 0.05
MAX_BATCH_RECORDS = 256
# Snapshots of long programs take some 100 KB each.
STAGED_BATCH_RECORDS = 16
MAX_BATCH_BYTES = 1_000_000

IDLE_LIMIT_S = 1_800.0
ENDED_RETENTION_S = 600.0
SWEEP_INTERVAL_S = 2.0
# A takeover needs at least 1 s of silence, so that no record is missed.
FOLLOW_INTERVAL_S = 0.5
PACK_AFTER_IDLE_S = 2.0
# Smaller tails gain little from compression.
PACK_MIN_BYTES = 2_048
CONFIRM_BATCH = 500
DRAIN_TIMEOUT_S = 30.0

# A byte-level tokenizer never makes more tokens than the text has bytes. Chat
# templates add a few tokens for each message and some for a default system prompt.
TEMPLATE_TOKENS_PER_MESSAGE = 8
TEMPLATE_TOKENS_PER_CONVERSATION = 32
BYTES_PER_TOKEN_ESTIMATE = 4
