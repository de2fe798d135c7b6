"""Client side of the stream that multiplexes calls to one peer."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from collections.abc import Callable

from grpclib.client import Channel
from grpclib.const import Cardinality
from grpclib.exceptions import StreamTerminatedError

from lentilroad.connection.frames import (
    CALLS_PATH,
    CANCEL,
    END,
    ERROR,
    REQUEST,
    Envelope,
    Frame,
    Outbox,
)
from lentilroad.wire.convert import from_wire_error
from lentilroad.wire.messages import WireError
from lentilroad.wire.untrusted import decode_message_pack


class OpenCall:
    """Queue of the replies to one call, in order."""

    __slots__ = ("_reply_waiter", "_replies", "call_no", "done")

    def __init__(self, *, call_no: int) -> None:
        self.call_no = call_no
        self.done = False
        self._replies: deque[Envelope | Exception] = deque()
        self._reply_waiter: asyncio.Future[None] | None = None

    def add(self, reply: Envelope | Exception) -> None:
        """Add a reply, or the error that ends the call."""
        self._replies.append(reply)
        waiter = self._reply_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def next(self) -> bytes | None:
        """Return the next payload, None at the end, or raise the call's error."""
        if not self._replies:
            self._reply_waiter = asyncio.get_running_loop().create_future()
            await self._reply_waiter
            self._reply_waiter = None
        reply = self._replies.popleft()
        if isinstance(reply, Exception):
            self.done = True
            raise reply
        if reply.kind == END:
            self.done = True
            return None
        if reply.kind == ERROR:
            self.done = True
            raise from_wire_error(decode_message_pack(reply.payload, WireError))
        return reply.payload


class ClientSession:
    """Calls to one peer over one stream, until the connection ends.

    Parameters
    ----------
    channel : grpclib.client.Channel
        Connection to the peer.
    on_frame : callable
        Called for each frame received from the peer.
    """

    def __init__(self, *, channel: Channel, on_frame: Callable[[], None]) -> None:
        self.ended = False
        self._channel = channel
        self._on_frame = on_frame
        self._outbox = Outbox()
        self._calls: dict[int, OpenCall] = {}
        self._numbers = itertools.count()

    def open(self, path: str, payload: bytes) -> OpenCall:
        """Send a request and return its open call."""
        call = OpenCall(call_no=next(self._numbers))
        if self.ended:
            call.add(StreamTerminatedError("connection lost"))
            return call
        self._calls[call.call_no] = call
        self._outbox.put(Envelope(REQUEST, call.call_no, payload, path))
        return call

    def close_call(self, call: OpenCall) -> None:
        """Discard a call and, if it has not completed, cancel it at the peer."""
        self._calls.pop(call.call_no, None)
        if not call.done and not self.ended:
            self._outbox.put(Envelope(CANCEL, call.call_no))

    async def run(self) -> None:
        """Exchange frames until the connection ends, then fail the open calls."""
        error: Exception = StreamTerminatedError("connection closed by the peer")
        try:
            await self._exchange_frames()
        except Exception as caught:
            error = caught
        finally:
            self.ended = True
            for call in self._calls.values():
                call.add(error)
            self._calls.clear()

    async def _exchange_frames(self) -> None:
        stream = self._channel.request(
            CALLS_PATH, Cardinality.STREAM_STREAM, Frame, Frame
        )
        async with stream:
            await stream.send_request()
            sender = asyncio.create_task(self._outbox.run(stream.send_message))
            try:
                while (frame := await stream.recv_message()) is not None:
                    self._on_frame()
                    self._deliver(frame)
            finally:
                sender.cancel()
                await asyncio.gather(sender, return_exceptions=True)

    def _deliver(self, frame: Frame) -> None:
        for envelope in frame.envelopes:
            call = self._calls.get(envelope.call_no)
            if call is not None:
                call.add(envelope)
