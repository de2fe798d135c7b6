"""Tests against processes that miss a version or return to a lower version."""

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


async def _run_directly(function):
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
        """Run a process until the block ends."""
        distribution = ConfigurationDistributor(
            call=self.network.call_from(address),
            clock=self.clock,
            random=self.random,
            peers=lambda: peers,
            address=address,
            run_blocking=_run_directly,
            **options,
        )
        self.network.handlers[address] = distribution.handlers()
        task = asyncio.create_task(distribution.run())
        try:
            yield distribution
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def watcher_options(self):
        """Return the options of a process that is a watcher."""
        return {"key_value": self.key_value, "is_watcher": lambda: True}


def test_watcher_pushes_a_version_to_its_peers():
    """Processes that are not watchers receive versions only from their peers."""

    async def main():
        cluster = _Cluster()
        names = ["a:1", "b:1", "c:1"]
        async with (
            cluster.process("a:1", names, **cluster.watcher_options()) as first,
            cluster.process("b:1", names) as second,
            cluster.process("c:1", ["b:1"], push_count=0) as third,
        ):
            await cluster.store.apply(deployment_text(), "ana", 0)
            for process in (first, second, third):
                assert (await process.wait_for_version(1)).version == 1
            assert third.status().author == "ana"

    run_virtual(main())


def test_lower_version_is_refused_after_a_restart(tmp_path):
    """A peer with an older version must not revert a restarted process."""

    async def main():
        cluster = _Cluster()
        version_1 = await cluster.store.apply(deployment_text(), "ana", 0)
        version_2 = await cluster.store.apply(deployment_text(marker=2), "ana", 1)
        async with cluster.process("a:1", data_folder=tmp_path) as first:
            await first.distribute(version_2)
            await first.wait_for_version(2)
        async with cluster.process("a:1", data_folder=tmp_path) as restarted:
            await cluster.clock.sleep(1)
            assert restarted.version == 2
            await restarted.config_digest(
                ConfigDigestRequest(version=1, head=version_1.head_value, sender="b:1")
            )
            await cluster.clock.sleep(5)
            assert restarted.version == 2

    run_virtual(main())


def test_damaged_copy_does_not_lower_the_highest_version(tmp_path):
    """A process with a damaged copy must not accept an older version."""

    async def main():
        cluster = _Cluster()
        version_1 = await cluster.store.apply(deployment_text(), "ana", 0)
        version_2 = await cluster.store.apply(deployment_text(marker=2), "ana", 1)
        async with cluster.process("a:1", data_folder=tmp_path) as first:
            await first.distribute(version_2)
            await first.wait_for_version(2)
        (tmp_path / "configuration.msgpack").write_bytes(b"damaged")
        async with cluster.process("a:1", data_folder=tmp_path) as restarted:
            await restarted.distribute(version_1)
            await cluster.clock.sleep(5)
            assert restarted.version == 0
            await restarted.distribute(version_2)
            assert (await restarted.wait_for_version(2)).version == 2

    run_virtual(main())


def test_cold_start_with_one_live_peer_during_an_outage():
    """A new process must get the configuration within 2 s in a key-value outage."""

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
            async with cluster.process(
                "b:1", peers, **cluster.watcher_options()
            ) as cold:
                await cold.wait_for_version(1)
                assert cluster.clock.monotonic_s() - started_s <= 2.0

    run_virtual(main())


def test_cold_start_takes_the_highest_of_several_peers():
    """Using the first answer could put an outdated version in force."""

    async def main():
        cluster = _Cluster()
        version_1 = await cluster.store.apply(deployment_text(), "ana", 0)
        version_2 = await cluster.store.apply(deployment_text(marker=2), "ana", 1)
        async with (
            cluster.process("a:1") as old,
            cluster.process("b:1") as new,
        ):
            await old.distribute(version_1)
            await new.distribute(version_2)
            await old.wait_for_version(1)
            await new.wait_for_version(2)
            versions = []
            async with cluster.process("c:1", ["a:1", "b:1"]) as cold:
                cold.on_change(lambda version: versions.append(version.version))
                await cold.wait_for_version(1)
            assert versions == [2]

    run_virtual(main())


def test_damaged_part_is_not_accepted():
    """A part that does not match its digest must be pulled from another source."""

    async def main():
        cluster = _Cluster()
        applied = await cluster.store.apply(deployment_text(), "ana", 0)

        async def return_damaged_parts(request):
            reply = await source.pull_parts(request)
            return msgspec.structs.replace(
                reply, parts={digest: b"bad" for digest in request.digests}
            )

        async with cluster.process("a:1") as source:
            await source.distribute(applied)
            await source.wait_for_version(1)
            handlers = dict(source.handlers())
            pull = next(m for m in handlers if m.request_type is PullPartsRequest)
            cluster.network.handlers["faulty:1"] = {
                **handlers,
                pull: return_damaged_parts,
            }
            async with cluster.process("b:1", ["faulty:1"]) as receiver:
                await cluster.clock.sleep(5)
                assert receiver.version == 0
                receiver.handle_peer_version("a:1", 1)
                await receiver.config_digest(
                    ConfigDigestRequest(
                        version=1, head=applied.head_value, sender="a:1"
                    )
                )
                assert (await receiver.wait_for_version(1)).version == 1

    run_virtual(main())


def test_request_uses_the_version_it_started_with():
    """A change must not alter the configuration of a request in progress."""

    async def main():
        cluster = _Cluster()
        async with cluster.process("a:1") as process:
            await process.distribute(
                await cluster.store.apply(deployment_text(), "ana", 0)
            )
            started = await process.wait_for_version(1)
            later = await cluster.store.apply(deployment_text(marker=9), "ana", 1)
            await process.distribute(later)
            await process.wait_for_version(2)
            assert started.configuration.general.budget.turns == 1
            assert process.current.configuration.general.budget.turns == 9

    run_virtual(main())


def test_key_value_service_restored_from_an_old_copy_reverts_nothing():
    """A key-value service that lost its newest data must not revert processes."""

    async def main():
        cluster = _Cluster()
        await cluster.store.apply(deployment_text(), "ana", 0)
        old_items = dict(cluster.key_value.items)
        await cluster.store.apply(deployment_text(marker=2), "ana", 1)
        async with cluster.process("a:1", **cluster.watcher_options()) as process:
            await process.wait_for_version(2)
            cluster.key_value.items = old_items
            await cluster.clock.sleep(60)
            assert decode_head(cluster.key_value.items[HEAD_KEY].value).version == 1
            assert process.version == 2

    run_virtual(main())


def test_second_head_with_the_same_version_is_refused():
    """Two contents with the same version number would split the deployment."""

    async def main():
        cluster = _Cluster()
        applied = await cluster.store.apply(deployment_text(), "ana", 0)
        async with cluster.process("a:1") as process:
            await process.distribute(applied)
            await process.wait_for_version(1)
            other = msgspec.structs.replace(applied.head, write_id="other")
            await process.config_digest(
                ConfigDigestRequest(version=1, head=encode_head(other), sender="b:1")
            )
            assert "two different heads" in process.status().last_error
            assert process.current.head.write_id == applied.head.write_id

    run_virtual(main())


@pytest.mark.parametrize("size", [1, 2, 3, 50])
def test_two_watchers_per_region(size):
    """More watchers overload the service; fewer leave a region without a watcher."""
    entries = [f"10.0.0.{index}:7000" for index in range(size)]
    watchers = [entry for entry in entries if is_watcher(entry, entries)]
    assert len(watchers) == min(2, size)


def test_only_source_is_retried_after_a_lost_answer():
    """A process that discarded its only source after a lost answer stayed cold."""

    async def main():
        cluster = _Cluster()
        applied = await cluster.store.apply(deployment_text(), "ana", 0)
        async with cluster.process("a:1") as first:
            await first.distribute(applied)
            await first.wait_for_version(1)
            handlers = dict(first.handlers())
            pull = next(m for m in handlers if m.request_type is PullPartsRequest)
            failures = iter([True, True])

            async def lose_twice(request):
                if next(failures, False):
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
    """Unreachable peers must not delay the first version of a deployment."""

    async def main():
        cluster = _Cluster()
        await cluster.store.apply(deployment_text(), "ana", 0)
        cluster.network.dead |= {f"x{index}:1" for index in range(400)}
        peers = sorted(cluster.network.dead)
        async with cluster.process(
            "a:1", peers, **cluster.watcher_options()
        ) as process:
            started_s = cluster.clock.monotonic_s()
            await process.wait_for_version(1)
            assert cluster.clock.monotonic_s() - started_s < 2

    run_virtual(main())
