"""Requests must reach the owner, also while ownership changes."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.clock import LoopClock
from lentilroad.errors import NotOwnerError, RegionUnreachableError, UnavailableError
from lentilroad.request.owner_calls import OwnerClient
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.wire import messages as m
from lentilroad.wire.convert import to_wire_error
from lentilroad.wire.services import READ_PROGRAM
from tests.fakes.front import FakeOwner

REQUEST = m.ReadProgramRequest(caller_id="a", program_id="p")


def read(owners, replies):
    """Read a program while `owners` and `replies` are used up one by one."""
    asked = []

    async def call(address, method, request, timeout_s):
        asked.append((address, method))
        reply = replies.pop(0) if len(replies) > 1 else replies[0]
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def main():
        calls = OwnerClient(
            address="here",
            local=FakeOwner(),
            owner_of=lambda program: owners.pop(0) if len(owners) > 1 else owners[0],
            call=call,
            stream=None,
            clock=LoopClock(loop=asyncio.get_running_loop()),
        )
        return await calls.read_program(REQUEST)

    return run_virtual(main()), asked


def test_asks_the_next_owner_after_a_loss():
    """A reply of a former owner must not reach the caller."""
    not_owner = m.ReadProgramReply(error=to_wire_error(NotOwnerError("moved")))
    reply, asked = read(
        ["x", "", "y", "z"],
        [UnavailableError("gone"), not_owner, m.ReadProgramReply(state="running")],
    )
    assert reply.state == "running"
    assert asked == [("x", READ_PROGRAM), ("y", READ_PROGRAM), ("z", READ_PROGRAM)]


def test_gives_up_with_a_time_to_retry():
    """An unreachable region must be an answer and not an endless wait."""
    with pytest.raises(RegionUnreachableError) as caught:
        read([""], [UnavailableError("gone")])
    assert caught.value.retry_after_ms == 1000
    assert caught.value.outcome == "not_run"
