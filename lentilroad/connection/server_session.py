"""Server side of the stream that multiplexes the calls of one peer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from contextlib import aclosing
from functools import partial
from typing import Any

import eliot
import msgspec
from grpclib.server import Stream

from lentilroad.connection.frames import (
    CANCEL,
    END,
    ERROR,
    REPLY,
    Envelope,
    Outbox,
)
from lentilroad.connection.sending import send_reply
from lentilroad.errors import InvalidRequestError, LentilroadError, UnavailableError
from lentilroad.wire.codec import MessagePackCodec
from lentilroad.wire.convert import to_wire_error
from lentilroad.wire.services import Method
from lentilroad.wire.untrusted import UnreadableError

_CODEC = MessagePackCodec()
_ENCODER = msgspec.msgpack.Encoder()


class ServerSession:
    """Run the calls of one peer, each in its own task.

    Parameters
    ----------
    handlers : Mapping[str, tuple[Method, callable]]
        Method and handler by path.
    begin, end : callable
        Called before and after each call; `begin` raises to reject the call.
    """

    def __init__(
        self,
        *,
        handlers: Mapping[str, tuple[Method, Any]],
        begin: Callable[[str], None],
        end: Callable[[str], None],
    ) -> None:
        self._handlers = handlers
        self._begin = begin
        self._end = end
        self._outbox = Outbox()
        self._tasks: dict[int, asyncio.Task[None]] = {}

    async def run(self, stream: Stream) -> None:
        """Serve calls until the peer ends the stream."""
        sender = asyncio.create_task(self._outbox.run(partial(send_reply, stream)))
        try:
            while (frame := await stream.recv_message()) is not None:
                for envelope in frame.envelopes:
                    self._receive(envelope)
        finally:
            tasks = [sender, *self._tasks.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _receive(self, envelope: Envelope) -> None:
        if envelope.kind == CANCEL:
            task = self._tasks.get(envelope.call_no)
            if task is not None:
                task.cancel()
            return
        task = asyncio.create_task(self._serve(envelope))
        self._tasks[envelope.call_no] = task

    async def _serve(self, envelope: Envelope) -> None:
        try:
            self._begin(envelope.path)
            try:
                await self._run_handler(envelope)
            finally:
                self._end(envelope.path)
        except LentilroadError as error:
            self._fail(envelope, error)
        except Exception:
            eliot.write_traceback()
            self._fail(
                envelope,
                UnavailableError(
                    f"{envelope.path} failed; see the log of the process that ran the "
                    "handler",
                    outcome="unknown",
                ),
            )
        finally:
            self._tasks.pop(envelope.call_no, None)

    async def _run_handler(self, envelope: Envelope) -> None:
        registered = self._handlers.get(envelope.path)
        if registered is None:
            raise UnavailableError(
                f"{envelope.path} is not implemented by this process; upgrade it "
                "to a release that does"
            )
        method, handler = registered
        try:
            request = _CODEC.decode(envelope.payload, method.request_type)
        except UnreadableError as error:
            raise InvalidRequestError(
                f"request of {envelope.path} cannot be decoded ({error}); use the "
                "same release on both sides"
            ) from error
        if not method.streaming:
            self._reply(envelope, await handler(request))
            return
        async with aclosing(handler(request)) as replies:
            async for reply in replies:
                self._reply(envelope, reply)
                await self._outbox.wait_for_capacity()
        self._outbox.put(Envelope(END, envelope.call_no))

    def _reply(self, envelope: Envelope, reply: Any) -> None:
        payload = _ENCODER.encode(reply)
        self._outbox.put(Envelope(REPLY, envelope.call_no, payload))

    def _fail(self, envelope: Envelope, error: LentilroadError) -> None:
        payload = _ENCODER.encode(to_wire_error(error))
        self._outbox.put(Envelope(ERROR, envelope.call_no, payload))
