"""In-memory replacement of the storage members."""

from __future__ import annotations

from dataclasses import dataclass, field

from lentilroad.conversation.messages import Grant, TurnRecord


@dataclass(slots=True, kw_only=True)
class TurnStorage:
    """In-memory store of turns and grants that replaces the storage members."""

    turns: dict[str, TurnRecord] = field(default_factory=dict)
    grants: dict[str, Grant] = field(default_factory=dict)

    async def put_turn(self, record: TurnRecord, *, key: str) -> None:
        """Store a turn."""
        self.turns[record.turn_id] = record

    async def reserve(
        self, program_id: str, grant: Grant | None
    ) -> tuple[list[Grant], bool]:
        """Store a grant; it counts as confirmed at once."""
        if grant is not None:
            self.grants[program_id] = grant
        return list(self.grants.values()), True

    async def confirm(self, program_id: str, grant: Grant) -> None:
        """Store a confirmed grant."""
        self.grants[program_id] = grant
