"""State of a caller's request in flight, and buffered responses of instances."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from lentilroad.connection.byte_budget import SMALL_HOLD_BYTES, Hold
from lentilroad.connection.byte_pieces import BytePieces
from lentilroad.connection.http_exchange import Header, HttpConnection, ResponseHead
from lentilroad.errors import LentilroadError, UpstreamError
from lentilroad.membership.crash_messages import Fingerprint
from lentilroad.membership.upstreams import UpstreamState
from lentilroad.request.const import ANSWER_MAX_BYTES, FIRST_EVENT_MARGIN_S
from lentilroad.request.fingerprints import request_fingerprint
from lentilroad.request.inbound import InboundRequest, UpstreamProtocol
from lentilroad.version.routes import Route, RouteKind

if TYPE_CHECKING:
    from lentilroad.request.program_tracker import ProgramState


class NotExecutedError(LentilroadError):
    """The instance stated that it has not run the request."""

    code = "not_executed"
    http_status = 503


@dataclass(slots=True, kw_only=True)
class Exchange:
    """A caller's request in flight and the state of its attempts.

    Attributes
    ----------
    deadline_at_s : float
        Monotonic time by which the caller must have its response.
    within_quota : bool
        Whether the request was counted against its customer's quota.
    stops_at_deadline : bool
        Whether the deadline is the end of this process and not of the caller's wait.
    began_s : float
        Monotonic time at which the request arrived.
    sends : int
        Number of times the request was sent to an instance.
    possible_runs : int
        Sends without proof that the request has not run.
    ended_runs : int
        Possible runs whose instance has terminated since; they do not count against
        the attempts of the route.
    sent_s : float or None
        Monotonic time of the last send to `acquired_instance`, if any.
    refusals : int
        Attempts that an instance refused as not run or that could not connect.
    acquired_instance : UpstreamState or None
        Instance of which a slot is acquired.
    termination_probe : asyncio.Task of bool or None
        Tells whether the instance that lost the connection of the last run has
        terminated; None if no connection was lost.
    crashed_runs : int
        Runs whose instance terminated before they were complete.
    on_trial : bool
        Whether the current run is the trial of a suspect.
    response_started : bool
        Whether a response was started; no other response may be written after it.
    after_event : str
        Id of the event after which the next run resumes the stream; empty for its
        beginning.
    program : ProgramState or None
        State of the request's program; None if the configuration has no customers.
    rank : tuple of float or None
        Sort key among waiting requests; None for the order without customers.
    body_hold, answer_hold : Hold or None
        Room for the request's body and for a large answer.
    """

    inbound: InboundRequest
    route: Route
    service: str
    version: int
    deadline_at_s: float
    began_s: float
    request: web.BaseRequest
    sends: int = 0
    possible_runs: int = 0
    ended_runs: int = 0
    sent_s: float | None = None
    refusals: int = 0
    instance_id: str = ""
    acquired_instance: UpstreamState | None = None
    termination_probe: asyncio.Task[bool] | None = None
    crashed_runs: int = 0
    on_trial: bool = False
    known_fingerprint: Fingerprint | None = None
    response_started: bool = False
    after_event: str = ""
    stops_at_deadline: bool = False
    within_quota: bool = False
    program: ProgramState | None = None
    rank: tuple[float, ...] | None = None
    body_hold: Hold | None = None
    answer_hold: Hold | None = None

    def stop_by(self, time_s: float) -> bool:
        """Move the deadline to the end of the process; return whether it is earlier."""
        if self.deadline_at_s <= time_s:
            return False
        self.deadline_at_s = time_s
        self.stops_at_deadline = True
        return True

    def wait_until_s(self) -> float:
        """Return until which monotonic time a send is of use to the caller.

        Callers of streams leave before their deadline if no event arrives.
        """
        if self.route.kind is not RouteKind.STREAMING or self.response_started:
            return self.deadline_at_s
        abandoned_at_s = self.began_s + self.route.abandon_after_gap_s()
        return min(self.deadline_at_s, abandoned_at_s - FIRST_EVENT_MARGIN_S)

    def fingerprint(self) -> Fingerprint:
        """Return the fingerprint of the request."""
        if self.known_fingerprint is None:
            self.known_fingerprint = request_fingerprint(self.inbound)
        return self.known_fingerprint

    def remaining_sends(self) -> int:
        """Return how many more times the request may be sent."""
        if not self.route.repeatable():
            return 0 if self.possible_runs else 1
        return self.route.attempts + self.ended_runs - self.possible_runs


@dataclass(slots=True, kw_only=True)
class BufferedResponse:
    """A response that is read completely before it is forwarded."""

    status: int
    headers: list[Header]
    body: bytes


async def read_response(
    connection: HttpConnection,
    head: ResponseHead,
    protocol: UpstreamProtocol,
    make_room: Callable[[int], Awaitable[None]] | None = None,
) -> BufferedResponse:
    """Read the complete body of a response.

    Parameters
    ----------
    connection : HttpConnection
        Connection after the head of the response.
    head : ResponseHead
        Head of the response.
    protocol : UpstreamProtocol
        Decodes the headers.
    make_room : callable, optional
        Waits for room for the bytes of a large body; the instance waits meanwhile.

    Raises
    ------
    ExchangeBrokenError
        The connection failed before the end of the body.
    UpstreamError
        The body is larger than an entry buffers in memory.
    """
    body = BytePieces()
    while chunk := await connection.next_chunk():
        body.add(chunk)
        if make_room is not None and body.size_bytes > SMALL_HOLD_BYTES:
            await make_room(_announced_bytes(head))
            make_room = None
        if body.size_bytes > ANSWER_MAX_BYTES:
            raise UpstreamError(
                f"the response is larger than {ANSWER_MAX_BYTES} bytes",
                outcome="unknown",
            )
    return BufferedResponse(
        status=head.status, headers=protocol.forwarded_headers(head), body=body.join()
    )


def _announced_bytes(head: ResponseHead) -> int:
    """Return the size that a head announces, or the largest one that is read."""
    length = head.value(b"content-length")
    if length is None or not length.isdigit():
        return ANSWER_MAX_BYTES
    return min(int(length), ANSWER_MAX_BYTES)
