"""Heartbeats of a sidecar to entries."""

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

# A record sent again repairs what an entry lost without noticing.
FULL_RECORD_BEATS = 20

Call = Callable[[str, Method, Any, float | None], Awaitable[Any]]


class EntryHeartbeats:
    """Report to the home entries, one task per entry.

    The entries of the settings are asked first. A reply names the home entries; when
    none of them has answered for 1.5 s, the entries of the settings are asked again.

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
        # Version of the record each entry was sent, and heartbeats since.
        self._told: dict[str, tuple[tuple[int, int], int]] = {}
        self._urgent = Notifier()
        self.home_entries: list[str] = list(entries)
        self.heard_s: dict[str, float] = {}

    def heard_recently(self) -> bool:
        """Return whether an entry answered within the last 1.5 s."""
        oldest_s = self._clock.monotonic_s() - PEER_UNRESPONSIVE_AFTER_S
        return any(heard_s >= oldest_s for heard_s in self.heard_s.values())

    def send_now(self) -> None:
        """Send a heartbeat to every entry without waiting for the interval."""
        self._urgent.notify()

    async def run_forever(self) -> None:
        """Send heartbeats until cancelled."""
        started_s = self._clock.monotonic_s()
        try:
            while True:
                silent = not self.heard_recently()
                waited_s = self._clock.monotonic_s() - started_s
                if silent and waited_s > PEER_UNRESPONSIVE_AFTER_S:
                    known = [*self.home_entries, *self._settings_entries]
                    self.home_entries = list(dict.fromkeys(known))
                self._match_tasks()
                await self._clock.sleep(HEARTBEAT_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                task.cancel()
            await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _match_tasks(self) -> None:
        for address in set(self._tasks) - set(self.home_entries):
            self._tasks.pop(address).cancel()
            self.heard_s.pop(address, None)
        for address in self.home_entries:
            if address not in self._tasks:
                self._tasks[address] = asyncio.ensure_future(self._beat(address))

    async def _beat(self, address: str) -> None:
        while True:
            try:
                reply = await self._call(
                    address,
                    SIDECAR_HEARTBEAT,
                    self._message(address),
                    PEER_UNRESPONSIVE_AFTER_S,
                )
            except LentilroadError:
                # The entry may have lost what it knew.
                self._told.pop(address, None)
                reply = None
            if reply is not None:
                self._accept(address, reply)
            try:
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self._urgent.wait()
            except TimeoutError:
                continue

    def _message(self, address: str) -> SidecarHeartbeat:
        """Return the report, without the record when the entry has it."""
        report = self._report()
        record = report.record
        assert record is not None
        version = (record.incarnation, record.sequence)
        told_version, beats = self._told.get(address, ((0, 0), 0))
        if told_version != version or beats >= FULL_RECORD_BEATS:
            self._told[address] = (version, 1)
            return report
        self._told[address] = (version, beats + 1)
        return SidecarHeartbeat(
            load=report.load,
            address=record.address,
            incarnation=record.incarnation,
            sequence=record.sequence,
            config_version=report.config_version,
        )

    def _accept(self, address: str, reply: SidecarHeartbeatReply) -> None:
        self.heard_s[address] = self._clock.monotonic_s()
        if reply.wants_record:
            self._told.pop(address, None)
            return
        if reply.home_entries:
            self.home_entries = list(reply.home_entries)
        if self._on_reply is not None:
            self._on_reply(address, reply)
