"""Spans of the caller's trace, one per hop."""

from __future__ import annotations

import json

from lentilroad.process.tracing import Tracing, traced_stream
from lentilroad.wire import messages as m

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
PARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"


def request():
    """Return a turn that belongs to a sampled trace."""
    return m.RunTurnRequest(
        caller_id="a",
        program_id="p",
        idempotency_key="k",
        kind="chat",
        traceparent=PARENT,
    )


async def test_hops_form_one_trace(tmp_path):
    """Guards against spans of later hops that are not children of this hop's span."""
    path = tmp_path / "spans.jsonl"
    tracing = Tracing(role="entry", span_file=path)
    received_traceparents = []

    async def handler(received):
        received_traceparents.append(received.traceparent)
        yield m.TurnEvent(event=m.Admitted(call_id="c", sidecar_address="s"))

    traced = traced_stream(tracing, "owner turn", handler)
    assert [event async for event in traced(request())]
    tracing.shutdown()
    span = json.loads(path.read_text())
    assert span["name"] == "owner turn"
    assert span["context"]["trace_id"] == f"0x{TRACE_ID}"
    assert span["parent_id"] == "0xb7ad6b7169203331"
    assert span["context"]["span_id"].removeprefix("0x") in received_traceparents[0]


async def test_tracing_without_an_exporter_leaves_handlers_unchanged():
    """Guards against overhead on the request path while tracing is off."""

    async def handler(received):
        yield received

    tracing = Tracing(role="entry")
    assert traced_stream(tracing, "owner turn", handler) is handler
    with tracing.span("hop", PARENT) as traceparent:
        assert traceparent == PARENT
