"""HTTP headers of callers' requests and workers' responses on the platform."""

from __future__ import annotations

from collections.abc import Iterable

from lentilroad.connection.http_exchange import Header, ResponseHead
from lentilroad.errors import InvalidRequestError
from lentilroad.request.inbound import InboundRequest, ResponseFlags, UpstreamProtocol

REQUEST_ID = b"lentilroad-attempt-id"
DEADLINE = b"lentilroad-deadline-milliseconds"
EXPECTED_INSTANCE = b"lentilroad-expected-instance"
# Signature by which the platform recognizes a response of a worker.
RESPONSE_SEAL = b"lentilroad-response-seal"
NOT_EXECUTED = b"lentilroad-not-executed"
# Requests per second that an overloaded worker accepts from all callers together, in
# each of its responses while the limit applies.
RATE_LIMIT = b"server-limit"
# In each response of a worker that leaves.
LEAVING = b"server-leaving"
PROGRAM_ID = b"lentilroad-program-id"
SESSION_ID = b"lentilroad-session-id"
FINISH_TIME = b"lentilroad-finish-milliseconds"
TOKEN_BUDGET = b"lentilroad-token-budget"
TOKEN_COUNTS = b"lentilroad-token-counts"
PROMPT_PREFIX = b"lentilroad-prompt-prefix"
PREVIOUS_TURN = b"lentilroad-previous-turn"
AFFINITY_COOKIE = "Lentilroad-Affinity-Key"
COOKIE = b"cookie"
CREDENTIAL = b"authorization"
LAST_EVENT_ID = b"last-event-id"
# Name of the customer that holds the request's key.
CUSTOMER = b"lentilroad-tenant"
KEY_SCHEME = "bearer"

# No valid count or size is longer, and int() raises on very long numbers.
MAX_DIGITS = 18

_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Headers that only lentilroad may set; a caller's values are not forwarded.
_RESERVED_HEADERS = frozenset(
    (
        DEADLINE,
        EXPECTED_INSTANCE,
        CUSTOMER,
        b"lentilroad-expected-version",
        b"lentilroad-hold",
        b"lentilroad-pin-milliseconds",
        b"lentilroad-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
# Headers that are not forwarded if the configuration has customers.
_CREDENTIAL_HEADERS = frozenset((CREDENTIAL,))
_METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH", "DELETE"))


def decode_request(
    method: str,
    target: str,
    headers: Iterable[Header],
    *,
    with_customers: bool = False,
) -> InboundRequest:
    """Decode the head of a caller's request.

    Parameters
    ----------
    with_customers : bool
        Whether the configuration has customers. The credential is then read as a key
        and is not forwarded.

    Raises
    ------
    InvalidRequestError
        The request has no host or no attempt id.
    """
    headers = list(headers)
    values = {name.lower(): value for name, value in headers}
    connection_options = _connection_options(values.get(b"connection", b""))
    request_id = _decode_text(values.get(REQUEST_ID, b""))
    host = _decode_text(values.get(b"host", b"")).lower()
    if not request_id or not host:
        raise InvalidRequestError(
            "the request lacks a Host or a Lentilroad-Attempt-Id header; add both"
        )
    withheld = _CREDENTIAL_HEADERS if with_customers else frozenset()
    prompt_tokens, most_tokens = _decode_token_counts(values.get(TOKEN_COUNTS, b""))
    return InboundRequest(
        request_id=request_id,
        method=method,
        target=target,
        host=_without_port(host),
        forwarded_headers=[
            (name, value)
            for name, value in headers
            if (lower := name.lower()) not in _HOP_BY_HOP_HEADERS
            and lower not in _RESERVED_HEADERS
            and lower not in withheld
            and lower not in connection_options
        ],
        credential=(
            "" if with_customers else _decode_text(values.get(CREDENTIAL, b""))
        ),
        key=_decode_key(headers) if with_customers else "",
        deadline_s=_decode_seconds(values.get(DEADLINE)),
        program_id=_decode_text(values.get(PROGRAM_ID, b"")),
        session_id=_decode_text(values.get(SESSION_ID, b"")),
        finish_s=_decode_seconds(values.get(FINISH_TIME)),
        budget_tokens=_decode_integer(values.get(TOKEN_BUDGET)),
        prompt_tokens=prompt_tokens,
        max_output_tokens=most_tokens,
        previous_turn_id=_decode_text(values.get(PREVIOUS_TURN, b"")),
        affinity_key=_affinity_key(values.get(COOKIE, b"")),
        prompt_parts=_decode_prompt_parts(values.get(PROMPT_PREFIX, b"")),
    )


def encode_request(
    inbound: InboundRequest,
    instance_id: str,
    remaining_s: float,
    body: bytes,
    after_event: str,
) -> bytes:
    """Encode the request line and headers for a worker.

    Parameters
    ----------
    inbound : InboundRequest
        Request of the caller.
    instance_id : str
        Instance that must answer; a worker with another id refuses the request.
    remaining_s : float
        Seconds until the deadline.
    body : bytes
        Body that follows the head.
    after_event : str
        Id of the last event that the caller received; empty for a whole stream.
    """
    lines = [f"{inbound.method} {inbound.target} HTTP/1.1\r\n".encode("latin-1")]
    lines += [
        name + b": " + value + b"\r\n"
        for name, value in inbound.forwarded_headers
        # The caller's Last-Event-Id is older than after_event.
        if not (after_event and name.lower() == LAST_EVENT_ID)
    ]
    if after_event:
        lines.append(b"Last-Event-Id: %s\r\n" % after_event.encode("latin-1"))
    lines.append(
        b"%s: %d\r\n%s: %s\r\n"
        % (
            b"Lentilroad-Deadline-Milliseconds",
            max(1, int(remaining_s * 1000)),
            b"Lentilroad-Expected-Instance",
            instance_id.encode("latin-1"),
        )
    )
    if inbound.customer is not None:
        lines.append(b"Lentilroad-Tenant: %s\r\n" % inbound.customer.name.encode())
    if body or inbound.method in _METHODS_WITH_BODY:
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    return b"".join(lines)


def response_matches_request(request_id: str, head: ResponseHead) -> bool:
    """Return whether a response carries the request's id, or none.

    Workers echo the id of the request.
    """
    echoed_id = head.value(REQUEST_ID)
    return echoed_id is None or echoed_id == request_id.encode("latin-1")


def response_facts(head: ResponseHead) -> ResponseFlags:
    """Read the outcome and the origin of a worker's response from its head."""
    wrong_instance = head.status == 421
    return ResponseFlags(
        not_run=head.value(NOT_EXECUTED) is not None or wrong_instance,
        sealed=head.value(RESPONSE_SEAL) is not None,
        wrong_instance=wrong_instance,
        identified=head.value(REQUEST_ID) is not None,
        rate_limit_per_s=_decode_number(head.value(RATE_LIMIT)),
        leaving=(head.value(LEAVING) or b"").strip() == b"1",
    )


def forwarded_headers(head: ResponseHead) -> list[Header]:
    """Return the end-to-end headers of a worker's response."""
    connection_options = _connection_options(head.value(b"connection") or b"")
    return [
        (name, value)
        for name, value in head.headers
        if (lower := name.lower()) not in _HOP_BY_HOP_HEADERS
        and lower not in connection_options
    ]


def worker_protocol() -> UpstreamProtocol:
    """Return the encoder and decoders of the HTTP protocol of workers."""
    return UpstreamProtocol(
        encode=encode_request,
        matches_request=response_matches_request,
        read_flags=response_facts,
        forwarded_headers=forwarded_headers,
    )


def _connection_options(value: bytes) -> set[bytes]:
    return {name.strip().lower() for name in value.split(b",") if name.strip()}


def _decode_text(value: bytes) -> str:
    return value.strip().decode("latin-1")


def _decode_key(headers: Iterable[Header]) -> str:
    """Return the request's key; empty if it has none, several, or an odd one."""
    credentials = [value for name, value in headers if name.lower() == CREDENTIAL]
    if len(credentials) != 1:
        return ""
    scheme, _, key = _decode_text(credentials[0]).partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else ""


def _without_port(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host


def _decode_integer(value: bytes | None) -> int | None:
    if value is None or len(value) > MAX_DIGITS or not value.strip().isdigit():
        return None
    return int(value)


def _decode_seconds(value: bytes | None) -> float | None:
    milliseconds = _decode_number(value)
    return None if milliseconds is None else milliseconds / 1000


def _decode_number(value: bytes | None) -> float | None:
    try:
        number = None if value is None else float(value)
    except ValueError:
        return None
    if number is None or not 0.0 <= number < float("inf"):
        return None
    return number


def _decode_token_counts(value: bytes) -> tuple[int, int]:
    prompt, _, output = value.partition(b",")
    return _decode_integer(prompt) or 0, _decode_integer(output) or 0


def _affinity_key(cookie: bytes) -> str:
    for part in cookie.decode("latin-1").split(";"):
        name, _, value = part.strip().partition("=")
        if name == AFFINITY_COOKIE:
            return value
    return ""


def _decode_prompt_parts(value: bytes) -> tuple[tuple[str, int], ...]:
    parts = []
    for part in value.decode("latin-1").split(","):
        part_id, _, tokens = part.strip().partition(":")
        count = _decode_integer(tokens.encode("latin-1"))
        if part_id and count is not None:
            parts.append((part_id, count))
    return tuple(parts)
