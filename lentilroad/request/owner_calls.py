"""Calls to the entry that owns a program, in this process or at a peer."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Protocol

from lentilroad.clock import Clock
from lentilroad.errors import (
    LentilroadError,
    NotFoundError,
    NotOwnerError,
    RegionUnreachableError,
    UnavailableError,
)
from lentilroad.request.http_const import OWNER_RETRY_DELAY_S
from lentilroad.wire import messages as m
from lentilroad.wire.services import (
    END_PROGRAM,
    OPEN_PROGRAM,
    READ_PROGRAM,
    RUN_TURN,
    Method,
)

# A takeover lasts up to 3 s; unary requests are resent until it has completed.
OWNER_WAIT_S = 5.0
OWNER_CALL_TIMEOUT_S = 4.0


class LocalOwner(Protocol):
    """Request handlers of the owner in this process."""

    async def open_program(self, request: m.OpenProgramRequest) -> m.OpenProgramReply:
        """Open a program."""
        ...

    async def end_program(self, request: m.EndProgramRequest) -> m.EndProgramReply:
        """End a program."""
        ...

    async def read_program(self, request: m.ReadProgramRequest) -> m.ReadProgramReply:
        """Read a program."""
        ...

    def run_turn(self, request: m.RunTurnRequest) -> AsyncIterator[m.TurnEvent]:
        """Run a turn."""
        ...


class OwnerClient:
    """Client of the owner of a program.

    Parameters
    ----------
    address : str
        Address of this entry.
    local : LocalOwner
        Owner in this process.
    owner_of : callable
        Returns the address of a program's owner, empty while there is none. Raises
        `LentilroadError` for an id that no region has issued.
    call : callable
        Sends a unary request to a peer.
    stream : callable
        Opens a stream to a peer.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_address", "_call", "_clock", "_local", "_owner_of", "_stream")

    def __init__(
        self,
        *,
        address: str,
        local: LocalOwner,
        owner_of: Callable[[str], str],
        call: Callable[..., Awaitable[Any]],
        stream: Callable[..., AsyncIterator[Any]],
        clock: Clock,
    ) -> None:
        self._address = address
        self._local = local
        self._owner_of = owner_of
        self._call = call
        self._stream = stream
        self._clock = clock

    def _owner_address(self, program_id: str) -> str:
        try:
            owner = self._owner_of(program_id)
        except UnavailableError:
            owner = ""
        except LentilroadError:
            raise NotFoundError(
                "the program id is invalid; open a program and use its id"
            ) from None
        if not owner:
            raise RegionUnreachableError(
                "the program has no reachable owner in its home region; "
                "retry after the given time",
                retry_after_ms=1000,
            )
        return owner

    async def open_program(self, request: m.OpenProgramRequest) -> m.OpenProgramReply:
        """Open a program at its owner."""
        return await self._unary(OPEN_PROGRAM, self._local.open_program, request)

    async def end_program(self, request: m.EndProgramRequest) -> m.EndProgramReply:
        """End a program at its owner."""
        return await self._unary(END_PROGRAM, self._local.end_program, request)

    async def read_program(self, request: m.ReadProgramRequest) -> m.ReadProgramReply:
        """Read a program at its owner."""
        return await self._unary(READ_PROGRAM, self._local.read_program, request)

    async def _unary(
        self, method: Method, local: Callable[[Any], Awaitable[Any]], request: Any
    ) -> Any:
        """Send an idempotent request; resend it while the owner changes."""
        resend_until_s = self._clock.monotonic_s() + OWNER_WAIT_S
        while True:
            try:
                reply = await self._send(method, local, request)
            except (UnavailableError, NotOwnerError, RegionUnreachableError) as error:
                if self._clock.monotonic_s() >= resend_until_s:
                    error.retry_after_ms = 1000
                    raise
            else:
                is_owner = reply.error is None or reply.error.code != NotOwnerError.code
                if is_owner or self._clock.monotonic_s() >= resend_until_s:
                    return reply
            await self._clock.sleep(OWNER_RETRY_DELAY_S)

    async def _send(
        self, method: Method, local: Callable[[Any], Awaitable[Any]], request: Any
    ) -> Any:
        owner = self._owner_address(request.program_id)
        if owner == self._address:
            return await local(request)
        return await self._call(owner, method, request, OWNER_CALL_TIMEOUT_S)

    async def run_turn(self, request: m.RunTurnRequest) -> AsyncIterator[m.TurnEvent]:
        """Yield the events of a turn; raises an error if the owner is lost."""
        owner = self._owner_address(request.program_id)
        if owner == self._address:
            async for event in self._local.run_turn(request):
                yield event
            return
        async for event in self._stream(owner, RUN_TURN, request, None):
            yield event
