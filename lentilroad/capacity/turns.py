"""Cost of a turn at its owner and at the standby."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from lentilroad.capacity.fit import Slope, fit_slope
from lentilroad.capacity.measure import encoded_bytes, run_slope
from lentilroad.clock import SystemClock
from lentilroad.membership.program_id import shard_of
from lentilroad.program.owner import ProgramOwner
from lentilroad.program.standby import ProgramStandby
from lentilroad.wire import messages as m
from lentilroad.wire.services import REPLICATE, Method

OWNER = "10.0.0.1:7400"
STANDBY = "10.0.0.2:7400"
SIDECAR = "10.0.0.3:7400"
TURNS_PER_PROGRAM = 10
# A turn of a chat: what a person or tool adds, and the answer.
PROMPT_TOKENS = 60
ANSWER_TOKENS = 240


class _Table:
    """Shard table whose only shard is owned by one entry."""

    def __init__(self, address: str) -> None:
        self._address = address

    def record(self, shard: str) -> m.ShardRecord:
        return m.ShardRecord(epoch=1, owner=OWNER, standby=STANDBY)

    def owned_epoch(self, shard: str) -> int | None:
        return 1 if self._address == OWNER else None

    def accepts(self, shard: str, epoch: int, owner: str) -> bool:
        return True


@dataclass(slots=True, kw_only=True)
class _Sent:
    messages: int = 0
    payload_bytes: int = 0


class _Pair:
    """Owner and standby connected in memory, with a sidecar that answers at once."""

    def __init__(self, *, with_standby: bool) -> None:
        self.sent = _Sent()
        clock = SystemClock()
        self._with_standby = with_standby
        self._standby = ProgramStandby(
            address=STANDBY, shard_table=_Table(STANDBY), clock=clock
        )
        self.owner = ProgramOwner(
            address=OWNER,
            shard_table=_Table(OWNER),
            standby=ProgramStandby(
                address=OWNER, shard_table=_Table(OWNER), clock=clock
            ),
            call=self._call,
            stream=self._stream,
            choose_upstream=self._choose,
            shard_of=shard_of,
            clock=clock,
            random=Random(1),
        )

    async def _call(
        self, address: str, method: Method, request: Any, timeout_s: float
    ) -> Any:
        self.sent.messages += 1
        self.sent.payload_bytes += encoded_bytes(request)
        if method is not REPLICATE:
            return m.Acknowledgement()
        if self._with_standby:
            return await self._standby.replicate(request)
        return m.ReplicateReply(accepted=True, highest_epoch=1)

    async def _stream(
        self, address: str, method: Method, request: Any, timeout_s: float | None
    ) -> AsyncIterator[Any]:
        yield m.DispatchEvent(event=m.Queued())
        yield m.DispatchEvent(event=m.Started())
        usage = m.Usage(prompt_tokens=PROMPT_TOKENS, completion_tokens=ANSWER_TOKENS)
        finished = m.Finished(
            usage=usage, finish_reason="stop", text="answer " * ANSWER_TOKENS
        )
        yield m.DispatchEvent(event=finished)

    def _choose(self, **question: Any) -> m.SidecarRecord:
        return m.SidecarRecord(
            address=SIDECAR,
            upstream_id="u",
            kind="engine",
            names=["model"],
            region="region-1",
            availability_zone="z",
            incarnation=1,
        )

    async def run_turns(self, count: int) -> None:
        """Run turns, ten for each program."""
        for number in range(count):
            program_id = f"p-region-1-0001-{number // TURNS_PER_PROGRAM:020x}"
            if number % TURNS_PER_PROGRAM == 0:
                await self.owner.open_program(
                    m.OpenProgramRequest(caller_id="a", program_id=program_id)
                )
            request = m.RunTurnRequest(
                caller_id="a",
                program_id=program_id,
                idempotency_key=str(number),
                kind="chat",
                model="model",
                messages=[
                    m.ChatMessage(role="user", content="prompt " * PROMPT_TOKENS)
                ],
                max_tokens=ANSWER_TOKENS,
            )
            async for event in self.owner.run_turn(request):
                last = event.event
            assert isinstance(last, m.Committed), last
        await self.owner.close()


def turn_costs(sizes: Sequence[int] = (200, 400, 800)) -> tuple[Slope, Slope, Slope]:
    """Measure turns.

    Returns
    -------
    tuple of Slope
        Processor time of a turn at the owner; the same with the standby in the same
        process; bytes that a turn sends for replication and release.
    """

    async def owner_only(count: int) -> None:
        await _Pair(with_standby=False).run_turns(count)

    async def with_standby(count: int) -> None:
        await _Pair(with_standby=True).run_turns(count)

    async def sent_bytes(count: int) -> float:
        pair = _Pair(with_standby=False)
        await pair.run_turns(count)
        return float(pair.sent.payload_bytes)

    return (
        run_slope("turn at the owner", owner_only, sizes),
        run_slope("turn at the owner and the standby", with_standby, sizes),
        fit_slope(
            "turn's control messages",
            "B",
            sizes,
            [asyncio.run(sent_bytes(size)) for size in sizes],
        ),
    )
