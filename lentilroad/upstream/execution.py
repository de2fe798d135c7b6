"""Run one call at the upstream."""

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

    The request is sent once; a broken stream is only resumed. `Finished.text` is the
    whole answer with the forced prefix.

    Raises
    ------
    LentilroadError
        The call failed; its outcome tells whether the engine ran it.
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
    attempts_left = RESUME_ATTEMPTS
    broken: UnavailableError | None = None
    while True:
        tokens = record.tokens
        try:
            return await _relay(outputs, record, clock)
        except UnavailableError as error:
            if error.outcome == "not_run" and not record.tokens and broken is None:
                raise
            attempts_left = (
                RESUME_ATTEMPTS if record.tokens > tokens else attempts_left - 1
            )
            if not attempts_left:
                raise broken or error from None
            broken = broken or error
        except NotFoundError as error:
            raise broken or error from None
        await clock.sleep(RESUME_DELAY_S)
        outputs = engine.resume(request_id=request.call_id, offset=record.output.length)


async def _relay(
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
    raise UnavailableError("engine ended the stream early; resume it", outcome="ran")


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
    """Cancel a completion; return False when it may still hold memory."""
    for _ in range(CANCEL_ATTEMPTS):
        try:
            await engine.cancel(request_id=call_id)
        except LentilroadError as error:
            if error.outcome == "not_run" and isinstance(error, UnavailableError):
                # Nothing listens, so that nothing is held.
                return True
            await clock.sleep(CANCEL_DELAY_S)
        else:
            return True
    return False
