"""Heartbeats from a sidecar to its home entries."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from lentilroad.clock import Clock
from lentilroad.const import HEARTBEAT_INTERVAL_S, PEER_UNRESPONSIVE_AFTER_S
from lentilroad.errors import LentilroadError
from lentilroad.notifier import Notifier
from lentilroad.wire.messages import SidecarHeartbeat, SidecarHeartbeatReply
from lentilroad.wire.services import SIDECAR_HEARTBEAT, Method

# The full record is repeated in case an entry lost it without reporting an error.
FULL_RECORD_INTERVAL_HEARTBEATS = 20

Call = Callable[[str, Method, Any, float | None], Awaitable[Any]]


class HeartbeatSender:
    """Sends heartbeats to the home entries, with one task per entry.

    The first heartbeats go to the entries of the settings; each reply names the home
    entries. When no entry has replied for 1.5 s, heartbeats go to the entries of the
    settings as well.

    Parameters
    ----------
    clock : Clock
        Source of time.
    entries : sequence of str
        Addresses from the settings.
    call : callable
        ``call(address, method, request, timeout_s)`` of `PeerConnections`.
    report : callable
        Returns the heartbeat to send.
    on_reply : callable, optional
        Called with the entry's address and its reply.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        entries: Sequence[str],
        call: Call,
        report: Callable[[], SidecarHeartbeat],
        on_reply: Callable[[str, SidecarHeartbeatReply], None] | None = None,
    ) -> None:
        self._clock = clock
        self._settings_entries = list(entries)
        self._call = call
        self._report = report
        self._on_reply = on_reply
        self._tasks: dict[str, asyncio.Task[None]] = {}
        # Per entry: version of the record sent last, and heartbeats sent since.
        self._sent_records: dict[str, tuple[tuple[int, int], int]] = {}
        self._send_requested = Notifier()
        self.home_entries: list[str] = list(entries)
        self.last_reply_s: dict[str, float] = {}

    def has_recent_reply(self) -> bool:
        """Return whether an entry replied within the last 1.5 s."""
        oldest_s = self._clock.monotonic_s() - PEER_UNRESPONSIVE_AFTER_S
        return any(reply_s >= oldest_s for reply_s in self.last_reply_s.values())

    def send_now(self) -> None:
        """Send a heartbeat to every entry without waiting for the interval."""
        self._send_requested.notify()

    async def run_forever(self) -> None:
        """Send heartbeats until cancelled."""
        started_s = self._clock.monotonic_s()
        try:
            while True:
                unreachable = not self.has_recent_reply()
                running_s = self._clock.monotonic_s() - started_s
                if unreachable and running_s > PEER_UNRESPONSIVE_AFTER_S:
                    addresses = [*self.home_entries, *self._settings_entries]
                    self.home_entries = list(dict.fromkeys(addresses))
                self._sync_tasks()
                await self._clock.sleep(HEARTBEAT_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                task.cancel()
            await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _sync_tasks(self) -> None:
        for address in set(self._tasks) - set(self.home_entries):
            self._tasks.pop(address).cancel()
            self.last_reply_s.pop(address, None)
        for address in self.home_entries:
            if address not in self._tasks:
                self._tasks[address] = asyncio.ensure_future(
                    self._send_heartbeats(address)
                )

    async def _send_heartbeats(self, address: str) -> None:
        while True:
            try:
                reply = await self._call(
                    address,
                    SIDECAR_HEARTBEAT,
                    self._heartbeat_for(address),
                    PEER_UNRESPONSIVE_AFTER_S,
                )
            except LentilroadError:
                # The entry may have lost the record, for example in a restart.
                self._sent_records.pop(address, None)
                reply = None
            if reply is not None:
                self._handle_reply(address, reply)
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self._send_requested.wait()
            except TimeoutError:
                continue

    def _heartbeat_for(self, address: str) -> SidecarHeartbeat:
        """Return the report, without the record if the entry already has it."""
        report = self._report()
        record = report.record
        assert record is not None
        version = (record.incarnation, record.sequence)
        sent_version, heartbeat_count = self._sent_records.get(address, ((0, 0), 0))
        if (
            sent_version != version
            or heartbeat_count >= FULL_RECORD_INTERVAL_HEARTBEATS
        ):
            self._sent_records[address] = (version, 1)
            return report
        self._sent_records[address] = (version, heartbeat_count + 1)
        return SidecarHeartbeat(
            load=report.load,
            address=record.address,
            incarnation=record.incarnation,
            sequence=record.sequence,
            config_version=report.config_version,
        )

    def _handle_reply(self, address: str, reply: SidecarHeartbeatReply) -> None:
        self.last_reply_s[address] = self._clock.monotonic_s()
        if reply.wants_record:
            self._sent_records.pop(address, None)
            return
        if reply.home_entries:
            self.home_entries = list(reply.home_entries)
        if self._on_reply is not None:
            self._on_reply(address, reply)
