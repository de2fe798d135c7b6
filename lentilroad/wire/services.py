"""gRPC methods between lentilroad processes, with generic server and client code."""

from __future__ import annotations

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable, Mapping
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any

from grpclib.client import Channel
from grpclib.const import Cardinality, Handler
from grpclib.server import Stream

from lentilroad.wire import messages as m


@dataclass(slots=True, kw_only=True, frozen=True)
class Method:
    """Path and message types of one gRPC method."""

    path: str
    request_type: type
    reply_type: type
    streaming: bool = False


def _method(
    service: str,
    name: str,
    request_type: type,
    reply_type: type,
    *,
    streaming: bool = False,
) -> Method:
    return Method(
        path=f"/lentilroad.{service}/{name}",
        request_type=request_type,
        reply_type=reply_type,
        streaming=streaming,
    )


# Served by every entry.
OPEN_PROGRAM = _method("Owner", "Open", m.OpenProgramRequest, m.OpenProgramReply)
END_PROGRAM = _method("Owner", "End", m.EndProgramRequest, m.EndProgramReply)
READ_PROGRAM = _method("Owner", "Read", m.ReadProgramRequest, m.ReadProgramReply)
RUN_TURN = _method("Owner", "RunTurn", m.RunTurnRequest, m.TurnEvent, streaming=True)
REPLICATE = _method("Peer", "Replicate", m.ReplicateRequest, m.ReplicateReply)
GRANT = _method("Peer", "Grant", m.GrantRequest, m.GrantReply)
PAIR_HEARTBEAT = _method("Peer", "PairHeartbeat", m.PairHeartbeat, m.PairHeartbeat)
PING = _method("Peer", "Ping", m.PingRequest, m.PingReply)
PULL_SHARD_MAP = _method(
    "Peer", "PullShardMap", m.PullShardMapRequest, m.PullShardMapReply
)
SIDECAR_HEARTBEAT = _method(
    "Peer", "SidecarHeartbeat", m.SidecarHeartbeat, m.SidecarHeartbeatReply
)
CONFIG_DIGEST = _method(
    "Peer", "ConfigDigest", m.ConfigDigestRequest, m.ConfigDigestReply
)
PULL_PARTS = _method("Peer", "PullParts", m.PullPartsRequest, m.PullPartsReply)

# Served by every sidecar.
DISPATCH = _method(
    "Sidecar", "Dispatch", m.DispatchRequest, m.DispatchEvent, streaming=True
)
ATTACH = _method("Sidecar", "Attach", m.AttachRequest, m.OutputChunk, streaming=True)
RELEASE = _method("Sidecar", "Release", m.ReleaseRequest, m.Acknowledgement)
CANCEL = _method("Sidecar", "Cancel", m.CancelRequest, m.Acknowledgement)
RESOLVE = _method("Sidecar", "Resolve", m.ResolveRequest, m.ResolveReply)
FORGET = _method("Sidecar", "Forget", m.ForgetRequest, m.Acknowledgement)
CONFIRM_PROGRAMS = _method(
    "Sidecar", "ConfirmPrograms", m.ConfirmProgramsRequest, m.Acknowledgement
)
HEARTBEAT = _method("Sidecar", "Heartbeat", m.PairHeartbeat, m.SidecarHeartbeat)

# Served by every process; checks connections that have open calls.
HEALTH_PING = _method("Health", "Ping", m.HealthPing, m.HealthPing)

UnaryHandler = Callable[[Any], Awaitable[Any]]
StreamingHandler = Callable[[Any], AsyncGenerator[Any, None]]


def _serve_unary(handler: UnaryHandler) -> Callable[[Stream], Awaitable[None]]:
    async def serve(stream: Stream) -> None:
        request = await stream.recv_message()
        await stream.send_message(await handler(request))

    return serve


def _serve_streaming(handler: StreamingHandler) -> Callable[[Stream], Awaitable[None]]:
    async def serve(stream: Stream) -> None:
        request = await stream.recv_message()
        # Closing the generator runs its cleanup when the peer cancels the call.
        async with aclosing(handler(request)) as replies:
            async for reply in replies:
                await stream.send_message(reply)

    return serve


class MethodTable:
    """Service object for `grpclib.server.Server`.

    Parameters
    ----------
    handlers : Mapping[Method, Callable]
        Coroutine function for each unary method, async generator function for
        each streaming method.
    """

    __slots__ = ("_handlers",)

    def __init__(
        self, *, handlers: Mapping[Method, UnaryHandler | StreamingHandler]
    ) -> None:
        self._handlers = handlers

    def __mapping__(self) -> dict[str, Handler]:
        """Return the gRPC handlers by method path, as grpclib expects."""
        table = {}
        for method, handler in self._handlers.items():
            if method.streaming:
                serve = _serve_streaming(handler)
                cardinality = Cardinality.UNARY_STREAM
            else:
                serve = _serve_unary(handler)
                cardinality = Cardinality.UNARY_UNARY
            table[method.path] = Handler(
                serve, cardinality, method.request_type, method.reply_type
            )
        return table


async def call_unary(
    channel: Channel, method: Method, request: Any, *, timeout_s: float | None
) -> Any:
    """Send one request and return its reply.

    Parameters
    ----------
    channel : grpclib.client.Channel
        Connection to the peer.
    method : Method
        Unary method.
    request : Message
        Request of the method's type.
    timeout_s : float or None
        Deadline of the call in seconds.

    Returns
    -------
    Message
        Reply of the method's type.

    Raises
    ------
    grpclib.exceptions.GRPCError, OSError, asyncio.TimeoutError
        The peer cannot be reached or failed.
    """
    stream = channel.request(
        method.path,
        Cardinality.UNARY_UNARY,
        method.request_type,
        method.reply_type,
        timeout=timeout_s,
    )
    async with stream:
        await stream.send_message(request, end=True)
        return await stream.recv_message()


async def call_streaming(
    channel: Channel, method: Method, request: Any, *, timeout_s: float | None = None
) -> AsyncIterator[Any]:
    """Send one request and yield its replies; see `call_unary`."""
    stream = channel.request(
        method.path,
        Cardinality.UNARY_STREAM,
        method.request_type,
        method.reply_type,
        timeout=timeout_s,
    )
    async with stream:
        await stream.send_message(request, end=True)
        async for reply in stream:
            yield reply
