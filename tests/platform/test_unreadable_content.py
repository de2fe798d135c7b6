"""Readers of bytes that other programs wrote, with content that cannot be read."""

from __future__ import annotations

import asyncio
import base64
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lentilroad.clock import SystemClock
from lentilroad.connection.http_exchange import ResponseHead
from lentilroad.connection.http_pool import keep_alive_s
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import start_server
from lentilroad.conversation.journal import Journal
from lentilroad.conversation.lifetimes import LifetimeTable
from lentilroad.conversation.members import Member, MemberList, encode_members
from lentilroad.conversation.replica import Replica
from lentilroad.errors import ConfigurationError, LentilroadError
from lentilroad.membership.list_copy import ListCopy
from lentilroad.membership.list_exchange import ListExchange
from lentilroad.membership.list_messages import ListItem
from lentilroad.membership.upstreams import UpstreamDirectory
from lentilroad.platform.configuration import decode_configuration
from lentilroad.platform.entry import read_workers
from lentilroad.platform.following import MEMBERS_KEY, member_map_callback
from lentilroad.platform.list_reader import ListReader
from lentilroad.platform.metadata import MetadataClient, MetadataError
from lentilroad.platform.requests import response_facts
from lentilroad.platform.workers import WORKER_PREFIX, decode_worker
from lentilroad.request.event_stream import EventReader
from lentilroad.standins.platform_store import MetadataStoreStandIn
from lentilroad.wire.messages import ShardRecord
from lentilroad.wire.services import GRANT, Method
from tests.connection.test_peers import REQUEST
from tests.fakes.raw_server import RawRequest, raw_response, raw_server
from tests.fakes.storage_cluster import turn

NESTED = "[" * 5000 + "]" * 5000
HUGE = 10**40
WORKER: dict[str, Any] = {
    "Service": "svc",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "Slots": 4,
    "State": "ready",
}


def _document(fields: dict[str, Any], **changes: Any) -> bytes:
    return json.dumps(fields | changes).encode()


def _nested(fields: dict[str, Any]) -> bytes:
    return json.dumps(fields)[:-1].encode() + b', "Unknown": ' + NESTED.encode() + b"}"


ODD_WORKERS = {
    "nested": _nested(WORKER),
    "not_json": b"\xff\x00{",
    "empty": b"",
    "list": b"[]",
    "long_number": _document(WORKER)[:-1] + b', "born": ' + b"9" * 5000 + b"}",
    "huge_slots": _document(WORKER, Slots=HUGE),
    "no_slots": _document(WORKER, Slots=0),
    "slots_of_another_type": _document(WORKER, Slots="4"),
    "huge_born": _document(WORKER, born=HUGE),
    "negative_born": _document(WORKER, born=-1),
    "huge_cold_time": _document(WORKER, ColdRemainingMs=1e300),
    "port_0": _document(WORKER, Address="10.0.0.1:0"),
    "port_70000": _document(WORKER, Address="10.0.0.1:70000"),
    "no_port": _document(WORKER, Address="10.0.0.1"),
    "address_out_of_range": _document(WORKER, Address="999.0.0.1:80"),
    "address_in_other_digits": _document(WORKER, Address="١٠.0.0.1:80"),
    "port_in_other_digits": _document(WORKER, Address="10.0.0.1:٨٠"),
    "host_name": _document(WORKER, Address="localhost:80"),
    "unknown_state": _document(WORKER, State="resting"),
    "no_service": _document(WORKER, Service=""),
}
ODD_KEYS = ["servers/", "servers/a b", "servers/a\r\nX: y", "servers/ü", "servers/\x00"]


@pytest.mark.parametrize("content", ODD_WORKERS.values(), ids=ODD_WORKERS)
def test_odd_registration_names_no_worker(content: bytes) -> None:
    """Guard against an instance whose numbers or address no later step can use."""
    assert decode_worker("servers/i-1", content) is None


@pytest.mark.parametrize("key", ODD_KEYS)
def test_registration_under_an_odd_id_names_no_worker(key: str) -> None:
    """Guard against an id that cannot be sent in a header."""
    assert decode_worker(key, _document(WORKER)) is None


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@pytest.fixture(scope="module", autouse=True)
def _character_table() -> None:
    """Build the table of characters before the first draw is timed.

    It is built once for each checkout, which takes seconds on a busy machine.
    """

    @settings(
        max_examples=1,
        database=None,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(st.text())
    def draw(text: str) -> None:
        assert isinstance(text, str)

    draw()


@settings(max_examples=300, derandomize=True)
@given(
    changes=st.dictionaries(
        st.sampled_from([*WORKER, "born", "ColdRemainingMs", "Version", "x"]), _JSON
    )
)
def test_any_registration_is_read_or_ignored(changes: dict[str, Any]) -> None:
    """Guard against an entry of the list that ends the process that reads it."""
    worker = decode_worker("servers/i-1", _document(WORKER, **changes))
    if worker is not None:
        msgspec.msgpack.encode([worker.slots, worker.started_ms])


# Processes ended again and again: one odd registration stood in the list.
async def test_odd_registrations_neither_hide_others_nor_end_the_watch() -> None:
    """Guard against one entry of the list that stops the following of all others."""
    store = MetadataStoreStandIn()
    await store.start("127.0.0.1", 0)
    clock = SystemClock()
    client = MetadataClient(address=store.address, clock=clock)
    directory = UpstreamDirectory(clock=clock)
    changed = asyncio.Event()

    def on_items(items: list[ListItem]) -> None:
        for item, worker in read_workers(items):
            if worker is not None:
                directory.update(worker)
            else:
                directory.remove(item.key.removeprefix(WORKER_PREFIX))
        changed.set()

    copy = ListCopy(
        name=WORKER_PREFIX, clock=clock, on_list=on_items, on_changes=on_items
    )
    exchange = ListExchange(
        copies=[copy],
        call=lambda *arguments, **options: None,
        coordinators=lambda: ["self"],
        own_address="self",
        clock=clock,
    )

    async def wait_for(*instance_ids: str) -> None:
        async with asyncio.timeout(2.0):
            while {s.instance.instance_id for s in directory.instances("svc")} != set(
                instance_ids
            ):
                changed.clear()
                await changed.wait()

    async def put_odd_entries() -> None:
        for number, content in enumerate(ODD_WORKERS.values()):
            await store.put(f"{WORKER_PREFIX}odd-{number}", content)
        await store.put(f"{WORKER_PREFIX}not-base64", b"")
        store.items[f"{WORKER_PREFIX}not-base64"]["Value"] = "not base64 ä"

    await store.put(f"{WORKER_PREFIX}i-1", _document(WORKER))
    await put_odd_entries()
    reader = ListReader(client=client, exchange=exchange, clock=clock)
    task = asyncio.create_task(reader.check_regularly())
    try:
        await wait_for("i-1")
        await put_odd_entries()
        await store.put(f"{WORKER_PREFIX}i-2", _document(WORKER))
        await wait_for("i-1", "i-2")
        # A registration that became unreadable names no worker any more.
        await store.put(f"{WORKER_PREFIX}i-1", ODD_WORKERS["nested"])
        await wait_for("i-2")
        assert not task.done()
    finally:
        task.cancel()
        client.close()
        await store.close()


ROUTE = {"Name": "r", "Host": "h", "Prefix": "/a/", "Service": "s"}
ODD_CONFIGURATIONS = {
    "nested": _nested({"Version": 2}),
    "not_json": b"\xff",
    "huge_version": _document({"Version": HUGE}),
    "huge_timeout": _document({"Version": 2, "Routes": [ROUTE | {"TimeoutMs": HUGE}]}),
    "huge_timeout_without_exponent": _document(
        {"Version": 2, "Routes": [ROUTE | {"TimeoutMs": int("9" * 400)}]}
    ),
    "endless_timeout": _document(
        {"Version": 2, "Routes": [ROUTE | {"TimeoutMs": "inf"}]}
    ),
    "negative_timeout": _document(
        {"Version": 2, "Routes": [ROUTE | {"TimeoutMs": -1}]}
    ),
    "huge_attempts": _document({"Version": 2, "Routes": [ROUTE | {"Attempts": HUGE}]}),
    "negative_weight": _document(
        {
            "Version": 2,
            "Routes": [{**ROUTE, "TrafficSplit": [{"Service": "s", "Weight": -1}]}],
        }
    ),
    "no_weight": _document(
        {
            "Version": 2,
            "Routes": [
                {
                    "Name": "r",
                    "Host": "h",
                    "Prefix": "/a/",
                    "TrafficSplit": [{"Service": "s", "Weight": 0}],
                }
            ],
        }
    ),
    "unknown_kind": _document({"Version": 2, "Routes": [ROUTE | {"Kind": "odd"}]}),
    "huge_limit": _document({"Version": 2, "Limits": {"IdleTimeoutMs": 1e300}}),
}


@pytest.mark.parametrize("content", ODD_CONFIGURATIONS.values(), ids=ODD_CONFIGURATIONS)
def test_odd_configuration_is_a_typed_error(content: bytes) -> None:
    """Guard against a configuration that ends the process that reads it."""
    with pytest.raises(ConfigurationError):
        decode_configuration(content)


def _members(**changes: Any) -> dict[str, Any]:
    member = Member(
        node="n",
        disk_id="d",
        address="10.0.0.1:80",
        availability_zone="z",
        region="r",
        slot=0,
    )
    encoded = encode_members(MemberList(slot_count=1, members=(member,)))
    members = json.loads(encoded)
    members["members"][0] |= changes
    return members


ODD_MEMBERS = {
    "nested": _nested(_members()),
    "not_json": b"\xff",
    "huge_slot_count": _document(_members(), slot_count=HUGE),
    "many_slots": _document(_members(), slot_count=10**9),
    "huge_slot": _document(_members(slot=HUGE)),
    "negative_slot": _document(_members(slot=-1)),
    "port_70000": _document(_members(address="10.0.0.1:70000")),
    "no_address": _document(_members(address="")),
}


@pytest.mark.parametrize("content", ODD_MEMBERS.values(), ids=ODD_MEMBERS)
def test_odd_member_list_leaves_the_former_one(content: bytes) -> None:
    """Guard against a list of members that ends the process that reads it."""
    versions: list[int] = []
    on_item = member_map_callback(
        lambda member_map: versions.append(member_map.version)
    )
    on_item(ListItem(key=MEMBERS_KEY, revision=1, content=_document(_members())))
    on_item(ListItem(key=MEMBERS_KEY, revision=2, content=content))
    on_item(ListItem(key=MEMBERS_KEY, revision=3, content=_document(_members())))
    assert versions == [1, 3]


async def test_odd_record_and_odd_file_of_a_journal_hide_no_other_record(
    tmp_path: Path,
) -> None:
    """Guard against a storage process that cannot start with its own disk."""
    clock = SystemClock()
    journal = Journal(folder=tmp_path, segment_bytes=10**6, clock=clock)

    def replica() -> Replica:
        return Replica(
            journal=journal,
            disk_id="d",
            clock=clock,
            disk_bytes=10**8,
            member_disks=set,
            map_version=lambda: 0,
            members=lambda: (0, b""),
            update_members=lambda version, members: None,
            lifetimes=LifetimeTable(),
            confirmed_until_s=clock.monotonic_s,
        )

    encode = msgspec.msgpack.encode
    nested_record = b"\x95" + 4 * encode(None) + b"\x91" * 5000 + b"\xc0"
    for payload in (
        nested_record,
        b"\xc1",
        encode([{"turn_id": HUGE % 2**60}]),
        encode([turn("t-1", retention_s=60.0, written_s=clock.time_s())]),
    ):
        await journal.append(payload)
    for name in ("²", "x", "9" * 50):
        (tmp_path / f"{name}.segment").write_bytes(b"\x00" * 40)
    recovered = replica()
    recovered.recover()
    assert [record.turn_id for record in recovered.turns()] == ["t-1"]
    journal.close()


@pytest.mark.parametrize("odd", ["nested", "other_type", "bytes"])
async def test_odd_message_of_a_peer_is_a_typed_error_of_its_call(odd: str) -> None:
    """Guard against a peer whose message ends a task of another process."""
    value: Any = {"nested": None, "other_type": 7, "bytes": b"\xff"}[odd]
    if odd == "nested":
        value = []
        for _ in range(300):
            value = [value]
    untyped = Method(path=GRANT.path, request_type=Any, reply_type=Any)

    async def reply_oddly(request: object) -> object:
        return value

    async def grant(request: object) -> object:
        return {"granted": True, "highest": ShardRecord(epoch=1, owner="a")}

    for handler, method, message in (
        (reply_oddly, untyped, REQUEST),
        (grant, GRANT, value),
    ):
        server = await start_server({method: handler}, "127.0.0.1", 0)
        peers = PeerConnections(clock=SystemClock())
        try:
            with pytest.raises(LentilroadError):
                await peers.call(server.address, GRANT, message, 5.0)
        finally:
            await peers.close()
            await server.close(grace_s=0)


ODD_HEADERS = [b"", b"nan", b"inf", b"-1", b"1e999", b"9" * 5000, b"\xb2", b"1,1"]


@pytest.mark.parametrize("value", ODD_HEADERS)
def test_odd_numbers_in_the_head_of_an_answer_are_ignored(value: bytes) -> None:
    """Guard against a header that fails the request, or all later ones."""
    head = ResponseHead(
        status=200,
        headers=[(b"Server-Limit", value), (b"Keep-Alive", b"timeout=" + value)],
    )
    limit = response_facts(head).rate_limit_per_s
    assert limit is None or 0.0 <= limit < float("inf")
    assert 0.0 <= keep_alive_s(head) < 10**9


@pytest.mark.parametrize("event_id", [b"9" * 5000, "²".encode("latin-1"), b"\xff"])
def test_odd_event_ids_are_forwarded(event_id: bytes) -> None:
    """Guard against an event id that ends a stream at its resumption."""
    reader = EventReader()
    reader.feed(b"id: 1\ndata: a\n\n")
    reader.begin_next_run()
    event = b"id: " + event_id + b"\ndata: b\n\n"
    assert reader.feed(event) == event


ODD_STORE_BODIES = {
    "nested": b'{"events": [], "CurrentRev": 3, "x": ' + NESTED.encode() + b"}",
    "huge_revision": _document({"events": [], "items": [], "CurrentRev": HUGE}),
    "not_json": b"\xff",
    "items_of_another_type": b'{"items": 7, "events": 7}',
}


@pytest.mark.parametrize("body", ODD_STORE_BODIES.values(), ids=ODD_STORE_BODIES)
async def test_odd_answer_of_the_store_is_a_typed_error(body: bytes) -> None:
    """Guard against an answer of the store that ends the process."""

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(raw_response(body))

    async with raw_server(answer) as server:
        client = MetadataClient(address=server.address, clock=SystemClock())
        with pytest.raises(MetadataError):
            await client.read_prefix("servers/")
        with pytest.raises(MetadataError):
            await client.watch("servers/", 1, wait_s=0.1, grace_s=1.0)
        client.close()


async def test_answer_of_the_store_that_is_cut_at_any_byte_is_a_typed_error() -> None:
    """Guard against a half-read list that is taken for the whole one."""
    item = {"Key": "servers/a", "Value": base64.b64encode(b"v").decode(), "Revision": 3}
    full = raw_response(_document({"items": [item], "CurrentRev": 3}))
    sent_bytes = 0

    async def answer(request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        writer.write(full[:sent_bytes])
        await writer.drain()
        return True

    async with raw_server(answer) as server:
        client = MetadataClient(address=server.address, clock=SystemClock())
        while sent_bytes < len(full):
            with pytest.raises(MetadataError):
                await client.read_prefix("servers/")
            sent_bytes += 1
        assert (await client.read_prefix("servers/")).revision == 3
        client.close()
