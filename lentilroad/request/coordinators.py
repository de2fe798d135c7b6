"""Calls to the first reachable one of several coordinators."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError
from lentilroad.process.events import log_event
from lentilroad.wire.services import Method

CALL_TIMEOUT_S = 0.25
# A coordinator that did not answer is not asked again for this long.
COORDINATOR_RETRY_S = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class CoordinatorReply:
    """Reply of a coordinator.

    Attributes
    ----------
    asked_s : float
        Monotonic time at which the call started.
    """

    address: str
    message: Any
    asked_s: float


class CoordinatorCaller:
    """Asks coordinators in their order and skips those that did not answer.

    Parameters
    ----------
    call : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections.call`.
    clock : Clock
        Source of time.
    lost_event : str
        Name of the log event for a coordinator that did not answer.
    longest_retry_s : float
        Longest time after which a coordinator is asked again that did not answer
        several times; the time doubles from `COORDINATOR_RETRY_S`.
    """

    __slots__ = (
        "_call",
        "_clock",
        "_failed_until_s",
        "_longest_retry_s",
        "_lost_event",
        "_retry_s",
    )

    def __init__(
        self,
        *,
        call: Callable[..., Awaitable[Any]],
        clock: Clock,
        lost_event: str,
        longest_retry_s: float = COORDINATOR_RETRY_S,
    ) -> None:
        self._call = call
        self._clock = clock
        self._lost_event = lost_event
        # Monotonic times until which coordinators are not asked, by address.
        self._failed_until_s: dict[str, float] = {}
        self._longest_retry_s = longest_retry_s
        # Times after which coordinators that fail once more are asked again.
        self._retry_s: dict[str, float] = {}

    async def ask(
        self,
        addresses: Sequence[str],
        method: Method,
        request: Callable[[str], Any],
        **log_fields: Any,
    ) -> CoordinatorReply | None:
        """Return the reply of the first coordinator that answers; None if none does.

        Parameters
        ----------
        addresses : sequence of str
            Coordinators in the order in which all entries ask them.
        method : Method
            Method that they serve.
        request : callable
            Returns the request for the coordinator at an address.
        **log_fields
            Fields of the log event for a coordinator that did not answer.
        """
        for address in addresses:
            asked_s = self._clock.monotonic_s()
            if self._failed_until_s.get(address, 0.0) > asked_s:
                continue
            try:
                message = await self._call(
                    address, method, request(address), timeout_s=CALL_TIMEOUT_S
                )
            except (LentilroadError, TimeoutError) as error:
                retry_s = self._retry_s.get(address, COORDINATOR_RETRY_S)
                self._failed_until_s[address] = self._clock.monotonic_s() + retry_s
                self._retry_s[address] = min(self._longest_retry_s, 2.0 * retry_s)
                log_event(
                    self._lost_event,
                    coordinator=address,
                    error=str(error) or type(error).__name__,
                    **log_fields,
                )
                continue
            self._retry_s.pop(address, None)
            return CoordinatorReply(address=address, message=message, asked_s=asked_s)
        return None
