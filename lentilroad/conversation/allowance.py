"""Tokens of programs that this entry may hand out."""

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

Reserve = Callable[[str, Grant | None], Awaitable[tuple[list[Grant], bool]]]
Confirm = Callable[[str, Grant], Awaitable[None]]


class _Program:
    __slots__ = (
        "grant_id",
        "granted_tokens",
        "idle_since_s",
        "lock",
        "reserved_tokens",
        "revision",
        "turns",
        "used_tokens",
    )

    def __init__(self, *, now_s: float) -> None:
        # Never used again, so that a forgotten grant keeps counting.
        self.grant_id = secrets.token_hex(6)
        self.granted_tokens = 0
        self.used_tokens = 0
        self.reserved_tokens = 0
        self.revision = 0
        self.turns = 0
        self.idle_since_s = now_s
        self.lock = asyncio.Lock()

    def needed_tokens(self) -> int:
        return self.used_tokens + self.reserved_tokens

    def grant(self, tokens: int, *, starting_tokens: int = 0) -> Grant:
        self.revision += 1
        return Grant(
            grant_id=self.grant_id,
            tokens=tokens,
            confirmed_tokens=self.granted_tokens,
            needed_tokens=self.needed_tokens() + starting_tokens,
            revision=self.revision,
        )


class GrantManager:
    """Grants of this entry, one for each program.

    A grant is raised by writing it to a quorum of the program's storage members, which
    answer with the grants of all entries. It is in force if the sum stays within the
    budget. Of several entries that raise at the same time, the one whose write ends
    last sees all others: whoever sees a grant that is not confirmed reads again after
    its own write.

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
        self._programs: dict[str, _Program] = {}
        self._background: set[asyncio.Task[None]] = set()

    async def acquire(self, program_id: str, most_tokens: int, budget: int) -> None:
        """Reserve the most tokens that one turn generates.

        Raises
        ------
        BudgetExhaustedError
            The budget does not hold one more turn.
        UnavailableError
            No quorum of the storage members answered.
        """
        program = self._programs.get(program_id)
        if program is None:
            program = _Program(now_s=self._clock.monotonic_s())
            self._programs[program_id] = program
        async with program.lock:
            program.turns += 1
            try:
                if program.granted_tokens < program.needed_tokens() + most_tokens:
                    await self._raise(program_id, program, most_tokens, budget)
            finally:
                program.turns -= 1
                program.idle_since_s = self._clock.monotonic_s()
            program.reserved_tokens += most_tokens

    def release(self, program_id: str, most_tokens: int, used_tokens: int) -> None:
        """End a turn: count what it handed out in place of its reservation."""
        program = self._programs[program_id]
        program.reserved_tokens -= most_tokens
        program.used_tokens += used_tokens
        program.idle_since_s = self._clock.monotonic_s()

    async def release_idle_grants(self) -> None:
        """Lower the grants of programs without turns here, and forget old ones."""
        now_s = self._clock.monotonic_s()
        for program_id, program in list(self._programs.items()):
            if program.reserved_tokens or program.turns:
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
                self._lower(program_id, program)

    def _lower(self, program_id: str, program: _Program) -> None:
        program.granted_tokens = program.needed_tokens()
        grant = program.grant(program.granted_tokens)
        self._in_background(self._confirm(program_id, grant))

    async def _raise(
        self, program_id: str, program: _Program, most_tokens: int, budget: int
    ) -> None:
        wanted = program.needed_tokens() + most_tokens
        for attempt in range(RECLAIM_ATTEMPTS):
            prepaid = wanted + most_tokens
            if prepaid > budget * PREPAY_MAX_BUDGET_SHARE or attempt:
                prepaid = wanted
            grants, confirmed = await self._reserve(
                program_id, program.grant(prepaid, starting_tokens=most_tokens)
            )
            if not confirmed:
                grants, _ = await self._reserve(program_id, None)
            others = [g for g in grants if g.grant_id != program.grant_id]
            others_tokens = sum(g.tokens for g in others)
            if others_tokens + prepaid <= budget:
                program.granted_tokens = prepaid
                grant = program.grant(prepaid, starting_tokens=most_tokens)
                self._in_background(self._confirm(program_id, grant))
                return
            self._in_background(
                self._confirm(program_id, program.grant(program.granted_tokens))
            )
            needed = sum(min(g.tokens, g.needed_tokens) for g in others)
            log_event(
                "budget_short",
                program=program_id,
                budget_tokens=budget,
                others_tokens=others_tokens,
                others_needed_tokens=needed,
                wanted_tokens=wanted,
            )
            if needed + wanted > budget:
                break
            # Other entries hold tokens that they hand back when they are idle.
            await self._clock.sleep(RECLAIM_WAIT_S)
        raise BudgetExhaustedError(
            f"the budget of {budget} tokens does not hold {most_tokens} more; start a "
            "new program"
        )

    def _in_background(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(_log_failure(work))
        self._background.add(task)
        task.add_done_callback(self._background.discard)


async def _log_failure(work: Awaitable[None]) -> None:
    try:
        await work
    except LentilroadError as error:
        # The grant stays larger at the storage members than it is used here.
        log_event("grant_not_lowered", error=str(error))
