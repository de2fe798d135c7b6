"""Call runner with a stand-in upstream, for virtual time."""

from __future__ import annotations

import asyncio

from lentilroad.clock import LoopClock
from lentilroad.standins.engine import EngineCosts, EngineStandIn
from lentilroad.standins.service import ServiceStandIn
from lentilroad.upstream.calls import CallRunner
from lentilroad.upstream.fifo import FifoQueue
from lentilroad.upstream.limits import CallLimits
from lentilroad.wire import messages as m

SHARD = "r/0001"
INCARNATION = 7


class SidecarFake:
    """Call runner, its stand-in upstream, and requests that an owner sends to it."""

    def __init__(
        self, *, kind="engine", limit=32, queue_limit=256, costs=None, ledger=None
    ):
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.engine = self.service = None
        if kind == "engine":
            self.engine = EngineStandIn(clock=self.clock, costs=costs or EngineCosts())
        else:
            self.service = ServiceStandIn(clock=self.clock)
        self.runner = CallRunner(
            record=m.SidecarRecord(
                address="127.0.0.1:1",
                upstream_id="upstream-1",
                kind=kind,
                names=["model"] if kind == "engine" else ["bookings"],
                region="r",
                availability_zone="z",
                incarnation=INCARNATION,
            ),
            clock=self.clock,
            queue=FifoQueue(clock=self.clock, limit=limit, queue_limit=queue_limit),
            limit=lambda: limit,
            engine=self.engine,
            service=self.service,
            ledger=ledger,
            limits=CallLimits(first_output_s=20.0),
        )
        self.runner.start()

    def request(self, call_id="call-1", *, tokens=20, **fields):
        """Return a Dispatch request for this upstream."""
        values = {
            "call_id": call_id,
            "shard": SHARD,
            "epoch": 1,
            "program_id": "program-1",
            "caller_id": "caller-1",
            "idempotent": self.engine is not None,
            "priority": m.Priority(caller_id="caller-1"),
            "incarnation": INCARNATION,
        }
        if self.engine is not None:
            content = f"question of {call_id} [tokens={tokens}]"
            message = m.ChatMessage(role="user", content=content)
            values |= {
                "kind": "chat",
                "model": "model",
                "messages": [message],
                "max_tokens": tokens,
            }
        else:
            values |= {
                "kind": "service",
                "service": "bookings",
                "operation": "book",
                "payload": b'{"floor": 2}',
            }
        return m.DispatchRequest(**(values | fields))

    async def dispatch(self, request):
        """Follow a call to its end and return its events."""
        return [event.event async for event in self.runner.dispatch(request)]

    def start(self, request):
        """Follow a call in a task."""
        return asyncio.ensure_future(self.dispatch(request))

    async def attach(self, call_id, *, offset=0):
        """Read a call's output to its end and return the chunks."""
        request = m.AttachRequest(call_id=call_id, offset=offset)
        return [chunk async for chunk in self.runner.attach(request)]

    async def resolve(self, call_id, *, epoch=1, incarnation=INCARNATION):
        """Resolve the state of a call."""
        return await self.runner.resolve(
            m.ResolveRequest(
                call_id=call_id, shard=SHARD, epoch=epoch, incarnation=incarnation
            )
        )

    async def cancel(self, call_id, *, epoch=1):
        """Cancel a call."""
        request = m.CancelRequest(call_id=call_id, shard=SHARD, epoch=epoch)
        return await self.runner.cancel(request)

    async def release(self, call_id, *, epoch=1):
        """Release a call's output."""
        request = m.ReleaseRequest(call_id=call_id, shard=SHARD, epoch=epoch)
        return await self.runner.release(request)

    async def forget(self, program_id="program-1", *, epoch=1):
        """Release the memory of a program."""
        request = m.ForgetRequest(program_id=program_id, shard=SHARD, epoch=epoch)
        return await self.runner.forget(request)

    async def confirm(self, *program_ids):
        """Confirm programs as active."""
        return await self.runner.confirm_programs(
            m.ConfirmProgramsRequest(
                shard=SHARD, epoch=1, program_ids=list(program_ids)
            )
        )
