"""Tests of the key-value client against the stand-in and its faults."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp.test_utils import TestServer

from lentilroad.adapters.etcd import EtcdKeyValueStore
from lentilroad.clock import SystemClock
from lentilroad.errors import ConflictError, UnavailableError
from lentilroad.standins.key_value import KeyValueStandIn


@asynccontextmanager
async def connected_store(**options):
    """Yield a client and the stand-in that serves it."""
    state = KeyValueStandIn()
    server = TestServer(state.build_application())
    await server.start_server()
    store = EtcdKeyValueStore(
        clock=SystemClock(), endpoints=[str(server.make_url(""))], **options
    )
    try:
        yield store, state
    finally:
        await store.close()
        await server.close()


async def test_compare_and_swap_refuses_an_old_revision():
    """Two writers from the same revision must not both succeed."""
    async with connected_store() as (store, _):
        first = await store.compare_and_swap(key="k", value=b"1", expected_revision=0)
        await store.compare_and_swap(key="k", value=b"2", expected_revision=first)
        for expected in (0, first):
            with pytest.raises(ConflictError):
                await store.compare_and_swap(
                    key="k", value=b"3", expected_revision=expected
                )
        assert (await store.read(key="k")).value == b"2"


async def test_missing_key_reads_as_none():
    """A key that was deleted must not read as an empty value."""
    async with connected_store() as (store, _):
        await store.compare_and_swap(key="k", value=b"", expected_revision=0)
        assert (await store.read(key="k")).value == b""
        await store.delete(key="k")
        assert await store.read(key="k") is None


async def test_keys_are_listed_by_prefix():
    """A key that sorts next to the prefix but lacks it must not be listed."""
    async with connected_store() as (store, _):
        for key in ("a/2", "a/1", "b/1", "a0"):
            await store.compare_and_swap(key=key, value=b"x", expected_revision=0)
        assert await store.list_keys(prefix="a/") == ["a/1", "a/2"]


async def test_watch_returns_changes_from_before_and_after_its_start():
    """A change between the read and the watch must not be missed."""
    async with connected_store() as (store, _):
        first = await store.compare_and_swap(key="k", value=b"1", expected_revision=0)
        second = await store.compare_and_swap(
            key="k", value=b"2" * 200_000, expected_revision=first
        )
        item = await store.watch(key="k", after_revision=first, timeout_s=10)
        assert item.revision == second
        assert len(item.value) == 200_000
        waiting = asyncio.create_task(
            store.watch(key="k", after_revision=second, timeout_s=10)
        )
        await asyncio.sleep(0)
        assert store.counts.open_watches == 1
        await store.compare_and_swap(key="k", value=b"3", expected_revision=second)
        assert (await waiting).value == b"3"
        assert store.counts.open_watches == 0


async def test_watch_without_a_change_returns_none():
    """A key without a change must not be reported as a failure of the service."""
    async with connected_store() as (store, _):
        assert await store.watch(key="k", after_revision=0, timeout_s=0.3) is None


async def test_lost_answer_of_a_write_is_unknown():
    """A write that took effect must not be reported as not run."""
    async with connected_store() as (store, state):
        state.faults.lose_answers = 1
        with pytest.raises(UnavailableError) as caught:
            await store.compare_and_swap(key="k", value=b"1", expected_revision=0)
        assert caught.value.outcome == "unknown"
        assert (await store.read(key="k")).value == b"1"


async def test_outage_leaves_the_outcome_of_a_write_unknown():
    """A failing leader may still apply a write, while a read is safe to repeat."""
    async with connected_store() as (store, state):
        state.faults.down = True
        with pytest.raises(UnavailableError) as caught:
            await store.compare_and_swap(key="k", value=b"1", expected_revision=0)
        assert caught.value.outcome == "unknown"
        with pytest.raises(UnavailableError) as caught:
            await store.read(key="k")
        assert caught.value.outcome == "not_run"
        state.faults.down = False
        assert await store.read(key="k") is None


async def test_slow_write_times_out_as_unknown():
    """A write that times out may still take effect."""
    async with connected_store(timeout_s=0.05) as (store, state):
        state.faults.delay_s = 5.0
        with pytest.raises(UnavailableError) as caught:
            await store.compare_and_swap(key="k", value=b"1", expected_revision=0)
        assert caught.value.outcome == "unknown"


async def test_calls_over_the_rate_limit_are_refused_before_sending():
    """A loop of calls in one process must not exhaust the service's rate limit."""
    async with connected_store(calls_per_s=0.01, burst=3, timeout_s=1) as (
        store,
        state,
    ):
        for _ in range(3):
            await store.read(key="k")
        with pytest.raises(UnavailableError) as caught:
            await store.read(key="k")
        assert caught.value.retry_after_ms > 0
        assert sum(state.counts.values()) == 3


async def test_leases_expire_without_renewal():
    """The renewal of a lease that does not exist must return 0."""
    async with connected_store() as (store, _):
        lease = await store.grant_lease(ttl_s=60)
        assert await store.renew_lease(lease_id=lease) == 60
        assert await store.renew_lease(lease_id=lease + 1) == 0
