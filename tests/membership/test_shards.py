"""Guard succession: who may commit, and how soon a shard is served again."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes.entries import running_group

TAKEOVER_LIMIT_S = 3.0


def owner_of(group, shard="r1/0000"):
    """Return the node that owns a shard."""
    owners = [n for n in group.nodes.values() if n.alive and n.table.my_epoch(shard)]
    assert len(owners) == 1
    return owners[0]


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("key_value_down", [False, True])
def test_takeover_within_limit(seed, key_value_down):
    """A dead owner's shards must be served again in 3 s, also in an outage."""

    async def main():
        async with running_group(seed=seed, entries=5) as group:
            group.key_value.down = key_value_down
            await asyncio.sleep(group.random.uniform(0, 1))
            await owner_of(group).kill()
            assert await group.until_served(10) <= TAKEOVER_LIMIT_S
            group.assert_single_owner()

    run_virtual(main())
