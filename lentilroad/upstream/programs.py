"""Table of programs that hold prefix cache on the engine."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from lentilroad.adapters.engine import CacheEvent, CacheEvents
from lentilroad.const import UNCONFIRMED_PROGRAM_RETENTION_S


@dataclass(slots=True, kw_only=True)
class CachedProgram:
    """Prefix cache of one program on the engine."""

    confirmed_s: float
    tokens: int = 0
    # Whether only cache events have reported the program.
    from_events_only: bool = True


class ProgramTable:
    """Track which programs hold engine memory, and which have a pending release.

    A program is added when one of its calls starts or when the engine reports cache
    for it. Cache events arrive late and with gaps: they correct the token counts and
    reveal programs of an earlier process of this sidecar. A cache event never removes
    a program that had a call in this process, because a later event may have been
    lost; only a release removes such a program.
    """

    def __init__(self) -> None:
        self.programs: dict[str, CachedProgram] = {}
        # Programs with a release that the engine has not acknowledged.
        self.releasing: set[str] = set()
        self.last_event_sequence = 0
        self.lost_events = 0
        self._running: Counter[str] = Counter()
        # Programs forgotten while one of their calls ran; released again at its end.
        self._forgotten: set[str] = set()

    def started(self, program_id: str, *, now_s: float) -> None:
        """Record the start of a call."""
        program = self._get_or_add(program_id, now_s)
        program.confirmed_s = now_s
        program.from_events_only = False
        self._running[program_id] += 1
        self.releasing.discard(program_id)
        self._forgotten.discard(program_id)

    def ended(self, program_id: str, *, tokens: int, now_s: float) -> None:
        """Record the end of a call whose context has `tokens` tokens."""
        self._running[program_id] -= 1
        if not self._running[program_id]:
            del self._running[program_id]
        if program_id in self._forgotten:
            self.forget(program_id)
            return
        program = self._get_or_add(program_id, now_s)
        program.confirmed_s = now_s
        program.tokens = max(program.tokens, tokens)

    def _get_or_add(self, program_id: str, now_s: float) -> CachedProgram:
        program = self.programs.get(program_id)
        if program is None:
            program = CachedProgram(confirmed_s=now_s)
            self.programs[program_id] = program
        return program

    def confirm(self, program_ids: list[str], *, now_s: float) -> None:
        """Record that the owner confirmed these programs as active."""
        for program_id in program_ids:
            program = self.programs.get(program_id)
            if program is not None:
                program.confirmed_s = now_s
                program.from_events_only = False

    def forget(self, program_id: str) -> None:
        """Mark a program for release, even if it is not in the table."""
        self.programs.pop(program_id, None)
        self.releasing.add(program_id)
        if program_id in self._running:
            self._forgotten.add(program_id)
        else:
            self._forgotten.discard(program_id)

    def forget_unconfirmed(self, *, now_s: float) -> list[str]:
        """Mark idle programs that no owner has confirmed for 60 s for release."""
        oldest_s = now_s - UNCONFIRMED_PROGRAM_RETENTION_S
        expired = [
            program_id
            for program_id, program in self.programs.items()
            if program_id not in self._running and program.confirmed_s <= oldest_s
        ]
        for program_id in expired:
            self.forget(program_id)
        return expired

    def apply_events(self, events: CacheEvents, *, now_s: float) -> None:
        """Update the table with cache events of the engine."""
        if events.last_sequence < self.last_event_sequence:
            # The engine restarted, and its sequence numbers start over.
            self.last_event_sequence = 0
        for event in events.events:
            if event.sequence <= self.last_event_sequence:
                continue
            self.lost_events += event.sequence - self.last_event_sequence - 1
            self.last_event_sequence = event.sequence
            self._apply(event, now_s)

    def _apply(self, event: CacheEvent, now_s: float) -> None:
        program_id = event.program_id
        program = self.programs.get(program_id)
        if program is not None:
            program.tokens = event.tokens
            if program.from_events_only and not event.tokens:
                del self.programs[program_id]
            return
        if program_id in self.releasing or program_id in self._forgotten:
            return
        if event.kind == "stored":
            self._get_or_add(program_id, now_s).tokens = event.tokens

    def cached_tokens(self) -> int:
        """Return the cached tokens, counting a shared token once per program."""
        return sum(program.tokens for program in self.programs.values())
