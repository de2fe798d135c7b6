"""Requests that crash the instances that run them, over loopback."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from types import SimpleNamespace

import aiohttp
import pytest

from lentilroad.clock import LoopClock, SystemClock
from lentilroad.connection.http_exchange import ExchangeBrokenError, HttpConnection
from lentilroad.errors import UnavailableError
from lentilroad.membership.crash_messages import Suspect, SuspectList
from lentilroad.membership.upstreams import UpstreamDirectory
from lentilroad.request.crash_suspects import SYNC_INTERVAL_S, CrashSuspects
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.version.routes import Route, RouteKind
from tests.fakes.crashes import CrashCoordinatorGroup
from tests.fakes.crashing_fleet import RUN_S, CrashingFleet
from tests.fakes.gateway import ATTEMPT_ID, instance, route_table, serving_gateway
from tests.fakes.raw_server import RawRequest, raw_server

DEADLY = b"deadly"
INSTANCES = 6
# After the third crash the request may still reach this many instances.
RETRIES = 3


def _table():
    return route_table(
        [
            Route(
                name=kind.value,
                host="h.example",
                prefix=f"/{kind.value}/",
                kind=kind,
                timeout_s=2.0,
                target_latency_s=0.2,
                target_event_gap_s=0.2,
                attempts=4,
                services=(("svc", 1),),
            )
            for kind in RouteKind
        ]
    )


@asynccontextmanager
async def _fleet(crashes_instance) -> AsyncIterator[CrashingFleet]:
    fleet = CrashingFleet(crashes_instance=crashes_instance)
    await fleet.start(INSTANCES)
    try:
        yield fleet
    finally:
        await fleet.close()


@asynccontextmanager
async def _entry(fleet: CrashingFleet, **fields) -> AsyncIterator[SimpleNamespace]:
    instances = list(fleet.instances.values())
    async with serving_gateway(instances, _table(), **fields) as gateway:
        fleet.directories.append(gateway.directory)
        yield gateway


async def _send(
    session: aiohttp.ClientSession, number: int, target: str, body: bytes
) -> int:
    """Send one request and return its status; 0 if the response was cut off."""
    headers = {
        "Host": "h.example",
        ATTEMPT_ID: f"a{number}",
        "Lentilroad-Program-Id": f"p{number}",
        "Lentilroad-Deadline-Milliseconds": "1500",
    }
    try:
        async with session.post(target, headers=headers, data=body) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


@pytest.mark.parametrize("kind", list(RouteKind))
async def test_request_that_crashes_instances_is_not_sent_to_one_after_the_other(
    kind: RouteKind,
) -> None:
    """Guard against one request that crashes instance after instance."""
    async with (
        _fleet(lambda target, body: body == DEADLY) as fleet,
        _entry(fleet) as gateway,
    ):
        sends = []
        for number in range(60):
            body = DEADLY if number % 6 == 0 else b"sound-%d" % number
            target = f"/{kind.value}/{'deadly' if body == DEADLY else number}"
            sends.append(
                asyncio.create_task(_send(gateway.session, number, target, body))
            )
            await asyncio.sleep(0.05)
        await asyncio.gather(*sends)
    assert fleet.crashes <= 3 + RETRIES


class _NoTransport(asyncio.Transport):
    """Transport without a socket."""

    def get_extra_info(self, name: str, default: object = None) -> None:
        """Return nothing: there is no socket."""


def _crashes_on_deadly(target: bytes, body: bytes) -> bool:
    return body == DEADLY


async def _send_until_banned(entry: SimpleNamespace, kind: str = "idempotent") -> None:
    for number in range(60):
        await _send(entry.session, number, f"/{kind}/deadly", DEADLY)
        if entry.suspects.banned_count():
            return
        await asyncio.sleep(0.25)
    pytest.fail("the request was not banned")


@asynccontextmanager
async def _entries(fleet: CrashingFleet, count: int):
    """Run entries that share coordinators; yield them and the coordinators."""
    group = CrashCoordinatorGroup(clock=SystemClock())
    async with AsyncExitStack() as stack:
        entries = [
            await stack.enter_async_context(
                _entry(fleet, crashes=group, address=f"entry-{number}")
            )
            for number in range(count)
        ]
        yield entries, group


async def test_ban_holds_at_all_entries_and_after_restarts() -> None:
    """Guard against a request that each entry has to learn about by itself."""
    async with (
        _fleet(_crashes_on_deadly) as fleet,
        _entries(fleet, 3) as (entries, group),
    ):
        await _send_until_banned(entries[0])
        crashes = fleet.crashes
        for entry in entries:
            assert await _send(entry.session, 0, "/idempotent/deadly", DEADLY) == 503
        # Coordinators that restart learn the ban from the entries, and a restarted
        # entry learns it from them.
        for coordinator in ("c-0", "c-1"):
            group.restart(coordinator)
        await entries[1].suspects.synchronize()
        restarted = group.entry("entry-2", entries[2].directory)
        await restarted.synchronize()
        assert restarted.banned_count() > 0
        assert fleet.crashes == crashes <= 3 + RETRIES


async def test_ban_of_one_coordinator_reaches_the_other() -> None:
    """Guard against a trial at a coordinator that missed the ban of the other."""
    clock = SystemClock()
    group = CrashCoordinatorGroup(clock=clock)
    entry = group.entry("entry", UpstreamDirectory(clock=clock))
    ban = SuspectList(suspects=[Suspect(key=b"k", banned_for_s=60.0, bans=1)])
    await group.coordinator("c-1").share(ban)
    await entry.synchronize()
    await entry.synchronize()
    reply = await group.coordinator("c-0").share(SuspectList(suspects=[]))
    assert [suspect.bans for suspect in reply.suspects] == [1]


async def test_started_entry_learns_bans_from_the_first_reachable_coordinator() -> None:
    """Guard against a banned request that is sent by an entry that has just started.

    After a start the entry may not know the storage members yet.
    """
    clock = SystemClock()
    group = CrashCoordinatorGroup(clock=clock)
    ban = SuspectList(suspects=[Suspect(key=b"k", banned_for_s=60.0, bans=1)])
    await group.coordinator("c-1").share(ban)
    entry = group.entry("entry", UpstreamDirectory(clock=clock))
    group.unreachable |= {"c-0", "c-1"}
    regularly = asyncio.create_task(entry.synchronize_regularly())
    await asyncio.sleep(0.3)
    assert not entry.synchronized
    group.unreachable.clear()
    await asyncio.sleep(0.5)
    assert entry.synchronized
    regularly.cancel()
    assert entry.banned_count() == 1


def test_started_entry_calls_unreachable_coordinators_ever_more_rarely() -> None:
    """Guard against 40 failed calls and log lines a second for a whole outage."""
    calls: list[float] = []

    async def run() -> None:
        clock = LoopClock(loop=asyncio.get_running_loop())

        async def call(*arguments: object, **options: object) -> None:
            calls.append(clock.monotonic_s())
            raise UnavailableError("unreachable; try again later")

        entry = CrashSuspects(
            call=call,
            coordinators=lambda: ["c-0"],
            entries=list,
            own_address="entry",
            directory=UpstreamDirectory(clock=clock),
            clock=clock,
        )
        regularly = asyncio.create_task(entry.synchronize_regularly())
        await clock.sleep(60.0)
        regularly.cancel()

    run_virtual(run())
    # One call every two seconds, and a few more at the start.
    assert len(calls) <= 60 / SYNC_INTERVAL_S + 6
    assert calls[1] - calls[0] < 0.1


async def test_refusal_of_a_banned_request_comes_at_once_with_its_end() -> None:
    """Guard against callers that hammer a request that cannot be served."""
    async with _fleet(_crashes_on_deadly) as fleet, _entry(fleet) as entry:
        await _send_until_banned(entry)
        headers = {"Host": "h.example", ATTEMPT_ID: "a"}
        began_s = asyncio.get_running_loop().time()
        async with entry.session.post(
            "/idempotent/deadly", headers=headers, data=DEADLY
        ) as response:
            assert response.status == 503
            assert float(response.headers["Retry-After"]) > 60.0
            assert (await response.json())["error"] == "crashes_instances"
        assert asyncio.get_running_loop().time() - began_s < 0.2


async def test_request_of_another_customer_is_not_banned() -> None:
    """Guard against one customer's bytes that ban the request of another."""
    async with _fleet(_crashes_on_deadly) as fleet, _entry(fleet) as entry:
        await _send_until_banned(entry)
        fleet.crashes_instance = lambda target, body: False
        headers = {
            "Host": "h.example",
            ATTEMPT_ID: "a",
            "Authorization": "Bearer other",
        }
        async with entry.session.post(
            "/idempotent/deadly", headers=headers, data=DEADLY
        ) as response:
            assert response.status == 200


async def test_popular_lookup_beside_crashes_is_served_throughout() -> None:
    """Guard against a ban of a lookup that is in flight at every crash."""
    async with _fleet(_crashes_on_deadly) as fleet, _entry(fleet) as entry:

        async def look_up() -> list[int]:
            return [
                await _send(entry.session, number, "/idempotent/lookup", b"")
                for number in range(40)
            ]

        lookups = [asyncio.create_task(look_up()) for _ in range(4)]
        await _send_until_banned(entry, "non_idempotent")
        statuses = [status for task in lookups for status in await task]
        assert await _send(entry.session, 99, "/idempotent/lookup", b"") == 200
    assert statuses.count(200) >= 0.95 * len(statuses)


async def test_instance_that_only_loses_connections_is_no_crash() -> None:
    """Guard against blame for a cut link or a broken answer."""

    async def break_off(request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        return True

    async with (
        raw_server(break_off) as server,
        serving_gateway([instance(0, server.address)], _table()) as entry,
    ):
        for number in range(5):
            await _send(entry.session, number, "/non_idempotent/x", b"sound")
        assert entry.suspects.reported_crashes == 0
        assert not entry.suspects.has_suspects()


async def test_instance_that_falls_silent_is_no_crash() -> None:
    """Guard against blame for a machine that lost power or is cut off."""

    async def hang(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(5.0)

    async with (
        raw_server(hang) as server,
        serving_gateway([instance(0, server.address)], _table()) as entry,
    ):
        await asyncio.gather(
            *(
                _send(entry.session, number, f"/{kind.value}/x", b"sound")
                for number, kind in enumerate(RouteKind)
            )
        )
        assert len(server.requests) == len(RouteKind)
        assert entry.suspects.reported_crashes == 0


@pytest.mark.parametrize(
    ("error", "lost"),
    [
        (None, True),
        (ConnectionResetError(), True),
        # The kernel gave up: nobody acknowledged the bytes.
        (TimeoutError(), False),
        (OSError("no route to host"), False),
    ],
)
async def test_only_a_connection_that_the_server_ended_is_lost(
    error: Exception | None, lost: bool
) -> None:
    """Guard against taking an unreachable machine for a crashed process."""
    connection = HttpConnection()
    connection.connection_made(_NoTransport())
    connection._begin(None)
    connection.connection_lost(error)
    with pytest.raises(ExchangeBrokenError) as raised:
        await connection.next_chunk()
    assert raised.value.connection_lost is lost


async def test_instance_that_leaves_as_planned_is_no_crash() -> None:
    """Guard against blame for requests that a planned stop of an instance ended."""
    async with _fleet(_crashes_on_deadly) as fleet, _entry(fleet) as entry:
        for state in entry.directory.instances("svc"):
            state.drain_s = 60.0
            state.record_leaving(entry.clock.monotonic_s())
        await _send(entry.session, 0, "/non_idempotent/deadly", DEADLY)
        assert fleet.crashes == 1
        assert entry.suspects.reported_crashes == 0


async def _wait_for_reports(entry: SimpleNamespace, count: int) -> None:
    for _ in range(50):
        if entry.suspects.reported_crashes >= count:
            return
        await asyncio.sleep(RUN_S)
    pytest.fail("the crash was not reported")


# BUDGET: callers reached instances that leave while the others were down.
async def test_crash_of_a_leaving_instance_counts_against_a_suspect() -> None:
    """Guard against a request that crashes instances that leave, without a bound."""
    async with _fleet(_crashes_on_deadly) as fleet, _entry(fleet) as entry:
        await _send(entry.session, 0, "/non_idempotent/deadly", DEADLY)
        await _wait_for_reports(entry, 1)
        for state in entry.directory.instances("svc"):
            state.drain_s = 60.0
            state.record_leaving(entry.clock.monotonic_s())
        await _send(entry.session, 1, "/non_idempotent/deadly", DEADLY)
        await _wait_for_reports(entry, 2)
        assert fleet.crashes == 2


# BUDGET: an entry gave up just before the instance crashed, and nobody reported it.
async def test_crash_by_a_suspect_that_its_caller_gave_up_counts() -> None:
    """Guard against crashes that nobody reports since nobody waits any more."""
    async with _fleet(_crashes_on_deadly) as fleet, _entry(fleet) as entry:
        await _send(entry.session, 0, "/non_idempotent/deadly", DEADLY)
        await _wait_for_reports(entry, 1)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(RUN_S / 4):
                await _send(entry.session, 1, "/non_idempotent/deadly", DEADLY)
        await _wait_for_reports(entry, 2)
        assert fleet.crashes == 2


async def test_request_that_cannot_be_checked_crashes_few_instances() -> None:
    """Guard against endless resends while no coordinator is reachable."""
    async with (
        _fleet(_crashes_on_deadly) as fleet,
        _entries(fleet, 1) as (entries, group),
    ):
        group.unreachable |= {"c-0", "c-1"}
        await _send(entries[0].session, 0, "/idempotent/deadly", DEADLY)
        assert fleet.crashes <= 3
        sound = await _send(entries[0].session, 1, "/idempotent/sound", b"sound")
        assert sound == 200
