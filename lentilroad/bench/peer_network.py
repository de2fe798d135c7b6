"""In-memory transport between logical processes, with loss, delay and partitions."""

from __future__ import annotations

import asyncio
import random as random_module
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from lentilroad.clock import Clock
from lentilroad.errors import UnavailableError
from lentilroad.wire.codec import MessagePackCodec
from lentilroad.wire.services import Method

Handlers = dict[Method, Callable[[Any], Awaitable[Any]]]


class PeerNetwork:
    """Calls handlers of logical processes and counts messages and bytes.

    Parameters
    ----------
    clock : Clock
        Time of the simulation.
    random : random.Random
        Source of loss.
    latency_s : Callable
        One-way latency between two addresses, in seconds.
    loss : float
        Share of messages that are lost; requests and replies count separately.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: random_module.Random,
        latency_s: Callable[[str, str], float],
        loss: float = 0.0,
    ) -> None:
        self._clock = clock
        self._random = random
        self._latency_s = latency_s
        self.loss = loss
        self.handlers: dict[str, Handlers] = {}
        self.dead: set[str] = set()
        # Tells whether a message between two addresses is blocked.
        self.blocked: Callable[[str, str], bool] = lambda sender, receiver: False
        self.sent: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self._codec = MessagePackCodec()

    def call_from(self, sender: str) -> Callable[..., Awaitable[Any]]:
        """Return the `call` function of one process."""

        async def call(
            address: str, method: Method, request: Any, timeout_s: float
        ) -> Any:
            sent_s = self._clock.monotonic_s()
            if await self._carry(sender, address, request, method.request_type):
                handlers = self.handlers.get(address)
                if handlers is not None and address not in self.dead:
                    reply = await handlers[method](request)
                    if await self._carry(address, sender, reply, method.reply_type):
                        return reply
            waited_s = self._clock.monotonic_s() - sent_s
            await self._clock.sleep(max(0.0, timeout_s - waited_s))
            raise UnavailableError(
                f"no answer from {address}; it is tried again", outcome="unknown"
            )

        return call

    async def _carry(self, sender: str, receiver: str, message: Any, kind: Any) -> bool:
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(self._codec.encode(message, kind))
        if sender in self.dead or self.blocked(sender, receiver):
            return False
        if self._random.random() < self.loss:
            return False
        latency_s = self._latency_s(sender, receiver)
        if latency_s:
            await asyncio.sleep(latency_s)
        return receiver not in self.dead
