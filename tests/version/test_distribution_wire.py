"""Tests of the configuration distribution over a real connection."""

from __future__ import annotations

import asyncio
import random

from grpclib.client import Channel
from grpclib.server import Server

from lentilroad.clock import SystemClock
from lentilroad.errors import UnavailableError
from lentilroad.version.distribution import ConfigurationDistributor
from lentilroad.version.store import ConfigurationStore
from lentilroad.wire.codec import MessagePackCodec
from lentilroad.wire.services import MethodTable, call_unary
from tests.fakes.key_value import FakeKeyValueStore
from tests.version.texts import example_text


async def _no_call(address, method, request, timeout_s):
    raise UnavailableError("no peers in this test")


async def test_version_is_transferred_over_a_loopback_connection(tmp_path):
    """Heads and parts must pass unchanged through the codec and grpclib."""
    clock = SystemClock()
    source = ConfigurationDistributor(
        call=_no_call, clock=clock, random=random.Random(1), peers=list
    )
    server = Server([MethodTable(handlers=source.handlers())], codec=MessagePackCodec())
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    channel = Channel("127.0.0.1", port, codec=MessagePackCodec())

    async def call(address, method, request, timeout_s):
        return await call_unary(channel, method, request, timeout_s=timeout_s)

    store = ConfigurationStore(key_value=FakeKeyValueStore(), clock=clock)
    receiver = ConfigurationDistributor(
        call=call,
        clock=clock,
        random=random.Random(2),
        peers=lambda: ["source:1"],
        data_folder=tmp_path,
    )
    tasks = [asyncio.create_task(process.run()) for process in (source, receiver)]
    await source.distribute(await store.apply(example_text("hill_country"), "ana", 0))
    version = await receiver.wait_for_version(1)
    assert version.configuration == source.current.configuration
    assert (tmp_path / "configuration.version").read_text() == "1"
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    channel.close()
    server.close()
    await server.wait_closed()
