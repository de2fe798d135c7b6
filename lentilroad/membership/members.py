"""Entries of all regions and their states."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from lentilroad.clock import Clock
from lentilroad.wire.messages import PeerRecord, PingReply, PingRequest
from lentilroad.wire.services import Method

Call = Callable[[str, Method, Any, float | None], Awaitable[Any]]


class Members:
    """Entries by region, kept by probes among them.

    Parameters
    ----------
    record : PeerRecord
        This entry.
    seeds : list[str]
        Addresses of entries to join, from the settings.
    """

    def __init__(
        self,
        *,
        record: PeerRecord,
        seeds: list[str],
        call: Call,
        clock: Clock,
        random: Random,
    ) -> None:
        self._me = record
        self._seeds = seeds
        self._call = call
        self._clock = clock
        self._random = random
        self._peers: dict[str, PeerRecord] = {record.address: record}

    def alive_entries(self, region: str) -> list[str]:
        """Return the entries of a region that take new work."""
        return sorted(
            peer.address
            for peer in self._peers.values()
            if peer.region == region and peer.state in ("alive", "suspect")
        )

    def state_of(self, address: str) -> str:
        """Return "alive", "suspect", "draining", "dead" or "unknown"."""
        peer = self._peers.get(address)
        return peer.state if peer else "unknown"

    def peer(self, address: str) -> PeerRecord | None:
        """Return what is known about an entry."""
        return self._peers.get(address)

    def peers(self) -> list[PeerRecord]:
        """Return all known entries, for ``status``."""
        return list(self._peers.values())

    async def ping(self, request: PingRequest) -> PingReply:
        """Handle `PING`."""
        return PingReply(alive=True)

    async def run(self) -> None:
        """Probe peers until cancelled."""
        while True:
            await self._clock.sleep(0.5)
