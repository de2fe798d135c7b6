"""Execution of one call at the upstream."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import aclosing

from lentilroad.adapters.engine import Engine, EngineOutput, EngineRequest
from lentilroad.adapters.service import Service
from lentilroad.clock import Clock
from lentilroad.errors import LentilroadError, NotFoundError, UnavailableError
from lentilroad.upstream.const import (
    CANCEL_ATTEMPTS,
    CANCEL_DELAY_S,
    RESUME_ATTEMPTS,
    RESUME_DELAY_S,
)
from lentilroad.upstream.ledger import CallRecord
from lentilroad.wire.messages import Finished, Usage


async def run_chat(*, engine: Engine, record: CallRecord, clock: Clock) -> Finished:
    """Run a model call, resuming its stream when the connection breaks.

    The request is sent once; a broken stream is resumed, never sent again.
    `Finished.text` is the complete answer including the forced prefix.

    Raises
    ------
    LentilroadError
        The call failed; its outcome states whether the engine ran it.
    """
    request = record.request
    outputs = engine.generate(
        EngineRequest(
            request_id=request.call_id,
            program_id=request.program_id,
            model=request.model,
            messages=request.messages,
            forced_prefix=request.forced_prefix,
            max_tokens=request.max_tokens,
            traceparent=request.traceparent,
        )
    )
    remaining_attempts = RESUME_ATTEMPTS
    first_error: UnavailableError | None = None
    while True:
        tokens_before = record.tokens
        try:
            return await _consume(outputs, record, clock)
        except UnavailableError as error:
            if error.outcome == "not_run" and not record.tokens and first_error is None:
                raise
            remaining_attempts = (
                RESUME_ATTEMPTS
                if record.tokens > tokens_before
                else remaining_attempts - 1
            )
            if not remaining_attempts:
                raise first_error or error from None
            first_error = first_error or error
        except NotFoundError as error:
            raise first_error or error from None
        await clock.sleep(RESUME_DELAY_S)
        outputs = engine.resume(request_id=request.call_id, offset=record.output.length)


async def _consume(
    outputs: AsyncIterator[EngineOutput], record: CallRecord, clock: Clock
) -> Finished:
    usage: Usage | None = None
    buffer = record.output
    async with aclosing(outputs):
        async for output in outputs:
            if output.text:
                record.last_output_s = clock.monotonic_s()
                if not record.tokens:
                    record.first_output_s = record.last_output_s
                record.tokens += output.tokens
                buffer.append(output.text)
            if output.usage is not None:
                usage = output.usage
            if output.finish_reason is not None:
                return Finished(
                    usage=usage or Usage(completion_tokens=record.tokens),
                    finish_reason=output.finish_reason,
                    text=buffer.text(),
                )
    raise UnavailableError(
        "the engine ended the stream before the finish reason; resume it", outcome="ran"
    )


async def run_service(*, service: Service, record: CallRecord) -> Finished:
    """Run a service call once; see `run_chat` for errors."""
    request = record.request
    reply = await service.call(
        operation=request.operation,
        payload=request.payload,
        call_id=request.call_id,
        traceparent=request.traceparent,
    )
    return Finished(
        usage=Usage(),
        finish_reason="stop",
        payload=reply.payload,
        payload_status=reply.status,
    )


async def cancel_at_engine(*, engine: Engine, call_id: str, clock: Clock) -> bool:
    """Cancel a completion; return False if it may still hold memory."""
    for _ in range(CANCEL_ATTEMPTS):
        try:
            await engine.cancel(request_id=call_id)
        except LentilroadError as error:
            if error.outcome == "not_run" and isinstance(error, UnavailableError):
                # Nothing listens at the address, so no engine holds memory.
                return True
            await clock.sleep(CANCEL_DELAY_S)
        else:
            return True
    return False
