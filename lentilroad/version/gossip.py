"""Gossip of configuration versions and heads between peers."""

from __future__ import annotations

import asyncio
import random as random_module
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any

from lentilroad.errors import LentilroadError
from lentilroad.version import const
from lentilroad.wire.messages import ConfigDigestRequest
from lentilroad.wire.services import CONFIG_DIGEST

Call = Callable[..., Awaitable[Any]]
Addresses = Callable[[], Sequence[str]]


class VersionGossip:
    """Exchanges version numbers and heads with peers.

    Parameters
    ----------
    call : Callable
        ``await call(address, method, request, timeout_s=...)``.
    random : random.Random
        Random source for the choice of peers.
    peers, remote_region_peers : Callable
        Return the addresses of peers in the own region and in other regions.
    address : str
        Own address; empty if this process serves no parts.
    in_force : Callable
        Returns the version in force and its encoded head.
    on_head : Callable
        Called with each received head and the address of its sender.
    """

    def __init__(
        self,
        *,
        call: Call,
        random: random_module.Random,
        peers: Addresses,
        remote_region_peers: Addresses,
        address: str,
        in_force: Callable[[], tuple[int, bytes]],
        on_head: Callable[[bytes, str], None],
    ) -> None:
        self._call = call
        self._random = random
        self._peers = peers
        self._remote_region_peers = remote_region_peers
        self._address = address
        self._in_force = in_force
        self._on_head = on_head
        self._in_flight: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def choose_peers(self, count: int) -> list[str]:
        """Return random peers of the own region, or sometimes one of another region."""
        local = [peer for peer in self._peers() if peer != self._address]
        remote = self._remote_region_peers()
        # A small region sends a larger share of its digests to other regions, so that
        # it catches up within seconds even if its watchers cannot reach the key-value
        # service.
        share = max(const.REMOTE_REGION_DIGEST_SHARE, min(0.5, 2 / (len(local) + 1)))
        if remote and (not local or self._random.random() < share):
            return [self._random.choice(remote)]
        return self._random.sample(local, min(count, len(local)))

    def push(self, count: int) -> None:
        """Send the head in force to random peers of the own region."""
        if not self._address:
            return
        local = [peer for peer in self._peers() if peer != self._address]
        for peer in self._random.sample(local, min(count, len(local))):
            self._spawn(self._exchange_digests(peer, with_head=True))

    def all_peers(self) -> list[str]:
        """Return all peers in random order, peers of the own region first."""
        local = [peer for peer in self._peers() if peer != self._address]
        remote = list(self._remote_region_peers())
        return self._random.sample(local, len(local)) + self._random.sample(
            remote, len(remote)
        )

    def request_heads(self, addresses: Sequence[str]) -> set[asyncio.Task[None]]:
        """Request the heads of several peers concurrently; return the running tasks."""
        return {
            self._spawn(self._exchange_digests(peer, with_head=False))
            for peer in addresses
        }

    def request_head(self, address: str) -> None:
        """Request the head of a peer unless a request to it is in flight."""
        if address not in self._in_flight:
            self._in_flight.add(address)
            self._spawn(self._request_head(address))

    def close(self) -> None:
        """Cancel all exchanges in flight."""
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _request_head(self, address: str) -> None:
        try:
            await self._exchange_digests(address, with_head=False)
        finally:
            self._in_flight.discard(address)

    async def _exchange_digests(self, address: str, *, with_head: bool) -> None:
        version, head = self._in_force()
        request = ConfigDigestRequest(
            version=version, head=head if with_head else b"", sender=self._address
        )
        try:
            reply = await self._call(
                address, CONFIG_DIGEST, request, timeout_s=const.CALL_TIMEOUT_S
            )
        except LentilroadError:
            return
        if reply.head:
            self._on_head(reply.head, address)
