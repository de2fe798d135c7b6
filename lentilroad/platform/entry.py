"""Entry process on the platform's machines, which callers connect to."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Iterator

from lentilroad.clock import Clock, SystemClock
from lentilroad.connection.open_connections import OpenConnections
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import start_server
from lentilroad.conversation.allowance import GrantManager
from lentilroad.conversation.client import Location, StorageClient
from lentilroad.conversation.const import MEMBER_PROBE_INTERVAL_S
from lentilroad.conversation.messages import RELAY
from lentilroad.conversation.relay import RelayingCaller
from lentilroad.conversation.turns import TurnManager
from lentilroad.errors import ConfigurationError
from lentilroad.membership.crash_messages import SHARE_SUSPECTS
from lentilroad.membership.list_copy import ListCopy
from lentilroad.membership.list_exchange import ListExchange
from lentilroad.membership.list_messages import ListItem
from lentilroad.membership.suspicions import SUSPECT, SuspicionReporter
from lentilroad.membership.upstreams import UpstreamDirectory, UpstreamInstance
from lentilroad.platform.configuration import CONFIGURATION_KEY, decode_configuration
from lentilroad.platform.following import (
    MEMBERS_KEY,
    for_each,
    member_map_callback,
    run_periodically,
    sigterm_event,
)
from lentilroad.platform.list_reader import ListReader
from lentilroad.platform.metadata import MetadataClient
from lentilroad.platform.requests import decode_request, worker_protocol
from lentilroad.platform.settings import ProcessSettings
from lentilroad.platform.workers import WORKER_PREFIX, decode_worker
from lentilroad.process.caller_bounds import caller_bounds, own_memory_bytes
from lentilroad.process.events import log_event
from lentilroad.process.gateway import (
    GatewayState,
    drain,
    serve_callers,
)
from lentilroad.process.run import run_until
from lentilroad.process.telemetry import Telemetry
from lentilroad.process.text_server import serve_text
from lentilroad.request.caller_memory import CallerMemory
from lentilroad.request.crash_suspects import CrashSuspects
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.ingress import Ingress
from lentilroad.request.permits import PermitClient
from lentilroad.version.customers import Customer

SWEEP_INTERVAL_S = 0.25
# After a start, requests wait until the process has read the configuration, the list of
# instances, the requests that are banned and, for turns, the list of storage members,
# which may be starting as well.
# The wait ends this long after the start, and after a shorter time for each request.
STARTUP_WAIT_S = 2.0
MAX_STARTUP_REQUEST_WAIT_S = 1.0
STARTUP_POLL_INTERVAL_S = 0.02


async def run_entry(
    settings: ProcessSettings, listener: socket.socket, *, learn_speeds: bool = False
) -> None:
    """Serve callers that connect to `listener` until SIGTERM.

    Parameters
    ----------
    learn_speeds : bool
        Whether to send less work to instances whose streams take longer.
    """
    clock = SystemClock()
    telemetry = Telemetry()
    bounds = caller_bounds(
        memory_mb=settings.memory_mb,
        file_descriptors=settings.file_descriptors,
        own_bytes=own_memory_bytes(),
    )
    memory = CallerMemory(
        clock=clock,
        telemetry=telemetry,
        bodies_bytes=bounds.bodies_bytes,
        answers_bytes=bounds.answers_bytes,
    )
    open_connections = OpenConnections(max_connections=bounds.connections)
    state = GatewayState()
    peers = PeerConnections(clock=clock)
    metadata = MetadataClient(address=settings.metadata_address, clock=clock)
    directory = UpstreamDirectory(
        clock=clock, drain_s=settings.bounds.drain_s, learn_speeds=learn_speeds
    )
    own_address = f"{settings.ip}:{settings.peer_port}"
    relayed_calls = RelayingCaller(
        call=peers.call,
        clock=clock,
        own_address=own_address,
        losses_tolerated=settings.losses_tolerated,
    )
    storage = StorageClient(
        call=relayed_calls.call,
        clock=clock,
        location=Location(
            availability_zone=settings.availability_zone, region=settings.region
        ),
        losses_tolerated=settings.losses_tolerated,
    )
    permits = PermitClient(
        call=relayed_calls.call,
        coordinators=lambda instance: storage.coordinators(
            instance.instance_id, instance.availability_zone
        ),
        own_address=own_address,
        clock=clock,
    )
    quotas = shared_load = None
    if settings.has_customers:
        # Loading these modules would delay the start of entries without customers.
        from lentilroad.request.program_policy import ProgramPolicy
        from lentilroad.request.quota import QuotaClient
        from lentilroad.request.shared_load import SharedLoad

        quotas = QuotaClient(
            call=relayed_calls.call,
            coordinators=lambda key: storage.coordinators(key, ""),
            member_count=storage.member_count,
            entry_count=lambda: len(relayed_calls.entries()),
            customers=lambda: _customers(state),
            version=lambda: state.table.version if state.table else 0,
            own_address=own_address,
            clock=clock,
            bounds=settings.bounds.quotas,
            count=lambda name, customer: telemetry.count(name, customer=customer),
        )
        shared_load = SharedLoad(
            call=relayed_calls.call,
            coordinators=lambda service: storage.coordinators(service, ""),
            other_entries=relayed_calls.entries,
            competing=lambda service: (
                state.table is not None and state.table.callers_compete(service)
            ),
            directory=directory,
            own_address=own_address,
            clock=clock,
        )
    dispatcher = Dispatcher(
        directory=directory,
        clock=clock,
        availability_zone=settings.availability_zone,
        region_of=lambda zone: settings.zone_regions.get(zone, zone),
        take_permit=permits.take,
        slot_limits=shared_load,
    )
    suspects = CrashSuspects(
        call=relayed_calls.call,
        coordinators=storage.crash_coordinators,
        entries=relayed_calls.entries,
        own_address=own_address,
        directory=directory,
        clock=clock,
    )
    grant_manager = GrantManager(
        reserve=storage.reserve, confirm=storage.confirm, clock=clock
    )
    startup_deadline_s = clock.monotonic_s() + STARTUP_WAIT_S

    def can_serve(*, turns: bool) -> bool:
        return (
            state.table is not None
            and directory.loaded
            and (storage.available() or not turns)
        )

    async def wait_until_can_serve(*, turns: bool) -> None:
        deadline_s = min(
            startup_deadline_s, clock.monotonic_s() + MAX_STARTUP_REQUEST_WAIT_S
        )
        while clock.monotonic_s() < deadline_s:
            if can_serve(turns=turns) and suspects.synchronized:
                return
            await clock.sleep(STARTUP_POLL_INTERVAL_S)

    suspicions = SuspicionReporter(
        call=peers.call, entries=relayed_calls.entries, directory=directory, clock=clock
    )
    programs = None
    if shared_load is not None:
        programs = ProgramPolicy(
            clock=clock,
            load=shared_load.load,
            waiting=dispatcher.waiting_by_customer,
            telemetry=telemetry,
        )
    ingress = Ingress(
        wait_until_ready=wait_until_can_serve,
        on_unresponsive=suspicions.report,
        on_rate_limit=permits.report,
        suspects=suspects,
        quotas=quotas,
        table=lambda: state.table,
        decode=decode_request,
        protocol=worker_protocol(),
        dispatcher=dispatcher,
        turns=TurnManager(storage=storage, grant_manager=grant_manager, clock=clock),
        clock=clock,
        telemetry=telemetry,
        stopping=lambda: state.stopping,
        programs=programs,
        keys_confirmed=lambda: _is_recent(
            lists.copies[CONFIGURATION_KEY], settings.bounds.revoke_s
        ),
        memory=memory,
    )
    telemetry.add_gauge("open_requests", lambda: ingress.open_requests)
    telemetry.add_gauge("bytes_held", memory.held_bytes)
    telemetry.add_gauge("caller_connections", open_connections.count)
    telemetry.add_gauge("metadata_calls", lambda: metadata.calls)
    telemetry.add_gauge("rate_limited_upstreams", directory.rate_limited_count)
    telemetry.add_gauge("leaving_upstreams", directory.leaving_count)
    telemetry.add_gauge("slow_upstreams", directory.slow_count)
    telemetry.add_gauge("waiting_requests", dispatcher.waiting_total)
    telemetry.add_gauge("reported_crashes", lambda: suspects.reported_crashes)
    telemetry.add_gauge("suspected_requests", suspects.suspected_count)
    telemetry.add_gauge("banned_requests", suspects.banned_count)

    lists = ListExchange(
        copies=_list_copies(state, directory, dispatcher, storage, clock),
        call=peers.call,
        coordinators=storage.list_coordinators,
        own_address=own_address,
        clock=clock,
        on_outage_end=directory.start_expiry_grace,
    )
    reader = ListReader(client=metadata, exchange=lists, clock=clock)
    telemetry.add_gauge("oldest_list_age_s", lists.oldest_age_s)
    telemetry.add_gauge(
        "configuration_version", lambda: state.table.version if state.table else 0
    )

    def readiness() -> tuple[int, str]:
        if can_serve(turns=True) and not state.stopping:
            return 200, "ready"
        return 503, "not ready"

    await start_server(
        {
            RELAY: relayed_calls.serve,
            SUSPECT: suspicions.receive,
            SHARE_SUSPECTS: suspects.receive,
        },
        settings.ip,
        settings.peer_port,
    )
    runner = await serve_callers(
        listener,
        ingress,
        state,
        open_connections=open_connections,
        telemetry=telemetry,
    )
    await serve_text(
        settings.readiness_address,
        {"/readiness": readiness},
        max_connections=bounds.text_connections,
        telemetry=telemetry,
    )
    await serve_text(
        f"{settings.ip}:{settings.metrics_port}",
        {"/metrics": lambda: (200, telemetry.text())},
        max_connections=bounds.text_connections,
        telemetry=telemetry,
    )
    stop = sigterm_event()
    background = [
        reader.check_regularly(),
        reader.watch_closely(lists.copies[CONFIGURATION_KEY]),
        lists.compare_regularly(),
        run_periodically(storage.probe_failed_members, MEMBER_PROBE_INTERVAL_S, clock),
        run_periodically(
            relayed_calls.probe_unresponsive, MEMBER_PROBE_INTERVAL_S, clock
        ),
        relayed_calls.announce_regularly(storage.addresses),
        suspects.synchronize_regularly(),
        run_periodically(grant_manager.release_idle_grants, SWEEP_INTERVAL_S, clock),
        run_periodically(
            lambda: _sweep_directory(directory, dispatcher),
            SWEEP_INTERVAL_S,
            clock,
        ),
    ]
    if shared_load is not None and quotas is not None:
        telemetry.add_gauge("slot_allowance", shared_load.total_allowance)
        telemetry.add_gauge("load_reports", lambda: shared_load.reports)
        telemetry.add_gauge("quota_customers_refused", quotas.limited_count)
        background += [
            quotas.report_regularly(),
            shared_load.report_regularly(
                dispatcher.own_loads, dispatcher.dispatch_waiting
            ),
        ]
    log_event("started", client_address=settings.client_address)
    await run_until(
        background,
        stop,
        lambda: drain(
            state=state,
            ingress=ingress,
            runner=runner,
            grace_s=settings.bounds.stop_grace_s,
            clock=clock,
        ),
    )


def _is_recent(configuration: ListCopy, revoke_s: float | None) -> bool:
    """Return whether the configuration's keys may be accepted."""
    return revoke_s is None or configuration.age_s() <= revoke_s


async def _sweep_directory(
    directory: UpstreamDirectory, dispatcher: Dispatcher
) -> None:
    directory.sweep()
    dispatcher.refresh_learned_costs()
    dispatcher.dispatch_waiting()


def _customers(state: GatewayState) -> Iterable[Customer]:
    if state.table is None or state.table.customers is None:
        return ()
    return state.table.customers.by_name.values()


def _list_copies(
    state: GatewayState,
    directory: UpstreamDirectory,
    dispatcher: Dispatcher,
    storage: StorageClient,
    clock: Clock,
) -> list[ListCopy]:
    """Return copies of the configuration, the workers and the storage members."""
    on_configuration = for_each(_configuration_callback(state))
    on_members = for_each(member_map_callback(storage.update_map))
    return [
        ListCopy(
            name=CONFIGURATION_KEY,
            clock=clock,
            on_list=on_configuration,
            on_changes=on_configuration,
        ),
        ListCopy(
            name=WORKER_PREFIX,
            clock=clock,
            on_list=lambda items: _replace_workers(items, directory, dispatcher),
            on_changes=lambda items: _update_workers(items, directory, dispatcher),
        ),
        ListCopy(
            name=MEMBERS_KEY, clock=clock, on_list=on_members, on_changes=on_members
        ),
    ]


def _configuration_callback(state: GatewayState) -> Callable[[ListItem], None]:
    def on_item(item: ListItem) -> None:
        if item.key != CONFIGURATION_KEY or item.removed:
            return
        try:
            state.apply_table(decode_configuration(item.content))
        except ConfigurationError as error:
            log_event(
                "configuration_unreadable", revision=item.revision, error=str(error)
            )

    return on_item


def _replace_workers(
    items: list[ListItem], directory: UpstreamDirectory, dispatcher: Dispatcher
) -> None:
    directory.replace_all([worker for _, worker in read_workers(items) if worker])
    dispatcher.dispatch_waiting()


def _update_workers(
    items: list[ListItem], directory: UpstreamDirectory, dispatcher: Dispatcher
) -> None:
    directory.detect_mass_expiry(
        item.key.removeprefix(WORKER_PREFIX) for item in items if item.removed
    )
    for item, worker in read_workers(items):
        if worker is None:
            directory.remove(item.key.removeprefix(WORKER_PREFIX))
        else:
            directory.update(worker)
    dispatcher.dispatch_waiting()


def read_workers(
    items: list[ListItem],
) -> Iterator[tuple[ListItem, UpstreamInstance | None]]:
    """Decode registrations; None for one that was removed or cannot be used."""
    for item in items:
        worker = None
        if not item.removed:
            worker = decode_worker(item.key, item.content)
            if worker is None:
                log_event("upstream_unreadable", key=item.key, revision=item.revision)
        yield item, worker
