"""Path from a caller to an upstream in one process, over real sockets."""

from __future__ import annotations

import random

import aiohttp
import pytest

from lentilroad.clock import SystemClock
from lentilroad.load.client import LoadClient
from lentilroad.load.workloads import NDENDE, generate_programs
from lentilroad.process.dev import DEV_CALLER_KEY, start_dev
from lentilroad.standins.engine import expected_text
from lentilroad.wire.messages import ChatMessage


def expected_answer(model, conversation, max_tokens):
    """Return the answer of the stand-in engine to a conversation."""
    messages = [ChatMessage(role=role, content=text) for role, text in conversation]
    return expected_text(model, messages, max_tokens=max_tokens)


@pytest.fixture
async def dev():
    """Return a running deployment."""
    deployment = await start_dev()
    yield deployment
    await deployment.close()


async def test_programs_run_from_caller_to_upstream(dev):
    """Guards against turns, operations and sub-agents that fail or run twice."""
    programs = generate_programs(deployment=NDENDE, count=4, seed=3, max_turns=4)
    async with aiohttp.ClientSession() as session:
        client = LoadClient(
            session=session,
            base_urls=[f"http://{dev.entry.settings.http_address}"],
            key=DEV_CALLER_KEY,
            clock=SystemClock(),
            random_source=random.Random(3),
            expected_answer=expected_answer,
        )
        results = [await client.run(program) for program in programs]
    assert [result.problems for result in results] == [[]] * len(programs)
    assert {result.state for result in results} == {"completed"}
    executions = [count for s in dev.services for count in s.executions.values()]
    assert set(executions) == {1}
