"""A caller's request and an upstream's answer, without the names of any wire."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lentilroad.connection.http_exchange import Header, ResponseHead


@dataclass(slots=True, kw_only=True)
class InboundRequest:
    """One attempt of a caller.

    Attributes
    ----------
    target : str
        Path and query as received.
    forwarded_headers : list of (bytes, bytes)
        Headers that go on to the upstream.
    deadline_s : float or None
        Seconds for which the caller waits.
    finish_s : float or None
        Seconds until the caller's whole program should be finished.
    budget_tokens : int or None
        Tokens that all turns of the program may generate.
    prompt_parts : tuple of (str, int)
        Parts of the prompt in order, with their tokens.
    """

    request_id: str
    method: str
    target: str
    host: str
    forwarded_headers: list[Header]
    body: bytes = b""
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
        """Return whether the request spends tokens of a program's budget."""
        return self.budget_tokens is not None and bool(self.program_id)


@dataclass(slots=True, kw_only=True, frozen=True)
class ResponseFlags:
    """What an upstream's answer says beside its status and body.

    Attributes
    ----------
    not_run : bool
        The upstream states that it did not and will not run the request.
    sealed : bool
        The answer bears the upstream's signature.
    wrong_instance : bool
        Another instance than the expected one has the address.
    identified : bool
        The answer names the request that it belongs to.
    """

    not_run: bool
    sealed: bool
    wrong_instance: bool
    identified: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamProtocol:
    """How requests are written for upstreams and answers are read.

    Attributes
    ----------
    encode : callable
        Gets the request, the expected instance, the seconds left, the body, and the
        id of the event after which a stream goes on (empty for its beginning); returns
        the request line and headers.
    matches_request : callable
        Gets the request's id and a response head; tells whether they belong together.
    read_flags : callable
        Reads the `ResponseFlags` of a response head.
    forwarded_headers : callable
        Returns the headers of a response that go on to the caller.
    """

    encode: Callable[[InboundRequest, str, float, bytes, str], bytes]
    matches_request: Callable[[str, ResponseHead], bool]
    read_flags: Callable[[ResponseHead], ResponseFlags]
    forwarded_headers: Callable[[ResponseHead], list[Header]]
