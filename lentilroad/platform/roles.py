"""The programs that run on the platform's machines."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Awaitable, Callable

import msgspec

from lentilroad.clock import Clock, SystemClock
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import start_server
from lentilroad.conversation.allowance import Allowances
from lentilroad.conversation.client import Place, StorageClient
from lentilroad.conversation.const import (
    ANNOUNCE_INTERVAL_S,
    MEMBER_PROBE_INTERVAL_S,
    SEGMENT_BYTES,
    SWEEP_INTERVAL_S,
)
from lentilroad.conversation.joining import Joining, MapStore, read_disk_id
from lentilroad.conversation.journal import Journal
from lentilroad.conversation.members import (
    Member,
    MemberList,
    MemberMap,
    decode_members,
    encode_members,
)
from lentilroad.conversation.messages import (
    ANNOUNCE,
    PROBE,
    PULL,
    PUT_LEDGERS,
    PUT_TURNS,
    READ_CHAIN,
    RELAY,
    RESERVE,
    WHICH_TURNS,
)
from lentilroad.conversation.relay import EntryBook, RelayedCalls
from lentilroad.conversation.replica import Replica
from lentilroad.conversation.turns import Turns
from lentilroad.errors import ConfigurationError, LentilroadError
from lentilroad.membership.upstreams import UpstreamDirectory
from lentilroad.platform.configuration import (
    CONFIGURATION_KEY,
    RETIRE_PREFIX,
    RETIRE_STATUS_PREFIX,
    decode_configuration,
)
from lentilroad.platform.metadata import (
    Listing,
    MetadataClient,
    StoredItem,
    WriteConflictError,
    follow_prefix,
)
from lentilroad.platform.requests import decode_request, worker_protocol
from lentilroad.platform.settings import ProcessSettings
from lentilroad.platform.workers import WORKER_PREFIX, decode_worker
from lentilroad.process.events import log_event
from lentilroad.process.gateway import (
    GatewayState,
    drain,
    run_until,
    serve_callers,
    serve_text,
)
from lentilroad.process.telemetry import Telemetry
from lentilroad.request.dispatch import Dispatcher
from lentilroad.request.ingress import Ingress

MEMBERS_KEY = "lentilroad/storage"
DIRECTORY_SWEEP_S = 0.25
# Far below the seconds within which a draining worker must get no more work.
WORKER_WATCH_PAUSE_S = 0.4
MEGABYTE = 2**20


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
    ingress = Ingress(
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
        serving = (
            state.table is not None
            and directory.listed
            and storage.available()
            and not state.stopping
        )
        return (200, "ready") if serving else (503, "not ready")

    await start_server({RELAY: relayed.serve}, settings.ip, settings.peer_port)
    runner = await serve_callers(listener, ingress, state)
    await serve_text(settings.readiness_address, {"/readiness": ready})
    await serve_text(
        f"{settings.ip}:{settings.metrics_port}",
        {"/metrics": lambda: (200, telemetry.text())},
    )
    stop = _stop_event()
    work = [
        follow_prefix(
            metadata,
            CONFIGURATION_KEY,
            clock=clock,
            on_listing=lambda listing: _each(listing, _note_configuration(state)),
            on_change=_note_configuration(state),
        ),
        follow_prefix(
            metadata,
            WORKER_PREFIX,
            clock=clock,
            on_listing=lambda listing: _list_workers(listing, directory, dispatcher),
            on_change=lambda item: _change_worker(item, directory, dispatcher),
            on_regained=directory.note_store_regained,
            pause_s=WORKER_WATCH_PAUSE_S,
        ),
        follow_prefix(
            metadata,
            MEMBERS_KEY,
            clock=clock,
            on_listing=lambda listing: _each(listing, _note_members(storage.note_map)),
            on_change=_note_members(storage.note_map),
        ),
        _repeat(storage.probe_down_members, MEMBER_PROBE_INTERVAL_S, clock),
        _repeat(relayed.probe_unanswered, MEMBER_PROBE_INTERVAL_S, clock),
        _repeat(
            lambda: relayed.announce(storage.addresses()), ANNOUNCE_INTERVAL_S, clock
        ),
        _repeat(allowances.hand_back_idle, DIRECTORY_SWEEP_S, clock),
        _repeat(lambda: _sweep(directory, dispatcher), DIRECTORY_SWEEP_S, clock),
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


async def run_storage(settings: ProcessSettings) -> None:
    """Keep conversations and grants on the disk until SIGTERM."""
    if settings.data_folder is None:
        raise ConfigurationError("DataDirectory is missing; run storage on a disk")
    clock = SystemClock()
    metadata = MetadataClient(address=settings.metadata_address, clock=clock)
    peers = PeerConnections(clock=clock)
    disk_id, new_disk = read_disk_id(settings.data_folder)
    listed: set[str] = set()
    known = MemberMap(version=0, listed=MemberList())

    def note_map(newer: MemberMap) -> None:
        nonlocal known
        known = newer
        listed.clear()
        listed.update(member.disk_id for member in newer.listed.members)

    journal = Journal(
        folder=settings.data_folder / "journal",
        segment_bytes=SEGMENT_BYTES,
        clock=clock,
    )
    replica = Replica(
        journal=journal,
        disk_id=disk_id,
        clock=clock,
        disk_bytes=settings.disk_mb * MEGABYTE,
        listed_disks=lambda: listed,
        members=lambda: (known.version, encode_members(known.listed)),
    )
    replica.recover()
    address = f"{settings.ip}:{settings.peer_port}"
    joining = Joining(
        member=Member(
            node=settings.node,
            disk_id=disk_id,
            address=address,
            availability_zone=settings.availability_zone,
            region=settings.region,
        ),
        new_disk=new_disk,
        first_start=settings.first_start,
        replica=replica,
        map_store=_map_store(metadata),
        call=peers.call,
        stream=peers.stream,
        clock=clock,
        on_map=note_map,
        losses=settings.losses_tolerated,
    )
    await start_server(
        {
            PUT_TURNS: replica.put_turns,
            READ_CHAIN: replica.read_chain,
            RESERVE: replica.reserve,
            PULL: replica.pull,
            PUT_LEDGERS: replica.put_ledgers,
            WHICH_TURNS: replica.which_turns,
            PROBE: replica.probe,
            ANNOUNCE: EntryBook(clock=clock).announce,
        },
        settings.ip,
        settings.peer_port,
    )
    telemetry = Telemetry()
    telemetry.gauge("turns_held", lambda: len(replica.turns()))
    telemetry.gauge("disk_complete", lambda: int(replica.complete))
    telemetry.gauge("disk_write_s", journal.waiting_s)
    telemetry.gauge("metadata_calls", lambda: metadata.calls)
    await serve_text(
        f"{settings.ip}:{settings.metrics_port}",
        {"/metrics": lambda: (200, telemetry.text())},
    )
    retire_key = RETIRE_PREFIX + settings.node
    retiring: list[asyncio.Task[None]] = []

    def on_retire(item: StoredItem) -> None:
        if item.key != retire_key or item.removed or retiring:
            return
        task = asyncio.ensure_future(_retire(joining, metadata, settings.node, clock))
        retiring.append(task)

    stop = _stop_event()
    log_event("started", disk=disk_id, new_disk=new_disk, address=address)

    async def finish() -> None:
        log_event("stopped")

    await run_until(
        [
            joining.run(),
            follow_prefix(
                metadata,
                MEMBERS_KEY,
                clock=clock,
                on_listing=lambda listing: _each(
                    listing, _note_members(joining.note_map)
                ),
                on_change=_note_members(joining.note_map),
            ),
            follow_prefix(
                metadata,
                RETIRE_PREFIX,
                clock=clock,
                on_listing=lambda listing: _each(listing, on_retire),
                on_change=on_retire,
            ),
            _repeat(_awaited(replica.sweep), SWEEP_INTERVAL_S, clock),
        ],
        stop,
        finish,
    )


def _stop_event() -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    # The settings name only what is fixed for the life of the process.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: log_event("reload", outcome="nothing to change")
    )
    return stop


async def _repeat(
    step: Callable[[], Awaitable[None]], interval_s: float, clock: Clock
) -> None:
    while True:
        await clock.sleep(interval_s)
        await step()


def _awaited(step: Callable[[], None]) -> Callable[[], Awaitable[None]]:
    async def run() -> None:
        step()

    return run


async def _sweep(directory: UpstreamDirectory, dispatcher: Dispatcher) -> None:
    directory.sweep()
    dispatcher.wake()


def _each(listing: Listing, note: Callable[[StoredItem], None]) -> None:
    for item in listing.items:
        note(item)


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


def _note_members(
    note_map: Callable[[MemberMap], None],
) -> Callable[[StoredItem], None]:
    def note(item: StoredItem) -> None:
        if item.key != MEMBERS_KEY or item.removed:
            return
        try:
            listed = decode_members(item.content())
        except (msgspec.MsgspecError, ValueError) as error:
            log_event("members_unreadable", revision=item.revision, error=str(error))
            return
        note_map(MemberMap(version=item.revision, listed=listed))

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


def _map_store(metadata: MetadataClient) -> MapStore:
    async def read() -> MemberMap:
        item = await metadata.read_key(MEMBERS_KEY)
        if item is None:
            return MemberMap(version=0, listed=MemberList())
        return MemberMap(version=item.revision, listed=decode_members(item.content()))

    async def write(listed: MemberList, version: int) -> int:
        return await metadata.write(
            MEMBERS_KEY, encode_members(listed), expected_revision=version
        )

    return MapStore(read=read, write=write)


async def _retire(
    joining: Joining, metadata: MetadataClient, node: str, clock: Clock
) -> None:
    await _write_status(metadata, node, "running", clock)
    await joining.retire()
    await _write_status(metadata, node, "completed", clock)


async def _write_status(
    metadata: MetadataClient, node: str, state: str, clock: Clock
) -> None:
    key = RETIRE_STATUS_PREFIX + node
    content = msgspec.json.encode({"State": state})
    while True:
        try:
            item = await metadata.read_key(key)
            if item is not None and item.content() == content:
                return
            revision = 0 if item is None else item.revision
            await metadata.write(key, content, expected_revision=revision)
            log_event("retire_status", node=node, state=state)
            return
        except WriteConflictError:
            continue
        except LentilroadError as error:
            log_event("retire_status_failed", node=node, error=str(error))
            await clock.sleep(DIRECTORY_SWEEP_S)
