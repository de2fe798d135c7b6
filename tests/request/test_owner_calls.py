"""Guard against requests that fail or end at a former owner during a takeover."""

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
    """Read a program; return the reply and the peer calls.

    Each call uses the next of `owners` and `replies`; the last of each repeats.
    """
    calls = []

    async def call(address, method, request, timeout_s):
        calls.append((address, method))
        reply = replies.pop(0) if len(replies) > 1 else replies[0]
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def main():
        client = OwnerClient(
            address="here",
            local=FakeOwner(),
            owner_of=lambda program: owners.pop(0) if len(owners) > 1 else owners[0],
            call=call,
            stream=None,
            clock=LoopClock(loop=asyncio.get_running_loop()),
        )
        return await client.read_program(REQUEST)

    return run_virtual(main()), calls


def test_request_is_resent_to_the_next_owner():
    """A lost owner or the reply of a former owner must not fail the request."""
    not_owner = m.ReadProgramReply(error=to_wire_error(NotOwnerError("moved")))
    reply, calls = read(
        ["x", "", "y", "z"],
        [UnavailableError("gone"), not_owner, m.ReadProgramReply(state="running")],
    )
    assert reply.state == "running"
    assert calls == [("x", READ_PROGRAM), ("y", READ_PROGRAM), ("z", READ_PROGRAM)]


def test_unreachable_region_is_an_error_with_retry_after():
    """Without an owner the request must be refused instead of waiting forever."""
    with pytest.raises(RegionUnreachableError) as caught:
        read([""], [UnavailableError("gone")])
    assert caught.value.retry_after_ms == 1000
    assert caught.value.outcome == "not_run"
