"""Constants of connections between processes."""

from __future__ import annotations

IDLE_CLOSE_AFTER_S = 60.0
CONNECT_TIMEOUT_S = 1.5
# A longer delay of this process's own timers means that this process was stalled,
# not that the peer is unresponsive.
STALL_TOLERANCE_S = 0.5
HTTP2_WINDOW_BYTES = 4 * 2**20
SHUTDOWN_GRACE_S = 30.0
HTTP_BUFFER_LIMIT_BYTES = 64 * 1024
HTTP_READ_BYTES = 64 * 1024
# Limit of non-body bytes in an exchange: heads, trailers and chunk framing. A head
# takes a few hundred bytes; the framing of a one-byte chunk takes six.
HTTP_OVERHEAD_LIMIT_BYTES = 64 * 1024
HTTP_OVERHEAD_BYTES_PER_BODY_BYTE = 16
# Late responses to other requests are read and discarded up to this total size.
HTTP_SKIPPED_LIMIT_BYTES = 1024 * 1024
# Bodies up to this size are sent in one write with their head; copying a larger body
# costs more than a second system call.
HTTP_SINGLE_WRITE_MAX_BYTES = 64 * 1024
# A peer that acknowledges neither data nor keepalive probes for about two seconds is
# unreachable; a round trip between zones takes a few milliseconds.
TCP_UNACKNOWLEDGED_LIMIT_MS = 2000
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
# Servers state their idle timeout in whole seconds; a request sent just before its
# end may race with the server's close.
KEEP_ALIVE_MARGIN_S = 0.7
DEFAULT_KEEP_ALIVE_S = 4.0
# Instances of a deployment accept connections within a few tens of milliseconds.
# After a timeout nothing has been sent, so another instance can be tried.
UPSTREAM_CONNECT_TIMEOUT_S = 0.5
# Connections that arrive while a process starts or is busy wait in this queue.
LISTEN_BACKLOG = 512
