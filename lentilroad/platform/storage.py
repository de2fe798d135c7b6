"""Storage process on the platform's machines with a disk."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec

from lentilroad.clock import Clock, SystemClock
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import start_server
from lentilroad.conversation.const import (
    DISK_RETRY_S,
    LIFETIME_EXCHANGE_INTERVAL_S,
    SEGMENT_BYTES,
    SWEEP_INTERVAL_S,
)
from lentilroad.conversation.disk_id import read_disk_id
from lentilroad.conversation.joining import MemberMapStore, StorageMembership
from lentilroad.conversation.journal import Journal
from lentilroad.conversation.lifetimes import LifetimeExchange, LifetimeTable
from lentilroad.conversation.members import (
    Member,
    MemberList,
    MemberMap,
    coordinator_position,
    encode_members,
    list_coordinators,
)
from lentilroad.conversation.messages import (
    ANNOUNCE,
    EXTEND_LIFETIMES,
    PROBE,
    PULL,
    PUT_LEDGERS,
    PUT_TURNS,
    READ_CHAIN,
    RESERVE,
    WHICH_TURNS,
)
from lentilroad.conversation.relay import EntryRegistry
from lentilroad.conversation.replica import Replica
from lentilroad.errors import ConfigurationError, LentilroadError
from lentilroad.membership.crash_causes import CrashCoordinator
from lentilroad.membership.crash_messages import (
    ACQUIRE_TRIAL,
    END_TRIAL,
    REPORT_CRASH,
    SHARE_SUSPECTS,
)
from lentilroad.membership.list_copy import ListCopy
from lentilroad.membership.list_exchange import ListExchange
from lentilroad.membership.list_messages import COMPARE_LISTS, ListItem
from lentilroad.membership.load_reports import REPORT_LOAD, LoadCoordinator
from lentilroad.membership.quota_messages import REPORT_QUOTAS
from lentilroad.membership.rate_limits import ACQUIRE_PERMITS, RateLimitCoordinator
from lentilroad.platform.configuration import (
    CONFIGURATION_KEY,
    RETIRE_PREFIX,
    RETIRE_STATUS_PREFIX,
)
from lentilroad.platform.following import (
    MEMBERS_KEY,
    decode_stored_members,
    for_each,
    member_map_callback,
    run_periodically,
    sigterm_event,
)
from lentilroad.platform.list_reader import ListReader
from lentilroad.platform.metadata import MetadataClient, WriteConflictError
from lentilroad.platform.settings import ProcessSettings
from lentilroad.platform.workers import WORKER_PREFIX
from lentilroad.process.caller_bounds import kept_turns_bytes, own_memory_bytes
from lentilroad.process.events import log_event
from lentilroad.process.run import run_until

BYTES_PER_MB = 2**20
METRICS_CONNECTIONS = 16
STATUS_RETRY_INTERVAL_S = 0.25


async def run_storage(settings: ProcessSettings) -> None:
    """Store conversations and budget grants on the disk until SIGTERM."""
    if settings.data_folder is None:
        raise ConfigurationError(
            "DataDirectory is missing; run the storage role on a machine with a disk"
        )
    clock = SystemClock()
    metadata = MetadataClient(address=settings.metadata_address, clock=clock)
    peers = PeerConnections(clock=clock)
    disk_id, new_disk, journal = await _open_disk(settings.data_folder, clock)
    member_disk_ids: set[str] = set()
    current_map = MemberMap(version=0, member_list=MemberList())

    coordinators: list[str] = []

    def on_map(member_map: MemberMap) -> None:
        nonlocal current_map
        current_map = member_map
        coordinators[:] = list_coordinators(
            member_map.member_list,
            availability_zone=settings.availability_zone,
            region=settings.region,
        )
        member_disk_ids.clear()
        member_disk_ids.update(
            member.disk_id for member in member_map.member_list.members
        )

    lifetime_table = LifetimeTable()
    replica = Replica(
        journal=journal,
        disk_id=disk_id,
        clock=clock,
        disk_bytes=settings.disk_mb * BYTES_PER_MB,
        member_disks=lambda: member_disk_ids,
        map_version=lambda: current_map.version,
        members=lambda: (
            current_map.version,
            encode_members(current_map.member_list),
        ),
        update_members=lambda version, members: joining.update_encoded_map(
            version, members
        ),
        lifetimes=lifetime_table,
        confirmed_until_s=lambda: lifetimes.confirmed_until_s(),
        memory_bytes=kept_turns_bytes(
            memory_mb=settings.memory_mb, own_bytes=own_memory_bytes()
        ),
    )
    lifetimes = LifetimeExchange(
        table=lifetime_table,
        disk_id=disk_id,
        copied_assignment=lambda: replica.copied_assignment,
        member_map=lambda: current_map,
        call=peers.call,
        clock=clock,
        losses_tolerated=settings.losses_tolerated,
    )
    replica.recover()
    rate_limits = RateLimitCoordinator(
        clock=clock,
        position=lambda instance_id, zone: coordinator_position(
            current_map.member_list, disk_id, instance_id, zone
        ),
    )
    quotas = None
    if settings.bounds.quotas is not None:
        from lentilroad.membership.quotas import QuotaCoordinator

        quotas = QuotaCoordinator(clock=clock, bounds=settings.bounds.quotas)
    load_coordinator = LoadCoordinator(
        clock=clock,
        position=lambda service: coordinator_position(
            current_map.member_list, disk_id, service, ""
        ),
    )
    crashes = CrashCoordinator(clock=clock)
    address = f"{settings.ip}:{settings.peer_port}"
    joining = StorageMembership(
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
        on_map=on_map,
        losses_tolerated=settings.losses_tolerated,
    )
    retire_key = RETIRE_PREFIX + settings.node
    retire_tasks: list[asyncio.Task[None]] = []

    def on_retire(item: ListItem) -> None:
        if item.key != retire_key or item.removed or retire_tasks:
            return
        task = asyncio.ensure_future(_retire(joining, metadata, settings.node, clock))
        retire_tasks.append(task)

    on_members = for_each(member_map_callback(joining.update_map))
    on_retirements = for_each(on_retire)
    lists = ListExchange(
        copies=[
            ListCopy(
                name=MEMBERS_KEY, clock=clock, on_list=on_members, on_changes=on_members
            ),
            ListCopy(
                name=RETIRE_PREFIX,
                clock=clock,
                on_list=on_retirements,
                on_changes=on_retirements,
            ),
            # Shared with entries.
            ListCopy(name=CONFIGURATION_KEY, clock=clock),
            ListCopy(name=WORKER_PREFIX, clock=clock),
        ],
        call=peers.call,
        coordinators=lambda: coordinators,
        own_address=address,
        clock=clock,
    )
    reader = ListReader(client=metadata, exchange=lists, clock=clock)
    await start_server(
        {
            PUT_TURNS: replica.put_turns,
            READ_CHAIN: replica.read_chain,
            RESERVE: replica.reserve,
            PULL: replica.pull,
            PUT_LEDGERS: replica.put_ledgers,
            WHICH_TURNS: replica.which_turns,
            PROBE: replica.probe,
            EXTEND_LIFETIMES: lifetimes.receive,
            ANNOUNCE: EntryRegistry(clock=clock).announce,
            ACQUIRE_PERMITS: rate_limits.acquire,
            REPORT_LOAD: load_coordinator.report,
            REPORT_CRASH: crashes.report,
            ACQUIRE_TRIAL: crashes.acquire_trial,
            END_TRIAL: crashes.end_trial,
            SHARE_SUSPECTS: crashes.share,
            COMPARE_LISTS: lists.receive,
            **({} if quotas is None else {REPORT_QUOTAS: quotas.report}),
        },
        settings.ip,
        settings.peer_port,
    )
    # Imported after the server has started: aiohttp and the metrics code double the
    # start-up time, and callers wait for the storage members.
    from lentilroad.process.telemetry import Telemetry
    from lentilroad.process.text_server import serve_text

    telemetry = Telemetry()
    telemetry.add_gauge("turns_held", lambda: len(replica.turns()))
    telemetry.add_gauge("coordinated_services", load_coordinator.coordinated_count)
    telemetry.add_gauge("turn_bytes_held", replica.turn_bytes)
    telemetry.add_gauge("disk_complete", lambda: int(joining.is_complete()))
    telemetry.add_gauge("disk_write_s", journal.pending_write_s)
    telemetry.add_gauge("disk_writable", lambda: int(replica.writable()))
    telemetry.add_gauge("disk_used_share", replica.used_share)
    telemetry.add_gauge("metadata_calls", lambda: metadata.calls)
    if quotas is not None:
        telemetry.add_gauge("quota_customers", quotas.customer_count)
        telemetry.add_gauge("quota_customers_at_limit", quotas.limited_count)
    await serve_text(
        f"{settings.ip}:{settings.metrics_port}",
        {"/metrics": lambda: (200, telemetry.text())},
        max_connections=METRICS_CONNECTIONS,
        telemetry=telemetry,
    )
    telemetry.add_gauge("oldest_list_age_s", lists.oldest_age_s)
    stop = sigterm_event()
    log_event("started", disk=disk_id, new_disk=new_disk, address=address)

    async def log_stopped() -> None:
        log_event("stopped")

    await run_until(
        [
            joining.run(),
            reader.check_regularly(),
            lists.compare_regularly(),
            run_periodically(replica.maintain, SWEEP_INTERVAL_S, clock),
            run_periodically(lifetimes.send, LIFETIME_EXCHANGE_INTERVAL_S, clock),
            run_periodically(replica.retry_refused_write, DISK_RETRY_S, clock),
        ],
        stop,
        log_stopped,
    )


async def _open_disk(folder: Path, clock: Clock) -> tuple[str, bool, Journal]:
    """Return the identity of the disk, whether it is new, and its journal.

    Retries until the disk accepts the first write: a restarted process would only
    meet the same error.
    """
    logged_error = ""
    while True:
        try:
            disk_id, new_disk = read_disk_id(folder)
            journal = Journal(
                folder=folder / "journal", segment_bytes=SEGMENT_BYTES, clock=clock
            )
            return disk_id, new_disk, journal
        except OSError as error:
            if str(error) != logged_error:
                logged_error = str(error)
                log_event("disk_refuses_writes", folder=str(folder), error=logged_error)
            await clock.sleep(DISK_RETRY_S)


def _map_store(metadata: MetadataClient) -> MemberMapStore:
    async def read() -> MemberMap:
        item = await metadata.read_key(MEMBERS_KEY)
        if item is None:
            return MemberMap(version=0, member_list=MemberList())
        return MemberMap(
            version=item.revision, member_list=decode_stored_members(item.content)
        )

    async def write(members: MemberList, version: int) -> int:
        return await metadata.write(
            MEMBERS_KEY, encode_members(members), expected_revision=version
        )

    return MemberMapStore(read=read, write=write)


async def _retire(
    joining: StorageMembership, metadata: MetadataClient, node: str, clock: Clock
) -> None:
    await _write_retire_status(metadata, node, "running", clock)
    await joining.retire()
    await _write_retire_status(metadata, node, "completed", clock)


async def _write_retire_status(
    metadata: MetadataClient, node: str, state: str, clock: Clock
) -> None:
    key = RETIRE_STATUS_PREFIX + node
    content = msgspec.json.encode({"State": state})
    while True:
        try:
            item = await metadata.read_key(key)
            if item is not None and item.content == content:
                return
            revision = 0 if item is None else item.revision
            await metadata.write(key, content, expected_revision=revision)
            log_event("retire_status", node=node, state=state)
            return
        except WriteConflictError:
            continue
        except LentilroadError as error:
            log_event("retire_status_failed", node=node, error=str(error))
            await clock.sleep(STATUS_RETRY_INTERVAL_S)
