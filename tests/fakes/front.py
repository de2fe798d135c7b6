"""A front over a scripted owner and sidecar."""

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
    """Owner and sidecar that answer every turn with `answer`.

    `failures` are raised by successive `run_turn` calls before one succeeds.
    """

    def __init__(self):
        self.answer = ANSWER
        self.failures = []
        self.turns = []
        self.ended = []
        self.attach_chunks = None
        self.error = None
        self.rate_limited = False
        # Turns commit after a repeat with emitted text has arrived.
        self.commit_after_report = False
        self.reported = asyncio.Event()

    async def run_turn(self, request):
        """Yield the events of a turn."""
        self.turns.append(request)
        if request.emitted_text:
            self.reported.set()
        yield m.TurnEvent(event=m.Admitted(call_id="c", sidecar_address="s"))
        if self.commit_after_report:
            await self.reported.wait()
        if self.failures:
            raise self.failures.pop(0)
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
        for chunk in self.attach_chunks or []:
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk

    async def open_program(self, request):
        """Accept a program."""
        return m.OpenProgramReply()

    async def end_program(self, request):
        """Record the end of a program."""
        self.ended.append(request)
        return m.EndProgramReply()

    async def read_program(self, request):
        """Return a running program."""
        return m.ReadProgramReply(state="running", turn_no=1)

    def admit(self, caller_id, tokens):
        """Refuse when told to."""
        if self.rate_limited:
            raise RateLimitedError("slow down", retry_after_ms=1500)


def front_context(owner):
    """Return a context that sends everything to `owner`."""
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
        admit_request=owner.admit,
        new_program_id=lambda parent: f"{parent or 'p-dakar-0001'}-{next(numbers)}",
        new_key=lambda: f"key{next(numbers):08d}",
        open_program=owner.open_program,
        end_program=owner.end_program,
        read_program=owner.read_program,
        run_turn=owner.run_turn,
        stream=owner.stream,
    )
