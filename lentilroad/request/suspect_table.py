"""Suspects and bans that an entry knows, and the targets that succeeded at it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.membership.crash_messages import Fingerprint, Suspect

# A suspect is forgotten this long after an entry last heard of it.
SUSPECT_EXPIRY_S = 600.0
MAX_SUSPECTS = 512
# A target to which a request succeeded in this time does not cause crashes by itself.
SUCCESS_MEMORY_S = 60.0
MAX_SUCCEEDED_TARGETS = 4096


class BannedRequestError(LentilroadError):
    """The request has crashed the instances that ran it; change it."""

    code = "crashes_instances"
    http_status = 503


@dataclass(slots=True, kw_only=True)
class _Known:
    """What this entry knows of a suspect.

    Attributes
    ----------
    confirmed_s : float
        Monotonic time at which another process last stated it.
    banned_until_s, expires_s : float
        Monotonic times.
    """

    banned_until_s: float
    bans: int
    crashes: int
    confirmed_s: float
    expires_s: float


class SuspectTable:
    """Suspects by digest, within a fixed size.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_known", "_succeeded_s")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._known: OrderedDict[bytes, _Known] = OrderedDict()
        # Monotonic time of the last success, by target.
        self._succeeded_s: OrderedDict[bytes, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._known)

    def banned_count(self) -> int:
        """Return the number of banned requests."""
        now_s = self._clock.monotonic_s()
        return sum(1 for known in self._known.values() if known.banned_until_s > now_s)

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request must not be sent without a trial.

        Raises
        ------
        BannedRequestError
            The request must not be sent at all.
        """
        found = False
        now_s = self._clock.monotonic_s()
        for key in fingerprint.digests():
            known = self._known.get(key)
            if known is None:
                continue
            if known.banned_until_s > now_s:
                raise BannedRequestError(
                    "this request has crashed every instance that ran it; change the "
                    "request, or send it again after the stated time",
                    retry_after_ms=int(1000 * (known.banned_until_s - now_s)),
                )
            if known.expires_s > now_s:
                found = True
            else:
                del self._known[key]
        return found

    def crash_count(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes that are known to count against a request."""
        return max(
            self._known[key].crashes if key in self._known else 0
            for key in fingerprint.digests()
        )

    def known_for_s(self, fingerprint: Fingerprint) -> float:
        """Return the seconds since another process last stated the suspicion."""
        now_s = self._clock.monotonic_s()
        confirmed_s = (
            self._known[key].confirmed_s
            for key in fingerprint.digests()
            if key in self._known
        )
        return now_s - max(confirmed_s, default=now_s)

    def bans(self) -> list[Suspect]:
        """Return the requests that were ever banned."""
        now_s = self._clock.monotonic_s()
        return [
            Suspect(
                key=key,
                crashes=known.crashes,
                banned_for_s=max(0.0, known.banned_until_s - now_s),
                bans=known.bans,
            )
            for key, known in self._known.items()
            if known.bans > 0
        ]

    def merge(self, suspect: Suspect) -> bool:
        """Adopt what another process states; return whether it is news."""
        now_s = self._clock.monotonic_s()
        known = self._known.get(suspect.key)
        is_news = known is None or (known.bans, known.crashes) < (
            suspect.bans,
            suspect.crashes,
        )
        if known is None or is_news:
            self._known[suspect.key] = known = _Known(
                banned_until_s=now_s + suspect.banned_for_s,
                bans=suspect.bans,
                crashes=suspect.crashes,
                confirmed_s=now_s,
                expires_s=0.0,
            )
        known.confirmed_s = now_s
        known.expires_s = max(known.banned_until_s, now_s) + SUSPECT_EXPIRY_S
        while len(self._known) > MAX_SUSPECTS:
            self._known.popitem(last=False)
        return is_news

    def forget(self, fingerprint: Fingerprint) -> bool:
        """Forget a request that is not banned; return whether it was known."""
        now_s = self._clock.monotonic_s()
        keys = [key for key in fingerprint.digests() if key in self._known]
        for key in keys:
            if self._known[key].banned_until_s <= now_s:
                del self._known[key]
        return bool(keys)

    def record_success(self, target: bytes) -> None:
        """Record that a request to a target succeeded."""
        self._succeeded_s[target] = self._clock.monotonic_s()
        self._succeeded_s.move_to_end(target)
        if len(self._succeeded_s) > MAX_SUCCEEDED_TARGETS:
            self._succeeded_s.popitem(last=False)

    def has_succeeded(self, target: bytes) -> bool:
        """Return whether a request to a target succeeded lately."""
        succeeded_s = self._succeeded_s.get(target, float("-inf"))
        return self._clock.monotonic_s() - succeeded_s <= SUCCESS_MEMORY_S
