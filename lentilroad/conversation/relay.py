"""Calls to storage members, relayed by other entries while direct calls fail."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any

import msgspec

from lentilroad.clock import Clock
from lentilroad.conversation.const import (
    ANNOUNCE_INTERVAL_S,
    ANNOUNCE_MAX_MEMBERS,
    ANNOUNCE_STARTUP_INTERVAL_S,
    ANNOUNCE_STARTUP_MEMBERS,
    ENTRY_EXPIRY_S,
    MEMBER_PROBE_TIMEOUT_S,
    RELAY_AFTER_S,
    RELAY_FANOUT,
    RELAY_MARGIN_S,
    RETRY_AFTER_MS,
)
from lentilroad.conversation.messages import (
    ANNOUNCE,
    PROBE,
    PUT_TURNS,
    READ_CHAIN,
    RELAY,
    RESERVE,
    Announcement,
    EntryAddresses,
    ProbeRequest,
    RelayReply,
    RelayRequest,
)
from lentilroad.errors import LentilroadError, UnavailableError
from lentilroad.membership.crash_messages import (
    ACQUIRE_TRIAL,
    END_TRIAL,
    REPORT_CRASH,
    SHARE_SUSPECTS,
)
from lentilroad.membership.load_reports import REPORT_LOAD
from lentilroad.membership.quota_messages import REPORT_QUOTAS
from lentilroad.membership.rate_limits import ACQUIRE_PERMITS
from lentilroad.process.events import log_event
from lentilroad.wire.services import Method
from lentilroad.wire.untrusted import decode_message_pack

Call = Callable[[str, Method, Any, float], Awaitable[Any]]

_RELAYED = {
    method.path: method
    for method in (
        ACQUIRE_PERMITS,
        ACQUIRE_TRIAL,
        END_TRIAL,
        PROBE,
        PUT_TURNS,
        READ_CHAIN,
        REPORT_CRASH,
        REPORT_QUOTAS,
        REPORT_LOAD,
        RESERVE,
        SHARE_SUSPECTS,
    )
}


class EntryRegistry:
    """Entries that announced themselves to a storage member.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_last_seen_s")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._last_seen_s: dict[str, float] = {}

    async def announce(self, request: Announcement) -> EntryAddresses:
        """Record an entry; return the other entries if requested."""
        now_s = self._clock.monotonic_s()
        self._last_seen_s[request.address] = now_s
        for address, last_seen_s in list(self._last_seen_s.items()):
            if now_s - last_seen_s > ENTRY_EXPIRY_S:
                del self._last_seen_s[address]
        if not request.wants_entries:
            return EntryAddresses(addresses=[])
        return EntryAddresses(
            addresses=[other for other in self._last_seen_s if other != request.address]
        )


class RelayingCaller:
    """Calls storage members directly or through another entry.

    Up to `losses_tolerated` unresponsive members count as failed, which the quorums
    tolerate. If more members are unresponsive, this process is itself cut off from
    them, and its calls are forwarded by an entry that still reaches them. A relayed
    call may be executed twice.

    Parameters
    ----------
    call : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections.call`.
    clock : Clock
        Source of time.
    own_address : str
        Address at which other entries reach this one.
    losses_tolerated : int
        Number of members that may fail simultaneously.
    """

    def __init__(
        self, *, call: Call, clock: Clock, own_address: str, losses_tolerated: int
    ) -> None:
        self._call = call
        self._clock = clock
        self._own_address = own_address
        self._losses_tolerated = losses_tolerated
        self._members: set[str] = set()
        self._entries: list[str] = []
        # Members that did not reply to the last direct call.
        self._unresponsive: set[str] = set()
        self._relay: str | None = None
        self._random = random.Random()

    def entries(self) -> list[str]:
        """Return the addresses of the other entries, as reported by the members."""
        return self._entries

    def is_cut_off(self) -> bool:
        """Return whether more than `losses_tolerated` members are unresponsive."""
        return len(self._unresponsive) > self._losses_tolerated

    async def announce(
        self, members: Iterable[str], max_members: int = ANNOUNCE_MAX_MEMBERS
    ) -> None:
        """Announce this entry to the nearest members and fetch the other entries.

        Parameters
        ----------
        members : iterable of str
            Addresses of all members, nearest first.
        max_members : int
            Maximum number of members that receive the announcement.
        """
        nearest_first = list(members)
        self._members = set(nearest_first)
        self._unresponsive &= self._members
        reachable = [m for m in nearest_first if m not in self._unresponsive]
        await asyncio.gather(
            *(
                self._announce_to(member, wants_entries=index == 0)
                for index, member in enumerate(reachable[:max_members])
            )
        )

    async def announce_regularly(self, members: Callable[[], list[str]]) -> None:
        """Announce this entry soon after its start and then regularly; never returns.

        An entry that is cut off right after its start needs the other entries. The
        first announcements are sent to the nearest members only: connections to all
        members would take CPU time from the requests that waited for the start.
        """
        started_s = self._clock.monotonic_s()
        while self._clock.monotonic_s() - started_s < ANNOUNCE_INTERVAL_S:
            await self._clock.sleep(ANNOUNCE_STARTUP_INTERVAL_S)
            if not self._entries:
                await self.announce(members(), max_members=ANNOUNCE_STARTUP_MEMBERS)
        while True:
            await self.announce(members())
            await self._clock.sleep(ANNOUNCE_INTERVAL_S)

    async def probe_unresponsive(self) -> None:
        """Probe the unresponsive members directly."""
        await asyncio.gather(
            *(self._probe(member) for member in list(self._unresponsive))
        )

    async def call(
        self, address: str, method: Method, request: Any, timeout_s: float
    ) -> Any:
        """Call a member directly or through other entries.

        Raises the same errors as `PeerConnections.call`.
        """
        if address in self._unresponsive and self._can_relay():
            return await self._call_through_entries(address, method, request, timeout_s)
        deadline_s = self._clock.monotonic_s() + timeout_s
        direct = _start_call(self._call_directly(address, method, request, timeout_s))
        try:
            while not await self._wait_completed(direct, deadline_s):
                self._mark_unresponsive(address)
                if self._can_relay():
                    break
            if direct.done():
                return direct.result()
            remaining_s = deadline_s - self._clock.monotonic_s()
            relayed = _start_call(
                self._call_through_entries(address, method, request, remaining_s)
            )
            return await _first_success((relayed, direct))
        finally:
            direct.cancel()

    async def serve(self, request: RelayRequest) -> RelayReply:
        """Forward a call of another entry to a member.

        Raises
        ------
        UnavailableError
            The member is unresponsive or unknown, or the method is not relayed.
        """
        method = _RELAYED.get(request.path)
        if method is None or request.address not in self._members:
            raise UnavailableError(
                f"this entry does not relay {request.path} to {request.address}; relay "
                "through another entry",
                outcome="not_run",
            )
        if request.address in self._unresponsive:
            raise UnavailableError(
                f"storage member {request.address} is unreachable from this entry; "
                "relay through another entry",
                outcome="not_run",
            )
        member_request = decode_message_pack(request.payload, method.request_type)
        reply = await self._call_directly(
            request.address, method, member_request, request.timeout_s
        )
        return RelayReply(payload=msgspec.msgpack.encode(reply))

    def _can_relay(self) -> bool:
        return self.is_cut_off() and bool(self._entries)

    async def _wait_completed(
        self, direct: asyncio.Future[Any], deadline_s: float
    ) -> bool:
        """Wait for a direct call and return whether it completed.

        Waits up to `RELAY_AFTER_S`; after the deadline, until the call completes.
        """
        remaining_s = deadline_s - self._clock.monotonic_s()
        if remaining_s <= 0:
            await asyncio.wait({direct})
            return True
        done, _ = await asyncio.wait({direct}, timeout=min(RELAY_AFTER_S, remaining_s))
        return bool(done)

    async def _call_directly(
        self, address: str, method: Method, request: Any, timeout_s: float
    ) -> Any:
        try:
            reply = await self._call(address, method, request, timeout_s=timeout_s)
        except (UnavailableError, TimeoutError):
            self._mark_unresponsive(address)
            raise
        except LentilroadError:
            # The member answered with a typed error.
            self._mark_responsive(address)
            raise
        self._mark_responsive(address)
        return reply

    async def _call_through_entries(
        self, address: str, method: Method, request: Any, timeout_s: float
    ) -> Any:
        relay_request = RelayRequest(
            address=address,
            path=method.path,
            payload=msgspec.msgpack.encode(request),
            timeout_s=timeout_s,
        )
        deadline_s = self._clock.monotonic_s() + timeout_s
        if self._relay is not None:
            try:
                return await self._call_through_entry(
                    self._relay, method, relay_request
                )
            except (UnavailableError, TimeoutError):
                self._relay = None
        remaining_s = deadline_s - self._clock.monotonic_s()
        if remaining_s <= 0:
            raise UnavailableError(
                f"storage member {address} is unreachable, also through other entries; "
                "send the turn again",
                retry_after_ms=RETRY_AFTER_MS,
            )
        relay_request.timeout_s = remaining_s
        candidates = self._random.sample(
            self._entries, min(RELAY_FANOUT, len(self._entries))
        )
        return await _first_success(
            [
                _start_call(self._call_through_entry(entry, method, relay_request))
                for entry in candidates
            ]
        )

    async def _call_through_entry(
        self, entry: str, method: Method, request: RelayRequest
    ) -> Any:
        reply: RelayReply = await self._call(
            entry, RELAY, request, timeout_s=request.timeout_s + RELAY_MARGIN_S
        )
        if self._relay is None:
            self._relay = entry
            log_event("storage_relay_chosen", relay=entry)
        return decode_message_pack(reply.payload, method.reply_type)

    async def _announce_to(self, member: str, *, wants_entries: bool) -> None:
        request = Announcement(address=self._own_address, wants_entries=wants_entries)
        try:
            reply: EntryAddresses = await self._call_directly(
                member, ANNOUNCE, request, MEMBER_PROBE_TIMEOUT_S
            )
        except (LentilroadError, TimeoutError) as error:
            log_event("announcement_failed", member=member, error=str(error))
            return
        if wants_entries:
            self._entries = reply.addresses

    async def _probe(self, member: str) -> None:
        try:
            await self._call_directly(
                member, PROBE, ProbeRequest(), MEMBER_PROBE_TIMEOUT_S
            )
        except (LentilroadError, TimeoutError):
            # `_call_directly` has recorded whether the member is unresponsive.
            return

    def _mark_unresponsive(self, address: str) -> None:
        if address in self._unresponsive or address not in self._members:
            return
        self._unresponsive.add(address)
        if len(self._unresponsive) == self._losses_tolerated + 1:
            log_event(
                "storage_cut_off",
                unanswered=sorted(self._unresponsive),
                relays=len(self._entries),
            )

    def _mark_responsive(self, address: str) -> None:
        if address not in self._unresponsive:
            return
        self._unresponsive.discard(address)
        if len(self._unresponsive) == self._losses_tolerated:
            self._relay = None
            log_event("storage_reached_again", unanswered=sorted(self._unresponsive))


def _start_call(coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Start a call whose exception may never be retrieved."""
    task = asyncio.ensure_future(coroutine)
    # Marks the exception as retrieved: another call may have succeeded first, and
    # `_call_directly` records the failures of members.
    task.add_done_callback(lambda ended: ended.cancelled() or ended.exception())
    return task


async def _first_success(tasks: Iterable[asyncio.Future[Any]]) -> Any:
    """Return the first successful result; raise the last error if all calls fail."""
    pending = set(tasks)
    last_error: BaseException | None = None
    try:
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                error = task.exception()
                if not isinstance(error, (UnavailableError, TimeoutError)):
                    return task.result()
                last_error = error
    finally:
        for task in pending:
            task.cancel()
    assert last_error is not None
    raise last_error
