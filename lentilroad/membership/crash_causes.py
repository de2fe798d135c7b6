"""Coordination of the requests that may crash the instances that run them.

Two storage members coordinate all crashes; entries ask the second one while they cannot
reach the first. A coordinator keeps nothing on disk: after a restart, entries tell it
the bans that they know, and with each suspect the crashes that count against it.
"""

from __future__ import annotations

import itertools
import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from lentilroad.clock import Clock
from lentilroad.membership.crash_evidence import (
    BAN_AFTER_CRASHES,
    LIKELY_CAUSE_CRASHES,
    SETTLE_S,
    Crash,
    CrashEvidence,
)
from lentilroad.membership.crash_messages import (
    CrashReport,
    Fingerprint,
    Suspect,
    SuspectList,
    TrialDecision,
    TrialEnd,
    TrialEndReply,
    TrialReply,
    TrialRequest,
)
from lentilroad.process.events import log_event

# Number of members that coordinate crashes.
CRASH_COORDINATORS = 2
# A likely cause runs only while less than this share of the instances crashed in this
# time; a crashed instance is away for some seconds.
RECOVERY_S = 4.0
MAX_CRASHED_SHARE = 0.3
# The first ban of a request; each further one takes twice as long.
BAN_S = 600.0
MAX_BAN_S = 86400.0
# After a ban, a request is a suspect for this long, and one further crash bans it.
PROBATION_S = 3600.0
MAX_BANS = 256
# Digests for which a coordinator remembers that it withdrew evidence.
MAX_WITHDRAWN = 4096
# Stands for the unknown ids of instances whose crashes only entries have stated.
ADOPTED_INSTANCE_ID = ""
# Newest suspects that one message holds.
MAX_SUSPECTS_SENT = 64
# Time after which a waiting entry asks again, in a small group of entries.
TRIAL_PAUSE_S = 0.1
# Requests for trials that a coordinator accepts per second while entries wait.
MAX_WAITING_PER_S = 20.0
# An entry that does not ask again this long after its pause no longer waits.
WAITING_EXPIRY_S = 1.0
MAX_WAITING = 1024

# Id of an instance and the time of its start, as an entry knows it.
Incarnation = tuple[str, int]


@dataclass(slots=True, kw_only=True)
class _Ban:
    """Ban of a digest until a monotonic time, and how often it was banned."""

    until_s: float
    bans: int


@dataclass(slots=True, kw_only=True)
class _Trial:
    """Run of a suspect, which ends at a monotonic time at the latest."""

    fingerprint: Fingerprint
    until_s: float


class CrashCoordinator:
    """Decides which requests cause crashes, and lets suspects run one at a time.

    Each request that was running on a crashed instance is a suspect until it succeeds.
    A suspect runs once at a time in the whole system and shares its instance with no
    other suspect. After two crashes it also waits until few instances are down. It is
    banned after three crashes if no other request of the last one was in two, unless
    instances of its service crash as often without a known cause.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._evidence = CrashEvidence()
        self._bans: OrderedDict[bytes, _Ban] = OrderedDict()
        # Monotonic time at which evidence against a digest was last withdrawn.
        self._withdrawn_s: OrderedDict[bytes, float] = OrderedDict()
        self._trials: dict[Incarnation, _Trial] = {}
        # Monotonic time until which each entry waits for a trial.
        self._waiting: dict[str, float] = {}

    async def report(self, request: CrashReport) -> SuspectList:
        """Handle `REPORT_CRASH`."""
        now_s = self._clock.monotonic_s()
        self._evidence.expire(now_s)
        self._learn_bans(request.bans, now_s)
        incarnation = (request.instance_id, request.started_ms)
        self._trials.pop(incarnation, None)
        self._evidence.record(
            request.instance_id,
            Crash(
                service=request.service,
                first_report_s=now_s,
                instances=request.instances,
            ),
            request.runs,
            last_sent_s=now_s - request.last_sent_age_s,
        )
        for run in request.runs:
            for key in run.digests():
                # An entry that did not know of the ban explains the crash.
                if self._banned_for_s(key, now_s) > 0.0:
                    self._withdraw(self._evidence.explain(key))
        self._ban_causes(now_s)
        suspects = self._known_suspects(now_s)
        log_event(
            "crash_reported",
            instance=request.instance_id,
            started_ms=request.started_ms,
            service=request.service,
            runs=len(request.runs),
            last_sent_age_s=round(request.last_sent_age_s, 3),
            instances=request.instances,
            suspects=len(suspects),
        )
        return SuspectList(suspects=suspects)

    async def acquire_trial(self, request: TrialRequest) -> TrialReply:
        """Handle `ACQUIRE_TRIAL`."""
        now_s = self._clock.monotonic_s()
        self._adopt_crashes(request, now_s)
        self._ban_causes(now_s)
        keys = request.fingerprint.digests()
        ban_s = max(self._banned_for_s(key, now_s) for key in keys)
        if ban_s > 0.0:
            return self._trial_reply(request, TrialDecision.BANNED, ban_s, now_s)
        if not self._is_suspect(request.fingerprint):
            return self._trial_reply(request, TrialDecision.CLEARED, 0.0, now_s)
        for incarnation, trial in list(self._trials.items()):
            if trial.until_s <= now_s:
                del self._trials[incarnation]
        held_s = max(self._held_for_s(key, now_s) for key in keys)
        if held_s > 0.0:
            return self._trial_reply(request, TrialDecision.WAIT, held_s, now_s)
        runs_elsewhere = any(
            key in keys
            for trial in self._trials.values()
            for key in trial.fingerprint.digests()
        )
        if runs_elsewhere:
            pause_s = self._pause_s(request.entry, now_s)
            return self._trial_reply(request, TrialDecision.WAIT, pause_s, now_s)
        incarnation = (request.instance_id, request.started_ms)
        if incarnation in self._trials:
            pause_s = self._pause_s(request.entry, now_s)
            return self._trial_reply(
                request, TrialDecision.INSTANCE_TAKEN, pause_s, now_s
            )
        self._trials[incarnation] = _Trial(
            fingerprint=request.fingerprint, until_s=now_s + request.lease_s
        )
        self._waiting.pop(request.entry, None)
        log_event(
            "trial_granted",
            instance=request.instance_id,
            entry=request.entry,
            target=request.fingerprint.target.hex(),
            crashes=self._evidence.run_crash_count(request.fingerprint),
            trials=len(self._trials),
        )
        return self._trial_reply(request, TrialDecision.GRANTED, 0.0, now_s)

    async def end_trial(self, request: TrialEnd) -> TrialEndReply:
        """Handle `END_TRIAL`."""
        incarnation = (request.instance_id, request.started_ms)
        trial = self._trials.get(incarnation)
        if trial is not None and trial.fingerprint == request.fingerprint:
            del self._trials[incarnation]
        if not request.succeeded:
            return TrialEndReply()
        now_s = self._clock.monotonic_s()
        for key in request.fingerprint.digests():
            # A run that began before the ban says nothing about its cause.
            if self._banned_for_s(key, now_s) > 0.0:
                continue
            self._bans.pop(key, None)
            self._evidence.clear(key)
            self._withdraw([key])
        self._ban_causes(now_s)
        return TrialEndReply()

    async def share(self, request: SuspectList) -> SuspectList:
        """Handle `SHARE_SUSPECTS`: learn the bans of an entry and return all."""
        now_s = self._clock.monotonic_s()
        self._evidence.expire(now_s)
        self._learn_bans(request.suspects, now_s)
        self._ban_causes(now_s)
        return SuspectList(suspects=self._known_suspects(now_s))

    def _adopt_crashes(self, request: TrialRequest, now_s: float) -> None:
        """Count crashes that an entry knows and that were not reported here.

        That this coordinator has no evidence does not clear a request: it may have
        started later, or become a coordinator or reachable only after the reports. Only
        evidence that it withdrew since the entry last heard of it counts as cleared.
        The last crash before a ban is always one that was reported here.
        """
        stated_s = now_s - request.known_for_s

        def unless_withdrawn(key: bytes) -> bytes:
            withdrawn_s = self._withdrawn_s.get(key, -math.inf)
            return key if withdrawn_s < stated_s else b""

        known = Fingerprint(
            target=unless_withdrawn(request.fingerprint.target),
            content=unless_withdrawn(request.fingerprint.content),
        )
        if not known.digests():
            return
        counted = self._evidence.run_crash_count(known)
        for _ in range(counted, min(request.known_crashes, LIKELY_CAUSE_CRASHES)):
            self._evidence.record(
                ADOPTED_INSTANCE_ID,
                Crash(
                    service=request.service,
                    first_report_s=now_s,
                    instances=request.instances,
                ),
                [known],
                # Each of them is a crash of its own.
                last_sent_s=math.inf,
            )

    def _withdraw(self, keys: Iterable[bytes]) -> None:
        """Remember that evidence against digests was withdrawn now."""
        for key in keys:
            self._withdrawn_s[key] = self._clock.monotonic_s()
            self._withdrawn_s.move_to_end(key)
        while len(self._withdrawn_s) > MAX_WITHDRAWN:
            self._withdrawn_s.popitem(last=False)

    def _learn_bans(self, suspects: list[Suspect], now_s: float) -> None:
        for suspect in suspects:
            known = self._bans.get(suspect.key)
            if suspect.bans == 0 or (known and known.bans >= suspect.bans):
                continue
            self._add_ban(
                suspect.key, until_s=now_s + suspect.banned_for_s, bans=suspect.bans
            )

    def _add_ban(self, key: bytes, *, until_s: float, bans: int) -> None:
        self._bans[key] = _Ban(until_s=until_s, bans=bans)
        self._bans.move_to_end(key)
        while len(self._bans) > MAX_BANS:
            self._bans.popitem(last=False)
        self._withdraw(self._evidence.explain(key))
        # Only crashes after the ban count against the request again.
        self._evidence.clear(key)
        self._withdraw([key])

    def _banned_for_s(self, key: bytes, now_s: float) -> float:
        ban = self._bans.get(key)
        return 0.0 if ban is None else max(0.0, ban.until_s - now_s)

    def _is_suspect(self, fingerprint: Fingerprint) -> bool:
        return self._evidence.run_crash_count(fingerprint) > 0 or any(
            key in self._bans for key in fingerprint.digests()
        )

    def _is_likely_cause(self, fingerprint: Fingerprint) -> bool:
        crashes = self._evidence.run_crash_count(fingerprint)
        return crashes >= LIKELY_CAUSE_CRASHES or any(
            key in self._bans for key in fingerprint.digests()
        )

    def _known_suspects(self, now_s: float) -> list[Suspect]:
        """Return bans, then suspects, the newest last, within one message's limit."""
        for key, ban in list(self._bans.items()):
            if ban.until_s + PROBATION_S < now_s:
                del self._bans[key]
        suspects = (
            key for key in self._evidence.newest_suspects() if key not in self._bans
        )
        newest = list(itertools.islice(suspects, MAX_SUSPECTS_SENT))
        return self._describe(
            [*list(self._bans)[-MAX_SUSPECTS_SENT:], *reversed(newest)], now_s
        )

    def _describe(self, keys: list[bytes], now_s: float) -> list[Suspect]:
        return [
            Suspect(
                key=key,
                crashes=self._evidence.crash_count(key),
                banned_for_s=self._banned_for_s(key, now_s),
                bans=self._bans[key].bans if key in self._bans else 0,
            )
            for key in keys
        ]

    def _trial_reply(
        self,
        request: TrialRequest,
        decision: TrialDecision,
        pause_s: float,
        now_s: float,
    ) -> TrialReply:
        suspects = [
            key
            for key in request.fingerprint.digests()
            if key in self._bans or self._evidence.crash_count(key) > 0
        ]
        return TrialReply(
            decision=decision,
            pause_s=pause_s,
            suspects=self._describe(suspects, now_s),
        )

    def _held_for_s(self, key: bytes, now_s: float) -> float:
        """Return for how long a likely cause of crashes must not run."""
        crashes = list(self._evidence.crashes(key))
        if not crashes or (
            len(crashes) < LIKELY_CAUSE_CRASHES and key not in self._bans
        ):
            return 0.0
        latest = max(crashes, key=lambda crash: crash.first_report_s)
        # Reports of the latest crash may still decide about the request.
        held_until_s = latest.first_report_s + SETTLE_S
        recent = self._evidence.recent_crashes(latest.service, now_s - RECOVERY_S)
        tolerated = int(max(1.0, MAX_CRASHED_SHARE * latest.instances))
        if len(recent) >= tolerated:
            # The newest crashes come first.
            leaves_s = recent[tolerated - 1].first_report_s + RECOVERY_S
            held_until_s = max(held_until_s, leaves_s)
        return held_until_s - now_s

    def _pause_s(self, entry: str, now_s: float) -> float:
        """Return when a waiting entry may ask again, and record that it waits."""
        for other, until_s in list(self._waiting.items()):
            if until_s < now_s:
                del self._waiting[other]
        waiting = len(self._waiting.keys() | {entry})
        pause_s = max(TRIAL_PAUSE_S, waiting / MAX_WAITING_PER_S)
        if waiting <= MAX_WAITING:
            self._waiting[entry] = now_s + pause_s + WAITING_EXPIRY_S
        return pause_s

    def _ban_causes(self, now_s: float) -> None:
        """Ban the requests that are the only explanation of their crashes.

        A ban removes the evidence against requests that were running beside the banned
        one, so that it may leave another suspect as the only one of a crash.
        """
        while (cause := self._find_cause(now_s)) is not None:
            known = self._bans.get(cause)
            bans = 1 if known is None else known.bans + 1
            ban_s = min(MAX_BAN_S, BAN_S * 2 ** (bans - 1))
            log_event(
                "request_banned",
                key=cause.hex(),
                crashes=self._evidence.crash_count(cause),
                for_s=ban_s,
                bans=bans,
            )
            self._add_ban(cause, until_s=now_s + ban_s, bans=bans)

    def _find_cause(self, now_s: float) -> bytes | None:
        for key in (*self._evidence.repeated(), *self._bans):
            if self._banned_for_s(key, now_s) <= 0.0 and self._is_cause(key, now_s):
                return key
        return None

    def _is_cause(self, key: bytes, now_s: float) -> bool:
        crashes = list(self._evidence.crashes(key))
        if len(crashes) < (1 if key in self._bans else BAN_AFTER_CRASHES):
            return False
        latest = max(crashes, key=lambda crash: crash.first_report_s)
        if latest.first_report_s + SETTLE_S > now_s:
            return False
        others = (run for run in latest.runs if key not in run.digests())
        if any(self._is_likely_cause(run) for run in others):
            return False
        return self._is_precise(key) and not self._is_chance(key, crashes)

    def _is_precise(self, key: bytes) -> bool:
        """Return whether a ban would affect no request that was in no crash.

        A target is banned only if its crashes do not depend on the body; otherwise the
        body's own digest has as many crashes.
        """
        contents = self._evidence.contents(key)
        return len(contents) > 1 or contents == {b""} or key in contents

    def _is_chance(self, key: bytes, crashes: list[Crash]) -> bool:
        """Return whether the instances crash so often that chance explains the crashes.

        That is so if, in the same time, as many crashes without a known cause happened
        as the service has instances.
        """
        latest = crashes[-1]
        unexplained = self._evidence.unexplained_crashes(
            key, service=latest.service, since_s=crashes[0].first_report_s
        )
        return unexplained >= max(1, latest.instances)
