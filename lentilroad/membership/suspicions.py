"""Reports between entries about unresponsive upstream instances."""

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

# Receivers of one report. In a larger group, several entries report each instance.
REPORT_FANOUT = 32
# Entries answer within 30 ms; a report is useless much later.
SEND_TIMEOUT_S = 0.3
# A reported instance gets work only if no other instance can accept it, for this long.
# The reporting entry retries it sooner, and reports it again if it still fails.
SUSPECTED_FOR_S = 2.0
# An entry that has excluded more than this share of a service's instances is itself
# isolated and sends no reports.
ISOLATION_SHARE = 0.5


class Suspicion(msgspec.Struct, kw_only=True, array_like=True):
    """Report that an instance has left requests unanswered."""

    instance_id: str
    started_ms: int


class SuspicionReply(msgspec.Struct, kw_only=True, array_like=True):
    """Whether the report is accepted: the receiver has had no recent answer."""

    accepted: bool


SUSPECT = Method(
    path="/lentilroad.Entry/Suspect", request_type=Suspicion, reply_type=SuspicionReply
)


class SuspicionReporter:
    """Sends and receives reports about unresponsive instances.

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
        """Send a report to other entries in the background."""
        now_s = self._clock.monotonic_s()
        instances = self._directory.instances(state.instance.service)
        excluded = sum(1 for other in instances if other.excluded_until_s > now_s)
        if excluded > ISOLATION_SHARE * len(instances):
            return
        task = asyncio.ensure_future(self._send(state))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def receive(self, request: Suspicion) -> SuspicionReply:
        """Handle `SUSPECT`: suspect the instance unless it answers this entry."""
        state = self._directory.find(request.instance_id)
        if state is None or state.instance.started_ms != request.started_ms:
            return SuspicionReply(accepted=False)
        now_s = self._clock.monotonic_s()
        answer_age_s = now_s - state.last_answer_s
        accepted = answer_age_s > UNRESPONSIVE_AFTER_S
        if accepted:
            state.suspected_until_s = now_s + SUSPECTED_FOR_S
        log_event(
            "upstream_suspected",
            instance=request.instance_id,
            answer_age_ms=int(1000 * min(answer_age_s, 3600.0)),
            taken=accepted,
        )
        return SuspicionReply(accepted=accepted)

    async def _send(self, state: UpstreamState) -> None:
        request = Suspicion(
            instance_id=state.instance.instance_id,
            started_ms=state.instance.started_ms,
        )
        entries = self._entries()
        receivers = self._random.sample(entries, min(REPORT_FANOUT, len(entries)))
        results = await asyncio.gather(
            *(
                self._call(e, SUSPECT, request, timeout_s=SEND_TIMEOUT_S)
                for e in receivers
            ),
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
            entries=len(receivers),
            failed=failed,
        )
