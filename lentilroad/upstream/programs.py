"""Programs that hold prefix cache on the engine."""

from __future__ import annotations

from dataclasses import dataclass

from lentilroad.adapters.engine import CacheEvents
from lentilroad.const import UNCONFIRMED_PROGRAM_RETENTION_S


@dataclass(slots=True, kw_only=True)
class HeldProgram:
    """What is known about one program on the engine."""

    confirmed_s: float
    tokens: int = 0
    running: int = 0


class ProgramTable:
    """Track which programs hold memory, and which of them are to be released.

    A program is entered when a call of it starts or when the engine reports cache for
    it. Cache events arrive late and with gaps: they correct the token counts, and
    they reveal programs of an earlier process of this sidecar, but they never remove
    a program, because a later event may have been lost. Only a release does.
    """

    def __init__(self) -> None:
        self.programs: dict[str, HeldProgram] = {}
        # Released programs whose release the engine has not acknowledged.
        self.releasing: set[str] = set()
        self.last_event_sequence = 0
        self.lost_events = 0

    def started(self, program_id: str, *, now_s: float) -> None:
        """Record the start of a call."""
        program = self._enter(program_id, now_s)
        program.confirmed_s = now_s
        program.running += 1
        self.releasing.discard(program_id)

    def ended(self, program_id: str, *, tokens: int, now_s: float) -> None:
        """Record the end of a call that left `tokens` tokens of context."""
        program = self.programs.get(program_id)
        if program is None:
            self.releasing.add(program_id)
            return
        program.running -= 1
        program.confirmed_s = now_s
        program.tokens = max(program.tokens, tokens)

    def _enter(self, program_id: str, now_s: float) -> HeldProgram:
        program = self.programs.get(program_id)
        if program is None:
            program = HeldProgram(confirmed_s=now_s)
            self.programs[program_id] = program
        return program

    def confirm(self, program_ids: list[str], *, now_s: float) -> None:
        """Record that the owner still has these programs."""
        for program_id in program_ids:
            program = self.programs.get(program_id)
            if program is not None:
                program.confirmed_s = now_s

    def forget(self, program_id: str) -> None:
        """Mark a program for release, whether or not it is known here."""
        self.programs.pop(program_id, None)
        self.releasing.add(program_id)

    def forget_unconfirmed(self, *, now_s: float) -> list[str]:
        """Mark programs without calls that nobody has confirmed for 60 s."""
        oldest_s = now_s - UNCONFIRMED_PROGRAM_RETENTION_S
        expired = [
            program_id
            for program_id, program in self.programs.items()
            if not program.running and program.confirmed_s <= oldest_s
        ]
        for program_id in expired:
            self.forget(program_id)
        return expired

    def apply_events(self, events: CacheEvents, *, now_s: float) -> None:
        """Correct the table by what the engine reported."""
        if events.last_sequence < self.last_event_sequence:
            # The engine restarted and counts from the start again.
            self.last_event_sequence = 0
        for event in events.events:
            if event.sequence <= self.last_event_sequence:
                continue
            self.lost_events += event.sequence - self.last_event_sequence - 1
            self.last_event_sequence = event.sequence
            known = self.programs.get(event.program_id)
            if known is not None:
                known.tokens = event.tokens
            elif event.kind == "stored" and event.program_id not in self.releasing:
                self._enter(event.program_id, now_s).tokens = event.tokens

    def cached_tokens(self) -> int:
        """Return the tokens that programs hold, counting shared ones repeatedly."""
        return sum(program.tokens for program in self.programs.values())
