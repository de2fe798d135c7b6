"""What the call runner needs from a queue."""

from __future__ import annotations

from typing import Protocol

from lentilroad.errors import LentilroadError
from lentilroad.wire.messages import Priority


class QueuedCall(Protocol):
    """Call in a queue."""

    call_id: str
    program_id: str


class CallQueue(Protocol):
    """Queue in front of an upstream, with a limit on running calls.

    Times are seconds on the runner's monotonic clock.
    """

    @property
    def limit(self) -> int:
        """Calls that may run at the same time."""
        ...

    def __len__(self) -> int:
        """Return the number of calls that wait."""
        ...

    def refuse_reason(
        self, priority: Priority, deadline_s: float | None
    ) -> LentilroadError | None:
        """Return why a call is refused now (outcome ``not_run``), or None."""
        ...

    def push(
        self, call: QueuedCall, priority: Priority, deadline_s: float | None
    ) -> None:
        """Add a call."""
        ...

    def pop_ready(self) -> QueuedCall | None:
        """Return the next call and count it as running; None when none may start."""
        ...

    def remove(self, call: QueuedCall) -> bool:
        """Take a waiting call out; return False when it does not wait."""
        ...

    def done(self, call: QueuedCall, *, duration_s: float) -> None:
        """Count a call returned by `pop_ready` as ended."""
        ...

    def observe_time_per_token(self, time_per_token_s: float) -> None:
        """Take a measured time between tokens into account."""
        ...
