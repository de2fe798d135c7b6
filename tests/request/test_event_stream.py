"""Parsing of event streams, independent of how the bytes are split."""

from __future__ import annotations

import pytest

from lentilroad.errors import UpstreamError
from lentilroad.request.event_stream import MAX_EVENT_BYTES, EventReader

STREAM = (
    b"id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: note\n\nid: 3\ndata:three\n\n"
)


@pytest.mark.parametrize("step", [1, 2, 3, 7, 1000])
def test_output_does_not_depend_on_chunk_boundaries(step: int) -> None:
    """Guard against an event that is lost or merged at a chunk boundary."""
    reader = EventReader()
    forwarded = b"".join(
        reader.feed(STREAM[start : start + step])
        for start in range(0, len(STREAM), step)
    )
    assert reader.event_count == 3
    assert bytes(reader.output) == b"one\ntwo\nthree\n"
    assert forwarded == STREAM
    assert reader.last_id == "3"


def test_incomplete_event_is_not_counted() -> None:
    """Guard against tokens charged for an event that was cut off."""
    reader = EventReader()
    assert reader.feed(b"data: one\n\ndata: tw") == b"data: one\n\n"
    assert bytes(reader.output) == b"one\n"
    assert reader.pop_partial_event() == b"data: tw"


def test_next_run_replaces_incomplete_event() -> None:
    """Guard against an event that is duplicated or merged from two runs."""
    reader = EventReader()
    reader.feed(b"id: 1\ndata: one\n\nid: 2\ndata: t")
    reader.begin_next_run()
    assert reader.feed(b"id: 2\ndata: two\n\n") == b"id: 2\ndata: two\n\n"
    assert bytes(reader.output) == b"one\ntwo\n"


def test_run_that_repeats_events_is_rejected() -> None:
    """Guard against a server that ignores the id to resume after."""
    reader = EventReader()
    reader.feed(b"id: 1\ndata: one\n\n")
    reader.begin_next_run()
    with pytest.raises(UpstreamError):
        reader.feed(b"id: 1\ndata: one\n\n")


def test_size_of_one_event_is_bounded() -> None:
    """Guard against a server that exhausts the memory with an endless event."""
    reader = EventReader()
    with pytest.raises(UpstreamError):
        for _ in range(MAX_EVENT_BYTES // 4096 + 1):
            reader.feed(b"x" * 4096)
