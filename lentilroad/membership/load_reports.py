"""Reports of entries about their load, and the coordinator that divides the slots.

Each service has one coordinator among the storage members. It keeps nothing on disk:
after a restart it knows the load again when the entries have reported once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated

import msgspec

from lentilroad.clock import Clock
from lentilroad.membership.slot_shares import EntryDemand, ServiceShares
from lentilroad.wire.services import Method

MAX_COUNT = 10**9

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class ServiceReport(msgspec.Struct, kw_only=True, array_like=True):
    """Load of one entry at one service; see `slot_shares.ServiceShares.report`."""

    service: str
    in_flight: dict[str, _Count]
    waiting_under_way: _Count
    waiting_new: _Count
    completed: _Count
    slots: _Count


class LoadReports(msgspec.Struct, kw_only=True, array_like=True):
    """Reports of one entry about the services that one member coordinates.

    Attributes
    ----------
    entry : str
        Address of the entry.
    sequence : int
        Number that grows with each report, also over restarts of the entry.
    known_entries : int
        Entries that the entry knows, itself included.
    """

    entry: str
    sequence: int
    known_entries: _Count
    services: list[ServiceReport]


class ServiceReply(msgspec.Struct, kw_only=True, array_like=True):
    """View of one service; see `slot_shares.SharedView`."""

    service: str
    allowance: int
    interval_s: float
    slots: int
    in_flight: int
    waiting_under_way: int
    waiting_new: int
    completed_per_s: float
    entries: int
    in_flight_by_instance: dict[str, int]


class LoadReply(msgspec.Struct, kw_only=True, array_like=True):
    """Views of the services of a report."""

    services: list[ServiceReply]


REPORT_LOAD = Method(
    path="/lentilroad.Storage/ReportLoad",
    request_type=LoadReports,
    reply_type=LoadReply,
)


class LoadCoordinator:
    """Sums the load of services over the entries and divides their slots.

    Parameters
    ----------
    clock : Clock
        Source of time.
    position : callable
        Receives the name of a service; returns the position of this process among its
        coordinators, 0 for the first.
    """

    def __init__(self, *, clock: Clock, position: Callable[[str], int]) -> None:
        self._clock = clock
        self._position = position
        self._services: dict[str, ServiceShares] = {}

    def coordinated_count(self) -> int:
        """Return the number of services that entries reported lately."""
        now_s = self._clock.monotonic_s()
        return sum(1 for s in self._services.values() if not s.is_idle(now_s))

    async def report(self, request: LoadReports) -> LoadReply:
        """Handle `REPORT_LOAD`."""
        now_s = self._clock.monotonic_s()
        for name, shares in list(self._services.items()):
            if shares.is_idle(now_s):
                del self._services[name]
        return LoadReply(
            services=[
                self._service_reply(request, report, now_s)
                for report in request.services
            ]
        )

    def _service_reply(
        self, request: LoadReports, report: ServiceReport, now_s: float
    ) -> ServiceReply:
        shares = self._services.setdefault(report.service, ServiceShares())
        view = shares.report(
            request.entry,
            EntryDemand(
                in_flight=sum(report.in_flight.values()),
                waiting_under_way=report.waiting_under_way,
                waiting_new=report.waiting_new,
            ),
            in_flight_by_instance=report.in_flight,
            completed=report.completed,
            slots=report.slots,
            known_entries=request.known_entries,
            sequence=request.sequence,
            first=self._position(report.service) == 0,
            now_s=now_s,
        )
        return ServiceReply(
            service=report.service,
            allowance=view.allowance,
            interval_s=view.interval_s,
            slots=view.slots,
            in_flight=view.in_flight,
            waiting_under_way=view.waiting_under_way,
            waiting_new=view.waiting_new,
            completed_per_s=view.completed_per_s,
            entries=view.entries,
            in_flight_by_instance=view.in_flight_by_instance,
        )
