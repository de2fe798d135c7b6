"""Messages about crashes of instances and the requests that may have caused them."""

from __future__ import annotations

import math
from enum import IntEnum

import msgspec

from lentilroad.wire.services import Method


class Fingerprint(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """Identity of a request that is sent again.

    Attributes
    ----------
    target : bytes
        Digest of the customer (without customers, of the credential), host, method and
        target; empty if requests to this target have succeeded, so that the target
        alone causes no crash.
    content : bytes
        Digest of the target and the body; empty if there is no body.
    """

    target: bytes
    content: bytes

    def digests(self) -> tuple[bytes, ...]:
        """Return the digests by which crashes are counted."""
        return tuple(key for key in (self.target, self.content) if key)


class Suspect(msgspec.Struct, kw_only=True, frozen=True, array_like=True):
    """A request, by one of its digests, that may have caused crashes.

    Attributes
    ----------
    crashes : int
        Crashes in which the request was running and that nothing else explains.
    banned_for_s : float
        Seconds for which the request must not be sent; 0 if it may be tried.
    bans : int
        Number of times that the request was banned.
    """

    key: bytes
    crashes: int = 0
    banned_for_s: float = 0.0
    bans: int = 0


class SuspectList(msgspec.Struct, kw_only=True, array_like=True):
    """Suspects that the sender knows."""

    suspects: list[Suspect]


class CrashReport(msgspec.Struct, kw_only=True, array_like=True):
    """Requests of one entry that were running on an instance when it crashed.

    Attributes
    ----------
    started_ms : int
        Start of the instance.
    instances : int
        Number of instances of the service that the entry knows.
    bans : list of Suspect
        Bans that the entry knows; the coordinator may have restarted.
    last_sent_age_s : float
        Seconds since the newest of the runs was sent; infinite if unknown.
    """

    service: str
    instance_id: str
    started_ms: int
    instances: int
    runs: list[Fingerprint]
    bans: list[Suspect]
    last_sent_age_s: float = math.inf


class TrialRequest(msgspec.Struct, kw_only=True, array_like=True):
    """Request for permission to run a suspect on an instance.

    Attributes
    ----------
    service : str
        Service of the instance.
    instances : int
        Number of instances of the service that the entry knows.
    lease_s : float
        Seconds after which the trial has ended, unless its end is reported earlier.
    known_crashes : int
        Crashes that count against the request, as far as the entry knows.
    known_for_s : float
        Seconds since another process last stated them.
    """

    fingerprint: Fingerprint
    instance_id: str
    started_ms: int
    service: str
    instances: int
    entry: str
    lease_s: float
    known_crashes: int
    known_for_s: float


class TrialDecision(IntEnum):
    """Answer to a `TrialRequest`."""

    GRANTED = 0
    # The same request is running elsewhere, or the cause of a crash is being decided.
    WAIT = 1
    # Another suspect is running on the instance.
    INSTANCE_TAKEN = 2
    # The request is no suspect.
    CLEARED = 3
    BANNED = 4


class TrialReply(msgspec.Struct, kw_only=True, array_like=True):
    """Decision about a trial.

    Attributes
    ----------
    pause_s : float
        Seconds until the entry may ask again, or until the ban ends.
    suspects : list of Suspect
        The request's own digests, as the coordinator knows them.
    """

    decision: TrialDecision
    pause_s: float
    suspects: list[Suspect]


class TrialEnd(msgspec.Struct, kw_only=True, array_like=True):
    """Report that a request no longer runs on an instance that did not crash.

    Attributes
    ----------
    succeeded : bool
        Whether the instance completed its response, which clears the request.
    """

    fingerprint: Fingerprint
    instance_id: str
    started_ms: int
    succeeded: bool


class TrialEndReply(msgspec.Struct, kw_only=True, array_like=True):
    """Confirmation of a `TrialEnd`."""


REPORT_CRASH = Method(
    path="/lentilroad.Storage/ReportCrash",
    request_type=CrashReport,
    reply_type=SuspectList,
)
ACQUIRE_TRIAL = Method(
    path="/lentilroad.Storage/AcquireTrial",
    request_type=TrialRequest,
    reply_type=TrialReply,
)
END_TRIAL = Method(
    path="/lentilroad.Storage/EndTrial",
    request_type=TrialEnd,
    reply_type=TrialEndReply,
)
# Served by storage members and by entries.
SHARE_SUSPECTS = Method(
    path="/lentilroad.Entry/ShareSuspects",
    request_type=SuspectList,
    reply_type=SuspectList,
)
