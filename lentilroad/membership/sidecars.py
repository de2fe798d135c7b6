"""Directory of sidecars: who serves which model or service, and its load."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import eliot
import msgspec

from lentilroad.clock import Clock
from lentilroad.const import HEARTBEAT_INTERVAL_S
from lentilroad.membership.const import (
    DEAD_RECORD_RETENTION_S,
    PAUSE_GAP_S,
    PIGGYBACK_RECORDS,
    PIGGYBACK_REPEATS,
    ROTATING_SIDECARS,
    SIDECAR_AUDIT_SLICE,
    SIDECAR_HOME_ENTRIES,
    SIDECAR_SILENT_AFTER_S,
    SIDECAR_UNCLAIMED_AFTER_S,
)
from lentilroad.membership.rendezvous import rank
from lentilroad.wire.messages import (
    LoadReport,
    PingReply,
    PingRequest,
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
    # Since when this entry, as a home, waits for the first heartbeat.
    awaited_s: float | None = None
    changed_s: float = 0.0
    config_version: int = 0
    sent_home_entries: list[str] = field(default_factory=list)


def _reported(record: SidecarRecord) -> tuple[int, int]:
    """Order what a sidecar reports about itself."""
    return (record.incarnation, record.sequence)


def _version(record: SidecarRecord) -> tuple[int, int, int, bool]:
    """Order records of one sidecar, including what entries observe."""
    return (*_reported(record), record.observation, record.state == "dead")


class SidecarDirectory:
    """Sidecars by model or service name and region.

    Parameters
    ----------
    clock : Clock
        Source of time.
    address : str
        Address of this entry.
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
        address: str,
        region: str,
        incarnation: int,
        alive_entries: Callable[[str], list[str]],
        config_version: Callable[[], int] = lambda: 0,
        on_config_version: Callable[[str, int], None] | None = None,
    ) -> None:
        self._clock = clock
        self._address = address
        self._region = region
        self._incarnation = incarnation
        self._alive_entries = alive_entries
        self._config_version = config_version
        self._on_config_version = on_config_version
        self._known: dict[str, _Known] = {}
        self._index: dict[tuple[str, str], dict[str, _Known]] = {}
        self._leaving: frozenset[str] = frozenset()
        self._updates: dict[str, int] = {}
        self._rotation = 0
        self._audited = 0
        self._last_sweep_s = clock.monotonic_s()

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
        record = request.record or self._identified(request)
        if record is None:
            return SidecarHeartbeatReply(
                entry_incarnation=self._incarnation, wants_record=True
            )
        now_s = self._clock.monotonic_s()
        known = self._learn(self._observed(record), now_s)
        if known.record.incarnation == record.incarnation:
            known.load = request.load
            known.load_time_s = now_s
            known.heartbeat_s = now_s
            known.awaited_s = None
            known.config_version = request.config_version
        if self._on_config_version is not None:
            self._on_config_version(record.address, request.config_version)
        home_entries = self.home_entries(record.address)
        if request.record is None and home_entries == known.sent_home_entries:
            home_entries = []
        else:
            known.sent_home_entries = home_entries
        return SidecarHeartbeatReply(
            entry_incarnation=self._incarnation,
            config_version=self._config_version(),
            home_entries=home_entries,
        )

    def _identified(self, request: SidecarHeartbeat) -> SidecarRecord | None:
        """Return the known record that a heartbeat without one refers to."""
        known = self._known.get(request.address)
        if known is None or known.record.state == "dead":
            return None
        version = (known.record.incarnation, known.record.sequence)
        if version != (request.incarnation, request.sequence):
            return None
        return known.record

    def record_load(self, address: str, load: LoadReport) -> None:
        """Keep a load report that came another way than by heartbeat."""
        known = self._known.get(address)
        if known is not None:
            known.load = load
            known.load_time_s = self._clock.monotonic_s()

    def fill_probe(self, message: PingRequest | PingReply, everything: bool) -> None:
        """Add records to a probe; give it to `EntryMembership.add_piggyback`."""
        if everything:
            message.sidecars = self.records()
            return
        message.sidecars = self._take_updates()
        if isinstance(message, PingRequest):
            message.sidecars += self._rotating()

    def read_probe(self, sender: str, message: PingRequest | PingReply) -> None:
        """Merge the records of a probe; for `EntryMembership.add_piggyback`."""
        self.merge(message.sidecars)

    def merge(self, records: Iterable[SidecarRecord]) -> None:
        """Take over records that a peer sent."""
        now_s = self._clock.monotonic_s()
        for record in records:
            known = self._learn(record, now_s)
            if record.state == "dead" and self._heard(known, now_s):
                # Another entry lost its connection to a sidecar that reports here.
                alive = msgspec.structs.replace(
                    record, state="serving", observation=record.observation + 1
                )
                self._learn(alive, now_s)

    def set_leaving(self, upstream_ids: Iterable[str]) -> None:
        """Stop new work to upstreams that the platform's list shows as leaving."""
        leaving = frozenset(upstream_ids)
        changed = leaving ^ self._leaving
        self._leaving = leaving
        for known in self._known.values():
            if known.record.upstream_id in changed:
                self._reindex(known)

    async def run(self) -> None:
        """Remove silent sidecars until cancelled."""
        while True:
            await self._clock.sleep(HEARTBEAT_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Declare silent sidecars dead and forget records long dead."""
        now_s = self._clock.monotonic_s()
        if now_s - self._last_sweep_s > HEARTBEAT_INTERVAL_S + PAUSE_GAP_S:
            self._restart_timers(now_s)
        self._last_sweep_s = now_s
        for address, known in list(self._known.items()):
            if known.record.state == "dead":
                if now_s - known.changed_s > DEAD_RECORD_RETENTION_S:
                    del self._known[address]
            elif known.heartbeat_s is not None and not self._heard(known, now_s):
                known.heartbeat_s = None
                # A sidecar whose homes have changed reports to others.
                if self._address in self.home_entries(address):
                    self._declare_dead(known, now_s)
        self._audit(now_s)

    def _restart_timers(self, now_s: float) -> None:
        """Count silence from now on, after this process itself was paused."""
        for known in self._known.values():
            if known.heartbeat_s is not None:
                known.heartbeat_s = now_s
            known.awaited_s = None

    def _audit(self, now_s: float) -> None:
        """Look for sidecars that should report here and never did."""
        addresses = list(self._known)
        for _ in range(min(SIDECAR_AUDIT_SLICE, len(addresses))):
            self._audited = (self._audited + 1) % len(addresses)
            known = self._known[addresses[self._audited]]
            record = known.record
            if record.region != self._region or record.state == "dead":
                continue
            if known.heartbeat_s is not None:
                continue
            if self._address not in self.home_entries(record.address):
                known.awaited_s = None
            elif known.awaited_s is None:
                known.awaited_s = now_s
            elif now_s - known.awaited_s > SIDECAR_UNCLAIMED_AFTER_S:
                self._declare_dead(known, now_s)

    @staticmethod
    def _heard(known: _Known, now_s: float) -> bool:
        if known.heartbeat_s is None:
            return False
        return now_s - known.heartbeat_s <= SIDECAR_SILENT_AFTER_S

    def _declare_dead(self, known: _Known, now_s: float) -> None:
        eliot.log_message(
            message_type="membership:sidecar_silent", address=known.record.address
        )
        self._learn(msgspec.structs.replace(known.record, state="dead"), now_s)

    def _observed(self, record: SidecarRecord) -> SidecarRecord:
        """Return a reported record with the observations known here."""
        known = self._known.get(record.address)
        if known is None or _reported(known.record) != _reported(record):
            return record
        observation = known.record.observation + (known.record.state == "dead")
        return msgspec.structs.replace(record, observation=observation)

    def _take_updates(self) -> list[SidecarRecord]:
        chosen = list(self._updates)[:PIGGYBACK_RECORDS]
        for address in chosen:
            remaining = self._updates.pop(address) - 1
            if remaining > 0:
                # Moves to the end, so that all updates take turns.
                self._updates[address] = remaining
        return [self._known[a].record for a in chosen if a in self._known]

    def _rotating(self) -> list[SidecarRecord]:
        """Return records in turn, which repair updates that gossip lost."""
        addresses = list(self._known)
        chosen = []
        for _ in range(min(ROTATING_SIDECARS, len(addresses))):
            self._rotation = (self._rotation + 1) % len(addresses)
            chosen.append(self._known[addresses[self._rotation]].record)
        return chosen

    def _learn(self, record: SidecarRecord, now_s: float) -> _Known:
        known = self._known.get(record.address)
        if known is None:
            known = _Known(record=record, changed_s=now_s)
            self._known[record.address] = known
        elif _version(record) <= _version(known.record):
            return known
        else:
            self._unindex(known)
            if record.incarnation != known.record.incarnation:
                known.load, known.load_time_s = _NO_LOAD, None
                known.heartbeat_s = None
            known.record = record
            known.changed_s = now_s
        self._reindex(known)
        self._updates[record.address] = PIGGYBACK_REPEATS
        return known

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
