"""Bodies that instances receive for turns that continue a conversation."""

from __future__ import annotations

import asyncio
import random

from lentilroad.clock import SystemClock
from lentilroad.conversation.allowance import GrantManager
from lentilroad.conversation.turns import TurnManager
from lentilroad.standins.platform_worker import RunLog, WorkerStandIn, turn_output
from lentilroad.version.routes import Route, RouteKind
from tests.fakes.gateway import ATTEMPT_ID, instance, route_table, serving_gateway
from tests.fakes.turn_storage import TurnStorage

SAME_INPUT = b"the same bytes in every chain\x00\r\n"
TABLE = route_table(
    [
        Route(
            name="turns",
            host="h.example",
            prefix="/turn/",
            kind=RouteKind.STREAMING,
            services=(("svc", 1),),
            timeout_s=2.0,
            target_latency_s=0.5,
            target_event_gap_s=0.2,
            attempts=1,
            retains_conversation=True,
            retention_s=60.0,
        )
    ]
)


async def test_same_input_in_two_chains_follows_the_history_of_each() -> None:
    """Guard against a repeated request that gets the history of another chain.

    A caller may send the same path and the same input in several conversations.
    """
    log = RunLog()
    worker = WorkerStandIn(instance_id="i-0", log=log, source=random.Random(1))
    await worker.start("127.0.0.1")
    storage = TurnStorage()
    turns = TurnManager(
        storage=storage,  # type: ignore[arg-type]
        grant_manager=GrantManager(
            reserve=storage.reserve, confirm=storage.confirm, clock=SystemClock()
        ),
        clock=SystemClock(),
    )
    expected: dict[str, bytes] = {}
    async with serving_gateway(
        [instance(0, worker.address)], TABLE, turns=turns
    ) as gateway:

        async def send(request_id: str, body: bytes, previous: str = "") -> None:
            headers = {"Host": "h.example", ATTEMPT_ID: request_id}
            history = b""
            if previous:
                headers["Lentilroad-Previous-Turn"] = previous
                history = expected[previous] + turn_output(previous)
            expected[request_id] = history + body
            async with gateway.session.post(
                "/turn/same", headers=headers, data=body
            ) as response:
                assert response.status == 200
                await response.read()

        for chain in ("a", "b"):
            await send(f"{chain}1", f"first of {chain}\n".encode())
            await send(f"{chain}2", SAME_INPUT, previous=f"{chain}1")
            await send(f"{chain}3", SAME_INPUT, previous=f"{chain}2")
        await send("a4", SAME_INPUT, previous="a1")
        await send("c1", SAME_INPUT)
    worker.close()
    # The closed connections end before the event loop does.
    await asyncio.sleep(0.01)
    received = {request_id: runs[0].body for request_id, runs in log.runs.items()}
    assert received == expected
