"""Messages about crashes of instances and the requests that may have caused them."""

from __future__ import annotations

import msgspec


class Fingerprint(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """Identity of a request that is sent again.

    Attributes
    ----------
    target : bytes
        Digest of the customer's credential, host, method and target; empty if the
        target is known not to be the cause of a crash.
    content : bytes
        Digest of the target and the body; empty if there is no body.
    """

    target: bytes
    content: bytes

    def keys(self) -> tuple[bytes, ...]:
        """Return the digests by which crashes are counted."""
        return tuple(key for key in (self.target, self.content) if key)
