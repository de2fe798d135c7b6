"""Stand-in of a sidecar with its upstream, with switchable faults."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from typing import Any, Literal

from lentilroad.errors import (
    LentilroadError,
    OverloadedError,
    StaleEpochError,
    UnavailableError,
    UpstreamError,
)
from lentilroad.faults.network import Process
from lentilroad.wire.convert import to_wire_error
from lentilroad.wire.messages import (
    Acknowledgement,
    AttachRequest,
    CancelRequest,
    ConfirmProgramsRequest,
    DispatchEvent,
    DispatchRequest,
    Finished,
    ForgetRequest,
    OutputChunk,
    Queued,
    Refused,
    ReleaseRequest,
    ResolveReply,
    ResolveRequest,
    SidecarRecord,
    Usage,
)
from lentilroad.wire.services import (
    ATTACH,
    CANCEL,
    CONFIRM_PROGRAMS,
    DISPATCH,
    FORGET,
    RELEASE,
    RESOLVE,
    Method,
)


@dataclass(slots=True, kw_only=True)
class _Entry:
    state: Literal["running", "done", "blocked"]
    text: str = ""
    finished: Finished | None = None
    error: LentilroadError | None = None
    task: asyncio.Task[None] | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def notify(self) -> None:
        """Wake whoever waits for output or for the end."""
        self.changed.set()
        self.changed = asyncio.Event()


def answer_to(request: DispatchRequest) -> str:
    """Return the answer that an upstream gives, a function of the conversation."""
    if request.kind == "service":
        return f"done:{request.operation}:{request.payload.decode()}"
    last = request.messages[-1].content if request.messages else ""
    last = last.partition(" ")[0]
    words = [f"{last}#{len(request.messages)}:{number}" for number in range(8)]
    return " ".join(words)


class StandinSidecar:
    """Run calls against an upstream that computes `answer_to`.

    Parameters
    ----------
    process : Process
        Process on the in-memory network.
    record : SidecarRecord
        Directory entry.
    step_s : float
        Time for each of the eight parts of an answer, in seconds.
    on_run : Callable, optional
        Told of each call that was sent to the upstream.
    """

    def __init__(
        self,
        *,
        process: Process,
        record: SidecarRecord,
        step_s: float = 0.05,
        on_run: Callable[[DispatchRequest], None] = lambda request: None,
    ) -> None:
        self.process = process
        self.record = record
        self.step_s = step_s
        self.on_run = on_run
        self.is_draining = False
        # Number of parts after which the upstream fails; None: it does not fail.
        self.fails_after: int | None = None
        self.refuses = False
        self.hangs = False
        # Programs that hold cache at the upstream.
        self.cached: set[str] = set()
        self.confirmed: list[str] = []
        self.cancelled: list[str] = []
        self.released: list[str] = []
        self._entries: dict[str, _Entry] = {}
        self._epochs: dict[str, int] = {}
        process.handlers = self.handlers()

    def handlers(self) -> dict[Method, Callable[..., Any]]:
        """Return the handlers of the sidecar's methods."""
        return {
            DISPATCH: self.dispatch,
            ATTACH: self.attach,
            RESOLVE: self.resolve,
            CANCEL: self.cancel,
            RELEASE: self.release,
            FORGET: self.forget,
            CONFIRM_PROGRAMS: self.confirm,
        }

    def _stale(self, shard: str, epoch: int) -> LentilroadError | None:
        if epoch < self._epochs.get(shard, 0):
            return StaleEpochError("a higher epoch is known; reload the shard map")
        self._epochs[shard] = epoch
        return None

    async def dispatch(
        self, request: DispatchRequest
    ) -> AsyncGenerator[DispatchEvent, None]:
        """Run a call or join it."""
        error = self._stale(request.shard, request.epoch) or self._refusal(request)
        if error is not None:
            yield DispatchEvent(event=Refused(error=to_wire_error(error)))
            return
        entry = self._entries.get(request.call_id)
        if entry is None:
            entry = _Entry(state="running", text=request.forced_prefix)
            entry.task = asyncio.create_task(self._run(request, entry))
            self._entries[request.call_id] = entry
        yield DispatchEvent(event=Queued())
        while entry.state == "running":
            await entry.changed.wait()
        yield DispatchEvent(event=_final(entry))

    def _refusal(self, request: DispatchRequest) -> LentilroadError | None:
        entry = self._entries.get(request.call_id)
        if entry is not None:
            if entry.state == "blocked":
                return UnavailableError("the call was blocked", outcome="not_run")
            return None
        if self.is_draining or self.refuses:
            return OverloadedError("send the call elsewhere", retry_after_ms=50)
        return None

    async def _run(self, request: DispatchRequest, entry: _Entry) -> None:
        await self.process.step()
        self.on_run(request)
        if request.kind == "chat":
            self.cached.add(request.program_id)
        answer = answer_to(request)
        parts = answer.split(" ")
        try:
            for number, part in enumerate(parts):
                if self.hangs:
                    await asyncio.get_running_loop().create_future()
                await asyncio.sleep(self.step_s)
                await self.process.step()
                if self.fails_after is not None and number >= self.fails_after:
                    raise UpstreamError("the upstream failed; try another one")
                produced = " ".join(parts[: number + 1])
                if len(produced) > len(entry.text):
                    entry.text = produced
                    entry.notify()
                del part
        except UpstreamError as error:
            entry.error = error
        else:
            entry.finished = _finished(request, answer)
        entry.state = "done"
        entry.notify()

    async def attach(self, request: AttachRequest) -> AsyncGenerator[OutputChunk, None]:
        """Yield the output from an offset on."""
        entry = self._entries.get(request.call_id)
        if entry is None:
            error = to_wire_error(UnavailableError("unknown call", outcome="unknown"))
            yield OutputChunk(offset=request.offset, text="", error=error)
            return
        offset = request.offset
        while True:
            changed = entry.changed
            text = entry.text[offset:]
            is_done = entry.state != "running"
            if text or is_done:
                yield OutputChunk(offset=offset, text=text, finished=is_done)
                offset += len(text)
            if is_done:
                return
            await changed.wait()

    async def resolve(self, request: ResolveRequest) -> ResolveReply:
        """Tell what became of a call; block it if it was never seen."""
        stale = self._stale(request.shard, request.epoch)
        if stale is not None:
            return ResolveReply(state="unknown", error=to_wire_error(stale))
        if request.incarnation != self.record.incarnation:
            return ResolveReply(state="unknown")
        entry = self._entries.get(request.call_id)
        if entry is None:
            self._entries[request.call_id] = _Entry(state="blocked")
            return ResolveReply(state="never_seen")
        if entry.state == "blocked":
            return ResolveReply(state="never_seen")
        if entry.state == "running":
            return ResolveReply(state="running")
        error = to_wire_error(entry.error) if entry.error else None
        return ResolveReply(state="done", finished=entry.finished, error=error)

    async def cancel(self, request: CancelRequest) -> Acknowledgement:
        """Cancel a call."""
        self.cancelled.append(request.call_id)
        entry = self._entries.get(request.call_id)
        if entry is not None and entry.task is not None and entry.state == "running":
            entry.task.cancel()
            entry.error = UpstreamError("the call was cancelled", outcome="unknown")
            entry.state = "done"
            entry.notify()
        return Acknowledgement()

    async def release(self, request: ReleaseRequest) -> Acknowledgement:
        """Note that the output is no longer needed."""
        self.released.append(request.call_id)
        return Acknowledgement()

    async def forget(self, request: ForgetRequest) -> Acknowledgement:
        """Drop a program's cache."""
        self.cached.discard(request.program_id)
        return Acknowledgement()

    async def confirm(self, request: ConfirmProgramsRequest) -> Acknowledgement:
        """Note programs that are under way."""
        self.confirmed.extend(request.program_ids)
        return Acknowledgement()


def _final(entry: _Entry) -> Finished | Refused:
    if entry.finished is not None:
        return entry.finished
    error = entry.error or UnavailableError("the call was blocked", outcome="not_run")
    return Refused(error=to_wire_error(error), text=entry.text)


def _finished(request: DispatchRequest, answer: str) -> Finished:
    if request.kind == "service":
        return Finished(
            usage=Usage(), finish_reason="stop", payload=answer.encode(), duration_s=0.1
        )
    prompt_tokens = sum(len(message.content) for message in request.messages)
    usage = Usage(
        prompt_tokens=prompt_tokens,
        completion_tokens=min(request.max_tokens, len(answer)),
    )
    return Finished(usage=usage, finish_reason="stop", text=answer, duration_s=0.4)
