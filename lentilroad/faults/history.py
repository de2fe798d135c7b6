"""History of one schedule: plain events that the checkers judge."""

from __future__ import annotations

import asyncio
from typing import Any

Event = dict[str, Any]


class History:
    """Events in the order in which they happened."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def note(self, event: str, /, **fields: Any) -> None:
        """Add an event with the present loop time."""
        time_s = round(asyncio.get_running_loop().time(), 6)
        self.events.append({"event": event, "time_s": time_s, **fields})
