"""In-memory transport between processes that share one event loop."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable, Mapping
from contextlib import aclosing
from typing import Any

from lentilroad.const import PEER_SILENT_AFTER_S
from lentilroad.errors import UnavailableError
from lentilroad.wire.codec import MessagePackCodec
from lentilroad.wire.services import Method

_CODEC = MessagePackCodec()


class Process:
    """One process on the network; it can be killed, paused and resumed.

    A paused process sends and receives nothing; what it was about to do happens when
    it resumes. A killed process never does anything again.

    Parameters
    ----------
    address : str
        Address of the process.
    """

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.handlers: Mapping[Method, Callable[..., Any]] = {}
        self.is_dead = False
        self.died = asyncio.Event()
        self._running = asyncio.Event()
        self._running.set()

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return not self._running.is_set()

    def kill(self) -> None:
        """End the process."""
        self.is_dead = True
        self.died.set()

    def pause(self) -> None:
        """Stop the process until `resume`."""
        self._running.clear()

    def resume(self) -> None:
        """Let a paused process go on."""
        self._running.set()

    async def step(self) -> None:
        """Wait while paused; never return once the process is dead."""
        await self._running.wait()
        if self.is_dead:
            await asyncio.get_running_loop().create_future()


class ProcessClock:
    """Clock of one process; waiting goes on while the process is paused."""

    def __init__(self, *, process: Process, start_time_s: float = 1.7e9) -> None:
        self._process = process
        self._start_time_s = start_time_s

    def monotonic_s(self) -> float:
        """Return seconds of loop time."""
        return asyncio.get_running_loop().time()

    def time_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return self._start_time_s + self.monotonic_s()

    async def sleep(self, delay_s: float) -> None:
        """Wait for `delay_s` seconds, and until the process runs."""
        await asyncio.sleep(delay_s)
        await self._process.step()


class Network:
    """Deliver messages between processes with latency and faults.

    Parameters
    ----------
    latency_s : float
        One-way latency in seconds.
    """

    def __init__(self, *, latency_s: float = 0.001) -> None:
        self._latency_s = latency_s
        self._processes: dict[str, Process] = {}
        # Pairs of addresses between which nothing arrives.
        self._silent: set[frozenset[str]] = set()

    def add(self, process: Process) -> None:
        """Connect a process, replacing one with the same address."""
        self._processes[process.address] = process

    def process(self, address: str) -> Process:
        """Return the process at an address."""
        return self._processes[address]

    def silence(self, left: str, right: str) -> None:
        """Drop everything between two addresses until `restore`."""
        self._silent.add(frozenset((left, right)))

    def restore(self, left: str, right: str) -> None:
        """End the silence between two addresses."""
        self._silent.discard(frozenset((left, right)))

    def caller(self, process: Process) -> Callable[..., Any]:
        """Return the function with which a process sends unary calls."""

        async def call(
            address: str, method: Method, request: Any, timeout_s: float | None
        ) -> Any:
            await process.step()
            reply = await self._within(
                self._exchange(process, address, method, request), timeout_s
            )
            await process.step()
            return reply

        return call

    def streamer(self, process: Process) -> Callable[..., Any]:
        """Return the function with which a process opens streams."""

        async def stream(
            address: str, method: Method, request: Any, timeout_s: float | None
        ) -> AsyncGenerator[Any, None]:
            await process.step()
            async with aclosing(
                self._replies(process, address, method, request)
            ) as replies:
                async for reply in replies:
                    await process.step()
                    yield reply

        return stream

    async def _within(self, exchange: Any, timeout_s: float | None) -> Any:
        limit_s = PEER_SILENT_AFTER_S if timeout_s is None else timeout_s
        try:
            return await asyncio.wait_for(exchange, limit_s)
        except TimeoutError:
            raise UnavailableError("the peer is silent; try again") from None

    async def _deliver(self, sender: str, address: str) -> Process:
        """Carry a message to a process; wait forever if it cannot arrive."""
        await asyncio.sleep(self._latency_s)
        target = self._processes.get(address)
        if frozenset((sender, address)) in self._silent:
            await asyncio.get_running_loop().create_future()
        if target is None or target.is_dead:
            raise UnavailableError("the peer refused the connection; try another")
        await target.step()
        return target

    async def _exchange(
        self, process: Process, address: str, method: Method, request: Any
    ) -> Any:
        target = await self._deliver(process.address, address)
        handler = target.handlers[method]
        # The handler goes on when the sender gives up.
        handling = asyncio.ensure_future(handler(_copy(request, method.request_type)))
        died = asyncio.ensure_future(target.died.wait())
        try:
            await asyncio.wait({handling, died}, return_when=asyncio.FIRST_COMPLETED)
            if target.is_dead:
                raise UnavailableError("the connection was reset; try another peer")
            await target.step()
            reply = _copy(handling.result(), method.reply_type)
        finally:
            died.cancel()
        await self._deliver(address, process.address)
        return reply

    async def _replies(
        self, process: Process, address: str, method: Method, request: Any
    ) -> AsyncGenerator[Any, None]:
        delivery = self._deliver(process.address, address)
        target = await self._within(delivery, PEER_SILENT_AFTER_S)
        handler = target.handlers[method]
        queue: asyncio.Queue[Any] = asyncio.Queue()
        pump = asyncio.create_task(
            self._pump(target, process, handler, method, request, queue)
        )
        watch = asyncio.create_task(self._watch(process, target, queue))
        try:
            while True:
                reply = await queue.get()
                if reply is None:
                    return
                if isinstance(reply, Exception):
                    raise reply
                yield reply
        finally:
            pump.cancel()
            watch.cancel()

    async def _pump(
        self,
        target: Process,
        process: Process,
        handler: Callable[..., Any],
        method: Method,
        request: Any,
        queue: asyncio.Queue[Any],
    ) -> None:
        copied = _copy(request, method.request_type)
        try:
            async with aclosing(handler(copied)) as replies:
                async for reply in replies:
                    await target.step()
                    reply = _copy(reply, method.reply_type)
                    await self._deliver(target.address, process.address)
                    queue.put_nowait(reply)
            await target.step()
            await self._deliver(target.address, process.address)
            queue.put_nowait(None)
        except Exception as error:  # noqa: BLE001 - raised where the stream is read
            queue.put_nowait(error)

    async def _watch(
        self, process: Process, target: Process, queue: asyncio.Queue[Any]
    ) -> None:
        """Fail a stream whose peer died, or was silent for three heartbeats."""
        pair = frozenset((process.address, target.address))
        silent_s = 0.0
        step_s = PEER_SILENT_AFTER_S / 3
        while silent_s < PEER_SILENT_AFTER_S:
            try:
                await asyncio.wait_for(target.died.wait(), step_s)
                break
            except TimeoutError:
                is_silent = pair in self._silent or target.is_paused
                silent_s = silent_s + step_s if is_silent else 0.0
        queue.put_nowait(UnavailableError("the stream broke; open it again"))


def _copy(message: Any, message_type: type) -> Any:
    return _CODEC.decode(_CODEC.encode(message, message_type), message_type)
