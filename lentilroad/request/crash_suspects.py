"""Calls of an entry about requests that may crash the instances that run them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.membership.crash_messages import (
    ACQUIRE_TRIAL,
    END_TRIAL,
    REPORT_CRASH,
    SHARE_SUSPECTS,
    CrashReport,
    Fingerprint,
    Suspect,
    SuspectList,
    TrialDecision,
    TrialEnd,
    TrialReply,
    TrialRequest,
)
from lentilroad.membership.suspicions import REPORT_FANOUT
from lentilroad.membership.upstreams import UpstreamDirectory, UpstreamState
from lentilroad.process.events import log_event
from lentilroad.request.crash_detection import LostRun
from lentilroad.request.suspect_table import SuspectTable

CALL_TIMEOUT_S = 0.25
# A coordinator that did not answer is asked last for this long.
COORDINATOR_RETRY_S = 1.0
# Entries that an entry tells of new suspects that it has heard of from another entry.
FORWARD_FANOUT = 8
# Interval in which an entry fetches the suspects from both coordinators, in a small
# group of entries; each of them accepts about this many of these calls per second.
SYNC_INTERVAL_S = 2.0
MAX_SYNCS_PER_S = 20.0
# Time after which a started entry tries again to reach a coordinator; it doubles with
# each failure up to SYNC_INTERVAL_S.
SYNC_RETRY_S = 0.05
MAX_UNREPORTED_CRASHES = 16


class CrashSuspects:
    """Reports crashes, asks for trials, and shares suspects with other entries.

    Parameters
    ----------
    call : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections.call`.
    coordinators : callable
        Returns the addresses of the crash coordinators, in the order in which all
        entries ask them.
    entries : callable
        Returns the addresses of the other entries.
    own_address : str
        Address of this entry.
    directory : UpstreamDirectory
        Known instances.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        call: Callable[..., Awaitable[Any]],
        coordinators: Callable[[], list[str]],
        entries: Callable[[], list[str]],
        own_address: str,
        directory: UpstreamDirectory,
        clock: Clock,
    ) -> None:
        self._call = call
        self._coordinators = coordinators
        self._entries = entries
        self._own_address = own_address
        self._directory = directory
        self._clock = clock
        self._random = random.Random()
        self._table = SuspectTable(clock=clock)
        self._failed_until_s: dict[str, float] = {}
        self.reported_crashes = 0
        # Whether the bans of the other entries were read once.
        self.synchronized = False
        # Reports that reached no coordinator, and when the newest run was sent.
        self._unreported: list[tuple[CrashReport, float]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def suspected_count(self) -> int:
        """Return the number of known suspects that are not banned."""
        return len(self._table) - self._table.banned_count()

    def banned_count(self) -> int:
        """Return the number of banned requests."""
        return self._table.banned_count()

    def has_suspects(self) -> bool:
        """Return whether any suspect is known."""
        return len(self._table) > 0

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request must not be sent without a trial.

        Raises
        ------
        BannedRequestError
            The request must not be sent at all.
        """
        return self._table.is_suspect(fingerprint)

    def crash_count(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes that are known to count against a request."""
        return self._table.crash_count(fingerprint)

    async def acquire_trial(
        self, fingerprint: Fingerprint, state: UpstreamState, lease_s: float
    ) -> TrialReply | None:
        """Ask a coordinator whether a suspect may run on an instance.

        Returns
        -------
        TrialReply or None
            None if no coordinator is reachable.
        """
        instance = state.instance
        request = TrialRequest(
            fingerprint=fingerprint,
            instance_id=instance.instance_id,
            started_ms=instance.started_ms,
            service=instance.service,
            instances=len(self._directory.instances(instance.service)),
            entry=self._own_address,
            lease_s=lease_s,
            known_crashes=self._table.crash_count(fingerprint),
            known_for_s=self._table.known_for_s(fingerprint),
        )
        for coordinator in self._ranked_coordinators():
            reply = await self._try_call(coordinator, ACQUIRE_TRIAL, request)
            if reply is None:
                continue
            if reply.decision is TrialDecision.CLEARED:
                self._table.forget(fingerprint)
            self._merge(reply.suspects, fanout=REPORT_FANOUT)
            return reply
        return None

    async def report_crash(self, state: UpstreamState, runs: list[LostRun]) -> None:
        """Report the requests that ran on a crashed instance; see `CrashDetector`."""
        last_sent_s = max(run.sent_s for run in runs)
        fingerprints = (self._blamed(run.fingerprint) for run in runs)
        instance = state.instance
        report = CrashReport(
            service=instance.service,
            instance_id=instance.instance_id,
            started_ms=instance.started_ms,
            instances=len(self._directory.instances(instance.service)),
            runs=[run for run in fingerprints if run.digests()],
            bans=self._table.bans(),
        )
        self.reported_crashes += 1
        await self._send_report(report, last_sent_s)

    def record_trial_end(
        self,
        fingerprint: Fingerprint,
        state: UpstreamState,
        termination_probe: asyncio.Task[bool] | None = None,
    ) -> None:
        """Report in the background that a trial ended without a success.

        Parameters
        ----------
        termination_probe : asyncio.Task of bool, optional
            Task that reports the crash if there was one; the trial ends after it.
        """

        async def send() -> None:
            if termination_probe is not None:
                await asyncio.shield(termination_probe)
            await self._send_end(_trial_end(fingerprint, state, succeeded=False))

        self._start(send())

    def record_success(
        self,
        target: bytes,
        fingerprint: Callable[[], Fingerprint],
        state: UpstreamState,
    ) -> None:
        """Record that an instance completed the response to a request.

        Parameters
        ----------
        target : bytes
            Target of the request's fingerprint.
        fingerprint : callable
            Returns the fingerprint, which is needed only if suspects are known.
        """
        self._table.record_success(target)
        if not self.has_suspects():
            return
        suspect = fingerprint()
        if self._table.forget(suspect):
            self._start(self._send_end(_trial_end(suspect, state, succeeded=True)))

    async def receive(self, request: SuspectList) -> SuspectList:
        """Handle `SHARE_SUSPECTS` of another entry."""
        self._merge(request.suspects, fanout=FORWARD_FANOUT)
        return SuspectList(suspects=[])

    async def synchronize_regularly(self) -> None:
        """Exchange bans with the coordinators, at the start and regularly."""
        retry_s = SYNC_RETRY_S
        while not await self.synchronize():
            await self._clock.sleep(retry_s)
            if self._coordinators():
                retry_s = min(SYNC_INTERVAL_S, 2 * retry_s)
        while True:
            entries = len(self._entries())
            await self._clock.sleep(max(SYNC_INTERVAL_S, entries / MAX_SYNCS_PER_S))
            await self.synchronize()

    async def synchronize(self) -> bool:
        """Exchange bans with the coordinators; return whether one replied.

        Each coordinator decides by itself, so that either may know bans that the other
        does not.
        """
        unreported, self._unreported = self._unreported, []
        for report, last_sent_s in unreported:
            await self._send_report(report, last_sent_s)
        request = SuspectList(suspects=self._table.bans())
        replies = await asyncio.gather(
            *(
                self._try_call(coordinator, SHARE_SUSPECTS, request)
                for coordinator in self._coordinators()
            )
        )
        # Other entries know what a started entry hears first.
        fanout = FORWARD_FANOUT if self.synchronized else 0
        for reply in replies:
            if reply is not None:
                self._merge(reply.suspects, fanout=fanout)
                self.synchronized = True
        return self.synchronized

    async def _send_report(self, report: CrashReport, last_sent_s: float) -> None:
        report.last_sent_age_s = self._clock.monotonic_s() - last_sent_s
        # Both coordinators collect the evidence, so that either may decide.
        replies = await asyncio.gather(
            *(
                self._try_call(coordinator, REPORT_CRASH, report)
                for coordinator in self._coordinators()
            )
        )
        if all(reply is None for reply in replies):
            unreported = [*self._unreported, (report, last_sent_s)]
            self._unreported = unreported[-MAX_UNREPORTED_CRASHES:]
        for reply in replies:
            if reply is not None:
                self._merge(reply.suspects, fanout=REPORT_FANOUT)

    async def _send_end(self, end: TrialEnd) -> None:
        await asyncio.gather(
            *(
                self._try_call(coordinator, END_TRIAL, end)
                for coordinator in self._coordinators()
            )
        )

    def _ranked_coordinators(self) -> list[str]:
        """Return the coordinators, those that did not answer last."""
        now_s = self._clock.monotonic_s()
        return sorted(
            self._coordinators(),
            key=lambda address: self._failed_until_s.get(address, 0.0) > now_s,
        )

    async def _try_call(self, address: str, method: Any, request: Any) -> Any:
        """Return the reply, or None if there is none."""
        try:
            return await self._call(address, method, request, timeout_s=CALL_TIMEOUT_S)
        except (LentilroadError, TimeoutError) as error:
            self._failed_until_s[address] = (
                self._clock.monotonic_s() + COORDINATOR_RETRY_S
            )
            log_event(
                "crash_coordinator_lost",
                coordinator=address,
                call=method.path,
                error=str(error) or type(error).__name__,
            )
            return None

    def _blamed(self, run: Fingerprint) -> Fingerprint:
        """Return the digests of a request to which no success is known."""
        if not self._table.has_succeeded(run.target):
            return run
        return Fingerprint(target=b"", content=run.content)

    def _merge(self, suspects: list[Suspect], *, fanout: int) -> None:
        """Adopt suspects, and tell other entries of those that are new."""
        new = []
        for suspect in suspects:
            if suspect.bans == 0 and self._table.has_succeeded(suspect.key):
                self._clear_target(suspect.key)
            elif self._table.merge(suspect):
                new.append(suspect)
        if not new:
            return
        log_event(
            "crash_suspects_learned",
            keys=[suspect.key.hex() for suspect in new],
            banned_for_s=[round(suspect.banned_for_s, 3) for suspect in new],
        )
        entries = self._entries()
        receivers = self._random.sample(entries, min(fanout, len(entries)))
        for receiver in receivers:
            self._start(self._share(receiver, SuspectList(suspects=new)))

    async def _share(self, receiver: str, suspects: SuspectList) -> None:
        try:
            await self._call(
                receiver, SHARE_SUSPECTS, suspects, timeout_s=CALL_TIMEOUT_S
            )
        except (LentilroadError, TimeoutError) as error:
            # The entry learns them when it synchronizes.
            log_event("crash_suspects_not_shared", entry=receiver, error=str(error))

    def _clear_target(self, target: bytes) -> None:
        """Tell the coordinators that requests to a suspected target succeed here."""
        end = TrialEnd(
            fingerprint=Fingerprint(target=target, content=b""),
            instance_id="",
            started_ms=0,
            succeeded=True,
        )
        self._start(self._send_end(end))

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _trial_end(
    fingerprint: Fingerprint, state: UpstreamState, *, succeeded: bool
) -> TrialEnd:
    return TrialEnd(
        fingerprint=fingerprint,
        instance_id=state.instance.instance_id,
        started_ms=state.instance.started_ms,
        succeeded=succeeded,
    )
