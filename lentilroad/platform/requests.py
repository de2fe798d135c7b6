"""Requests of callers and answers of workers on the platform's wire."""

from __future__ import annotations

from collections.abc import Iterable

from lentilroad.connection.http_exchange import Header, ResponseHead
from lentilroad.errors import InvalidRequestError
from lentilroad.request.inbound import InboundRequest, ResponseFlags, UpstreamProtocol

REQUEST_ID = b"lentilroad-attempt-id"
DEADLINE = b"lentilroad-deadline-milliseconds"
EXPECTED_INSTANCE = b"lentilroad-expected-instance"
# The signature by which the platform knows a worker's answer.
SEAL = b"lentilroad-response-seal"
NOT_EXECUTED = b"lentilroad-not-executed"
PROGRAM = b"lentilroad-program-id"
SESSION = b"lentilroad-session-id"
FINISH = b"lentilroad-finish-milliseconds"
BUDGET = b"lentilroad-token-budget"
TOKEN_COUNTS = b"lentilroad-token-counts"
PROMPT_PARTS = b"lentilroad-prompt-prefix"
PREVIOUS_TURN = b"lentilroad-previous-turn"
AFFINITY_COOKIE = "Lentilroad-Affinity-Key"
COOKIE = b"cookie"
LAST_EVENT = b"last-event-id"

# Longer numbers are none of a count or a size, and int() refuses very long ones.
MOST_DIGITS = 18

_HOP_BY_HOP = frozenset(
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
# Only lentilroad may tell a worker these.
_OWN = frozenset(
    (
        DEADLINE,
        EXPECTED_INSTANCE,
        b"lentilroad-expected-version",
        b"lentilroad-hold",
        b"lentilroad-pin-milliseconds",
        b"lentilroad-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
)
_BODY_METHODS = frozenset(("POST", "PUT", "PATCH", "DELETE"))


def decode_request(
    method: str, target: str, headers: Iterable[Header]
) -> InboundRequest:
    """Decode the head of a caller's request.

    Raises
    ------
    InvalidRequestError
        The request has no id, no host, or a header that cannot be read.
    """
    headers = list(headers)
    values = {name.lower(): value for name, value in headers}
    named = _listed_in_connection(values.get(b"connection", b""))
    request_id = _text(values.get(REQUEST_ID, b""))
    host = _text(values.get(b"host", b"")).lower()
    if not request_id or not host:
        raise InvalidRequestError(
            "the request needs a host and an id of the attempt; add both headers"
        )
    prompt_tokens, most_tokens = _token_counts(values.get(TOKEN_COUNTS, b""))
    return InboundRequest(
        request_id=request_id,
        method=method,
        target=target,
        host=_without_port(host),
        forwarded_headers=[
            (name, value)
            for name, value in headers
            if (lower := name.lower()) not in _HOP_BY_HOP
            and lower not in _OWN
            and lower not in named
        ],
        deadline_s=_seconds(values.get(DEADLINE)),
        program_id=_text(values.get(PROGRAM, b"")),
        session_id=_text(values.get(SESSION, b"")),
        finish_s=_seconds(values.get(FINISH)),
        budget_tokens=_whole(values.get(BUDGET)),
        prompt_tokens=prompt_tokens,
        max_output_tokens=most_tokens,
        previous_turn_id=_text(values.get(PREVIOUS_TURN, b"")),
        affinity_key=_affinity(values.get(COOKIE, b"")),
        prompt_parts=_parts(values.get(PROMPT_PARTS, b"")),
    )


def encode_request(
    inbound: InboundRequest,
    instance_id: str,
    left_s: float,
    body: bytes,
    after_event: str,
) -> bytes:
    """Encode the request line and headers for a worker."""
    lines = [f"{inbound.method} {inbound.target} HTTP/1.1\r\n".encode("latin-1")]
    lines += [
        name + b": " + value + b"\r\n"
        for name, value in inbound.forwarded_headers
        # The caller's own value names an event before the ones it has got since.
        if not (after_event and name.lower() == LAST_EVENT)
    ]
    if after_event:
        lines.append(b"Last-Event-Id: %s\r\n" % after_event.encode("latin-1"))
    lines.append(
        b"%s: %d\r\n%s: %s\r\n"
        % (
            b"Lentilroad-Deadline-Milliseconds",
            max(1, int(left_s * 1000)),
            b"Lentilroad-Expected-Instance",
            instance_id.encode("latin-1"),
        )
    )
    if body or inbound.method in _BODY_METHODS:
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    return b"".join(lines)


def answer_belongs(request_id: str, head: ResponseHead) -> bool:
    """Return whether a worker's answer is for the request; workers echo its id."""
    echoed = head.value(REQUEST_ID)
    return echoed is None or echoed == request_id.encode("latin-1")


def answer_facts(head: ResponseHead) -> ResponseFlags:
    """Read what a worker's answer states."""
    wrong_instance = head.status == 421
    return ResponseFlags(
        not_run=head.value(NOT_EXECUTED) is not None or wrong_instance,
        sealed=head.value(SEAL) is not None,
        wrong_instance=wrong_instance,
        identified=head.value(REQUEST_ID) is not None,
    )


def forwarded_headers(head: ResponseHead) -> list[Header]:
    """Return the headers of a worker's answer without those of its connection."""
    named = _listed_in_connection(head.value(b"connection") or b"")
    return [
        (name, value)
        for name, value in head.headers
        if (lower := name.lower()) not in _HOP_BY_HOP and lower not in named
    ]


def worker_protocol() -> UpstreamProtocol:
    """Return how workers are spoken to."""
    return UpstreamProtocol(
        encode=encode_request,
        matches_request=answer_belongs,
        read_flags=answer_facts,
        forwarded_headers=forwarded_headers,
    )


def _listed_in_connection(value: bytes) -> set[bytes]:
    return {name.strip().lower() for name in value.split(b",") if name.strip()}


def _text(value: bytes) -> str:
    return value.strip().decode("latin-1")


def _without_port(host: str) -> str:
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host


def _whole(value: bytes | None) -> int | None:
    if value is None or len(value) > MOST_DIGITS or not value.strip().isdigit():
        return None
    return int(value)


def _seconds(value: bytes | None) -> float | None:
    try:
        seconds = None if value is None else float(value) / 1000
    except ValueError:
        return None
    if seconds is None or not 0.0 <= seconds < float("inf"):
        return None
    return seconds


def _token_counts(value: bytes) -> tuple[int, int]:
    first, _, second = value.partition(b",")
    return _whole(first) or 0, _whole(second) or 0


def _affinity(cookie: bytes) -> str:
    for part in cookie.decode("latin-1").split(";"):
        name, _, value = part.strip().partition("=")
        if name == AFFINITY_COOKIE:
            return value
    return ""


def _parts(value: bytes) -> tuple[tuple[str, int], ...]:
    parts = []
    for part in value.decode("latin-1").split(","):
        identity, _, tokens = part.strip().partition(":")
        count = _whole(tokens.encode("latin-1"))
        if identity and count is not None:
            parts.append((identity, count))
    return tuple(parts)
