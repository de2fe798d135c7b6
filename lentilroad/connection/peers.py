"""Connections to peers: one channel, call stream and watch task per peer."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from typing import Any

import eliot
import msgspec
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.protocol import H2Protocol

from lentilroad.clock import Clock
from lentilroad.connection.client_session import ClientSession, OpenCall
from lentilroad.connection.const import (
    CONNECT_TIMEOUT_S,
    HTTP2_WINDOW_BYTES,
    IDLE_CLOSE_AFTER_S,
    STALL_TOLERANCE_S,
)
from lentilroad.connection.errors import from_exception
from lentilroad.const import HEARTBEAT_INTERVAL_S, PEER_UNRESPONSIVE_AFTER_S
from lentilroad.errors import LentilroadError, UnavailableError
from lentilroad.wire.codec import MessagePackCodec
from lentilroad.wire.messages import HealthPing
from lentilroad.wire.services import HEALTH_PING, Method

_ENCODER = msgspec.msgpack.Encoder()
_CALL_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    OSError,
    TimeoutError,
)
_CONFIGURATION = Configuration(
    http2_connection_window_size=HTTP2_WINDOW_BYTES,
    http2_stream_window_size=HTTP2_WINDOW_BYTES,
)


@dataclass(slots=True, kw_only=True, eq=False)
class _Peer:
    address: str
    channel: Channel
    last_seen_s: float
    # Start of the oldest call since which no frame was received. Consecutive calls that
    # time out on an unresponsive connection count as one unresponsive period.
    waiting_since_s: float | None = None
    open_calls: int = 0
    closed: bool = False
    protocol: H2Protocol | None = None
    active: asyncio.Event = field(default_factory=asyncio.Event)
    watch_task: asyncio.Task[None] | None = None
    session: ClientSession | None = None
    session_task: asyncio.Task[None] | None = None

    def connected(self) -> bool:
        """Return whether the connection is open and its loss was not yet detected."""
        return self.protocol is not None and not self.protocol.handler.connection_lost


class PeerConnections:
    """Call peers by address over shared connections.

    All calls to a peer share one HTTP/2 stream; see `lentilroad.connection.frames`.
    A connection is opened on first use and closed after 60 s without calls. While calls
    are open and no frame is received, the peer is pinged every 500 ms; after 1.5 s
    without a frame the connection is closed and its open calls fail at once.

    Parameters
    ----------
    clock : Clock
        Source of time.
    ssl_context : ssl.SSLContext, optional
        Client context for mutual TLS. None means plain TCP.
    on_unresponsive : callable, optional
        Called with the address of a peer that became unresponsive.
    idle_close_s : float, optional
        Seconds without calls after which a connection is closed.
    """

    __slots__ = (
        "_clock",
        "_codec",
        "_idle_close_s",
        "_on_unresponsive",
        "_peers",
        "_ssl",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        ssl_context: ssl.SSLContext | None = None,
        on_unresponsive: Callable[[str], None] | None = None,
        idle_close_s: float = IDLE_CLOSE_AFTER_S,
    ) -> None:
        self._clock = clock
        self._ssl = ssl_context
        self._on_unresponsive = on_unresponsive
        self._idle_close_s = idle_close_s
        self._codec = MessagePackCodec()
        self._peers: dict[str, _Peer] = {}

    async def call(
        self, address: str, method: Method, request: Any, timeout_s: float | None
    ) -> Any:
        """Send one request and return its reply.

        Parameters
        ----------
        address : str
            Address of the peer, "ip:port".
        method : Method
            Unary method.
        request : Message
            Request of the method's type.
        timeout_s : float or None
            Deadline in seconds, including the time to connect.

        Returns
        -------
        Message
            Reply of the method's type.

        Raises
        ------
        UnavailableError
            The peer is unreachable, unresponsive or did not answer before the deadline;
            the outcome is ``not_run`` only if the request was not sent.
        LentilroadError
            The typed error that the peer's handler raised.
        """
        peer = self._begin_call(address)
        session: ClientSession | None = None
        opened: OpenCall | None = None
        try:
            async with asyncio.timeout(timeout_s):
                session = await self._connect(peer)
                opened = session.open(method.path, _ENCODER.encode(request))
                payload = await opened.next()
            opened.done = True
        except _CALL_ERRORS as error:
            raise from_exception(
                error, address=address, request_sent=opened is not None
            ) from error
        finally:
            if session is not None and opened is not None:
                session.close_call(opened)
            self._end_call(peer)
        return self._codec.decode(payload, method.reply_type)

    async def stream(
        self, address: str, method: Method, request: Any, timeout_s: float | None
    ) -> AsyncGenerator[Any, None]:
        """Send one request and yield its replies; errors are those of `call`.

        Closing the generator cancels the call at the peer.
        """
        peer = self._begin_call(address)
        session: ClientSession | None = None
        opened: OpenCall | None = None
        deadline_s = None
        if timeout_s is not None:
            deadline_s = asyncio.get_running_loop().time() + timeout_s
        try:
            async with asyncio.timeout_at(deadline_s):
                session = await self._connect(peer)
            opened = session.open(method.path, _ENCODER.encode(request))
            while True:
                payload = await _next_until(opened, deadline_s)
                if payload is None:
                    return
                yield self._codec.decode(payload, method.reply_type)
        except _CALL_ERRORS as error:
            raise from_exception(
                error, address=address, request_sent=opened is not None
            ) from error
        finally:
            if session is not None and opened is not None:
                session.close_call(opened)
            self._end_call(peer)

    def open_addresses(self) -> list[str]:
        """Return the addresses of peers with a connection."""
        return list(self._peers)

    async def close(self) -> None:
        """Close all connections; open calls fail with `UnavailableError`."""
        tasks = []
        for peer in list(self._peers.values()):
            if peer.watch_task is not None:
                peer.watch_task.cancel()
                tasks.append(peer.watch_task)
            if peer.session_task is not None:
                tasks.append(peer.session_task)
            self._close_connection(peer)
        await asyncio.gather(*tasks, return_exceptions=True)

    def _begin_call(self, address: str) -> _Peer:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._open(address)
        if peer.waiting_since_s is None:
            peer.waiting_since_s = self._clock.monotonic_s()
            peer.active.set()
        peer.open_calls += 1
        return peer

    def _end_call(self, peer: _Peer) -> None:
        peer.open_calls -= 1
        if peer.open_calls == 0 and not _no_frame_since_call(peer):
            peer.waiting_since_s = None

    def _open(self, address: str) -> _Peer:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise UnavailableError(
                f"{address!r} is not a valid address; use the form ip:port",
                outcome="not_run",
            )
        channel = Channel(
            host.strip("[]"),
            int(port),
            codec=self._codec,
            ssl=self._ssl,
            config=_CONFIGURATION,
        )
        peer = _Peer(
            address=address, channel=channel, last_seen_s=self._clock.monotonic_s()
        )
        self._peers[address] = peer
        peer.watch_task = asyncio.create_task(self._watch(peer))
        return peer

    async def _connect(self, peer: _Peer) -> ClientSession:
        """Return the session of a peer, after connecting if necessary."""
        if not peer.connected():
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                peer.protocol = await peer.channel.__connect__()
            peer.last_seen_s = self._clock.monotonic_s()
        if peer.session is None or peer.session.ended:
            peer.session = ClientSession(
                channel=peer.channel, on_frame=lambda: self._record_frame(peer)
            )
            peer.session_task = asyncio.create_task(peer.session.run())
        return peer.session

    def _record_frame(self, peer: _Peer) -> None:
        peer.last_seen_s = self._clock.monotonic_s()

    async def _watch(self, peer: _Peer) -> None:
        while not peer.closed:
            if peer.open_calls == 0 and peer.waiting_since_s is None:
                peer.active.clear()
                if not await self._wait_active(peer):
                    self._close_connection(peer)
                    return
            if await self._is_unresponsive(peer):
                eliot.log_message(
                    message_type="connection:silent", address=peer.address
                )
                self._close_connection(peer)
                if self._on_unresponsive is not None:
                    self._on_unresponsive(peer.address)
                return

    async def _wait_active(self, peer: _Peer) -> bool:
        try:
            async with asyncio.timeout(self._idle_close_s):
                await peer.active.wait()
        except TimeoutError:
            return peer.open_calls > 0
        return True

    async def _is_unresponsive(self, peer: _Peer) -> bool:
        before_s = self._clock.monotonic_s()
        await self._clock.sleep(HEARTBEAT_INTERVAL_S)
        now_s = self._clock.monotonic_s()
        if now_s - before_s > HEARTBEAT_INTERVAL_S + STALL_TOLERANCE_S:
            peer.last_seen_s = now_s
        if peer.waiting_since_s is None:
            return False
        if not peer.connected():
            if peer.open_calls == 0:
                peer.waiting_since_s = None
            return False
        if now_s - _no_frame_since_s(peer) < HEARTBEAT_INTERVAL_S:
            return False
        responsive = await self._ping(peer)
        if responsive and peer.open_calls == 0:
            peer.waiting_since_s = None
        return not responsive

    async def _ping(self, peer: _Peer) -> bool:
        """Return whether the peer sent a frame before it counts as unresponsive."""
        now_s = self._clock.monotonic_s()
        deadline_s = _no_frame_since_s(peer) + PEER_UNRESPONSIVE_AFTER_S
        session = peer.session
        if session is None:
            return True
        opened = session.open(HEALTH_PING.path, _ENCODER.encode(HealthPing()))
        try:
            async with asyncio.timeout(max(deadline_s - now_s, 0.001)):
                await opened.next()
        except TimeoutError:
            now_s = self._clock.monotonic_s()
            if now_s - deadline_s > STALL_TOLERANCE_S:
                peer.last_seen_s = now_s
            return now_s < _no_frame_since_s(peer) + PEER_UNRESPONSIVE_AFTER_S
        except (LentilroadError, *_CALL_ERRORS):
            # A connection that was closed is not unresponsive; its calls have failed.
            return True
        finally:
            session.close_call(opened)
        return True

    def _close_connection(self, peer: _Peer) -> None:
        """Close a connection without waiting until the peer reads pending data."""
        peer.closed = True
        if self._peers.get(peer.address) is peer:
            del self._peers[peer.address]
        transport = None
        if peer.protocol is not None:
            transport = getattr(peer.protocol.connection, "_transport", None)
        peer.channel.close()
        if transport is not None:
            transport.abort()


def _no_frame_since_s(peer: _Peer) -> float:
    return max(peer.last_seen_s, peer.waiting_since_s or 0.0)


def _no_frame_since_call(peer: _Peer) -> bool:
    waiting_since_s = peer.waiting_since_s
    return waiting_since_s is not None and peer.last_seen_s < waiting_since_s


async def _next_until(opened: OpenCall, deadline_s: float | None) -> bytes | None:
    # Token streams are called without a deadline: a timer per message would cost more
    # than the message.
    if deadline_s is None:
        return await opened.next()
    async with asyncio.timeout_at(deadline_s):
        return await opened.next()
