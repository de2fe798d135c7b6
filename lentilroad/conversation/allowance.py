"""Token grants: the share of each program's budget that this entry may spend."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable

from lentilroad.clock import Clock
from lentilroad.conversation.const import (
    GRANT_IDLE_TIMEOUT_S,
    LEDGER_RETENTION_S,
    PREPAY_MAX_BUDGET_SHARE,
    RECLAIM_ATTEMPTS,
    RECLAIM_WAIT_S,
)
from lentilroad.conversation.messages import Grant
from lentilroad.errors import BudgetExhaustedError, LentilroadError
from lentilroad.process.events import log_event
from lentilroad.version.customers import unscoped_id

Reserve = Callable[[str, Grant | None], Awaitable[tuple[list[Grant], bool]]]
Confirm = Callable[[str, Grant], Awaitable[None]]


class _ProgramGrant:
    __slots__ = (
        "grant_id",
        "granted_tokens",
        "idle_since_s",
        "lock",
        "reserved_tokens",
        "revision",
        "pending_acquires",
        "retention_s",
        "used_tokens",
    )

    def __init__(self, *, now_s: float) -> None:
        # Grant ids are never reused: a grant from before a restart still counts
        # against the budget.
        self.grant_id = secrets.token_hex(6)
        self.granted_tokens = 0
        self.used_tokens = 0
        self.reserved_tokens = 0
        self.revision = 0
        self.retention_s = 0.0
        self.pending_acquires = 0
        self.idle_since_s = now_s
        self.lock = asyncio.Lock()

    def needed_tokens(self) -> int:
        return self.used_tokens + self.reserved_tokens

    def next_grant(self, tokens: int, *, acquiring_tokens: int = 0) -> Grant:
        self.revision += 1
        return Grant(
            grant_id=self.grant_id,
            tokens=tokens,
            confirmed_tokens=self.granted_tokens,
            needed_tokens=self.needed_tokens() + acquiring_tokens,
            revision=self.revision,
            retention_s=self.retention_s,
        )


class GrantManager:
    """Acquires and releases this entry's token grants, one for each program.

    An increase is written to a quorum of the program's storage members, which reply
    with the grants of all entries. The increase takes effect if the sum of all grants
    stays within the budget. When several entries increase their grants concurrently,
    the entry whose write completes last reads the writes of all others. An entry that
    reads an unconfirmed grant reads again after its own write.

    Parameters
    ----------
    reserve, confirm : callable
        See `lentilroad.conversation.client.StorageClient`.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, reserve: Reserve, confirm: Confirm, clock: Clock) -> None:
        self._reserve = reserve
        self._confirm = confirm
        self._clock = clock
        self._programs: dict[str, _ProgramGrant] = {}
        self._background: set[asyncio.Task[None]] = set()

    async def acquire(
        self,
        program_id: str,
        max_tokens: int,
        budget_tokens: int,
        *,
        retention_s: float = 0.0,
    ) -> None:
        """Reserve the maximum number of tokens that one turn generates.

        Parameters
        ----------
        retention_s : float
            Time after this turn within which the program may return, in seconds.

        Raises
        ------
        BudgetExhaustedError
            The remaining budget is smaller than `max_tokens`.
        UnavailableError
            No quorum of the storage members replied.
        """
        program = self._programs.get(program_id)
        if program is None:
            program = _ProgramGrant(now_s=self._clock.monotonic_s())
            self._programs[program_id] = program
        program.retention_s = max(program.retention_s, retention_s)
        async with program.lock:
            program.pending_acquires += 1
            try:
                if program.granted_tokens < program.needed_tokens() + max_tokens:
                    await self._increase_grant(
                        program_id, program, max_tokens, budget_tokens
                    )
            finally:
                program.pending_acquires -= 1
                program.idle_since_s = self._clock.monotonic_s()
            program.reserved_tokens += max_tokens

    def release(self, program_id: str, max_tokens: int, used_tokens: int) -> None:
        """Replace the reservation of a finished turn by the tokens that it used."""
        program = self._programs[program_id]
        program.reserved_tokens -= max_tokens
        program.used_tokens += used_tokens
        program.idle_since_s = self._clock.monotonic_s()

    async def release_idle_grants(self) -> None:
        """Decrease the grants of idle programs, and evict expired programs."""
        now_s = self._clock.monotonic_s()
        for program_id, program in list(self._programs.items()):
            if program.reserved_tokens or program.pending_acquires:
                continue
            idle_s = now_s - program.idle_since_s
            if idle_s > LEDGER_RETENTION_S and program.granted_tokens == (
                program.used_tokens
            ):
                del self._programs[program_id]
                continue
            if (
                idle_s >= GRANT_IDLE_TIMEOUT_S
                and program.granted_tokens > program.used_tokens
            ):
                self._decrease_grant(program_id, program)

    def _decrease_grant(self, program_id: str, program: _ProgramGrant) -> None:
        program.granted_tokens = program.needed_tokens()
        grant = program.next_grant(program.granted_tokens)
        self._run_in_background(self._confirm(program_id, grant))

    async def _increase_grant(
        self,
        program_id: str,
        program: _ProgramGrant,
        max_tokens: int,
        budget_tokens: int,
    ) -> None:
        wanted_tokens = program.needed_tokens() + max_tokens
        for attempt in range(RECLAIM_ATTEMPTS):
            # The first attempt also covers the next turn, if the budget allows it.
            target_tokens = wanted_tokens + max_tokens
            if target_tokens > budget_tokens * PREPAY_MAX_BUDGET_SHARE or attempt:
                target_tokens = wanted_tokens
            grants, confirmed = await self._reserve(
                program_id,
                program.next_grant(target_tokens, acquiring_tokens=max_tokens),
            )
            if not confirmed:
                grants, _ = await self._reserve(program_id, None)
            other_grants = [g for g in grants if g.grant_id != program.grant_id]
            others_tokens = sum(g.tokens for g in other_grants)
            if others_tokens + target_tokens <= budget_tokens:
                program.granted_tokens = target_tokens
                grant = program.next_grant(target_tokens, acquiring_tokens=max_tokens)
                self._run_in_background(self._confirm(program_id, grant))
                return
            self._run_in_background(
                self._confirm(program_id, program.next_grant(program.granted_tokens))
            )
            others_needed_tokens = sum(
                min(g.tokens, g.needed_tokens) for g in other_grants
            )
            log_event(
                "budget_short",
                program=unscoped_id(program_id),
                budget_tokens=budget_tokens,
                others_tokens=others_tokens,
                others_needed_tokens=others_needed_tokens,
                wanted_tokens=wanted_tokens,
            )
            if others_needed_tokens + wanted_tokens > budget_tokens:
                break
            # Other entries have unused tokens, which they release when idle.
            await self._clock.sleep(RECLAIM_WAIT_S)
        raise BudgetExhaustedError(
            f"the program's budget of {budget_tokens} tokens is too small for "
            f"{max_tokens} more tokens; start a new program"
        )

    def _run_in_background(self, operation: Awaitable[None]) -> None:
        task = asyncio.ensure_future(_log_failure(operation))
        self._background.add(task)
        task.add_done_callback(self._background.discard)


async def _log_failure(operation: Awaitable[None]) -> None:
    try:
        await operation
    except LentilroadError as error:
        # The storage members still count the larger grant: the budget is not exceeded.
        log_event("grant_not_lowered", error=str(error))
