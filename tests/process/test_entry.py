"""Start time and configuration version that an entry reports to its peers."""

from __future__ import annotations

from lentilroad.process.dev import start_dev


async def test_roles_name_the_process_start_and_changes_are_distributed():
    """Guards against two failures of an entry's wiring.

    Without its start time in the shard record, a restarted entry would retain the
    roles of its previous process. A change that is applied here must be in force
    without waiting for the key-value watch.
    """
    dev = await start_dev()
    entry = dev.entry
    assert entry.members.record.started_ms == entry.incarnation > 0
    record = entry.shard_table.record(entry.shard_table.shards_owned()[0])
    assert record.owner_started_ms == entry.incarnation
    head = await entry.store.read_head()
    text = await entry.store.read_text(head)
    await entry.store.apply(
        text.replace("requests_per_s: 400", "requests_per_s: 401"),
        author="test",
        based_on_version=1,
    )
    version = await entry.distribution.wait_for_version(2)
    assert version.configuration.general.limits.requests_per_s == 401
    await dev.close()
