"""Tests of one owner per epoch and rising epochs under random failures."""

from __future__ import annotations

import asyncio

import pytest

from lentilroad.standins.virtual_loop import run_virtual
from tests.fakes.entries import LATENCY_S, running_group

SEEDS_PER_TEST = 20


async def _kill_and_restart(group, random):
    node = random.choice(list(group.nodes.values()))
    if not node.alive:
        return
    await node.kill()
    await asyncio.sleep(random.choice([0.05, 1.0, 4.0, 14.0]))
    if not node.alive:
        node.start()


async def _pause_and_resume(group, random):
    node = random.choice(list(group.nodes.values()))
    node.pause()
    await asyncio.sleep(random.choice([0.3, 1.6, 3.0, 6.0, 13.0]))
    node.resume()


async def _key_value_outage(group, random):
    group.key_value.down = True
    await asyncio.sleep(random.uniform(1, 15))
    group.key_value.down = False


async def _slow_key_value(group, random):
    group.key_value.delay_s = random.uniform(0.1, 2.0)
    await asyncio.sleep(random.uniform(1, 5))
    group.key_value.delay_s = 0.0


async def _lose_key_value_answers(group, random):
    for _ in range(3):
        group.key_value.lose_next_answer = True
        await asyncio.sleep(random.uniform(0.5, 2))


async def _drop_link(group, random):
    first, second = random.sample(list(group.nodes), 2)
    links = {(first, second)}
    if random.random() < 0.5:
        links.add((second, first))
    group.dropped_links |= links
    await asyncio.sleep(random.choice([0.5, 2.0, 5.0]))
    group.dropped_links -= links


async def _isolate(group, random):
    cut_off = random.choice(list(group.nodes))
    others = [address for address in group.nodes if address != cut_off]
    links = {(cut_off, o) for o in others} | {(o, cut_off) for o in others}
    group.dropped_links |= links
    await asyncio.sleep(random.choice([1.0, 3.0, 8.0]))
    group.dropped_links -= links


async def _slow_network(group, random):
    """Delay messages by nearly a timeout, so that granted proposals get no reply."""
    before = group.latency_s
    group.latency_s = (0.0, random.choice([0.1, 0.3, 0.6]))
    await asyncio.sleep(random.uniform(2, 8))
    group.latency_s = before


async def _cut_pair_on_a_slow_network(group, random):
    """Disconnect owner and standby, so that both request the arbiter's grant."""
    slow = asyncio.create_task(_slow_network(group, random))
    shard = random.choice(sorted(group.shards()))
    node = next((n for n in group.nodes.values() if n.alive), None)
    if node is not None and shard in node.table.shards("r1"):
        record = node.table.record(shard)
        links = {(record.owner, record.standby), (record.standby, record.owner)}
        group.dropped_links |= links
        await asyncio.sleep(random.uniform(2, 5))
        group.dropped_links -= links
    await slow


FAULTS = [
    _kill_and_restart,
    _kill_and_restart,
    _pause_and_resume,
    _pause_and_resume,
    _key_value_outage,
    _slow_key_value,
    _lose_key_value_answers,
    _drop_link,
    _isolate,
    _slow_network,
    _cut_pair_on_a_slow_network,
    _cut_pair_on_a_slow_network,
]


async def run_schedule(seed):
    """Inject 2 to 6 overlapping failures, then check commits and recovery."""
    entries = 2 + seed % 5
    async with running_group(seed=seed, entries=entries) as group:
        random = group.random
        faults = []
        for _ in range(random.randint(2, 6)):
            fault = random.choice(FAULTS)
            faults.append(asyncio.create_task(fault(group, random)))
            await asyncio.sleep(random.choice([0.0, 0.2, 1.0, 3.0]))
        await asyncio.gather(*faults)
        for node in group.nodes.values():
            node.resume()
        group.dropped_links.clear()
        group.latency_s = LATENCY_S
        await group.wait_until_served(90)
        group.assert_single_owner()


@pytest.mark.parametrize("first_seed", range(0, 240, SEEDS_PER_TEST))
def test_one_owner_per_epoch(first_seed):
    """Guard against commits of two entries being acknowledged in one epoch."""
    for seed in range(first_seed, first_seed + SEEDS_PER_TEST):
        try:
            run_virtual(run_schedule(seed))
        except BaseException as error:
            error.add_note(f"seed {seed}")
            raise
