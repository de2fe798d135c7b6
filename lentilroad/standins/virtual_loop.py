"""Event loop with virtual time, which advances only when no callback is ready."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that jumps to the next timer instead of waiting for it.

    Only for coroutines that do no real input or output.
    """

    def __init__(self) -> None:
        super().__init__()
        self._virtual_time_s = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_time_s

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            next_timer_s = self._scheduled[0].when()
            self._virtual_time_s = max(self._virtual_time_s, next_timer_s)
        super()._run_once()


def run_virtual(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to completion in virtual time.

    Parameters
    ----------
    main : Coroutine
        Coroutine that takes time only from the loop and does no real I/O.

    Returns
    -------
    Result
        Return value of the coroutine.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
