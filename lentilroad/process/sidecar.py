"""Sidecar process, which runs beside one upstream."""

from __future__ import annotations

import asyncio
import signal
import ssl
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from typing import Literal

import eliot
import msgspec
from aiohttp import web

from lentilroad.adapters.http_engine import HttpEngine
from lentilroad.adapters.service import HttpService
from lentilroad.clock import Clock, SystemClock
from lentilroad.connection.listener import split_address
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import PeerServer, start_server
from lentilroad.process.heartbeats import HeartbeatSender
from lentilroad.process.settings import Settings
from lentilroad.process.tls import require_tls_or_loopback, tls_files
from lentilroad.process.tracing import Tracing, traced_stream
from lentilroad.request.concurrency import ConcurrencyLimit
from lentilroad.request.queue import CallQueue
from lentilroad.upstream.calls import CallRunner
from lentilroad.upstream.limits import CallLimits
from lentilroad.version.distribution import ConfigurationDistributor
from lentilroad.version.model import ConfigurationVersion
from lentilroad.wire.messages import SidecarHeartbeatReply, SidecarRecord
from lentilroad.wire.services import DISPATCH

_SERVER_CLOSE_GRACE_S = 0.2
_SERVE_AFTER_DRAIN_S = 2.0


class Sidecar:
    """One running sidecar; created by `start_sidecar`."""

    def __init__(
        self,
        *,
        runner: CallRunner,
        server: PeerServer,
        http: web.AppRunner,
        heartbeats: HeartbeatSender,
        tasks: Sequence[asyncio.Future[None]],
        distribution: ConfigurationDistributor,
        tracing: Tracing,
        connections: PeerConnections,
        upstream: HttpEngine | HttpService,
    ) -> None:
        self.runner = runner
        self.heartbeats = heartbeats
        self._server = server
        self._http = http
        self.distribution = distribution
        self._tracing = tracing
        self._tasks = tasks
        self._connections = connections
        self._upstream = upstream

    @property
    def address(self) -> str:
        """Address at which entries call the sidecar."""
        return self._server.address

    @property
    def http_port(self) -> int:
        """Port of the health endpoints."""
        return int(self._http.addresses[0][1])

    async def drain(self) -> None:
        """Refuse new calls, notify the entries, and wait for the accepted calls."""
        self.runner.start_draining()
        self.heartbeats.send_now()
        await self.runner.drained()
        await self.runner.maintenance.release_all()
        # An owner that takes over now still queries the outcome of the last calls;
        # without a reply they would count as `unknown`.
        await asyncio.sleep(_SERVE_AFTER_DRAIN_S)

    async def close(self) -> None:
        """Stop without waiting for calls."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.runner.close()
        await self._server.close(grace_s=_SERVER_CLOSE_GRACE_S)
        await self._connections.close()
        await self._http.cleanup()
        await self._upstream.close()
        self._tracing.shutdown()


async def start_sidecar(
    *,
    upstream_id: str,
    kind: Literal["engine", "service"],
    upstream_url: str,
    names: Sequence[str],
    region: str,
    availability_zone: str,
    entries: Sequence[str],
    host: str = "127.0.0.1",
    port: int = 0,
    http_port: int = 0,
    incarnation: int | None = None,
    server_ssl_context: ssl.SSLContext | None = None,
    client_ssl_context: ssl.SSLContext | None = None,
    clock: Clock | None = None,
    concurrency: ConcurrencyLimit | None = None,
    limits: CallLimits | None = None,
    data_folder: Path | None = None,
    trace_exporter_url: str | None = None,
    on_reply: Callable[[str, SidecarHeartbeatReply], None] | None = None,
) -> Sidecar:
    """Start a sidecar in the running event loop.

    Parameters
    ----------
    upstream_id : str
        Name of the upstream in the entries' directories.
    kind : {"engine", "service"}
        Protocol that the upstream speaks.
    upstream_url : str
        Base address of the upstream.
    names : sequence of str
        Models of an engine, or names of services.
    region, availability_zone : str
        Location of the sidecar.
    entries : sequence of str
        Addresses of the entries that receive the first heartbeats.
    host : str, optional
        IP address to listen on, at which entries connect.
    port, http_port : int, optional
        Ports for peers and for health endpoints; 0 picks a free one.
    incarnation : int, optional
        Number that increases with every start; the Unix time in milliseconds when
        omitted.
    server_ssl_context, client_ssl_context : ssl.SSLContext, optional
        Contexts for mutual TLS between lentilroad processes.
    clock : Clock, optional
        Source of time.
    concurrency : ConcurrencyLimit, optional
        Limit of concurrent calls.
    limits : CallLimits, optional
        Timeouts of calls.
    data_folder : Path, optional
        Folder that stores the configuration in force across restarts.
    trace_exporter_url : str, optional
        URL that receives spans by OTLP over HTTP.
    on_reply : callable, optional
        Called with an entry's address and its reply to a heartbeat.

    Returns
    -------
    Sidecar
        The running sidecar.
    """
    clock = clock or SystemClock()
    record = SidecarRecord(
        address="",
        upstream_id=upstream_id,
        kind=kind,
        names=list(names),
        region=region,
        availability_zone=availability_zone,
        incarnation=incarnation or int(clock.time_s() * 1000),
    )
    engine = HttpEngine(base_url=upstream_url) if kind == "engine" else None
    service = HttpService(base_url=upstream_url) if kind == "service" else None
    concurrency = concurrency or ConcurrencyLimit(clock=clock)
    runner = CallRunner(
        record=record,
        clock=clock,
        queue=CallQueue(clock=clock, concurrency=concurrency),
        limit=lambda: concurrency.limit,
        engine=engine,
        service=service,
        limits=limits,
    )
    connections = PeerConnections(clock=clock, ssl_context=client_ssl_context)
    distribution = ConfigurationDistributor(
        call=connections.call,
        clock=clock,
        random=Random(),
        peers=lambda: heartbeats.home_entries,
        data_folder=data_folder,
    )

    def on_version(version: ConfigurationVersion) -> None:
        runner.config_version = version.version

    def on_entry_reply(address: str, reply: SidecarHeartbeatReply) -> None:
        distribution.handle_peer_version(address, reply.config_version)
        if on_reply is not None:
            on_reply(address, reply)

    distribution.on_change(on_version)
    tracing = Tracing(role="sidecar", otlp_endpoint=trace_exporter_url)
    handlers = {**runner.handlers(), **distribution.handlers()}
    handlers[DISPATCH] = traced_stream(tracing, "sidecar call", runner.dispatch)
    server = await start_server(handlers, host, port, server_ssl_context)
    record.address = server.address
    runner.start()
    heartbeats = HeartbeatSender(
        clock=clock,
        entries=entries,
        call=connections.call,
        report=runner.report,
        on_reply=on_entry_reply,
    )
    http = await _start_http(runner, heartbeats, host, http_port)
    eliot.log_message(
        message_type="sidecar:started",
        address=record.address,
        upstream_id=upstream_id,
    )
    return Sidecar(
        runner=runner,
        server=server,
        http=http,
        heartbeats=heartbeats,
        tasks=[
            asyncio.ensure_future(heartbeats.run_forever()),
            asyncio.ensure_future(distribution.run()),
        ],
        distribution=distribution,
        tracing=tracing,
        connections=connections,
        upstream=engine or service,
    )


async def run_sidecar(
    *, on_started: Callable[[Sidecar], None] | None = None, **settings: object
) -> None:
    """Run a sidecar until SIGTERM or SIGINT, then drain it and stop.

    Parameters
    ----------
    on_started : callable, optional
        Called with the running sidecar.
    **settings
        Keyword arguments of `start_sidecar`.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    sidecar = await start_sidecar(**settings)
    if on_started is not None:
        on_started(sidecar)
    await stop.wait()
    eliot.log_message(message_type="sidecar:draining", address=sidecar.address)
    await sidecar.drain()
    await sidecar.close()
    eliot.log_message(message_type="sidecar:stopped", address=sidecar.address)


async def _start_http(
    runner: CallRunner, heartbeats: HeartbeatSender, host: str, port: int
) -> web.AppRunner:
    async def healthz(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def readyz(request: web.Request) -> web.Response:
        if runner.record.state != "serving":
            return web.Response(status=503, text="draining\n")
        if not heartbeats.has_recent_reply():
            return web.Response(status=503, text="no entry answers\n")
        return web.Response(text="ok\n")

    async def status(request: web.Request) -> web.Response:
        body = {
            "report": runner.report(),
            "home_entries": heartbeats.home_entries,
            "programs": len(runner.programs.programs),
            "records": len(runner.ledger),
        }
        return web.Response(
            body=msgspec.json.encode(body), content_type="application/json"
        )

    application = web.Application()
    application.add_routes(
        [
            web.get("/healthz", healthz),
            web.get("/readyz", readyz),
            web.get("/status", status),
        ]
    )
    http = web.AppRunner(application, access_log=None)
    await http.setup()
    await web.TCPSite(http, host, port).start()
    return http


async def run_sidecar_from_settings(settings: Settings) -> None:
    """Run a sidecar with settings from a file until SIGTERM or SIGINT."""
    assert settings.upstream is not None
    tls = tls_files(settings)
    host, port = split_address(settings.address)
    require_tls_or_loopback(host=host, tls_files=tls)
    http_port = 0
    if settings.http_address is not None:
        http_port = split_address(settings.http_address)[1]
    await run_sidecar(
        upstream_id=settings.upstream.upstream_id,
        kind=settings.upstream.kind,
        upstream_url=settings.upstream.url,
        names=settings.upstream.names,
        region=settings.region,
        availability_zone=settings.availability_zone,
        entries=settings.seed_entries,
        host=host,
        port=port,
        http_port=http_port,
        data_folder=settings.data_folder,
        trace_exporter_url=settings.observability.trace_exporter_url,
        server_ssl_context=tls.server if tls else None,
        client_ssl_context=tls.client if tls else None,
    )
