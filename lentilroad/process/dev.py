"""Development deployment: all roles and stand-in upstreams in one process."""

from __future__ import annotations

import asyncio
import hashlib
import json
import signal
import socket
import sys
from importlib.resources import files
from random import Random

from aiohttp import web

from lentilroad.clock import Clock, SystemClock
from lentilroad.process.entry import Entry, start_entry
from lentilroad.process.settings import KeyValueSettings, Settings
from lentilroad.process.sidecar import Sidecar, start_sidecar
from lentilroad.standins import engine, key_value, service
from lentilroad.version.model import Configuration
from lentilroad.version.text import compile_text

DEV_HOST = "127.0.0.1"
DEV_CALLER_KEY = "example-ndende-key"
DEV_OPERATOR_KEY = "example-operator-key"
READY_POLL_INTERVAL_S = 0.05


class DevDeployment:
    """Entry, sidecars and stand-ins in one process; created by `start_dev`."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._runners: list[web.AppRunner] = []
        self.sidecars: list[Sidecar] = []
        self.engines: list[engine.EngineStandIn] = []
        self.services: list[service.ServiceStandIn] = []
        self.entry: Entry | None = None

    async def serve_standin(
        self, application: web.Application, *, port: int = 0
    ) -> str:
        """Serve the HTTP application of a stand-in; return its base URL."""
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=1.0)
        await runner.setup()
        await web.TCPSite(runner, DEV_HOST, port).start()
        self._runners.append(runner)
        return f"http://{DEV_HOST}:{runner.addresses[0][1]}"

    async def start_upstreams(self, configuration: Configuration) -> None:
        """Start one stand-in and one sidecar for each model and service."""
        region = next(iter(configuration.regions))
        zone = next(iter(configuration.regions[region].availability_zones))
        for model in configuration.models:
            standin = engine.EngineStandIn(clock=self._clock)
            self.engines.append(standin)
            url = await self.serve_standin(engine.build_application(engine=standin))
            names = [model] + [
                name
                for name, adapter in configuration.adapters.items()
                if adapter.model == model
            ]
            await self._start_sidecar("engine", model, url, names, region, zone)
        for name in configuration.services:
            standin = service.ServiceStandIn(clock=self._clock)
            self.services.append(standin)
            url = await self.serve_standin(service.build_application(service=standin))
            await self._start_sidecar("service", name, url, [name], region, zone)

    async def _start_sidecar(
        self, kind: str, name: str, url: str, names: list[str], region: str, zone: str
    ) -> None:
        assert self.entry is not None
        sidecar = await start_sidecar(
            upstream_id=f"{name}-1",
            kind=kind,
            upstream_url=url,
            names=names,
            region=region,
            availability_zone=zone,
            entries=[self.entry.settings.address],
            clock=self._clock,
        )
        self.sidecars.append(sidecar)

    async def wait_ready(self) -> None:
        """Wait until the entry is ready and has registered every sidecar."""
        assert self.entry is not None
        while not self.entry.ready or len(self.entry.directory.records()) < len(
            self.sidecars
        ):
            await self._clock.sleep(READY_POLL_INTERVAL_S)

    async def close(self) -> None:
        """Drain and stop the entry, the sidecars and the stand-ins."""
        if self.entry is not None:
            await self.entry.drain()
        for sidecar in self.sidecars:
            await sidecar.drain()
            await sidecar.close()
        if self.entry is not None:
            await self.entry.close()
        for runner in self._runners:
            await runner.cleanup()


async def start_dev(
    *, port: int = 0, peer_port: int = 0, clock: Clock | None = None
) -> DevDeployment:
    """Start a deployment with the shipped example configuration.

    Parameters
    ----------
    port : int
        Port of the callers' interface on the loopback address; 0 picks a free one.
    peer_port : int
        Port on which the entry serves its peers; 0 picks a free one.
    clock : Clock, optional
        Source of time.

    Returns
    -------
    DevDeployment
        The running deployment.
    """
    clock = clock or SystemClock()
    text = files("lentilroad.examples").joinpath("ndende.yaml").read_text("utf-8")
    configuration = compile_text(text, file="ndende.yaml")
    dev = DevDeployment(clock=clock)
    key_value_url = await dev.serve_standin(key_value.build_application())
    region = next(iter(configuration.regions))
    zone = next(iter(configuration.regions[region].availability_zones))
    settings = Settings(
        role="entry",
        address=f"{DEV_HOST}:{peer_port or free_port()}",
        http_address=f"{DEV_HOST}:{port or free_port()}",
        region=region,
        availability_zone=zone,
        key_value=KeyValueSettings(endpoints=[key_value_url]),
        operator_key_sha256=[hashlib.sha256(DEV_OPERATOR_KEY.encode()).hexdigest()],
    )
    dev.entry = await start_entry(settings=settings, clock=clock, random=Random())
    await dev.entry.store.apply(text, author="dev", based_on_version=0)
    await dev.start_upstreams(configuration)
    await dev.wait_ready()
    return dev


def free_port() -> int:
    """Return a loopback port that is currently free."""
    with socket.create_server((DEV_HOST, 0)) as listener:
        return listener.getsockname()[1]


async def run_dev(*, port: int) -> None:
    """Start a deployment, print its addresses and keys, and run until a signal."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    dev = await start_dev(port=port)
    assert dev.entry is not None
    base_url = f"http://{dev.entry.settings.http_address}/v1"
    lines = [
        f"callers' interface  {base_url}",
        f"peer address        {dev.entry.settings.address}",
        *(f"sidecar             {sidecar.address}" for sidecar in dev.sidecars),
        "",
        f"curl {base_url}/chat/completions "
        f"-H 'Authorization: Bearer {DEV_CALLER_KEY}' "
        "-H 'Content-Type: application/json' "
        '-d \'{"model":"partner-coach","messages":'
        '[{"role":"user","content":"hello"}]}\'',
        "",
        json.dumps(
            {
                "base_url": base_url,
                "key": DEV_CALLER_KEY,
                "operator_key": DEV_OPERATOR_KEY,
            }
        ),
    ]
    sys.stdout.write("\n".join(lines) + "\n")
    sys.stdout.flush()
    await stop.wait()
    await dev.close()
