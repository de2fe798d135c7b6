"""In-memory transport between processes that share one event loop."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable, Mapping
from contextlib import aclosing
from typing import Any

from lentilroad.const import PEER_UNRESPONSIVE_AFTER_S
from lentilroad.errors import UnavailableError
from lentilroad.wire.codec import MessagePackCodec
from lentilroad.wire.services import Method

_CODEC = MessagePackCodec()
Then = Callable[[], None]


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
        self.is_paused = False
        # Called when the process dies.
        self.on_death: set[Then] = set()
        self._resumed = asyncio.Event()
        self._ended: list[asyncio.Future[None]] = []

    def kill(self) -> None:
        """End the process."""
        self.is_dead = True
        for then in list(self.on_death):
            then()
        self.on_death.clear()

    def pause(self) -> None:
        """Stop the process until `resume`."""
        self.is_paused = True
        self._resumed.clear()

    def resume(self) -> None:
        """Let a paused process go on."""
        self.is_paused = False
        self._resumed.set()

    async def step(self) -> None:
        """Wait while paused; never return once the process is dead."""
        while self.is_paused:
            await self._resumed.wait()
        if self.is_dead:
            await self._end()

    async def _end(self) -> None:
        """Never return; the future is kept, so that the task is not collected."""
        ended = asyncio.get_running_loop().create_future()
        self._ended.append(ended)
        await ended


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


def _refused() -> UnavailableError:
    return UnavailableError("the peer refused the connection", outcome="not_run")


def _broken() -> UnavailableError:
    return UnavailableError("the connection broke; open it again", outcome="unknown")


class _Exchange:
    """One unary call: request, handler, reply; its future gets the outcome."""

    __slots__ = ("_handling", "_method", "_network", "_process", "_target", "reply")

    def __init__(self, network: Network, process: Process, method: Method) -> None:
        self._network = network
        self._process = process
        self._method = method
        self._target: Process | None = None
        self._handling: asyncio.Task[Any] | None = None
        self.reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()

    def fail(self) -> None:
        """End with an error, unless there is a reply."""
        if not self.reply.done():
            self.reply.set_exception(_broken())

    def refuse(self) -> None:
        """End because nothing listens at the address."""
        if not self.reply.done():
            self.reply.set_exception(_refused())

    def arrive(self, target: Process | None, data: bytes) -> None:
        """Start the handler; it goes on when the sender gives up."""
        if target is None or target.is_dead:
            self.refuse()
            return
        self._target = target
        target.on_death.add(self.fail)
        self._handling = asyncio.create_task(self._handle(target, data))

    async def _handle(self, target: Process, data: bytes) -> None:
        await target.step()
        method = self._method
        request = _CODEC.decode(data, method.request_type)
        reply = await target.handlers[method](request)
        await target.step()
        target.on_death.discard(self.fail)
        encoded = _CODEC.encode(reply, method.reply_type)
        self._network.carry(target.address, self._process.address, self._end, encoded)

    def _end(self, data: bytes) -> None:
        if not self.reply.done():
            self.reply.set_result(_CODEC.decode(data, self._method.reply_type))

    def close(self) -> None:
        """Forget the exchange."""
        if self._target is not None:
            self._target.on_death.discard(self.fail)


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
        self._all_processes: list[Process] = []
        # Pairs of addresses between which nothing arrives.
        self._silent: set[frozenset[str]] = set()
        # Loop time of the last silence of a pair; older connections stay silent.
        self._silenced_s: dict[frozenset[str], float] = {}

    def add(self, process: Process) -> None:
        """Connect a process, replacing one with the same address."""
        self._processes[process.address] = process
        self._all_processes.append(process)

    def silence(self, left: str, right: str) -> None:
        """Drop everything between two addresses until `restore`.

        Streams that are open now stay silent for good.
        """
        pair = frozenset((left, right))
        self._silent.add(pair)
        self._silenced_s[pair] = asyncio.get_running_loop().time()

    def restore(self, left: str, right: str) -> None:
        """End the silence between two addresses."""
        self._silent.discard(frozenset((left, right)))

    def carry(
        self, sender: str, receiver: str, then: Callable[..., None], *values: Any
    ) -> None:
        """Call a function after the latency, unless the connection is silent."""
        if self._silent and frozenset((sender, receiver)) in self._silent:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._latency_s, then, *values)

    def caller(self, process: Process) -> Callable[..., Any]:
        """Return the function with which a process sends unary calls."""

        async def call(
            address: str, method: Method, request: Any, timeout_s: float | None
        ) -> Any:
            await process.step()
            exchange = _Exchange(self, process, method)
            data = _CODEC.encode(request, method.request_type)
            self.carry(
                process.address,
                address,
                lambda: exchange.arrive(self._processes.get(address), data),
            )
            limit_s = PEER_UNRESPONSIVE_AFTER_S if timeout_s is None else timeout_s
            loop = asyncio.get_running_loop()
            timer = loop.call_later(limit_s, exchange.fail)
            try:
                reply = await exchange.reply
            except UnavailableError:
                await process.step()
                raise
            finally:
                timer.cancel()
                exchange.close()
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

    async def _replies(
        self, process: Process, address: str, method: Method, request: Any
    ) -> AsyncGenerator[Any, None]:
        queue: asyncio.Queue[Any] = asyncio.Queue()
        data = _CODEC.encode(request, method.request_type)
        pair = frozenset((process.address, address))
        opened_s = asyncio.get_running_loop().time()

        def is_silent() -> bool:
            return self._silenced_s.get(pair, -1.0) >= opened_s

        def put(reply: Any) -> None:
            if not is_silent():
                queue.put_nowait(reply)

        pump = asyncio.create_task(self._pump(process, address, method, data, put))
        watch = asyncio.create_task(self._watch(address, is_silent, queue))
        try:
            while True:
                reply = await queue.get()
                if reply is None:
                    return
                if isinstance(reply, Exception):
                    raise reply
                yield _CODEC.decode(reply, method.reply_type)
        finally:
            pump.cancel()
            watch.cancel()

    async def _pump(
        self,
        process: Process,
        address: str,
        method: Method,
        data: bytes,
        put: Callable[[Any], None],
    ) -> None:
        """Run the handler at the target and carry its replies back."""
        await asyncio.sleep(self._latency_s)
        target = self._processes.get(address)
        if frozenset((process.address, address)) in self._silent:
            return
        if target is None or target.is_dead:
            put(_refused())
            return

        def reset() -> None:
            put(_broken())

        target.on_death.add(reset)
        try:
            await target.step()
            request = _CODEC.decode(data, method.request_type)
            async with aclosing(target.handlers[method](request)) as replies:
                async for reply in replies:
                    await target.step()
                    encoded = _CODEC.encode(reply, method.reply_type)
                    self.carry(address, process.address, put, encoded)
            await target.step()
            self.carry(address, process.address, put, None)
        except Exception as error:  # noqa: BLE001 - raised where the stream is read
            put(error)
        finally:
            target.on_death.discard(reset)

    async def _watch(
        self, address: str, is_silent: Callable[[], bool], queue: asyncio.Queue[Any]
    ) -> None:
        """Fail a stream whose peer was silent for three heartbeats."""
        silent_s = 0.0
        step_s = PEER_UNRESPONSIVE_AFTER_S / 3
        while silent_s < PEER_UNRESPONSIVE_AFTER_S:
            await asyncio.sleep(step_s)
            target = self._processes.get(address)
            is_paused = target is not None and target.is_paused
            silent_s = silent_s + step_s if is_paused or is_silent() else 0.0
        queue.put_nowait(_broken())
