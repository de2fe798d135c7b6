"""Directory of sidecars: who serves which model or service, and its load."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import eliot

from lentilroad.clock import Clock
from lentilroad.const import HEARTBEAT_INTERVAL_S
from lentilroad.membership.const import (
    DEAD_RECORD_RETENTION_S,
    PIGGYBACK_RECORDS,
    SIDECAR_FORGOTTEN_AFTER_S,
    SIDECAR_HOME_ENTRIES,
    SIDECAR_REFRESH_INTERVAL_S,
    SIDECAR_SILENT_AFTER_S,
)
from lentilroad.membership.rendezvous import rank
from lentilroad.wire.messages import (
    LoadReport,
    SidecarHeartbeat,
    SidecarHeartbeatReply,
    SidecarRecord,
)

_NO_LOAD = LoadReport()


@dataclass(slots=True, kw_only=True, eq=False)
class ServingSidecar:
    """A sidecar that takes new work, and what it last reported.

    `load_age_s` is infinite when this entry never received a report.
    """

    record: SidecarRecord
    load: LoadReport
    load_age_s: float


@dataclass(slots=True, kw_only=True, eq=False)
class _Known:
    record: SidecarRecord
    load: LoadReport = _NO_LOAD
    load_time_s: float | None = None
    heartbeat_s: float | None = None
    changed_s: float = 0.0
    config_version: int = 0


def _version(record: SidecarRecord) -> tuple[int, int, int]:
    """Order records of one address: a death ends its incarnation's sequence."""
    return (record.incarnation, record.sequence, record.state == "dead")


class SidecarDirectory:
    """Sidecars by model or service name and region.

    Parameters
    ----------
    clock : Clock
        Source of time.
    region : str
        Region of this entry.
    incarnation : int
        Incarnation of this entry, sent to its sidecars.
    alive_entries : callable
        Addresses of the entries of a region that can take new work.
    config_version : callable, optional
        Configuration version in force here.
    on_config_version : callable, optional
        Called with a sidecar's address and version on each heartbeat.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        region: str,
        incarnation: int,
        alive_entries: Callable[[str], list[str]],
        config_version: Callable[[], int] = lambda: 0,
        on_config_version: Callable[[str, int], None] | None = None,
    ) -> None:
        self._clock = clock
        self._region = region
        self._incarnation = incarnation
        self._alive_entries = alive_entries
        self._config_version = config_version
        self._on_config_version = on_config_version
        self._known: dict[str, _Known] = {}
        self._index: dict[tuple[str, str], dict[str, _Known]] = {}
        self._leaving: frozenset[str] = frozenset()
        self._updates: deque[str] = deque()

    def serving(self, name: str, region: str) -> list[ServingSidecar]:
        """Return the sidecars of a model or service that take new work."""
        now_s = self._clock.monotonic_s()
        found = self._index.get((region, name))
        if not found:
            return []
        return [
            ServingSidecar(
                record=known.record,
                load=known.load,
                load_age_s=(
                    float("inf")
                    if known.load_time_s is None
                    else now_s - known.load_time_s
                ),
            )
            for known in found.values()
        ]

    def record(self, address: str) -> SidecarRecord | None:
        """Return the record of one sidecar, whatever its state."""
        known = self._known.get(address)
        return known.record if known else None

    def records(self) -> list[SidecarRecord]:
        """Return all records, for ``status``."""
        return [known.record for known in self._known.values()]

    def config_versions(self) -> dict[str, int]:
        """Return the version each sidecar reported to this entry."""
        return {
            address: known.config_version
            for address, known in self._known.items()
            if known.heartbeat_s is not None
        }

    def home_entries(self, address: str) -> list[str]:
        """Return the entries that a sidecar of this region reports to."""
        entries = rank(address, self._alive_entries(self._region))
        return entries[:SIDECAR_HOME_ENTRIES]

    async def heartbeat(self, request: SidecarHeartbeat) -> SidecarHeartbeatReply:
        """Handle `SIDECAR_HEARTBEAT`."""
        now_s = self._clock.monotonic_s()
        self._learn(request.record, now_s)
        known = self._known[request.record.address]
        if known.record.incarnation == request.record.incarnation:
            known.load = request.load
            known.load_time_s = now_s
            known.heartbeat_s = now_s
            known.config_version = request.config_version
        if self._on_config_version is not None:
            self._on_config_version(request.record.address, request.config_version)
        return SidecarHeartbeatReply(
            entry_incarnation=self._incarnation,
            config_version=self._config_version(),
            home_entries=self.home_entries(request.record.address),
        )

    def learn(self, records: Iterable[SidecarRecord]) -> None:
        """Take over records that a peer sent."""
        now_s = self._clock.monotonic_s()
        for record in records:
            self._learn(record, now_s)

    def take_updates(self, limit: int = PIGGYBACK_RECORDS) -> list[SidecarRecord]:
        """Return records to piggyback on the next message, newest changes first."""
        count = min(limit, len(self._updates))
        addresses = [self._updates.popleft() for _ in range(count)]
        return [self._known[a].record for a in addresses if a in self._known]

    def set_leaving(self, upstream_ids: Iterable[str]) -> None:
        """Stop new work to upstreams that the platform's list shows as leaving."""
        leaving = frozenset(upstream_ids)
        changed = leaving ^ self._leaving
        self._leaving = leaving
        for known in self._known.values():
            if known.record.upstream_id in changed:
                self._reindex(known)

    async def run(self, wait: Callable[[float], Awaitable[None]] | None = None) -> None:
        """Remove silent sidecars until cancelled."""
        wait = wait or self._clock.sleep
        while True:
            await wait(HEARTBEAT_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Declare silent sidecars dead and forget records long dead."""
        now_s = self._clock.monotonic_s()
        for address, known in list(self._known.items()):
            self._sweep_one(address, known, now_s)

    def _sweep_one(self, address: str, known: _Known, now_s: float) -> None:
        if known.record.state == "dead":
            if now_s - known.changed_s > DEAD_RECORD_RETENTION_S:
                del self._known[address]
            return
        if known.heartbeat_s is None:
            if now_s - known.changed_s > SIDECAR_FORGOTTEN_AFTER_S:
                self._unindex(known)
                del self._known[address]
            return
        if now_s - known.heartbeat_s <= SIDECAR_SILENT_AFTER_S:
            if now_s - known.changed_s > SIDECAR_REFRESH_INTERVAL_S:
                known.changed_s = now_s
                self._updates.append(address)
            return
        known.heartbeat_s = None
        if self._entry_is_home(address):
            eliot.log_message(message_type="membership:sidecar_silent", address=address)
            self._learn(_dead(known.record), now_s)

    def _entry_is_home(self, address: str) -> bool:
        return True

    def _learn(self, record: SidecarRecord, now_s: float) -> None:
        known = self._known.get(record.address)
        if known is None:
            known = _Known(record=record, changed_s=now_s)
            self._known[record.address] = known
        elif _version(record) <= _version(known.record):
            if known.heartbeat_s is None and record.state != "dead":
                known.changed_s = now_s
            return
        else:
            self._unindex(known)
            if record.incarnation != known.record.incarnation:
                known.load, known.load_time_s = _NO_LOAD, None
                known.heartbeat_s = None
            known.record = record
            known.changed_s = now_s
        self._reindex(known)
        self._updates.append(record.address)

    def _reindex(self, known: _Known) -> None:
        self._unindex(known)
        record = known.record
        if record.state != "serving" or record.upstream_id in self._leaving:
            return
        for name in record.names:
            self._index.setdefault((record.region, name), {})[record.address] = known

    def _unindex(self, known: _Known) -> None:
        record = known.record
        for name in record.names:
            found = self._index.get((record.region, name))
            if found is None:
                continue
            found.pop(record.address, None)
            if not found:
                del self._index[(record.region, name)]


def _dead(record: SidecarRecord) -> SidecarRecord:
    return SidecarRecord(
        address=record.address,
        upstream_id=record.upstream_id,
        kind=record.kind,
        names=record.names,
        region=record.region,
        availability_zone=record.availability_zone,
        incarnation=record.incarnation,
        state="dead",
        sequence=record.sequence,
    )
