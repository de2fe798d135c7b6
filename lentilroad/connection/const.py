"""Constants of connections between processes."""

from __future__ import annotations

IDLE_CLOSE_AFTER_S = 60.0
CONNECT_TIMEOUT_S = 1.5
# A stall of this process itself is not taken for a silent peer.
STALL_TOLERANCE_S = 0.5
HTTP2_WINDOW_BYTES = 4 * 2**20
SHUTDOWN_GRACE_S = 30.0
HTTP_BUFFER_LIMIT_BYTES = 256 * 1024
# Bytes of an exchange beside bodies: heads, trailers and the framing of chunks. A
# head takes a few hundred bytes, the framing of a chunk of one byte takes six.
HTTP_OVERHEAD_LIMIT_BYTES = 64 * 1024
HTTP_OVERHEAD_PER_BODY_BYTE = 16
# Answers to other requests that arrive late are read and dropped up to this size.
HTTP_SKIPPED_LIMIT_BYTES = 1024 * 1024
# Smaller bodies are sent in one write with their head; copying larger ones costs
# more than a second system call.
HTTP_JOINED_WRITE_BYTES = 64 * 1024
# A peer that answers neither data nor probes for about two seconds is unreachable;
# connections between zones take a few milliseconds.
TCP_UNACKNOWLEDGED_LIMIT_MS = 2000
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
# A server's timeout is stated in whole seconds; a request sent within the last part
# of it may cross the server's close.
KEEP_ALIVE_MARGIN_S = 0.7
DEFAULT_KEEP_ALIVE_S = 4.0
# Instances of a deployment answer a connection attempt within a few tens of
# milliseconds. Nothing was sent before, so that another instance can be tried.
UPSTREAM_CONNECT_TIMEOUT_S = 0.5
# Callers that connect while a process starts or is busy wait in this queue.
LISTEN_BACKLOG = 512
