"""Guard against processes that miss a version or go back to an earlier one."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager

import msgspec
import pytest

from lentilroad.bench.peer_network import PeerNetwork
from lentilroad.clock import LoopClock
from lentilroad.errors import UnavailableError
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.version.const import HEAD_KEY
from lentilroad.version.distribution import ConfigurationDistributor
from lentilroad.version.parts import decode_head, encode_head
from lentilroad.version.store import ConfigurationStore
from lentilroad.version.watch import is_watcher
from lentilroad.wire.messages import ConfigDigestRequest, PullPartsRequest
from tests.fakes.key_value import FakeKeyValueStore
from tests.version.texts import deployment_text


async def _direct(function):
    function()


class _Cluster:
    """Entries that share one key-value service and one in-memory network."""

    def __init__(self, seed=1):
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.random = random.Random(seed)
        self.network = PeerNetwork(
            clock=self.clock, random=self.random, latency_s=lambda a, b: 0.001
        )
        self.key_value = FakeKeyValueStore()
        self.store = ConfigurationStore(
            key_value=self.key_value, clock=self.clock, random=self.random
        )

    @asynccontextmanager
    async def process(self, address, peers=(), **options):
        """Run one process until the block ends."""
        distribution = ConfigurationDistributor(
            call=self.network.call_from(address),
            clock=self.clock,
            random=self.random,
            peers=lambda: peers,
            address=address,
            run_blocking=_direct,
            **options,
        )
        self.network.handlers[address] = distribution.handlers()
        task = asyncio.create_task(distribution.run())
        try:
            yield distribution
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def watcher(self):
        """Return the options of a watching process."""
        return {"key_value": self.key_value, "is_watcher": lambda: True}


def test_watcher_passes_a_version_to_its_peers():
    """A version that only watchers hold is not in force everywhere."""

    async def main():
        cluster = _Cluster()
        names = ["a:1", "b:1", "c:1"]
        async with (
            cluster.process("a:1", names, **cluster.watcher()) as first,
            cluster.process("b:1", names) as second,
            cluster.process("c:1", ["b:1"], push_count=0) as third,
        ):
            await cluster.store.apply(deployment_text(), "ana", 0)
            for one in (first, second, third):
                assert (await one.wait_for_version(1)).version == 1
            assert third.status().author == "ana"

    run_virtual(main())


def test_lower_version_is_refused_after_a_restart(tmp_path):
    """A peer with an older version must not set a restarted process back."""

    async def main():
        cluster = _Cluster()
        one = await cluster.store.apply(deployment_text(), "ana", 0)
        two = await cluster.store.apply(deployment_text(marker=2), "ana", 1)
        async with cluster.process("a:1", data_folder=tmp_path) as first:
            await first.distribute(two)
            await first.wait_for_version(2)
        async with cluster.process("a:1", data_folder=tmp_path) as again:
            await cluster.clock.sleep(1)
            assert again.version == 2
            await again.config_digest(
                ConfigDigestRequest(version=1, head=one.head_value, sender="b:1")
            )
            await cluster.clock.sleep(5)
            assert again.version == 2

    run_virtual(main())


def test_damaged_copy_keeps_the_highest_version(tmp_path):
    """A process with a damaged copy must not accept a version below its highest."""

    async def main():
        cluster = _Cluster()
        one = await cluster.store.apply(deployment_text(), "ana", 0)
        two = await cluster.store.apply(deployment_text(marker=2), "ana", 1)
        async with cluster.process("a:1", data_folder=tmp_path) as first:
            await first.distribute(two)
            await first.wait_for_version(2)
        (tmp_path / "configuration.msgpack").write_bytes(b"damaged")
        async with cluster.process("a:1", data_folder=tmp_path) as again:
            await again.distribute(one)
            await cluster.clock.sleep(5)
            assert again.version == 0
            await again.distribute(two)
            assert (await again.wait_for_version(2)).version == 2

    run_virtual(main())


def test_cold_start_with_one_peer_and_no_service():
    """A cold process has the configuration within 2 s while the service is down."""

    async def main():
        cluster = _Cluster()
        applied = await cluster.store.apply(deployment_text(), "ana", 0)
        async with cluster.process("a:1") as first:
            await first.distribute(applied)
            await first.wait_for_version(1)
            cluster.key_value.down = True
            cluster.network.dead |= {"x:1", "y:1"}
            started_s = cluster.clock.monotonic_s()
            peers = ["x:1", "y:1", "a:1"]
            async with cluster.process("b:1", peers, **cluster.watcher()) as cold:
                await cold.wait_for_version(1)
                assert cluster.clock.monotonic_s() - started_s <= 2.0

    run_virtual(main())


def test_cold_start_takes_the_highest_of_several_peers():
    """Starting from the first answer would put an outdated version in force."""

    async def main():
        cluster = _Cluster()
        one = await cluster.store.apply(deployment_text(), "ana", 0)
        two = await cluster.store.apply(deployment_text(marker=2), "ana", 1)
        async with (
            cluster.process("a:1") as old,
            cluster.process("b:1") as new,
        ):
            await old.distribute(one)
            await new.distribute(two)
            await old.wait_for_version(1)
            await new.wait_for_version(2)
            seen = []
            async with cluster.process("c:1", ["a:1", "b:1"]) as cold:
                cold.on_change(lambda version: seen.append(version.version))
                await cold.wait_for_version(1)
            assert seen == [2]

    run_virtual(main())


def test_damaged_part_is_not_accepted():
    """A part that does not match its digest must be fetched elsewhere."""

    async def main():
        cluster = _Cluster()
        applied = await cluster.store.apply(deployment_text(), "ana", 0)

        async def lie(request):
            reply = await good.pull_parts(request)
            return msgspec.structs.replace(
                reply, parts={digest: b"bad" for digest in request.digests}
            )

        async with cluster.process("a:1") as good:
            await good.distribute(applied)
            await good.wait_for_version(1)
            handlers = dict(good.handlers())
            pull = next(m for m in handlers if m.request_type is PullPartsRequest)
            cluster.network.handlers["liar:1"] = {**handlers, pull: lie}
            async with cluster.process("b:1", ["liar:1"]) as victim:
                await cluster.clock.sleep(5)
                assert victim.version == 0
                victim.handle_peer_version("a:1", 1)
                await victim.config_digest(
                    ConfigDigestRequest(
                        version=1, head=applied.head_value, sender="a:1"
                    )
                )
                assert (await victim.wait_for_version(1)).version == 1

    run_virtual(main())


def test_requests_keep_the_version_they_started_with():
    """A change during a request must not alter what the request sees."""

    async def main():
        cluster = _Cluster()
        async with cluster.process("a:1") as one:
            await one.distribute(await cluster.store.apply(deployment_text(), "ana", 0))
            started = await one.wait_for_version(1)
            later = await cluster.store.apply(deployment_text(marker=9), "ana", 1)
            await one.distribute(later)
            await one.wait_for_version(2)
            assert started.configuration.general.budget.turns == 1
            assert one.current.configuration.general.budget.turns == 9

    run_virtual(main())


def test_service_restored_from_an_old_copy_does_not_revert():
    """A key-value service that lost its newest data must not set processes back."""

    async def main():
        cluster = _Cluster()
        await cluster.store.apply(deployment_text(), "ana", 0)
        old_items = dict(cluster.key_value.items)
        await cluster.store.apply(deployment_text(marker=2), "ana", 1)
        async with cluster.process("a:1", **cluster.watcher()) as one:
            await one.wait_for_version(2)
            cluster.key_value.items = old_items
            await cluster.clock.sleep(60)
            assert decode_head(cluster.key_value.items[HEAD_KEY].value).version == 1
            assert one.version == 2

    run_virtual(main())


def test_second_head_with_the_same_version_is_refused():
    """Two contents under one version number would split the deployment."""

    async def main():
        cluster = _Cluster()
        applied = await cluster.store.apply(deployment_text(), "ana", 0)
        async with cluster.process("a:1") as one:
            await one.distribute(applied)
            await one.wait_for_version(1)
            other = msgspec.structs.replace(applied.head, write_id="other")
            await one.config_digest(
                ConfigDigestRequest(version=1, head=encode_head(other), sender="b:1")
            )
            assert "two different heads" in one.status().last_error
            assert one.current.head.write_id == applied.head.write_id

    run_virtual(main())


@pytest.mark.parametrize("size", [1, 2, 3, 50])
def test_two_watchers_per_region(size):
    """More watchers load the service; fewer leave a region without one."""
    entries = [f"10.0.0.{index}:7000" for index in range(size)]
    watchers = [entry for entry in entries if is_watcher(entry, entries)]
    assert len(watchers) == min(2, size)


def test_only_source_is_asked_again_after_a_lost_answer():
    """Forgetting the only source after one lost answer left a process cold."""

    async def main():
        cluster = _Cluster()
        applied = await cluster.store.apply(deployment_text(), "ana", 0)
        async with cluster.process("a:1") as first:
            await first.distribute(applied)
            await first.wait_for_version(1)
            handlers = dict(first.handlers())
            pull = next(m for m in handlers if m.request_type is PullPartsRequest)
            refusals = iter([True, True])

            async def lose_twice(request):
                if next(refusals, False):
                    raise UnavailableError("lost")
                return await first.pull_parts(request)

            cluster.network.handlers["a:1"] = {**handlers, pull: lose_twice}
            cluster.network.dead |= {f"x{index}:1" for index in range(100)}
            peers = ["a:1", *cluster.network.dead]
            async with cluster.process("b:1", sorted(peers)) as cold:
                started_s = cluster.clock.monotonic_s()
                await cold.wait_for_version(1)
                assert cluster.clock.monotonic_s() - started_s < 10

    run_virtual(main())


def test_watcher_does_not_wait_for_unreachable_peers():
    """The first version of a deployment must not wait for peers that do not run."""

    async def main():
        cluster = _Cluster()
        await cluster.store.apply(deployment_text(), "ana", 0)
        cluster.network.dead |= {f"x{index}:1" for index in range(400)}
        peers = sorted(cluster.network.dead)
        async with cluster.process("a:1", peers, **cluster.watcher()) as one:
            started_s = cluster.clock.monotonic_s()
            await one.wait_for_version(1)
            assert cluster.clock.monotonic_s() - started_s < 2

    run_virtual(main())
