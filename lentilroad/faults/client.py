"""Clients with a minimal front: they retry with the same key and relay output."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from random import Random
from typing import Any

import msgspec

from lentilroad.errors import LentilroadError, UnavailableError
from lentilroad.faults.network import Process, ProcessClock
from lentilroad.faults.world import REGION, SHARD_COUNT, World
from lentilroad.membership.program_id import new_program_id, shard_name
from lentilroad.wire import messages as m
from lentilroad.wire import services

REQUEST_DEADLINE_S = 15.0
RETRY_DELAY_S = 0.1
CALL_TIMEOUT_S = 1.0
MONEY_BUDGET_MICRO = 30


class Answer:
    """What one request has received so far."""

    def __init__(self) -> None:
        self.emitted = ""
        self.was_sent = False
        self.final: m.Committed | m.Failed | None = None


class Client:
    """One caller that runs programs.

    Parameters
    ----------
    world : World
        Processes to talk to.
    number : int
        Number of the client, part of everything it says.
    random : Random
        Source of its choices.
    """

    def __init__(self, *, world: World, number: int, random: Random) -> None:
        self._world = world
        self._random = random
        self.name = f"caller{number}"
        self._process = Process(address=f"10.0.9.{number}:9000")
        world.network.add(self._process)
        self._call = world.network.caller(self._process)
        self._stream = world.network.streamer(self._process)
        self._clock = ProcessClock(process=self._process)

    async def run(self, *, turns: int, sub_agents: int) -> None:
        """Open a program, run turns in it and in sub-agents, read it, end it."""
        shard = shard_name(REGION, self._random.randrange(SHARD_COUNT))
        root = new_program_id(REGION, shard, self._random)
        names = [root]
        budget = m.Budget(money_micro=MONEY_BUDGET_MICRO, tokens=100_000)
        await self._open(root, None, budget)
        for _ in range(sub_agents):
            names.append(new_program_id(REGION, shard, self._random))
            await self._open(names[-1], root, m.Budget())
        await asyncio.gather(*(self._run_turns(name, turns) for name in names))
        for name in names:
            await self._read(name, root)
        self._world.history.note("ending", program=root)
        await self._ask(
            services.END_PROGRAM,
            m.EndProgramRequest(caller_id=self.name, program_id=root),
        )
        self._world.history.note("ended", programs=names)

    async def _open(self, name: str, parent: str | None, budget: m.Budget) -> None:
        request = m.OpenProgramRequest(
            caller_id=self.name,
            program_id=name,
            parent_program_id=parent,
            budget=budget,
        )
        reply = await self._ask(services.OPEN_PROGRAM, request)
        self._world.history.note(
            "opened",
            program=name,
            root=parent or name,
            money_micro=MONEY_BUDGET_MICRO,
            error=reply.error.code if reply and reply.error else "",
        )

    async def _read(self, name: str, root: str) -> None:
        request = m.ReadProgramRequest(
            caller_id=self.name, program_id=name, with_history=True
        )
        reply = await self._ask(services.READ_PROGRAM, request)
        error = reply.error.code if reply and reply.error else ""
        self._world.history.note(
            "read",
            program=name,
            root=root,
            error=error if reply else "silent",
            contents=[message.content for message in reply.history] if reply else [],
            spent_money_micro=reply.spent.money_micro if reply else 0,
        )

    async def _run_turns(self, name: str, turns: int) -> None:
        running = []
        for number in range(turns):
            request = self._request(name, number)
            running.append(asyncio.create_task(self._turn(request)))
            chance = self._random.random()
            if chance < 0.2:
                # Through another entry, as a caller does after a timeout.
                repeat = self._turn(msgspec.structs.replace(request), delay_s=0.05)
                running.append(asyncio.create_task(repeat))
            if chance < 0.7:
                await asyncio.wait(running)
                await asyncio.sleep(self._random.choice((0.0, 0.1, 1.0, 3.0)))
        await asyncio.gather(*running)

    def _request(self, name: str, number: int) -> m.RunTurnRequest:
        content = f"{name[-6:]}:{number}"
        request = m.RunTurnRequest(
            caller_id=self.name,
            program_id=name,
            idempotency_key=f"k{number}",
            kind="chat",
            model="model",
            messages=[m.ChatMessage(role="user", content=content)],
            max_tokens=200,
            deadline_time_s=self._clock.time_s() + REQUEST_DEADLINE_S,
        )
        chance = self._random.random()
        if chance < 0.4:
            request.kind = "service"
            request.messages = []
            request.service = "booking"
            request.operation = "hold" if chance < 0.3 else "lookup"
            request.payload = content.encode()
        return request

    async def _ask(self, method: services.Method, request: Any) -> Any:
        """Send a unary request to the program's owner until one answers."""
        for _ in range(200):
            owner = self._owner_of(request.program_id)
            try:
                reply = await self._call(owner, method, request, CALL_TIMEOUT_S)
            except UnavailableError:
                reply = None
            if reply is not None:
                retry = reply.error is not None and reply.error.code in (
                    "not_owner",
                    "unavailable",
                )
                if not retry:
                    return reply
            await asyncio.sleep(RETRY_DELAY_S)
        return None

    def _owner_of(self, program_id: str) -> str:
        entries = [
            entry
            for entry in self._world.entries
            if not (entry.process.is_dead or entry.process.is_paused)
        ]
        if not entries:
            return ""
        try:
            return self._random.choice(entries).table.owner_of(program_id)
        except LentilroadError:
            return ""

    async def _turn(self, request: m.RunTurnRequest, *, delay_s: float = 0.0) -> None:
        await asyncio.sleep(delay_s)
        history = self._world.history
        content = request.payload.decode() or request.messages[0].content
        fields = {
            "program": request.program_id,
            "key": request.idempotency_key,
            "kind": request.kind,
            "operation": request.operation,
            "content": content,
        }
        history.note("request", deadline_s=self._deadline_s(request), **fields)
        answer = Answer()
        while answer.final is None and self._clock.time_s() < self._give_up_s(request):
            await self._try_once(request, answer)
            if answer.final is None:
                await asyncio.sleep(RETRY_DELAY_S)
        history.note("answer", **fields, **_describe(answer))

    def _deadline_s(self, request: m.RunTurnRequest) -> float:
        remaining_s = (request.deadline_time_s or 0.0) - self._clock.time_s()
        return round(self._clock.monotonic_s() + remaining_s, 6)

    def _give_up_s(self, request: m.RunTurnRequest) -> float:
        return (request.deadline_time_s or 0.0) + 1.0

    async def _try_once(self, request: m.RunTurnRequest, answer: Answer) -> None:
        """Follow a turn at its owner until its end or until a connection breaks."""
        owner = self._owner_of(request.program_id)
        if not owner:
            return
        request.emitted_text = answer.emitted
        output_lost = asyncio.Event()
        reader = asyncio.create_task(self._follow(owner, request, answer, output_lost))
        lost = asyncio.create_task(output_lost.wait())
        try:
            await asyncio.wait({reader, lost}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            reader.cancel()
            lost.cancel()
            await asyncio.gather(reader, lost, return_exceptions=True)

    async def _follow(
        self,
        owner: str,
        request: m.RunTurnRequest,
        answer: Answer,
        output_lost: asyncio.Event,
    ) -> None:
        attach: asyncio.Task[None] | None = None
        answer.was_sent = True
        try:
            async with aclosing(
                self._stream(owner, services.RUN_TURN, request, None)
            ) as messages:
                async for message in messages:
                    event = message.event
                    if isinstance(event, m.Committed | m.Failed):
                        if not _is_temporary(event):
                            answer.final = event
                        return
                    if attach is not None:
                        attach.cancel()
                    attach = asyncio.create_task(
                        self._relay(event, answer, output_lost)
                    )
        except UnavailableError:
            return
        finally:
            if attach is not None:
                attach.cancel()

    async def _relay(
        self, event: m.Admitted | m.Moved, answer: Answer, output_lost: asyncio.Event
    ) -> None:
        request = m.AttachRequest(call_id=event.call_id, offset=len(answer.emitted))
        try:
            async with aclosing(
                self._stream(event.sidecar_address, services.ATTACH, request, None)
            ) as chunks:
                async for chunk in chunks:
                    if chunk.error is None and chunk.offset == len(answer.emitted):
                        answer.emitted += chunk.text
        except UnavailableError:
            output_lost.set()


def _is_temporary(event: m.Committed | m.Failed) -> bool:
    return isinstance(event, m.Failed) and event.error.code == "not_owner"


def _describe(answer: Answer) -> dict[str, Any]:
    final = answer.final
    if final is None:
        outcome = "unknown" if answer.was_sent else "not_run"
        return {"outcome": outcome, "code": "no_owner", "emitted": answer.emitted}
    if isinstance(final, m.Failed):
        return {
            "outcome": final.error.outcome,
            "code": final.error.code,
            "emitted": answer.emitted,
        }
    return {
        "outcome": "committed",
        "code": "",
        "emitted": answer.emitted,
        "text": final.text or final.payload.decode(),
        "turn_no": final.turn_no,
    }
