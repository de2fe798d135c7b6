"""Telling peers which configuration version is in force, and asking for theirs."""

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
    """Exchanges of version numbers and heads with peers.

    Parameters
    ----------
    call : Callable
        ``await call(address, method, request, timeout_s=...)``.
    random : random.Random
        Source of peer choice.
    peers, remote_region_peers : Callable
        Addresses in the own region and in other regions.
    address : str
        Own address; empty for a process that serves no parts.
    in_force : Callable
        Returns the version in force and its encoded head.
    on_head : Callable
        Called with a higher head and the address that sent it.
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
        self._asking: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def choose(self, count: int) -> list[str]:
        """Return random peers, now and then one of another region."""
        near = [peer for peer in self._peers() if peer != self._address]
        far = self._remote_region_peers()
        # A small region sends more of its digests abroad, so that a region whose
        # watchers cannot reach the service still catches up within seconds.
        share = max(const.FAR_DIGEST_SHARE, min(0.5, 2 / (len(near) + 1)))
        if far and (not near or self._random.random() < share):
            return [self._random.choice(far)]
        return self._random.sample(near, min(count, len(near)))

    def push(self, count: int) -> None:
        """Send the head in force to random peers of the own region."""
        if not self._address:
            return
        near = [peer for peer in self._peers() if peer != self._address]
        for peer in self._random.sample(near, min(count, len(near))):
            self._spawn(self._tell(peer, with_head=True))

    def everyone(self) -> list[str]:
        """Return all peers in random order, those of the own region first."""
        near = [peer for peer in self._peers() if peer != self._address]
        far = list(self._remote_region_peers())
        return self._random.sample(near, len(near)) + self._random.sample(far, len(far))

    def ask_all(self, addresses: Sequence[str]) -> set[asyncio.Task[None]]:
        """Ask several peers for their heads at once; return the running tasks."""
        return {self._spawn(self._tell(one, with_head=False)) for one in addresses}

    def ask(self, address: str) -> None:
        """Ask one peer for its head, once at a time."""
        if address not in self._asking:
            self._asking.add(address)
            self._spawn(self._ask(address))

    def close(self) -> None:
        """Cancel all exchanges."""
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _ask(self, address: str) -> None:
        try:
            await self._tell(address, with_head=False)
        finally:
            self._asking.discard(address)

    async def _tell(self, address: str, *, with_head: bool) -> None:
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
