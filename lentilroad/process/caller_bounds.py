"""What a process may hold for its callers, derived from its machine's limits."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from pathlib import Path

BYTES_PER_MB = 2**20
# The rest is for the kernel's buffers and for peaks of the allocator.
USABLE_MEMORY_SHARE = 7 / 8
# Lists, cached histories and connections to upstreams that grow after the start.
OWN_GROWTH_BYTES = 16 * 2**20
# Copies while a body is completed or sent, and gaps of the allocator, take the rest.
BODIES_SHARE = 0.35
ANSWERS_SHARE = 0.15
CONNECTIONS_SHARE = 0.25
# Messages with turns that arrive, are written or are read take the rest.
KEPT_TURNS_SHARE = 0.5
MIN_KEPT_TURNS_BYTES = 8 * 2**20
# Buffers and objects of a connection with an ordinary request.
CONNECTION_BYTES = 32 * 1024
# One body of the usual limit is always admitted.
MIN_POOL_BYTES = 6 * 2**20
# Idle connections take half of that, so that small machines still keep these.
MIN_CONNECTIONS_BY_MEMORY = 256
MIN_CONNECTIONS = 16
# Descriptors that the platform reserves for files outside the data folder.
RESERVED_DESCRIPTORS = 200
# The other half is for upstreams, storage members, the store and peers.
CALLERS_DESCRIPTOR_SHARE = 0.5
TEXT_DESCRIPTOR_SHARE = 1 / 16
MIN_TEXT_CONNECTIONS = 4
MAX_TEXT_CONNECTIONS = 64


_STATUS_FILE = Path("/proc/self/statm")


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerBounds:
    """Bounds on what callers make a process hold.

    Attributes
    ----------
    bodies_bytes : int
        Bytes of request bodies.
    answers_bytes : int
        Bytes of large answers that callers have not read yet.
    connections : int
        Connections of callers.
    text_connections : int
        Connections to each server of plain text.
    """

    bodies_bytes: int
    answers_bytes: int
    connections: int
    text_connections: int


def own_memory_bytes() -> int:
    """Return the resident size of this process."""
    try:
        pages = int(_STATUS_FILE.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        # Counts the parent's size as well, which was copied at the start.
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    return pages * resource.getpagesize()


def caller_bounds(
    *, memory_mb: int, file_descriptors: int, own_bytes: int
) -> CallerBounds:
    """Return the bounds for a machine.

    Parameters
    ----------
    memory_mb : int
        Memory of the machine.
    file_descriptors : int
        Descriptors that the process may open.
    own_bytes : int
        Memory of the process before it serves anyone.
    """
    free_bytes = _free_bytes(memory_mb, own_bytes)
    sockets = max(0, file_descriptors - RESERVED_DESCRIPTORS)
    connections = min(
        max(
            MIN_CONNECTIONS_BY_MEMORY,
            int(free_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES),
        ),
        max(MIN_CONNECTIONS, int(sockets * CALLERS_DESCRIPTOR_SHARE)),
    )
    return CallerBounds(
        bodies_bytes=max(MIN_POOL_BYTES, int(free_bytes * BODIES_SHARE)),
        answers_bytes=max(MIN_POOL_BYTES, int(free_bytes * ANSWERS_SHARE)),
        connections=connections,
        text_connections=max(
            MIN_TEXT_CONNECTIONS,
            min(MAX_TEXT_CONNECTIONS, int(sockets * TEXT_DESCRIPTOR_SHARE)),
        ),
    )


def kept_turns_bytes(*, memory_mb: int, own_bytes: int) -> int:
    """Return the bytes of the texts of turns that a storage member keeps."""
    free_bytes = _free_bytes(memory_mb, own_bytes)
    return max(MIN_KEPT_TURNS_BYTES, int(free_bytes * KEPT_TURNS_SHARE))


def _free_bytes(memory_mb: int, own_bytes: int) -> float:
    usable_bytes = memory_mb * BYTES_PER_MB * USABLE_MEMORY_SHARE
    return max(0.0, usable_bytes - own_bytes - OWN_GROWTH_BYTES)
