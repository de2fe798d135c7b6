"""What entries tell each other about upstream instances that do not answer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.membership.upstreams import (
    UNRESPONSIVE_AFTER_S,
    UpstreamDirectory,
    UpstreamState,
)
from lentilroad.process.events import log_event
from lentilroad.wire.services import Method

# Entries that are told at once; with more, each instance is reported by several.
FANOUT = 32
# Entries answer within 30 ms; the report is of no use much later.
SEND_TIMEOUT_S = 0.3
# How long an instance that another entry reported gets work only if no other can take
# it. The entry that reported it tries it again sooner, and reports it again.
SUSPECTED_FOR_S = 2.0
# An entry that cannot reach this share of a service's instances is cut off itself.
OWN_FAULT_SHARE = 0.5


class Suspicion(msgspec.Struct, kw_only=True, array_like=True):
    """An instance has left requests without an answer."""

    instance_id: str
    started_ms: int


class SuspicionReply(msgspec.Struct, kw_only=True, array_like=True):
    """Whether the receiver knows no better."""

    taken: bool


SUSPECT = Method(
    path="/lentilroad.Entry/Suspect", request_type=Suspicion, reply_type=SuspicionReply
)


class SuspicionReporter:
    """Reports about silent instances, sent and received.

    Parameters
    ----------
    call : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections.call`.
    entries : callable
        Returns the addresses of the other entries.
    directory : UpstreamDirectory
        Known instances.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        call: Callable[..., Awaitable[Any]],
        entries: Callable[[], list[str]],
        directory: UpstreamDirectory,
        clock: Clock,
    ) -> None:
        self._call = call
        self._entries = entries
        self._directory = directory
        self._clock = clock
        self._random = random.Random()
        self._sending: set[asyncio.Task[None]] = set()

    def report(self, state: UpstreamState) -> None:
        """Tell the other entries, in the background."""
        now_s = self._clock.monotonic_s()
        known = self._directory.instances(state.instance.service)
        excluded = sum(1 for other in known if other.excluded_until_s > now_s)
        if excluded > OWN_FAULT_SHARE * len(known):
            return
        task = asyncio.ensure_future(self._send(state))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def receive(self, request: Suspicion) -> SuspicionReply:
        """Note another entry's report, unless the instance answers here."""
        state = self._directory.find(request.instance_id)
        if state is None or state.instance.started_ms != request.started_ms:
            return SuspicionReply(taken=False)
        now_s = self._clock.monotonic_s()
        answer_age_s = now_s - state.last_answer_s
        taken = answer_age_s > UNRESPONSIVE_AFTER_S
        if taken:
            state.suspected_until_s = now_s + SUSPECTED_FOR_S
        log_event(
            "upstream_suspected",
            instance=request.instance_id,
            answer_age_ms=int(1000 * min(answer_age_s, 3600.0)),
            taken=taken,
        )
        return SuspicionReply(taken=taken)

    async def _send(self, state: UpstreamState) -> None:
        request = Suspicion(
            instance_id=state.instance.instance_id,
            started_ms=state.instance.started_ms,
        )
        entries = self._entries()
        told = self._random.sample(entries, min(FANOUT, len(entries)))
        results = await asyncio.gather(
            *(self._call(e, SUSPECT, request, timeout_s=SEND_TIMEOUT_S) for e in told),
            return_exceptions=True,
        )
        failed = 0
        for result in results:
            if isinstance(result, (LentilroadError, TimeoutError)):
                failed += 1
            elif isinstance(result, BaseException):
                raise result
        log_event(
            "suspicion_sent",
            instance=request.instance_id,
            entries=len(told),
            failed=failed,
        )
