"""Events are counted and kept however the bytes are cut."""

from __future__ import annotations

import pytest

from lentilroad.request.event_stream import EventReader

STREAM = (
    b"id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: note\n\nid: 3\ndata:three\n\n"
)


@pytest.mark.parametrize("step", [1, 2, 3, 7, 1000])
def test_output_does_not_depend_on_the_cuts(step: int) -> None:
    """Guard against an event that is lost or joined at a cut."""
    reader = EventReader()
    for start in range(0, len(STREAM), step):
        reader.feed(STREAM[start : start + step])
    assert reader.events == 3
    assert bytes(reader.output) == b"one\ntwo\nthree\n"


def test_event_without_its_end_does_not_count() -> None:
    """Guard against tokens of an event that was cut off."""
    reader = EventReader()
    assert reader.feed(b"data: one\n\ndata: tw") == 1
    assert bytes(reader.output) == b"one\n"
