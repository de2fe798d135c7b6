"""Tests of planned moves: a drained entry's shards stay served when it stops."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes.entries import running_group

HAND_OVER_LIMIT_S = 30.0
TAKEOVER_LIMIT_S = 3.0


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("entries", [2, 3, 5])
def test_drained_entry_leaves_no_shard_without_owner(seed, entries):
    """Guard against a drained entry that stops before new owners have the records."""

    async def main():
        async with running_group(seed=seed, entries=entries, shard_count=100) as group:
            loop = asyncio.get_running_loop()
            leaving = next(n for n in group.nodes.values() if n.table.shards_owned())
            leaving.members.drain()
            deadline_s = loop.time() + HAND_OVER_LIMIT_S
            while leaving.table.shards_owned() or leaving.table.incomplete_moves():
                assert loop.time() < deadline_s
                await asyncio.sleep(0.1)
            await leaving.kill()
            served = {
                shard
                for node in group.nodes.values()
                if node.alive
                for shard in node.table.shards_owned()
            }
            assert len(served) == 100
            group.assert_single_owner()

    run_virtual(main())


@pytest.mark.parametrize("seed", range(5))
def test_takeover_works_right_after_another_entry_drained(seed):
    """Guard against shards whose arbiter has drained and stopped.

    A takeover needs the grant of the arbiter.
    """

    async def main():
        async with running_group(seed=seed, entries=5, shard_count=50) as group:
            loop = asyncio.get_running_loop()
            leaving, dying = list(group.nodes.values())[:2]
            leaving.members.drain()
            deadline_s = loop.time() + HAND_OVER_LIMIT_S
            while leaving.table.shards_with_role() or leaving.table.incomplete_moves():
                assert loop.time() < deadline_s
                await asyncio.sleep(0.1)
            await leaving.kill()
            await dying.kill()
            assert await group.wait_until_served(10) <= TAKEOVER_LIMIT_S
            group.assert_single_owner()

    run_virtual(main())
