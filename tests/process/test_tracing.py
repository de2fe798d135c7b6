"""Every hop must record a span of the caller's trace."""

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
    """A handler must be given its own span as the parent of the next hop."""
    path = tmp_path / "spans.jsonl"
    tracing = Tracing(role="entry", span_file=path)
    seen = []

    async def handler(received):
        seen.append(received.traceparent)
        yield m.TurnEvent(event=m.Admitted(call_id="c", sidecar_address="s"))

    traced = traced_stream(tracing, "owner turn", handler)
    assert [event async for event in traced(request())]
    tracing.shutdown()
    span = json.loads(path.read_text())
    assert span["name"] == "owner turn"
    assert span["context"]["trace_id"] == f"0x{TRACE_ID}"
    assert span["parent_id"] == "0xb7ad6b7169203331"
    assert span["context"]["span_id"].removeprefix("0x") in seen[0]


async def test_without_exporter_nothing_is_added():
    """Tracing that is off must cost nothing on the request path."""

    async def handler(received):
        yield received

    tracing = Tracing(role="entry")
    assert traced_stream(tracing, "owner turn", handler) is handler
    with tracing.span("hop", PARENT) as traceparent:
        assert traceparent == PARENT
