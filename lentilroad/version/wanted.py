"""The newest head that a process has received but not put in force."""

from __future__ import annotations

from lentilroad.version.const import KEY_VALUE_SOURCE, PULL_PEERS
from lentilroad.version.model import Head


class PendingHead:
    """Selects the head to fetch; never a version below the highest in force before.

    Parameters
    ----------
    highest : int
        Highest version that this process ever put in force.
    """

    __slots__ = ("_rejected", "current", "head", "highest", "sources", "value")

    def __init__(self, *, highest: int) -> None:
        self.highest = highest
        self.current: Head | None = None
        self.head: Head | None = None
        self.value = b""
        # Peers that sent the head, and KEY_VALUE_SOURCE, to fetch its parts from.
        self.sources: list[str] = []
        self._rejected: set[str] = set()

    @property
    def version(self) -> int:
        """Highest known version, in force or pending."""
        current = self.current.version if self.current else 0
        return max(current, self.head.version if self.head else 0)

    def observe(self, head: Head, value: bytes, source: str) -> str:
        """Record a received head; return its problem or an empty string."""
        problem = self._problem_of(head)
        if problem or self._is_old(head):
            return problem
        if self.head is None or head.version > self.head.version:
            self.head = head
            self.value = value
            self.sources = []
        elif head.version < self.head.version:
            return ""
        elif head.write_id != self.head.write_id:
            return _version_clash(head)
        if source and source not in self.sources:
            self.sources.append(source)
        return ""

    def _problem_of(self, head: Head) -> str:
        current = self.current
        if current is not None and head.version == current.version:
            return "" if head.write_id == current.write_id else _version_clash(head)
        if (current.version if current else 0) < head.version < self.highest:
            return (
                f"refused version {head.version}: this process had version "
                f"{self.highest} in force before it restarted"
            )
        return ""

    def _is_old(self, head: Head) -> bool:
        if head.write_id in self._rejected or head.version < self.highest:
            return True
        return self.current is not None and head.version <= self.current.version

    def put_in_force(self, head: Head) -> None:
        """Record that a head was put in force."""
        self.current = head
        self.highest = max(self.highest, head.version)
        self._drop_if_in_force()

    def peer_sources(self, attempt: int) -> list[str]:
        """Return up to two peers that sent the pending head, in turn by attempt.

        A peer is retained after a failure, because it may be the only reachable one.
        """
        peers = [source for source in self.sources if source != KEY_VALUE_SOURCE]
        if len(peers) <= PULL_PEERS:
            return peers
        first = attempt * PULL_PEERS % len(peers)
        return (peers[first:] + peers[:first])[:PULL_PEERS]

    def reject(self, head: Head) -> None:
        """Discard a head and do not fetch it again."""
        self._rejected.add(head.write_id)
        if self.head is head:
            self.head = None

    def _drop_if_in_force(self) -> None:
        """Discard the pending head if its version or a higher one is in force."""
        if self.head and self.current and self.head.version <= self.current.version:
            self.head = None


def _version_clash(head: Head) -> str:
    return (
        f"two different heads have version {head.version}; apply the "
        "configuration again to create a higher version"
    )
