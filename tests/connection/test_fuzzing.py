"""Arbitrary bytes for every parser of external input."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilroad.clock import SystemClock
from lentilroad.connection.http_exchange import (
    ExchangeBrokenError,
    HttpConnection,
    ResponseHead,
)
from lentilroad.connection.http_pool import keep_alive_s
from lentilroad.conversation.journal import Journal
from lentilroad.conversation.members import decode_members
from lentilroad.errors import (
    ConfigurationError,
    InvalidRequestError,
    LentilroadError,
    UpstreamError,
)
from lentilroad.platform.configuration import decode_configuration
from lentilroad.platform.requests import (
    decode_request,
    response_matches_request,
    worker_protocol,
)
from lentilroad.platform.workers import decode_worker
from lentilroad.request.event_stream import EventReader
from lentilroad.request.exchange import read_response

# Derandomized: every run uses the same examples.
COMMON = settings(derandomize=True, max_examples=300, deadline=None)

COMPLETE = (
    b"HTTP/1.1 200 OK\r\nLentilroad-Attempt-Id: own\r\nLentilroad-Response-Seal: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)
OTHER = COMPLETE.replace(b"own", b"other").replace(b"hello", b"WRONG")
PARTS = st.sampled_from(
    [
        COMPLETE,
        OTHER,
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 18446744073709551616\r\n",
        b"Content-Length: -1\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"\r\n",
        b"5\r\nhello\r\n",
        b"ffffffffffffffff\r\n",
        b"0\r\n\r\n",
    ]
)
BYTES = st.lists(st.one_of(PARTS, st.binary(max_size=40)), max_size=8).map(b"".join)


class _Transport(asyncio.Transport):
    """Transport that discards output and records an abort."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return nothing."""
        return default

    def write(self, data: bytes) -> None:
        """Discard the data."""

    def abort(self) -> None:
        """Record the abort."""
        self.aborted = True

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self) -> None:
        """Do nothing."""

    def get_write_buffer_size(self) -> int:
        """Return 0: all data counts as written."""
        return 0


async def _exchange(pieces: list[bytes]) -> bytes | None:
    """Return the body of the answer to "own", or None if there is none."""
    connection = HttpConnection()
    connection.connection_made(_Transport())
    head = asyncio.ensure_future(
        connection.exchange(
            b"GET / HTTP/1.1\r\n\r\n",
            b"",
            expects=lambda found: response_matches_request("own", found),
        )
    )
    await asyncio.sleep(0)
    for piece in pieces:
        if not connection.closed:
            connection.data_received(piece)
    connection.connection_lost(None)
    try:
        answer = await read_response(connection, await head, worker_protocol())
    except (ExchangeBrokenError, UpstreamError):
        return None
    return answer.body


@COMMON
@given(data=BYTES, cut=st.integers(min_value=1, max_value=50))
def test_responses_of_servers(data: bytes, cut: int) -> None:
    """Guard against an exception, or a response to another request (MIXED)."""
    pieces = [data[start : start + cut] for start in range(0, len(data), cut)]
    body = asyncio.run(_exchange(pieces))
    assert body is None or b"WRONG" not in body or OTHER not in data


@COMMON
@given(data=BYTES, cut=st.integers(min_value=1, max_value=50))
def test_event_streams(data: bytes, cut: int) -> None:
    """Guard against lost, duplicated or reordered bytes (ORDER)."""
    reader = EventReader()
    passed = b"".join(
        reader.feed(data[start : start + cut]) for start in range(0, len(data), cut)
    )
    assert passed + reader.pop_partial_event() == data


HEADERS = st.lists(
    st.tuples(
        st.one_of(
            st.sampled_from(
                [
                    b"Host",
                    b"Cookie",
                    b"Connection",
                    b"Lentilroad-Attempt-Id",
                    b"Lentilroad-Token-Counts",
                    b"Lentilroad-Token-Budget",
                    b"Lentilroad-Prompt-Prefix",
                    b"Lentilroad-Deadline-Milliseconds",
                    b"Lentilroad-Finish-Milliseconds",
                ]
            ),
            st.binary(max_size=12),
        ),
        st.one_of(
            st.binary(max_size=24),
            st.sampled_from(
                [
                    b"1,2",
                    b"nan",
                    b"inf",
                    b"-1",
                    b"9" * 5000,
                    b"a:1,b:",
                    b"a:\xb2",
                    b"\xb2",
                ]
            ),
        ),
    ),
    max_size=12,
)


@COMMON
@given(headers=HEADERS)
def test_request_heads_of_callers(headers: list[tuple[bytes, bytes]]) -> None:
    """Guard against a head that fails the connection's task, or an invalid time."""
    required = [(b"Host", b"h"), (b"Lentilroad-Attempt-Id", b"a1")]
    with contextlib.suppress(InvalidRequestError):
        decode_request("POST", "/x", headers)
    inbound = decode_request("POST", "/x", headers + required)
    for seconds in (inbound.deadline_s, inbound.finish_s):
        assert seconds is None or 0.0 <= seconds < float("inf")
    worker_protocol().encode(inbound, "i-1", 1.0, b"", "")


@COMMON
@given(value=st.one_of(st.binary(max_size=30), st.just(b"timeout=" + b"9" * 5000)))
def test_keep_alive_headers_of_servers(value: bytes) -> None:
    """Guard against a Keep-Alive header that fails its exchange."""
    head = ResponseHead(status=200, headers=[(b"Keep-Alive", value)])
    assert keep_alive_s(head) >= 0.0


@COMMON
@given(data=st.binary(max_size=200))
def test_values_of_the_metadata_store(data: bytes) -> None:
    """Guard against a value from another writer that ends a watch."""
    decode_worker("servers/x", data)
    with contextlib.suppress(ConfigurationError):
        decode_configuration(data)
    with contextlib.suppress(msgspec.MsgspecError, ValueError, LentilroadError):
        decode_members(data)


@settings(COMMON, max_examples=60)
@given(data=st.binary(max_size=300), cut=st.integers(min_value=0, max_value=60))
def test_journal_files(tmp_path_factory, data: bytes, cut: int) -> None:
    """Guard against a torn or foreign file that hides records or prevents the start."""
    folder = tmp_path_factory.mktemp("journal")

    async def write() -> None:
        journal = Journal(folder=folder, segment_bytes=10**6, clock=SystemClock())
        await journal.append(b"kept")
        journal.close()

    asyncio.run(write())
    segment = next(folder.glob("*.segment"))
    segment.write_bytes(segment.read_bytes() + data)
    (folder / "00000009.segment").write_bytes(data[cut:])
    journal = Journal(folder=folder, segment_bytes=10**6, clock=SystemClock())
    payloads = [payload for _, payload in journal.read()]
    assert payloads[0] == b"kept"
