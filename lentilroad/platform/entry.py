"""The program on machines that callers reach."""

from __future__ import annotations

import socket
from collections.abc import Callable

from lentilroad.clock import SystemClock
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import start_server
from lentilroad.conversation.allowance import Allowances
from lentilroad.conversation.client import Place, StorageClient
from lentilroad.conversation.const import MEMBER_PROBE_INTERVAL_S
from lentilroad.conversation.messages import RELAY
from lentilroad.conversation.relay import RelayedCalls
from lentilroad.conversation.turns import Turns
from lentilroad.errors import ConfigurationError
from lentilroad.membership.suspicions import SUSPECT, Suspicions
from lentilroad.membership.upstreams import UpstreamDirectory
from lentilroad.platform.configuration import CONFIGURATION_KEY, decode_configuration
from lentilroad.platform.following import (
    MEMBERS_KEY,
    MEMBERS_WATCH_PAUSE_S,
    members_reader,
    note_all,
    repeat,
    stop_event,
)
from lentilroad.platform.metadata import (
    Listing,
    MetadataClient,
    StoredItem,
    follow_prefix,
)
from lentilroad.platform.requests import decode_request, worker_protocol
from lentilroad.platform.settings import ProcessSettings
from lentilroad.platform.workers import WORKER_PREFIX, decode_worker
from lentilroad.process.events import log_event
from lentilroad.process.gateway import (
    GatewayState,
    drain,
    serve_callers,
)
from lentilroad.process.run import run_until
from lentilroad.process.telemetry import Telemetry
from lentilroad.process.text_server import serve_text
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.ingress import Ingress

DIRECTORY_SWEEP_S = 0.25
# After a start, requests wait for what the process still reads: the configuration,
# the list of instances and, for turns, the storage members, which may start as well.
START_WAIT_S = 2.0
START_REQUEST_WAIT_S = 1.0
START_POLL_S = 0.02
# Share of the time for which a draining worker may still get work that passes between
# two looks at the list of workers. Each look is a call of every entry.
WORKER_WATCH_PAUSE_SHARE = 0.35


async def run_entry(settings: ProcessSettings, listener: socket.socket) -> None:
    """Serve callers that connect to `listener` until SIGTERM."""
    clock = SystemClock()
    telemetry = Telemetry()
    state = GatewayState()
    peers = PeerConnections(clock=clock)
    metadata = MetadataClient(address=settings.metadata_address, clock=clock)
    directory = UpstreamDirectory(clock=clock)
    dispatcher = Dispatcher(
        directory=directory,
        clock=clock,
        availability_zone=settings.availability_zone,
        region_of=lambda zone: settings.zone_regions.get(zone, zone),
    )
    own_address = f"{settings.ip}:{settings.peer_port}"
    relayed = RelayedCalls(
        call=peers.call,
        clock=clock,
        own_address=own_address,
        losses=settings.losses_tolerated,
    )
    storage = StorageClient(
        call=relayed.call,
        clock=clock,
        place=Place(
            availability_zone=settings.availability_zone, region=settings.region
        ),
        losses=settings.losses_tolerated,
    )
    allowances = Allowances(
        reserve=storage.reserve, confirm=storage.confirm, clock=clock
    )
    start_ends_s = clock.monotonic_s() + START_WAIT_S

    def serving(*, turns: bool) -> bool:
        return (
            state.table is not None
            and directory.listed
            and (storage.available() or not turns)
        )

    async def opening(*, turns: bool) -> None:
        due_s = min(start_ends_s, clock.monotonic_s() + START_REQUEST_WAIT_S)
        while not serving(turns=turns) and clock.monotonic_s() < due_s:
            await clock.sleep(START_POLL_S)

    suspicions = Suspicions(
        call=peers.call, entries=relayed.entries, directory=directory, clock=clock
    )
    ingress = Ingress(
        opening=opening,
        on_silent=suspicions.report,
        table=lambda: state.table,
        decode=decode_request,
        protocol=worker_protocol(),
        dispatcher=dispatcher,
        turns=Turns(storage=storage, allowances=allowances),
        clock=clock,
        telemetry=telemetry,
        stopping=lambda: state.stopping,
    )
    telemetry.gauge("open_requests", lambda: ingress.open_requests)
    telemetry.gauge("metadata_calls", lambda: metadata.calls)

    def ready() -> tuple[int, str]:
        if serving(turns=True) and not state.stopping:
            return 200, "ready"
        return 503, "not ready"

    await start_server(
        {RELAY: relayed.serve, SUSPECT: suspicions.serve},
        settings.ip,
        settings.peer_port,
    )
    runner = await serve_callers(listener, ingress, state)
    await serve_text(settings.readiness_address, {"/readiness": ready})
    await serve_text(
        f"{settings.ip}:{settings.metrics_port}",
        {"/metrics": lambda: (200, telemetry.text())},
    )
    stop = stop_event()
    follow_members = members_reader(storage.note_map)
    work = [
        follow_prefix(
            metadata,
            CONFIGURATION_KEY,
            clock=clock,
            on_listing=lambda listing: note_all(listing, _note_configuration(state)),
            on_change=_note_configuration(state),
        ),
        follow_prefix(
            metadata,
            WORKER_PREFIX,
            clock=clock,
            on_listing=lambda listing: _list_workers(listing, directory, dispatcher),
            on_change=lambda item: _change_worker(item, directory, dispatcher),
            on_regained=directory.note_store_regained,
            before_changes=lambda changes: directory.note_removals(
                item.key.removeprefix(WORKER_PREFIX) for item in changes if item.removed
            ),
            pause_s=WORKER_WATCH_PAUSE_SHARE * settings.bounds.drain_s,
        ),
        follow_prefix(
            metadata,
            MEMBERS_KEY,
            clock=clock,
            on_listing=lambda listing: note_all(listing, follow_members),
            on_change=follow_members,
            pause_s=MEMBERS_WATCH_PAUSE_S,
        ),
        repeat(storage.probe_down_members, MEMBER_PROBE_INTERVAL_S, clock),
        repeat(relayed.probe_unanswered, MEMBER_PROBE_INTERVAL_S, clock),
        relayed.announce_regularly(storage.addresses),
        repeat(allowances.hand_back_idle, DIRECTORY_SWEEP_S, clock),
        repeat(lambda: _sweep(directory, dispatcher), DIRECTORY_SWEEP_S, clock),
    ]
    log_event("started", client_address=settings.client_address)
    await run_until(
        work,
        stop,
        lambda: drain(
            state=state,
            ingress=ingress,
            runner=runner,
            grace_s=settings.bounds.stop_grace_s,
            clock=clock,
        ),
    )


async def _sweep(directory: UpstreamDirectory, dispatcher: Dispatcher) -> None:
    directory.sweep()
    dispatcher.wake()


def _note_configuration(state: GatewayState) -> Callable[[StoredItem], None]:
    def note(item: StoredItem) -> None:
        if item.key != CONFIGURATION_KEY or item.removed:
            return
        try:
            state.note_table(decode_configuration(item.content()))
        except ConfigurationError as error:
            log_event(
                "configuration_unreadable", revision=item.revision, error=str(error)
            )

    return note


def _list_workers(
    listing: Listing, directory: UpstreamDirectory, dispatcher: Dispatcher
) -> None:
    found = [decode_worker(item.key, item.content()) for item in listing.items]
    directory.replace_all([worker for worker in found if worker is not None])
    dispatcher.wake()


def _change_worker(
    item: StoredItem, directory: UpstreamDirectory, dispatcher: Dispatcher
) -> None:
    instance_id = item.key.removeprefix(WORKER_PREFIX)
    if item.removed:
        directory.remove(instance_id)
        return
    worker = decode_worker(item.key, item.content())
    if worker is None:
        log_event("upstream_unreadable", key=item.key, revision=item.revision)
        directory.remove(instance_id)
        return
    directory.update(worker)
    dispatcher.wake()
