"""Directory of sidecars with their models, services and load."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import eliot
import msgspec

from lentilroad.clock import Clock
from lentilroad.const import HEARTBEAT_INTERVAL_S
from lentilroad.membership.const import (
    DEAD_SIDECAR_RETENTION_S,
    MAX_PIGGYBACK_RECORDS,
    PAUSE_THRESHOLD_S,
    PIGGYBACK_REPEATS,
    ROTATING_SIDECARS,
    SIDECAR_AUDIT_BATCH,
    SIDECAR_FIRST_HEARTBEAT_TIMEOUT_S,
    SIDECAR_HOME_ENTRIES,
    SIDECAR_UNRESPONSIVE_AFTER_S,
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
    """A sidecar that accepts new work, with its last load report.

    `load_age_s` is infinite if this entry has not received a load report.
    """

    record: SidecarRecord
    load: LoadReport
    load_age_s: float


@dataclass(slots=True, kw_only=True, eq=False)
class _SidecarState:
    record: SidecarRecord
    load: LoadReport = _NO_LOAD
    load_received_s: float | None = None
    last_heartbeat_s: float | None = None
    # Time since which this entry, as a home entry, waits for the first heartbeat.
    awaited_since_s: float | None = None
    changed_s: float = 0.0
    config_version: int = 0
    sent_home_entries: list[str] = field(default_factory=list)


def _report_order(record: SidecarRecord) -> tuple[int, int]:
    """Return the order of records that a sidecar sends about itself."""
    return (record.incarnation, record.sequence)


def _record_order(record: SidecarRecord) -> tuple[int, int, int, bool]:
    """Return the precedence of a sidecar's records, with the entries' observations."""
    return (*_report_order(record), record.observation, record.state == "dead")


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
        Returns the addresses of the entries of a region that accept new work.
    config_version : callable, optional
        Returns the configuration version in force at this entry.
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
        self._sidecars: dict[str, _SidecarState] = {}
        self._index: dict[tuple[str, str], dict[str, _SidecarState]] = {}
        self._leaving: frozenset[str] = frozenset()
        self._pending_updates: dict[str, int] = {}
        self._rotation_position = 0
        self._audit_position = 0
        self._last_sweep_s = clock.monotonic_s()

    def serving(self, name: str, region: str) -> list[ServingSidecar]:
        """Return the sidecars of a model or service that accept new work."""
        now_s = self._clock.monotonic_s()
        found = self._index.get((region, name))
        if not found:
            return []
        return [
            ServingSidecar(
                record=sidecar.record,
                load=sidecar.load,
                load_age_s=(
                    float("inf")
                    if sidecar.load_received_s is None
                    else now_s - sidecar.load_received_s
                ),
            )
            for sidecar in found.values()
        ]

    def record(self, address: str) -> SidecarRecord | None:
        """Return the record of a sidecar in any state, or None if it is unknown."""
        sidecar = self._sidecars.get(address)
        return sidecar.record if sidecar else None

    def records(self) -> list[SidecarRecord]:
        """Return all records, for ``status``."""
        return [sidecar.record for sidecar in self._sidecars.values()]

    def config_versions(self) -> dict[str, int]:
        """Return the configuration versions that sidecars reported to this entry."""
        return {
            address: sidecar.config_version
            for address, sidecar in self._sidecars.items()
            if sidecar.last_heartbeat_s is not None
        }

    def home_entries(self, address: str) -> list[str]:
        """Return the entries to which a sidecar of this region sends heartbeats."""
        entries = rank(address, self._alive_entries(self._region))
        return entries[:SIDECAR_HOME_ENTRIES]

    async def heartbeat(self, request: SidecarHeartbeat) -> SidecarHeartbeatReply:
        """Handle `SIDECAR_HEARTBEAT`."""
        record = request.record or self._find_identified(request)
        if record is None:
            return SidecarHeartbeatReply(
                entry_incarnation=self._incarnation, wants_record=True
            )
        now_s = self._clock.monotonic_s()
        sidecar = self._merge_record(self._with_observation(record), now_s)
        if sidecar.record.incarnation == record.incarnation:
            sidecar.load = request.load
            sidecar.load_received_s = now_s
            sidecar.last_heartbeat_s = now_s
            sidecar.awaited_since_s = None
            sidecar.config_version = request.config_version
        if self._on_config_version is not None:
            self._on_config_version(record.address, request.config_version)
        home_entries = self.home_entries(record.address)
        if request.record is None and home_entries == sidecar.sent_home_entries:
            home_entries = []
        else:
            sidecar.sent_home_entries = home_entries
        return SidecarHeartbeatReply(
            entry_incarnation=self._incarnation,
            config_version=self._config_version(),
            home_entries=home_entries,
        )

    def _find_identified(self, request: SidecarHeartbeat) -> SidecarRecord | None:
        """Return the known record that a heartbeat without a record identifies."""
        sidecar = self._sidecars.get(request.address)
        if sidecar is None or sidecar.record.state == "dead":
            return None
        version = (sidecar.record.incarnation, sidecar.record.sequence)
        if version != (request.incarnation, request.sequence):
            return None
        return sidecar.record

    def record_load(self, address: str, load: LoadReport) -> None:
        """Store a load report that did not arrive in a heartbeat."""
        sidecar = self._sidecars.get(address)
        if sidecar is not None:
            sidecar.load = load
            sidecar.load_received_s = self._clock.monotonic_s()

    def fill_probe(self, message: PingRequest | PingReply, everything: bool) -> None:
        """Add records to a probe; for `EntryMembership.add_piggyback`."""
        if everything:
            message.sidecars = self.records()
            return
        message.sidecars = self._next_updates()
        if isinstance(message, PingRequest):
            message.sidecars += self._rotating_records()

    def read_probe(self, sender: str, message: PingRequest | PingReply) -> None:
        """Merge the records of a probe; for `EntryMembership.add_piggyback`."""
        self.merge(message.sidecars)

    def merge(self, records: Iterable[SidecarRecord]) -> None:
        """Merge records that a peer sent."""
        now_s = self._clock.monotonic_s()
        for record in records:
            sidecar = self._merge_record(record, now_s)
            if record.state == "dead" and self._reports_here(sidecar, now_s):
                # The other home entry has lost its connection to a live sidecar.
                alive = msgspec.structs.replace(
                    record, state="serving", observation=record.observation + 1
                )
                self._merge_record(alive, now_s)

    def set_leaving(self, upstream_ids: Iterable[str]) -> None:
        """Stop new work to upstreams that the platform lists as leaving."""
        leaving = frozenset(upstream_ids)
        changed = leaving ^ self._leaving
        self._leaving = leaving
        for sidecar in self._sidecars.values():
            if sidecar.record.upstream_id in changed:
                self._reindex(sidecar)

    async def run(self) -> None:
        """Remove unresponsive sidecars until cancelled."""
        while True:
            await self._clock.sleep(HEARTBEAT_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Declare unresponsive sidecars dead and delete expired dead records."""
        now_s = self._clock.monotonic_s()
        if now_s - self._last_sweep_s > HEARTBEAT_INTERVAL_S + PAUSE_THRESHOLD_S:
            self._restart_timers(now_s)
        self._last_sweep_s = now_s
        for address, sidecar in list(self._sidecars.items()):
            if sidecar.record.state == "dead":
                if now_s - sidecar.changed_s > DEAD_SIDECAR_RETENTION_S:
                    del self._sidecars[address]
            elif sidecar.last_heartbeat_s is not None and not self._reports_here(
                sidecar, now_s
            ):
                sidecar.last_heartbeat_s = None
                # A sidecar whose home entries have changed reports to those instead.
                if self._address in self.home_entries(address):
                    self._declare_dead(sidecar, now_s)
        self._audit(now_s)

    def _restart_timers(self, now_s: float) -> None:
        """Restart the timers of all sidecars after a pause of this process."""
        for sidecar in self._sidecars.values():
            if sidecar.last_heartbeat_s is not None:
                sidecar.last_heartbeat_s = now_s
            sidecar.awaited_since_s = None

    def _audit(self, now_s: float) -> None:
        """Declare sidecars dead that should report to this entry and never have."""
        addresses = list(self._sidecars)
        for _ in range(min(SIDECAR_AUDIT_BATCH, len(addresses))):
            self._audit_position = (self._audit_position + 1) % len(addresses)
            sidecar = self._sidecars[addresses[self._audit_position]]
            record = sidecar.record
            if record.region != self._region or record.state == "dead":
                continue
            if sidecar.last_heartbeat_s is not None:
                continue
            if self._address not in self.home_entries(record.address):
                sidecar.awaited_since_s = None
            elif sidecar.awaited_since_s is None:
                sidecar.awaited_since_s = now_s
            elif now_s - sidecar.awaited_since_s > SIDECAR_FIRST_HEARTBEAT_TIMEOUT_S:
                self._declare_dead(sidecar, now_s)

    @staticmethod
    def _reports_here(sidecar: _SidecarState, now_s: float) -> bool:
        if sidecar.last_heartbeat_s is None:
            return False
        return now_s - sidecar.last_heartbeat_s <= SIDECAR_UNRESPONSIVE_AFTER_S

    def _declare_dead(self, sidecar: _SidecarState, now_s: float) -> None:
        eliot.log_message(
            message_type="membership:sidecar_silent", address=sidecar.record.address
        )
        self._merge_record(msgspec.structs.replace(sidecar.record, state="dead"), now_s)

    def _with_observation(self, record: SidecarRecord) -> SidecarRecord:
        """Return a reported record with the observation count that is known for it."""
        sidecar = self._sidecars.get(record.address)
        if sidecar is None or _report_order(sidecar.record) != _report_order(record):
            return record
        observation = sidecar.record.observation + (sidecar.record.state == "dead")
        return msgspec.structs.replace(record, observation=observation)

    def _next_updates(self) -> list[SidecarRecord]:
        chosen = list(self._pending_updates)[:MAX_PIGGYBACK_RECORDS]
        for address in chosen:
            remaining = self._pending_updates.pop(address) - 1
            if remaining > 0:
                # Moves the update to the end, so that all updates are sent in rotation.
                self._pending_updates[address] = remaining
        return [self._sidecars[a].record for a in chosen if a in self._sidecars]

    def _rotating_records(self) -> list[SidecarRecord]:
        """Return the next records in rotation, which repair lost gossip."""
        addresses = list(self._sidecars)
        chosen = []
        for _ in range(min(ROTATING_SIDECARS, len(addresses))):
            self._rotation_position = (self._rotation_position + 1) % len(addresses)
            chosen.append(self._sidecars[addresses[self._rotation_position]].record)
        return chosen

    def _merge_record(self, record: SidecarRecord, now_s: float) -> _SidecarState:
        sidecar = self._sidecars.get(record.address)
        if sidecar is None:
            sidecar = _SidecarState(record=record, changed_s=now_s)
            self._sidecars[record.address] = sidecar
        elif _record_order(record) <= _record_order(sidecar.record):
            return sidecar
        else:
            self._unindex(sidecar)
            if record.incarnation != sidecar.record.incarnation:
                sidecar.load, sidecar.load_received_s = _NO_LOAD, None
                sidecar.last_heartbeat_s = None
            sidecar.record = record
            sidecar.changed_s = now_s
        self._reindex(sidecar)
        self._pending_updates[record.address] = PIGGYBACK_REPEATS
        return sidecar

    def _reindex(self, sidecar: _SidecarState) -> None:
        self._unindex(sidecar)
        record = sidecar.record
        if record.state != "serving" or record.upstream_id in self._leaving:
            return
        for name in record.names:
            self._index.setdefault((record.region, name), {})[record.address] = sidecar

    def _unindex(self, sidecar: _SidecarState) -> None:
        record = sidecar.record
        for name in record.names:
            found = self._index.get((record.region, name))
            if found is None:
                continue
            found.pop(record.address, None)
            if not found:
                del self._index[(record.region, name)]
