"""One caller's request on its way, and the whole answer of an instance."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp import web

from lentilroad.connection.http_exchange import Header, HttpConnection, ResponseHead
from lentilroad.errors import LentilroadError, UpstreamError
from lentilroad.membership.upstreams import UpstreamState
from lentilroad.request.const import MOST_ANSWER_BYTES
from lentilroad.request.inbound import InboundRequest, UpstreamProtocol
from lentilroad.version.routes import Route


class NotExecutedError(LentilroadError):
    """The instance states that it has not run the request."""

    code = "not_executed"
    http_status = 503


@dataclass(slots=True, kw_only=True)
class Exchange:
    """One request under way.

    Attributes
    ----------
    deadline_at_s : float
        Monotonic time at which the caller gets its answer at the latest.
    sends : int
        Times that the request was written to an instance.
    possible_runs : int
        Sends without proof that the request has not run.
    ended_runs : int
        Possible runs whose instance has ended since; they do not count against the
        attempts of the route.
    refusals : int
        Instances that stated that they have not run it, or could not be reached.
    acquired_instance : UpstreamState or None
        Instance of which a place is taken.
    response_started : bool
        Whether bytes of an answer were written; nothing else may follow them.
    after_event : str
        Id of the event after which the next run of a stream goes on.
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
    refusals: int = 0
    instance_id: str = ""
    acquired_instance: UpstreamState | None = None
    response_started: bool = False
    after_event: str = ""

    def remaining_sends(self) -> int:
        """Return to how many further instances the request may be sent."""
        if not self.route.repeatable():
            return 0 if self.possible_runs else 1
        return self.route.attempts + self.ended_runs - self.possible_runs


@dataclass(slots=True, kw_only=True)
class BufferedResponse:
    """An answer that was read to its end before it is passed on."""

    status: int
    headers: list[Header]
    body: bytes


async def read_response(
    connection: HttpConnection, head: ResponseHead, protocol: UpstreamProtocol
) -> BufferedResponse:
    """Read the body of an answer.

    Raises
    ------
    ExchangeBrokenError
        The connection failed before the end.
    UpstreamError
        The body is larger than an entry holds in memory.
    """
    body = bytearray()
    while chunk := await connection.next_chunk():
        body += chunk
        if len(body) > MOST_ANSWER_BYTES:
            raise UpstreamError(
                f"the answer is larger than {MOST_ANSWER_BYTES} bytes",
                outcome="unknown",
            )
    return BufferedResponse(
        status=head.status, headers=protocol.forwarded_headers(head), body=bytes(body)
    )
