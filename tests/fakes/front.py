"""HTTP handler context whose owner and sidecar are scripted by the test."""

from __future__ import annotations

import asyncio
import hashlib
import itertools

from lentilroad.clock import SystemClock
from lentilroad.errors import RateLimitedError
from lentilroad.process.metrics import StatsdMetrics
from lentilroad.process.tracing import Tracing
from lentilroad.request.context import FrontContext
from lentilroad.wire import messages as m

KEY = "key-for-tests"
ANSWER = "one two three four"


class FakeOwner:
    """Owner and sidecar that commit every turn with the text `answer`.

    Each `run_turn` call raises and removes the first of `run_turn_errors`, if any.
    `output_chunks` is the sidecar's output; exceptions in it are raised.
    """

    def __init__(self):
        self.answer = ANSWER
        self.run_turn_errors = []
        self.turn_requests = []
        self.end_requests = []
        self.output_chunks = None
        self.error = None
        self.rate_limited = False
        # Delays commits until a resent request with emitted text has arrived.
        self.commit_after_resend = False
        self.resent = asyncio.Event()

    async def run_turn(self, request):
        """Yield the events of a turn."""
        self.turn_requests.append(request)
        if request.emitted_text:
            self.resent.set()
        yield m.TurnEvent(event=m.Admitted(call_id="c", sidecar_address="s"))
        if self.commit_after_resend:
            await self.resent.wait()
        if self.run_turn_errors:
            raise self.run_turn_errors.pop(0)
        if self.error is not None:
            yield m.TurnEvent(event=m.Failed(error=self.error))
            return
        yield m.TurnEvent(
            event=m.Committed(
                turn_no=1,
                usage=m.Usage(prompt_tokens=3, completion_tokens=4),
                finish_reason="stop",
                text=self.answer,
                payload=b'{"booked":true}',
            )
        )

    async def stream(self, address, method, request, timeout_s):
        """Yield the sidecar's output."""
        for chunk in self.output_chunks or []:
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk

    async def open_program(self, request):
        """Accept a program."""
        return m.OpenProgramReply()

    async def end_program(self, request):
        """Record the end of a program."""
        self.end_requests.append(request)
        return m.EndProgramReply()

    async def read_program(self, request):
        """Return a running program."""
        return m.ReadProgramReply(state="running", turn_no=1)

    def admit_request(self, caller_id, tokens):
        """Refuse the request if `rate_limited` is set."""
        if self.rate_limited:
            raise RateLimitedError("slow down", retry_after_ms=1500)


def front_context(owner):
    """Return a context that sends all requests to `owner`."""
    numbers = itertools.count()
    hashes = {hashlib.sha256(KEY.encode()).hexdigest(): "caller-a"}
    return FrontContext(
        clock=SystemClock(),
        metrics=StatsdMetrics(address=None),
        tracing=Tracing(role="entry"),
        find_caller=hashes.get,
        list_models=lambda caller_id: ["tango"],
        has_operation=lambda caller_id, *names: names == ("floors", "book"),
        fill_budget=lambda caller_id, budget: budget,
        completion_tokens_max=lambda: 1000,
        admit_request=owner.admit_request,
        new_program_id=lambda parent: f"{parent or 'p-dakar-0001'}-{next(numbers)}",
        new_key=lambda: f"key{next(numbers):08d}",
        open_program=owner.open_program,
        end_program=owner.end_program,
        read_program=owner.read_program,
        run_turn=owner.run_turn,
        stream=owner.stream,
    )
