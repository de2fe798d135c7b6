"""Entry process: serves callers and owns the programs of its shards."""

from __future__ import annotations

import asyncio
import secrets
import signal
from collections.abc import Callable
from contextlib import suppress
from random import Random
from types import SimpleNamespace
from typing import Any

import eliot
from aiohttp import web

from lentilroad.adapters.etcd import EtcdKeyValueStore
from lentilroad.adapters.instance_list import HttpInstanceList
from lentilroad.clock import Clock, SystemClock
from lentilroad.connection.listener import split_address
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import PeerServer, start_server
from lentilroad.errors import UnavailableError
from lentilroad.membership.leaving import follow_instance_list
from lentilroad.membership.members import EntryMembership
from lentilroad.membership.program_id import (
    new_program_id,
    parse_shard,
    shard_of,
)
from lentilroad.membership.shards import ShardTable
from lentilroad.membership.sidecars import SidecarDirectory
from lentilroad.process.caller_limits import CallerAdmission
from lentilroad.process.configuration_views import ConfigurationView
from lentilroad.process.entry_work import sweep_history
from lentilroad.process.metrics import StatsdMetrics
from lentilroad.process.operator_http import add_operator_routes
from lentilroad.process.settings import Settings
from lentilroad.process.tls import require_tls_or_loopback, tls_files
from lentilroad.process.tracing import Tracing, traced_stream
from lentilroad.program.owner import ProgramOwner
from lentilroad.program.standby import ProgramStandby
from lentilroad.request.context import FrontContext
from lentilroad.request.http import build_application
from lentilroad.request.owner_calls import OwnerClient
from lentilroad.request.retry import RetryBudget
from lentilroad.request.router import Router
from lentilroad.request.upstream_choice import UpstreamSelector, record_load_reports
from lentilroad.version.distribution import ConfigurationDistributor
from lentilroad.version.store import ConfigurationStore
from lentilroad.version.sweep import HistorySweeper
from lentilroad.version.watch import is_watcher
from lentilroad.wire import messages as m
from lentilroad.wire import services

HTTP_SHUTDOWN_TIMEOUT_S = 60.0
# Time for the balancer and the other entries to detect that this entry is draining.
DRAIN_ANNOUNCEMENT_S = 1.0
# Shards that no other entry has taken over within this time are left behind; their
# standbys take over once this entry has stopped.
HAND_OVER_TIMEOUT_S = 30.0
HAND_OVER_POLL_INTERVAL_S = 0.1
# Random draws for a shard that this entry owns. In a small deployment it owns many
# shards, and a few draws find one.
MAX_OWN_SHARD_DRAWS = 4


class Entry:
    """One running entry; created by `start_entry`."""

    def __init__(self, *, settings: Settings, clock: Clock, random: Random) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.incarnation = int(clock.time_s() * 1000)
        self.draining = False
        self.drain_task: asyncio.Future[None] | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._server: PeerServer | None = None
        self._http: web.AppRunner | None = None
        self.tls = tls_files(settings)
        self.metrics = StatsdMetrics(address=settings.observability.statsd_address)
        self.tracing = Tracing(
            role="entry", otlp_endpoint=settings.observability.trace_exporter_url
        )
        self.connections = PeerConnections(
            clock=clock, ssl_context=self.tls.client if self.tls else None
        )
        self.key_value = EtcdKeyValueStore(
            clock=clock,
            endpoints=settings.key_value.endpoints,
            timeout_s=settings.key_value.timeout_s,
        )
        self._build_membership()
        self._build_configuration()
        self._build_owner()

    def _build_membership(self) -> None:
        settings = self.settings
        self.members = EntryMembership(
            record=m.PeerRecord(
                address=settings.address,
                region=settings.region,
                availability_zone=settings.availability_zone,
                incarnation=self.incarnation,
                started_ms=self.incarnation,
            ),
            seeds=settings.seed_entries,
            call=self.connections.call,
            clock=self.clock,
            random=self.random,
        )
        self.directory = SidecarDirectory(
            clock=self.clock,
            address=settings.address,
            region=settings.region,
            incarnation=self.incarnation,
            alive_entries=self.members.alive_entries,
            config_version=lambda: self.distribution.version,
        )
        self.shard_table = ShardTable(
            address=settings.address,
            region=settings.region,
            started_ms=self.incarnation,
            members=self.members,
            key_value=self.key_value,
            call=self.connections.call,
            clock=self.clock,
            random=self.random,
            on_gained=lambda shard, record: self.owner.on_gained(shard, record),
            on_lost=lambda shard: self.owner.on_lost(shard),
            on_changed=lambda shard, record: self.owner.on_changed(shard, record),
            copy_shard=lambda *move: self.owner.copy_shard(*move),
        )
        self.members.add_piggyback(self.directory.fill_probe, self.directory.read_probe)
        self.members.add_piggyback(self._fill_ping, self._read_ping)

    def _build_configuration(self) -> None:
        settings = self.settings
        self.distribution = ConfigurationDistributor(
            call=self.connections.call,
            clock=self.clock,
            random=self.random,
            address=settings.address,
            peers=self._region_peers,
            remote_region_peers=self._remote_region_peers,
            data_folder=settings.data_folder,
            key_value=self.key_value,
            is_watcher=self._is_watcher,
        )
        self.store = ConfigurationStore(
            key_value=self.key_value,
            clock=self.clock,
            on_applied=self.distribution.distribute,
            local_part=self.distribution.local_part,
        )
        self.configuration_view = ConfigurationView(
            distribution=self.distribution, region=settings.region
        )
        self.admission = CallerAdmission(
            clock=self.clock,
            live_entries=lambda: len(self.members.peers()),
        )
        self.distribution.on_change(self.admission.on_configuration)
        self.distribution.on_change(
            lambda version: self.members.set_config_version(version.version)
        )

    def _build_owner(self) -> None:
        settings = self.settings
        retry_budget = RetryBudget(clock=self.clock)
        self.choice = UpstreamSelector(
            router=Router(
                clock=self.clock,
                random=self.random,
                region=settings.region,
                availability_zone=settings.availability_zone,
            ),
            directory=self.directory,
            regions=self.configuration_view.regions,
            region=settings.region,
            availability_zone=settings.availability_zone,
            clock=self.clock,
        )
        self.standby = ProgramStandby(
            address=settings.address,
            shard_table=self.shard_table,
            clock=self.clock,
            started_ms=self.incarnation,
        )
        self.owner = ProgramOwner(
            address=settings.address,
            shard_table=self.shard_table,
            standby=self.standby,
            call=self.connections.call,
            stream=record_load_reports(
                self.connections.stream, self.directory.record_load
            ),
            choose_upstream=self.choice.choose,
            shard_of=shard_of,
            clock=self.clock,
            random=self.random,
            policy_of=self.configuration_view.policy_of,
            may_retry=retry_budget.try_spend,
            note_success=retry_budget.record_success,
            note_in_flight=self.choice.adjust_in_flight,
        )
        self._run_turn = traced_stream(self.tracing, "owner turn", self.owner.run_turn)
        self.owner_calls = OwnerClient(
            address=settings.address,
            local=SimpleNamespace(
                open_program=self.owner.open_program,
                end_program=self.owner.end_program,
                read_program=self.owner.read_program,
                run_turn=self._run_turn,
            ),
            owner_of=self.shard_table.owner_of,
            call=self.connections.call,
            stream=self.connections.stream,
            clock=self.clock,
        )

    # Callbacks between modules

    def _read_ping(self, sender: str, message: m.PingRequest | m.PingReply) -> None:
        for peer in message.peers:
            self.distribution.handle_peer_version(peer.address, peer.config_version)

    def _fill_ping(
        self, message: m.PingRequest | m.PingReply, everything: bool
    ) -> None:
        """Add nothing; the peer records already have the configuration version."""

    async def _replicate(self, request: m.ReplicateRequest) -> m.ReplicateReply:
        # The shard table also has grants that are not in force yet.
        table = self.shard_table
        is_staged = request.staged_record is not None
        if not is_staged and not table.accepts(
            request.shard, request.epoch, request.owner
        ):
            highest_epoch = table.highest_epoch(request.shard)
            return m.ReplicateReply(accepted=False, highest_epoch=highest_epoch)
        return await self.standby.replicate(request)

    # Queries of the configuration and the membership

    def _is_watcher(self) -> bool:
        entries = self.members.alive_entries(self.settings.region)
        return is_watcher(self.settings.address, entries)

    def _region_peers(self) -> list[str]:
        entries = self.members.alive_entries(self.settings.region)
        addresses = entries if len(entries) > 1 else self.settings.seed_entries
        return [address for address in addresses if address != self.settings.address]

    def _remote_region_peers(self) -> list[str]:
        return [
            peer.address
            for peer in self.members.peers()
            if peer.region != self.settings.region and peer.state == "alive"
        ]

    def reported_versions(self) -> dict[str, int]:
        """Return the configuration version that each live process last reported."""
        versions = {
            peer.address: peer.config_version
            for peer in self.members.peers()
            if peer.state in ("alive", "suspect", "draining")
        }
        versions[self.settings.address] = self.distribution.version
        return versions | self.directory.config_versions()

    def _new_program_id(self, parent_program_id: str | None) -> str:
        if parent_program_id is not None:
            shard = shard_of(parent_program_id)
            return new_program_id(parse_shard(shard)[0], shard, self.random)
        shard = self._choose_shard()
        return new_program_id(self.settings.region, shard, self.random)

    def _choose_shard(self) -> str:
        """Return a shard for a new program.

        Prefers a shard that this entry owns, which saves a hop.
        """
        shards = self._region_shards()
        if not shards:
            raise UnavailableError(
                "this entry has not received a shard map yet; try again",
                retry_after_ms=500,
            )
        for _ in range(MAX_OWN_SHARD_DRAWS):
            shard = self.random.choice(shards)
            if self.shard_table.owned_epoch(shard) is not None:
                return shard
        return self.random.choice(self.shard_table.shards_owned() or shards)

    def _region_shards(self) -> list[str]:
        return self.shard_table.shards(self.settings.region)

    # Start and stop

    async def start(self) -> None:
        """Start serving peers and callers and start the background tasks."""
        host, port = split_address(self.settings.address)
        require_tls_or_loopback(host=host, tls_files=self.tls)
        self._server = await start_server(
            self._handlers(), host, port, self.tls.server if self.tls else None
        )
        background = [
            self.members.run(),
            self.directory.run(),
            self.shard_table.run(),
            self.distribution.run(),
            self.owner.run(),
            sweep_history(
                sweeper=HistorySweeper(key_value=self.key_value, clock=self.clock),
                is_watcher=self._is_watcher,
                clock=self.clock,
            ),
        ]
        if self.settings.instance_list_url is not None:
            background.append(
                follow_instance_list(
                    instance_list=HttpInstanceList(
                        endpoint=self.settings.instance_list_url
                    ),
                    set_leaving=self.directory.set_leaving,
                    clock=self.clock,
                    random=self.random,
                )
            )
        if self.tls is not None:
            background.append(self.tls.watch(clock=self.clock))
        self._tasks = [asyncio.ensure_future(coroutine) for coroutine in background]
        for task in self._tasks:
            task.add_done_callback(_report_failure)
        await self._start_http()
        eliot.log_message(message_type="entry:started", address=self.settings.address)

    def _handlers(self) -> dict[services.Method, Callable[[Any], Any]]:
        return {
            services.OPEN_PROGRAM: self.owner.open_program,
            services.END_PROGRAM: self.owner.end_program,
            services.READ_PROGRAM: self.owner.read_program,
            services.RUN_TURN: self._run_turn,
            services.REPLICATE: self._replicate,
            services.GRANT: self.shard_table.grant,
            services.PAIR_HEARTBEAT: self.shard_table.pair_heartbeat,
            services.PING: self.members.ping,
            services.PULL_SHARD_MAP: self.shard_table.pull_shard_map,
            services.SIDECAR_HEARTBEAT: self.directory.heartbeat,
            **self.distribution.handlers(),
        }

    async def _start_http(self) -> None:
        context = FrontContext(
            clock=self.clock,
            metrics=self.metrics,
            tracing=self.tracing,
            find_caller=self.configuration_view.find_caller,
            list_models=self.configuration_view.list_models,
            has_operation=self.configuration_view.has_operation,
            fill_budget=self.configuration_view.fill_budget,
            completion_tokens_max=self.configuration_view.completion_tokens_max,
            admit_request=self.admission.admit_request,
            new_program_id=self._new_program_id,
            new_key=lambda: secrets.token_hex(16),
            open_program=self.owner_calls.open_program,
            end_program=self.owner_calls.end_program,
            read_program=self.owner_calls.read_program,
            run_turn=self.owner_calls.run_turn,
            stream=self.connections.stream,
        )
        application = build_application(context=context)
        add_operator_routes(application, entry=self)
        self._http = web.AppRunner(
            application, access_log=None, shutdown_timeout=HTTP_SHUTDOWN_TIMEOUT_S
        )
        await self._http.setup()
        host, port = split_address(self.settings.http_address or "127.0.0.1:0")
        await web.TCPSite(self._http, host, port, backlog=1024).start()

    @property
    def ready(self) -> bool:
        """Whether the entry can serve callers."""
        return (
            not self.draining
            and self.distribution.current is not None
            and bool(self._region_shards())
        )

    async def drain(self) -> None:
        """Stop taking new work, hand the shards over and finish running turns."""
        if self.draining:
            return
        self.draining = True
        eliot.log_message(message_type="entry:draining", address=self.settings.address)
        self.members.drain()
        await self.clock.sleep(DRAIN_ANNOUNCEMENT_S)
        await self._wait_for_hand_over()
        await self.owner.drain()

    async def _wait_for_hand_over(self) -> None:
        deadline_s = self.clock.monotonic_s() + HAND_OVER_TIMEOUT_S
        table = self.shard_table
        while (
            table.shards_with_role()
            or table.incomplete_moves()
            or self.owner.shards_held()
        ):
            if not self._other_entries_alive():
                return
            if self.clock.monotonic_s() >= deadline_s:
                eliot.log_message(
                    message_type="entry:shards_left",
                    shards=len(table.shards_with_role()),
                )
                return
            await self.clock.sleep(HAND_OVER_POLL_INTERVAL_S)

    def _other_entries_alive(self) -> bool:
        # When the whole deployment stops, no entry remains to take the shards over.
        members = self.members
        return any(members.alive_entries(region) for region in members.regions())

    async def close(self) -> None:
        """Wait for open requests of callers, then stop."""
        if self._http is not None:
            await self._http.cleanup()
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with suppress(asyncio.CancelledError, Exception):
                await task
        await self.owner.close()
        if self._server is not None:
            await self._server.close()
        await self.connections.close()
        await self.key_value.close()
        self.tracing.shutdown()
        self.metrics.close()
        eliot.log_message(message_type="entry:stopped", address=self.settings.address)


def _report_failure(task: asyncio.Task[None]) -> None:
    if task.cancelled() or task.exception() is None:
        return
    eliot.log_message(message_type="entry:task_failed", reason=repr(task.exception()))


async def start_entry(
    *, settings: Settings, clock: Clock | None = None, random: Random | None = None
) -> Entry:
    """Start an entry in the running event loop.

    Parameters
    ----------
    settings : Settings
        Checked settings with role ``entry``.
    clock : Clock, optional
        Source of time.
    random : Random, optional
        Source of randomness for jitter and routing.

    Returns
    -------
    Entry
        The running entry.
    """
    entry = Entry(
        settings=settings, clock=clock or SystemClock(), random=random or Random()
    )
    await entry.start()
    return entry


async def run_entry(*, settings: Settings) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain it and stop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    entry = await start_entry(settings=settings)
    await stop.wait()
    await entry.drain()
    await entry.close()
