"""Collection of bytes in parts of any size."""

from __future__ import annotations

from lentilroad.connection.byte_pieces import PIECE_BYTES, BytePieces


def test_parts_of_all_sizes_are_joined_in_order() -> None:
    """Guard against lost or reordered parts of a body that arrives in pieces."""
    sizes = [0, 1, PIECE_BYTES, 5, PIECE_BYTES - 5, 3 * PIECE_BYTES, 1, 2]
    parts = [bytes([number]) * size for number, size in enumerate(sizes)]
    pieces = BytePieces()
    for part in parts:
        pieces.add(part)
    assert pieces.size_bytes == sum(sizes)
    assert pieces.join() == b"".join(parts)
    assert BytePieces().join() == b""
