"""Tests that a sweep removes old versions and no part that is in use."""

from __future__ import annotations

import asyncio
import random

import pytest

from lentilroad.clock import LoopClock
from lentilroad.errors import NotFoundError
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.version.const import PART_PREFIX, VERSION_PREFIX
from lentilroad.version.store import ConfigurationStore
from lentilroad.version.sweep import HistorySweeper
from tests.fakes.key_value import FakeKeyValueStore
from tests.version.texts import deployment_text


async def _history(versions):
    clock = LoopClock(loop=asyncio.get_running_loop())
    key_value = FakeKeyValueStore()
    store = ConfigurationStore(
        key_value=key_value, clock=clock, random=random.Random(1)
    )
    for version in range(versions):
        await store.apply(deployment_text(marker=version + 1), "ana", version)
    sweeper = HistorySweeper(key_value=key_value, clock=clock, keep_versions=3)
    return key_value, store, sweeper


def _keys(key_value, prefix):
    return {key for key in key_value.items if key.startswith(prefix)}


def test_sweep_bounds_the_history_and_retains_used_parts():
    """Without a sweep 16,000 changes a day would fill the key-value service."""

    async def main():
        key_value, store, sweeper = await _history(10)
        assert await sweeper.sweep() == 7
        assert await sweeper.sweep() == 0
        assert [head.version for head in await store.history()] == [10, 9, 8]
        for head in await store.history():
            await store.read_configuration(head)
            await store.read_text(head)
        assert len(_keys(key_value, VERSION_PREFIX)) == 2
        with pytest.raises(NotFoundError):
            await store.rollback(2, "ana", 10)

    run_virtual(main())


@pytest.mark.parametrize("versions", [10, 40])
def test_only_parts_of_retained_versions_remain(versions):
    """A part that a sweep misses would stay in the key-value service for ever."""

    async def main():
        key_value, store, sweeper = await _history(versions)
        await sweeper.sweep()
        heads = await store.history()
        used = {part for head in heads for part in (*head.parts, *head.text_parts)}
        assert len(heads) == 3
        assert _keys(key_value, PART_PREFIX) == {PART_PREFIX + part for part in used}

    run_virtual(main())


def test_part_reused_during_the_sweep_is_restored():
    """A running sweep must not remove an old part that a new change reuses."""

    async def main():
        key_value, store, sweeper = await _history(10)
        delete = key_value.delete
        applied = []

        async def apply_old_text_first(*, key):
            if not applied:
                applied.append(await store.apply(deployment_text(marker=1), "ben", 10))
            await delete(key=key)

        key_value.delete = apply_old_text_first
        await sweeper.sweep()
        head = await store.read_head()
        assert head.version == 11
        await store.read_configuration(head)
        await store.read_text(head)

    run_virtual(main())
