"""Header names and limits of the HTTP interface for callers."""

from __future__ import annotations

HEADER_PROGRAM_ID = "Lentilroad-Program-Id"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"
HEADER_DEADLINE_MS = "Lentilroad-Deadline-Ms"
HEADER_HISTORY = "Lentilroad-History"
HEADER_INTERACTIVE = "Lentilroad-Interactive"
HEADER_RESUME_OFFSET = "Last-Event-ID"
HISTORY_APPEND = "append"
HISTORY_FULL = "full"

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_JSON_DEPTH = 32
MAX_MESSAGES = 4096
DEFAULT_COMPLETION_TOKENS = 256
MAX_KEY_CHARACTERS = 200
BODY_TIMEOUT_S = 15.0
DEFAULT_DEADLINE_S = 600.0
# A caller that reads no data for this long is disconnected; its turn still commits.
WRITE_TIMEOUT_S = 60.0
# Below asyncio's default high-water mark of 64 KiB, at which writes start to wait;
# one write adds at most the text of one chunk.
WRITE_WITHOUT_WAIT_BYTES = 16 * 1024
OWNER_RETRY_DELAY_S = 0.1
ATTACH_RETRY_DELAY_S = 0.1
