"""Decisions about the requests that may cause crashes."""

from __future__ import annotations

import itertools
import math

import pytest

from lentilroad.membership.crash_causes import (
    BAN_S,
    MAX_BANS,
    RECOVERY_S,
    SETTLE_S,
    CrashCoordinator,
)
from lentilroad.membership.crash_evidence import EVIDENCE_EXPIRY_S, MAX_RUNS
from lentilroad.membership.crash_messages import (
    CrashReport,
    Fingerprint,
    Suspect,
    SuspectList,
    TrialDecision,
    TrialEnd,
    TrialRequest,
)
from tests.fakes.clock import ManualClock

INSTANCES = 5


def _fingerprint(target: str, body: str = "body") -> Fingerprint:
    return Fingerprint(target=target.encode(), content=f"{target}/{body}".encode())


DEADLY = _fingerprint("deadly")
INNOCENT = _fingerprint("innocent")


class _System:
    """A coordinator, and instances that crash."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.coordinator = CrashCoordinator(clock=self.clock)
        self._numbers = itertools.count()

    async def crash(
        self,
        *runs: Fingerprint,
        after_s: float = RECOVERY_S + 1,
        instance_id: str = "",
        last_sent_age_s: float = math.inf,
    ) -> None:
        """Let an instance crash while it runs requests; a new one unless named."""
        self.clock.now_s += after_s
        await self.coordinator.report(
            CrashReport(
                service="svc",
                instance_id=instance_id or f"i-{next(self._numbers)}",
                started_ms=1,
                instances=INSTANCES,
                runs=list(runs),
                bans=[],
                last_sent_age_s=last_sent_age_s,
            )
        )

    async def trial(
        self,
        run: Fingerprint,
        instance_id: str = "i-x",
        lease_s: float = 1.0,
        known_crashes: int = 0,
        known_for_s: float = 0.0,
    ) -> TrialDecision:
        """Ask for a trial."""
        reply = await self.coordinator.acquire_trial(
            TrialRequest(
                fingerprint=run,
                instance_id=instance_id,
                started_ms=1,
                service="svc",
                instances=INSTANCES,
                entry="e",
                lease_s=lease_s,
                known_crashes=known_crashes,
                known_for_s=known_for_s,
            )
        )
        return reply.decision

    async def succeed(self, run: Fingerprint, instance_id: str = "i-x") -> None:
        """Complete a run."""
        await self.coordinator.end_trial(
            TrialEnd(
                fingerprint=run, instance_id=instance_id, started_ms=1, succeeded=True
            )
        )

    async def is_banned(self, run: Fingerprint) -> bool:
        """Return whether a request is banned once all reports have arrived."""
        self.clock.now_s += SETTLE_S + RECOVERY_S
        return await self.trial(run, lease_s=0.0) is TrialDecision.BANNED


async def test_request_that_is_in_every_crash_is_banned_after_three() -> None:
    """Guard against a request that crashes one instance after the other."""
    system = _System()
    for number in range(3):
        assert not await system.is_banned(DEADLY)
        await system.crash(DEADLY, _fingerprint(f"beside-{number}"))
    assert await system.is_banned(DEADLY)


async def test_request_beside_the_cause_in_three_crashes_is_not_banned() -> None:
    """Guard against a ban of an innocent request that ran beside the cause."""
    system = _System()
    for _ in range(3):
        await system.crash(DEADLY, INNOCENT)
    assert not await system.is_banned(INNOCENT)
    await system.succeed(INNOCENT)
    assert await system.is_banned(DEADLY)
    assert not await system.is_banned(INNOCENT)


async def test_ban_clears_the_requests_that_ran_beside_it() -> None:
    """Guard against innocent requests that stay suspects after the cause is known."""
    system = _System()
    await system.crash(DEADLY, INNOCENT)
    for _ in range(2):
        await system.crash(DEADLY)
    assert await system.is_banned(DEADLY)
    assert await system.trial(INNOCENT) is TrialDecision.CLEARED


async def test_late_report_of_an_explained_crash_blames_nobody() -> None:
    """Guard against blame for a crash whose cause is already banned."""
    system = _System()
    for _ in range(3):
        await system.crash(DEADLY)
    assert await system.is_banned(DEADLY)
    report = CrashReport(
        service="svc",
        instance_id="i-2",
        started_ms=1,
        instances=INSTANCES,
        runs=[INNOCENT],
        bans=[],
    )
    await system.coordinator.report(report)
    assert await system.trial(INNOCENT) is TrialDecision.CLEARED


# BUDGET: the next crash of a restarted instance was taken for a report of the last one.
async def test_crash_after_a_restart_that_entries_do_not_know_yet_counts() -> None:
    """Guard against a request that is banned late by entries with an old list."""
    system = _System()
    for _ in range(3):
        await system.crash(DEADLY, instance_id="i-0", last_sent_age_s=0.1)
    assert await system.is_banned(DEADLY)


async def test_late_report_of_a_crash_does_not_count_twice() -> None:
    """Guard against a ban by entries that notice one crash at different times."""
    system = _System()
    for after_s in (5.0, 0.2, 3.0):
        await system.crash(
            DEADLY, instance_id="i-0", after_s=after_s, last_sent_age_s=after_s + 0.1
        )
    assert not await system.is_banned(DEADLY)


async def test_instances_that_crash_by_themselves_ban_no_request() -> None:
    """Guard against a ban of a long request in a service that keeps crashing."""
    system = _System()
    for number in range(4 * INSTANCES):
        runs = [INNOCENT] if number % INSTANCES == 0 else []
        await system.crash(*runs, _fingerprint(f"once-{number}"))
        assert not await system.is_banned(INNOCENT)


async def test_request_that_succeeds_between_crashes_is_not_banned() -> None:
    """Guard against a ban of a popular lookup that is in flight at every crash."""
    system = _System()
    lookup = Fingerprint(target=b"lookup", content=b"")
    for _ in range(5):
        await system.crash(lookup)
        await system.succeed(lookup)
    assert not await system.is_banned(lookup)


async def test_two_causes_at_the_same_time_are_both_banned() -> None:
    """Guard against two causes that each count as the chance behind the other."""
    system = _System()
    other = _fingerprint("other")
    for _ in range(3):
        await system.crash(DEADLY)
        await system.crash(other)
    assert await system.is_banned(DEADLY)
    assert await system.is_banned(other)


async def test_sound_body_on_the_path_of_a_deadly_one_is_not_refused() -> None:
    """Guard against a ban of all requests to a path for one body."""
    system = _System()
    for _ in range(3):
        await system.crash(DEADLY)
    assert await system.is_banned(DEADLY)
    sound = _fingerprint("deadly", "other body")
    assert await system.trial(sound) is TrialDecision.GRANTED
    await system.succeed(sound)
    assert await system.trial(_fingerprint("deadly", "third body")) is (
        TrialDecision.CLEARED
    )
    assert await system.is_banned(DEADLY)


async def test_path_that_crashes_with_every_body_is_banned() -> None:
    """Guard against a request that is learnt anew for each form of its body."""
    system = _System()
    for _ in range(3):
        await system.crash(DEADLY)
    await system.crash(_fingerprint("deadly", "second form"))
    assert await system.is_banned(_fingerprint("deadly", "third form"))


async def test_suspect_runs_once_at_a_time_and_with_no_other_on_its_instance() -> None:
    """Guard against several instances lost to copies of one request."""
    system = _System()
    await system.crash(DEADLY, INNOCENT)
    assert await system.trial(DEADLY, "i-a") is TrialDecision.GRANTED
    assert await system.trial(DEADLY, "i-b") is TrialDecision.WAIT
    assert await system.trial(INNOCENT, "i-a") is TrialDecision.INSTANCE_TAKEN
    assert await system.trial(INNOCENT, "i-b") is TrialDecision.GRANTED


async def test_trial_of_an_entry_that_died_ends_with_its_lease() -> None:
    """Guard against a suspect that nobody may run after its entry was killed."""
    system = _System()
    await system.crash(INNOCENT)
    assert await system.trial(INNOCENT, "i-a", lease_s=2.0) is TrialDecision.GRANTED
    system.clock.now_s += 2.1
    assert await system.trial(INNOCENT, "i-b") is TrialDecision.GRANTED


async def test_likely_cause_waits_until_few_instances_are_down() -> None:
    """Guard against trials that take the last instances from all other callers."""
    system = _System()
    await system.crash(DEADLY)
    await system.crash(DEADLY, after_s=0.5)
    system.clock.now_s += SETTLE_S + 0.1
    assert await system.trial(DEADLY) is TrialDecision.WAIT
    system.clock.now_s += RECOVERY_S
    assert await system.trial(DEADLY) is TrialDecision.GRANTED


async def test_request_is_tried_once_after_its_ban_and_banned_for_longer() -> None:
    """Guard against three further crashes each time that a ban ends."""
    system = _System()
    for _ in range(3):
        await system.crash(DEADLY)
    assert await system.is_banned(DEADLY)
    system.clock.now_s += BAN_S
    assert await system.trial(DEADLY) is TrialDecision.GRANTED
    await system.crash(DEADLY)
    assert await system.is_banned(DEADLY)
    system.clock.now_s += BAN_S
    assert await system.is_banned(DEADLY)


async def test_restarted_coordinator_learns_bans_from_entries() -> None:
    """Guard against a banned request that crashes again after a restart."""
    system = _System()
    await system.coordinator.share(
        SuspectList(suspects=[Suspect(key=DEADLY.content, banned_for_s=60.0, bans=1)])
    )
    assert await system.is_banned(DEADLY)


async def test_restarted_coordinator_learns_suspects_from_entries() -> None:
    """Guard against copies of a suspect that run at once after a restart."""
    system = _System()
    system.clock.now_s += 1.0
    known = {"known_crashes": 2, "known_for_s": 2.0}
    assert await system.trial(DEADLY, **known) is TrialDecision.WAIT
    system.clock.now_s += SETTLE_S + RECOVERY_S
    assert await system.trial(DEADLY, "i-a", **known) is TrialDecision.GRANTED
    assert await system.trial(DEADLY, "i-b", **known) is TrialDecision.WAIT
    await system.crash(DEADLY)
    assert await system.is_banned(DEADLY)


# BUDGET: a coordinator without the evidence of the other one cleared the request.
async def test_coordinator_that_missed_the_reports_does_not_clear_a_suspect() -> None:
    """Guard against runs without a trial when coordinators change.

    The entry has just heard of the crashes from the other coordinator.
    """
    system = _System()
    system.clock.now_s += 60.0
    known = {"known_crashes": 2, "known_for_s": 0.5}
    assert await system.trial(DEADLY, **known) is TrialDecision.WAIT
    await system.crash(DEADLY)
    assert await system.is_banned(DEADLY)


async def test_crashes_that_entries_state_ban_no_request_by_themselves() -> None:
    """Guard against the ban of a request whose crashes a ban had explained."""
    system = _System()
    known = {"known_crashes": 3, "known_for_s": 0.5}
    await system.trial(INNOCENT, **known)
    assert not await system.is_banned(INNOCENT)
    system.clock.now_s += RECOVERY_S
    assert await system.trial(INNOCENT, **known) is TrialDecision.GRANTED
    await system.succeed(INNOCENT)
    assert await system.trial(INNOCENT, **known) is TrialDecision.CLEARED


async def test_ban_withdraws_what_entries_state_of_the_requests_beside_it() -> None:
    """Guard against suspects that come back from entries that did not hear of a ban."""
    system = _System()
    await system.crash(DEADLY, INNOCENT)
    for _ in range(2):
        await system.crash(DEADLY)
    assert await system.is_banned(DEADLY)
    decision = await system.trial(INNOCENT, known_crashes=1, known_for_s=0.5)
    assert decision is TrialDecision.CLEARED


async def test_stale_knowledge_of_an_entry_does_not_bring_back_a_suspect() -> None:
    """Guard against a cleared request that an entry makes a suspect again."""
    system = _System()
    await system.crash(INNOCENT)
    await system.succeed(INNOCENT)
    decision = await system.trial(INNOCENT, known_crashes=1, known_for_s=0.5)
    assert decision is TrialDecision.CLEARED


@pytest.mark.parametrize("runs_per_crash", [1, 64, 1000])
async def test_state_is_bounded_whatever_crashes(runs_per_crash: int) -> None:
    """Guard against memory that grows with the requests that callers send."""
    system = _System()
    for number in range(600):
        await system.crash(
            *(_fingerprint(f"{number}-{run}") for run in range(runs_per_crash)),
            after_s=0.0,
        )
    evidence = system.coordinator._evidence
    assert evidence.run_count() <= MAX_RUNS
    reply = await system.coordinator.share(
        SuspectList(
            suspects=[
                Suspect(key=b"%d" % number, banned_for_s=60.0, bans=1)
                for number in range(2 * MAX_BANS)
            ]
        )
    )
    assert len(reply.suspects) <= 2 * 64
    system.clock.now_s += EVIDENCE_EXPIRY_S + 1.0
    await system.coordinator.share(SuspectList(suspects=[]))
    assert evidence.run_count() == 0
