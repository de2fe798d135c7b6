"""The newest head that a process knows and has not put in force."""

from __future__ import annotations

from lentilroad.version.const import KEY_VALUE_SOURCE, PULL_PEERS
from lentilroad.version.model import Head


class PendingHead:
    """Decides which heads are worth fetching; never one below the highest known.

    Parameters
    ----------
    highest : int
        Highest version that this process ever had in force.
    """

    __slots__ = ("_rejected", "current", "head", "highest", "sources", "value")

    def __init__(self, *, highest: int) -> None:
        self.highest = highest
        self.current: Head | None = None
        self.head: Head | None = None
        self.value = b""
        # Where the head was seen and its parts can be fetched.
        self.sources: list[str] = []
        self._rejected: set[str] = set()

    @property
    def version(self) -> int:
        """Highest version known, in force or wanted."""
        current = self.current.version if self.current else 0
        return max(current, self.head.version if self.head else 0)

    def learn(self, head: Head, value: bytes, source: str) -> str:
        """Take note of a head; return what is wrong with it or an empty text."""
        fault = self._fault(head)
        if fault or self._is_old(head):
            return fault
        if self.head is None or head.version > self.head.version:
            self.head = head
            self.value = value
            self.sources = []
        elif head.version < self.head.version:
            return ""
        elif head.write_id != self.head.write_id:
            return _split_fault(head)
        if source and source not in self.sources:
            self.sources.append(source)
        return ""

    def _fault(self, head: Head) -> str:
        current = self.current
        if current is not None and head.version == current.version:
            return "" if head.write_id == current.write_id else _split_fault(head)
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
        """Record that a head came into force."""
        self.current = head
        self.highest = max(self.highest, head.version)
        self.drop_if_done()

    def known_sources(self, attempt: int) -> list[str]:
        """Return two peers that have the wanted parts, others on each attempt.

        A source stays known after a failure: it may be the only one reachable.
        """
        peers = [source for source in self.sources if source != KEY_VALUE_SOURCE]
        if len(peers) <= PULL_PEERS:
            return peers
        first = attempt * PULL_PEERS % len(peers)
        return (peers[first:] + peers[:first])[:PULL_PEERS]

    def reject(self, head: Head) -> None:
        """Never fetch this head again."""
        self._rejected.add(head.write_id)
        if self.head is head:
            self.head = None

    def drop_if_done(self) -> None:
        """Forget the wanted head when it or a higher one is in force."""
        if self.head and self.current and self.head.version <= self.current.version:
            self.head = None


def _split_fault(head: Head) -> str:
    return (
        f"two different heads carry version {head.version}; apply the "
        "configuration again to make a higher version"
    )
