"""Sidecar process over loopback with a stand-in engine."""

from __future__ import annotations

import asyncio
import os
import signal
from contextlib import asynccontextmanager

import aiohttp

from lentilroad.clock import SystemClock
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import start_server
from lentilroad.notifier import Notifier
from lentilroad.process.sidecar import run_sidecar, start_sidecar
from lentilroad.standins.engine import (
    EngineCosts,
    EngineStandIn,
    build_application,
    expected_text,
)
from lentilroad.wire import messages as m
from lentilroad.wire import services
from tests.fakes.http import serving


class _FakeEntry:
    """Entry that only receives heartbeats."""

    def __init__(self):
        self.heartbeats = []
        self.home_entries = []
        self._changed = Notifier()

    async def heartbeat(self, heartbeat):
        """Record the heartbeat."""
        self.heartbeats.append(heartbeat)
        self._changed.notify()
        return m.SidecarHeartbeatReply(
            entry_incarnation=1, home_entries=self.home_entries
        )

    async def wait_until(self, condition):
        """Wait until `condition` holds for the list of received heartbeats."""
        while not condition(self.heartbeats):
            await self._changed.wait()


@asynccontextmanager
async def _entry():
    entry = _FakeEntry()
    server = await start_server(
        {services.SIDECAR_HEARTBEAT: entry.heartbeat}, "127.0.0.1", 0
    )
    entry.address = server.address
    yield entry
    await server.close(grace_s=0.0)


def _arguments(base_url, entry):
    return {
        "upstream_id": "engine-1",
        "kind": "engine",
        "upstream_url": base_url,
        "names": ["model"],
        "region": "r",
        "availability_zone": "z",
        "entries": [entry.address],
    }


def _dispatch(call_id):
    message = m.ChatMessage(role="user", content=f"{call_id} [tokens=60]")
    return m.DispatchRequest(
        call_id=call_id,
        shard="r/0001",
        epoch=1,
        program_id="program-1",
        caller_id="caller-1",
        kind="chat",
        idempotent=True,
        priority=m.Priority(caller_id="caller-1"),
        model="model",
        messages=[message],
    )


async def test_sigterm_lets_a_running_call_finish():
    """Guards against a planned stop that interrupts a call or never finishes it."""
    costs = EngineCosts(step_s=0.005)
    engine = EngineStandIn(clock=SystemClock(), costs=costs)
    peers = PeerConnections(clock=SystemClock())
    async with _entry() as entry, serving(build_application(engine=engine)) as url:
        started = asyncio.get_running_loop().create_future()
        process = asyncio.ensure_future(
            run_sidecar(on_started=started.set_result, **_arguments(url, entry))
        )
        sidecar = await started
        await entry.wait_until(lambda heartbeats: heartbeats)
        assert entry.heartbeats[0].record.address == sidecar.address
        request = _dispatch("call-1")

        async def follow():
            stream = peers.stream(sidecar.address, services.DISPATCH, request, None)
            return [event.event async for event in stream]

        owner = asyncio.ensure_future(follow())
        attach = m.AttachRequest(call_id="call-1")
        text = ""
        stream = peers.stream(sidecar.address, services.ATTACH, attach, None)
        async for chunk in stream:
            if not text:
                os.kill(os.getpid(), signal.SIGTERM)
            text += chunk.text
        finished = (await owner)[-1]
        assert text == finished.text == expected_text("model", request.messages)
        await entry.wait_until(
            lambda heartbeats: heartbeats[-1].record.state == "draining"
        )
        release = m.ReleaseRequest(call_id="call-1", shard="r/0001", epoch=1)
        await peers.call(sidecar.address, services.RELEASE, release, 5.0)
        await process
        assert engine.executions == {"call-1": 1}
    await peers.close()


async def test_heartbeats_go_only_to_the_home_entries():
    """Guards against a sidecar that sends heartbeats to other than its home entries."""
    engine = EngineStandIn(clock=SystemClock())
    async with (
        _entry() as first,
        _entry() as second,
        serving(build_application(engine=engine)) as url,
    ):
        first.home_entries = second.home_entries = [second.address]
        sidecar = await start_sidecar(**_arguments(url, first))
        await second.wait_until(lambda heartbeats: heartbeats)
        count = len(first.heartbeats)
        await second.wait_until(lambda heartbeats: len(heartbeats) > 2)
        assert len(first.heartbeats) == count
        base = f"http://127.0.0.1:{sidecar.http_port}"
        async with aiohttp.ClientSession() as session:
            for path in ("/healthz", "/readyz"):
                async with session.get(base + path) as response:
                    assert response.status == 200
            async with session.get(base + "/status") as response:
                status = await response.json()
            assert status["home_entries"] == [second.address]
            sidecar.runner.start_draining()
            async with session.get(base + "/readyz") as response:
                assert response.status == 503
        await sidecar.close()
