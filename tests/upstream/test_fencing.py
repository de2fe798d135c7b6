"""Fencing of engine commands."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.adapters.engine import EngineCommand
from lentilroad.clock import LoopClock
from lentilroad.errors import StaleEpochError, UnavailableError
from lentilroad.standins.engine import EngineStandIn
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.upstream.fencing import CommandGate


def _command(value, fencing, kind="set_role"):
    return EngineCommand(kind=kind, value=value, fencing=fencing)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_old_command_never_replaces_a_newer_one(checks_fencing):
    """Guards against a delayed command that undoes a newer configuration."""

    async def run():
        clock = LoopClock(loop=asyncio.get_running_loop())
        engine = EngineStandIn(clock=clock, checks_fencing=checks_fencing)
        gate = CommandGate(engine=engine)
        await asyncio.gather(
            gate.send(_command("v1", 1, kind="load_version")),
            gate.send(_command("v2", 2, kind="load_version")),
        )
        with pytest.raises(StaleEpochError):
            await gate.send(_command("v1", 1, kind="load_version"))
        assert engine.version == "v2"
        assert [command.value for command in engine.commands] == ["v1", "v2"]

    run_virtual(run())


class _LostAnswerEngine(EngineStandIn):
    lost_answers = 0

    async def command(self, command):
        await super().command(command)
        if self.lost_answers:
            self.lost_answers -= 1
            raise UnavailableError("answer lost; send again", outcome="unknown")


def test_command_with_a_lost_answer_is_resent_before_the_next():
    """Guards against an unacknowledged command that is applied after a newer one."""

    async def run():
        clock = LoopClock(loop=asyncio.get_running_loop())
        engine = _LostAnswerEngine(clock=clock, checks_fencing=False)
        gate = CommandGate(engine=engine)
        engine.lost_answers = 1
        with pytest.raises(UnavailableError):
            await gate.send(_command("prefill", 1))
        await gate.send(_command("decode", 2))
        assert engine.role == "decode"
        assert [c.value for c in engine.commands] == ["prefill", "prefill", "decode"]

    run_virtual(run())


def test_standin_refuses_an_old_number_only_if_it_checks_fencing():
    """Guards against a stand-in that ignores its `checks_fencing` setting."""

    async def run():
        clock = LoopClock(loop=asyncio.get_running_loop())
        engine = EngineStandIn(clock=clock)
        await engine.command(_command("decode", 4))
        with pytest.raises(StaleEpochError):
            await engine.command(_command("prefill", 3))
        engine.checks_fencing = False
        await engine.command(_command("prefill", 3))
        assert engine.role == "prefill"

    run_virtual(run())
