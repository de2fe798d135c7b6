"""Collects bytes that arrive in parts of any size."""

from __future__ import annotations

PIECE_BYTES = 16 * 1024


class BytePieces:
    """Bytes in pieces of similar size, joined at the end.

    One growing buffer is moved as it grows; with several at a time, the gaps that it
    leaves took more memory than the bytes themselves.

    Attributes
    ----------
    size_bytes : int
        Bytes added so far.
    """

    __slots__ = ("_pieces", "_rest", "size_bytes")

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        # Parts that are too small for a piece of their own.
        self._rest = bytearray()
        self.size_bytes = 0

    def add(self, data: bytes) -> None:
        """Add the next part."""
        self.size_bytes += len(data)
        if len(data) >= PIECE_BYTES and not self._rest:
            self._pieces.append(data)
            return
        self._rest += data
        if len(self._rest) >= PIECE_BYTES:
            self._pieces.append(bytes(self._rest))
            self._rest.clear()

    def join(self) -> bytes:
        """Return all bytes, and forget them."""
        pieces = [*self._pieces, bytes(self._rest)] if self._rest else self._pieces
        self.clear()
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def clear(self) -> None:
        """Forget all bytes."""
        self._pieces = []
        self._rest = bytearray()
