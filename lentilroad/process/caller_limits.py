"""Admission of requests within the callers' configured limits."""

from __future__ import annotations

from collections.abc import Callable

from lentilroad.clock import Clock
from lentilroad.request.limits import CallerLimit, CallerLimits
from lentilroad.version.model import ConfigurationVersion


class CallerAdmission:
    """Admit requests within this entry's share of each caller's limits.

    Parameters
    ----------
    clock : Clock
        Source of time.
    live_entries : callable
        Returns the number of live entries, among which each limit is divided.
    """

    __slots__ = ("_limits", "_live_entries", "_share")

    def __init__(self, *, clock: Clock, live_entries: Callable[[], int]) -> None:
        self._limits = CallerLimits(clock=clock, limits={})
        self._live_entries = live_entries
        self._share = 1.0

    def on_configuration(self, version: ConfigurationVersion) -> None:
        """Apply the limits of a new configuration version."""
        limits = {
            name: CallerLimit(
                requests_per_s=caller.limits.requests_per_s,
                programs=caller.limits.concurrent_programs,
            )
            for name, caller in version.configuration.callers.items()
        }
        self._limits.replace(limits=limits)

    def admit_request(self, caller_id: str, tokens: int) -> None:
        """Count one request; raise `RateLimitedError` above a limit."""
        share = 1.0 / max(1, self._live_entries())
        if share != self._share:
            self._share = share
            self._limits.replace(share=share)
        self._limits.admit_request(caller_id, tokens=tokens)
