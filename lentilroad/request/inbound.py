"""Protocol-independent form of callers' requests and upstreams' responses."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lentilroad.connection.http_exchange import Header, ResponseHead
from lentilroad.version.customers import Customer, scoped_id


@dataclass(slots=True, kw_only=True)
class InboundRequest:
    """A request of a caller; a retry by the caller is a new request.

    Attributes
    ----------
    target : str
        Path and query as received.
    forwarded_headers : list of (bytes, bytes)
        Headers that are forwarded to the upstream.
    credential : str
        Credential that is forwarded to the upstream and that tells callers apart if the
        configuration has no customers; otherwise empty.
    key : str
        Key of a customer; empty if the request carries none or several, if the
        configuration has no customers, and once the customer is known.
    customer : Customer or None
        Customer that holds the key; None for requests that need no key.
    deadline_s : float or None
        Seconds until the caller gives up; None if not stated.
    finish_s : float or None
        Seconds until the caller's whole program should be finished.
    budget_tokens : int or None
        Tokens that all turns of the program may generate together.
    previous_turn_id : str
        Id of the turn that this one continues; empty for the first turn.
    affinity_key : str
        Key whose requests should be sent to the same instance; empty for none.
    prompt_parts : tuple of (str, int)
        Parts of the prompt in order, with their tokens.
    """

    request_id: str
    method: str
    target: str
    host: str
    forwarded_headers: list[Header]
    body: bytes = b""
    credential: str = field(default="", repr=False)
    key: str = field(default="", repr=False)
    customer: Customer | None = None
    deadline_s: float | None = None
    program_id: str = ""
    session_id: str = ""
    finish_s: float | None = None
    budget_tokens: int | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    previous_turn_id: str = ""
    affinity_key: str = ""
    prompt_parts: tuple[tuple[str, int], ...] = ()

    def has_token_budget(self) -> bool:
        """Return whether the request's tokens count against a program's budget."""
        return self.budget_tokens is not None and bool(self.program_id)

    def scoped(self, plain_id: str) -> str:
        """Return an id of the caller as an id that no other customer's requests share.

        An empty id stays empty.
        """
        return scoped_id(self.customer, plain_id)


@dataclass(slots=True, kw_only=True, frozen=True)
class ResponseFlags:
    """Flags that an upstream's response carries beside its status and body.

    Attributes
    ----------
    not_run : bool
        The upstream states that it did not and will not run the request.
    sealed : bool
        The response has the upstream's signature.
    wrong_instance : bool
        The address belongs to another instance than the expected one.
    identified : bool
        The response has the id of its request.
    rate_limit_per_s : float or None
        Requests per second that the instance accepts from all entries together; None
        if it states no limit.
    leaving : bool
        The instance states that it is leaving.
    """

    not_run: bool
    sealed: bool
    wrong_instance: bool
    identified: bool
    rate_limit_per_s: float | None = None
    leaving: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamProtocol:
    """Functions that encode requests to upstreams and decode their responses.

    Attributes
    ----------
    encode : callable
        Receives the request, the id of the expected instance, the seconds until the
        deadline, the body, and the id of the event after which a stream is resumed
        (empty for its beginning); returns the request line and headers.
    matches_request : callable
        Receives a request's id and a response head; returns whether the response is
        for that request.
    read_flags : callable
        Returns the `ResponseFlags` of a response head.
    forwarded_headers : callable
        Returns the headers of a response that are forwarded to the caller.
    """

    encode: Callable[[InboundRequest, str, float, bytes, str], bytes]
    matches_request: Callable[[str, ResponseHead], bool]
    read_flags: Callable[[ResponseHead], ResponseFlags]
    forwarded_headers: Callable[[ResponseHead], list[Header]]
