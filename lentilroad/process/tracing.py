"""OpenTelemetry tracing with one span per hop."""

from __future__ import annotations

import json
from collections.abc import AsyncGenerator, Callable, Iterator, Sequence
from contextlib import aclosing, contextmanager
from pathlib import Path
from typing import Any

import msgspec
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

_PROPAGATOR = TraceContextTextMapPropagator()


class JsonLinesExporter(SpanExporter):
    """Exporter that appends spans to a file, one JSON object per line."""

    def __init__(self, *, path: Path) -> None:
        self._file = path.open("a", encoding="utf-8", buffering=1)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write a batch of spans."""
        for span in spans:
            self._file.write(json.dumps(json.loads(span.to_json())) + "\n")
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


class Tracing:
    """Tracer of one process; creates and exports its spans.

    Parameters
    ----------
    role : str
        Role of the process; the service name of its spans.
    otlp_endpoint : str or None
        URL that receives spans by OTLP over HTTP.
    span_file : Path or None
        File that receives spans as JSON lines.
    sample_ratio : float
        Fraction of the traces without a parent span that are recorded, 0 to 1.
    """

    __slots__ = ("_provider", "_tracer", "enabled")

    def __init__(
        self,
        *,
        role: str,
        otlp_endpoint: str | None = None,
        span_file: Path | None = None,
        sample_ratio: float = 0.01,
    ) -> None:
        self.enabled = otlp_endpoint is not None or span_file is not None
        self._provider = TracerProvider(
            resource=Resource.create({"service.name": f"lentilroad-{role}"}),
            sampler=ParentBased(TraceIdRatioBased(sample_ratio)),
            shutdown_on_exit=False,
        )
        if otlp_endpoint is not None:
            exporter = OTLPSpanExporter(endpoint=otlp_endpoint, timeout=2)
            self._provider.add_span_processor(BatchSpanProcessor(exporter))
        if span_file is not None:
            exporter = JsonLinesExporter(path=span_file)
            self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("lentilroad")

    @contextmanager
    def span(self, name: str, traceparent: str) -> Iterator[str]:
        """Record one hop and yield the traceparent for the next one.

        Parameters
        ----------
        name : str
            Name of the hop.
        traceparent : str
            W3C traceparent from the previous hop; empty starts a trace.
        """
        if not self.enabled:
            yield traceparent
            return
        context = _PROPAGATOR.extract({"traceparent": traceparent})
        # The span is not made current: a stream may be closed by another task than the
        # one that started it.
        span = self._tracer.start_span(name, context=context)
        try:
            yield _format_traceparent(span)
        finally:
            span.end()

    def shutdown(self) -> None:
        """Export the buffered spans and stop."""
        self._provider.shutdown()


def _format_traceparent(span: Span) -> str:
    context = span.get_span_context()
    flags = int(context.trace_flags)
    return f"00-{context.trace_id:032x}-{context.span_id:016x}-{flags:02x}"


def traced_stream(
    tracing: Tracing, name: str, handler: Callable[[Any], AsyncGenerator[Any, None]]
) -> Callable[[Any], AsyncGenerator[Any, None]]:
    """Return a streaming handler that records a span for each request.

    Parameters
    ----------
    tracing : Tracing
        Tracer of this process.
    name : str
        Name of the hop.
    handler : callable
        Handler of requests with a ``traceparent``, which it forwards to the next hop.
    """
    if not tracing.enabled:
        return handler

    async def traced(request: Any) -> AsyncGenerator[Any, None]:
        with tracing.span(name, request.traceparent) as traceparent:
            request = msgspec.structs.replace(request, traceparent=traceparent)
            async with aclosing(handler(request)) as replies:
                async for reply in replies:
                    yield reply

    return traced
