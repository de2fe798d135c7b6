"""What an entry tells the others about itself."""

from __future__ import annotations

from lentilroad.process.dev import start_dev


async def test_roles_belong_to_the_process_and_changes_are_offered():
    """A restarted entry must not keep roles, and a change must not wait for a watch."""
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
