"""Tests against lost, duplicate or reverted configuration changes."""

from __future__ import annotations

import asyncio
import random

import pytest

from lentilroad.clock import LoopClock
from lentilroad.errors import OutcomeUnknownError, UnavailableError
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.version.conflict import ConfigurationConflictError
from lentilroad.version.store import ConfigurationStore
from tests.fakes.key_value import FakeKeyValueStore
from tests.version.texts import example_text

TEXT = example_text("ndende")
LONGER = TEXT.replace("turns: 80", "turns: 90")
OTHER = TEXT.replace("requests_per_s: 400", "requests_per_s: 300")


def _store(key_value, seed=1):
    clock = LoopClock(loop=asyncio.get_running_loop())
    return ConfigurationStore(
        key_value=key_value, clock=clock, random=random.Random(seed)
    )


def test_versions_increase_and_history_has_author_and_changes():
    """A change cannot be audited without its author and list of changes."""

    async def main():
        store = _store(FakeKeyValueStore())
        await store.apply(TEXT, "ana", 0)
        await store.apply(LONGER, "ben", 1)
        heads = await store.history()
        assert [head.version for head in heads] == [2, 1]
        assert heads[0].author == "ben"
        assert heads[0].changes == ["~ budget.turns: 80 -> 90"]
        assert await store.read_text(heads[0]) == LONGER

    run_virtual(main())


def test_rollback_writes_a_higher_version_with_the_old_content():
    """Every process would refuse a rollback that lowers the version number."""

    async def main():
        store = _store(FakeKeyValueStore())
        first = await store.apply(TEXT, "ana", 0)
        await store.apply(LONGER, "ben", 1)
        rolled_back = await store.rollback(1, "ana", 2)
        assert rolled_back.head.version == 3
        assert rolled_back.head.parts == first.head.parts
        assert rolled_back.head.restored == 1
        assert await store.read_text(rolled_back.head) == TEXT

    run_virtual(main())


def test_conflict_error_has_author_changes_and_rebase_command():
    """An operator needs the author and version of the other change to rebase."""

    async def main():
        store = _store(FakeKeyValueStore())
        await store.apply(TEXT, "ana", 0)
        await store.apply(LONGER, "ben", 1)
        with pytest.raises(ConfigurationConflictError) as caught:
            await store.apply(TEXT.replace("turns: 80", "turns: 70"), "cora", 1)
        error = caught.value
        assert error.current_version == 2
        assert error.overlapping == ["budget.turns"]
        for part in ("ben", "version 2", "80 -> 90", "--based-on 2"):
            assert part in error.message
        assert (await store.read_head()).version == 2

    run_virtual(main())


def test_change_with_lost_answer_is_recognised_by_write_id():
    """Retrying the write after a lost answer must not create a second version."""

    async def main():
        key_value = FakeKeyValueStore()
        store = _store(key_value)
        await store.apply(TEXT, "ana", 0)
        original = key_value.compare_and_swap

        async def lose_answer_to_head_write(*, key, value, expected_revision):
            key_value.lose_next_answer = key == "config/head"
            return await original(
                key=key, value=value, expected_revision=expected_revision
            )

        key_value.compare_and_swap = lose_answer_to_head_write
        applied = await store.apply(LONGER, "ben", 1)
        assert applied.head.version == 2
        assert (await store.read_head()).version == 2

    run_virtual(main())


def test_repeated_write_id_returns_its_version_after_a_later_change():
    """A repeat after another operator's change must not raise a conflict."""

    async def main():
        store = _store(FakeKeyValueStore())
        await store.apply(TEXT, "ana", 0)
        first = await store.apply(LONGER, "ben", 1, write_id="w1")
        await store.apply(OTHER, "cora", 2)
        again = await store.apply(LONGER, "ben", 1, write_id="w1")
        assert again.head == first.head
        assert (await store.read_head()).version == 3

    run_virtual(main())


def test_outage_before_the_head_write_has_outcome_not_run():
    """An outage before the head is written must not raise an unknown outcome."""

    async def main():
        key_value = FakeKeyValueStore()
        store = _store(key_value)
        await store.apply(TEXT, "ana", 0)
        key_value.down = True
        with pytest.raises(UnavailableError) as caught:
            await store.apply(LONGER, "ben", 1)
        assert caught.value.outcome == "not_run"
        key_value.down = False
        assert (await store.read_head()).version == 1

    run_virtual(main())


def test_unconfirmed_head_write_has_unknown_outcome_and_write_id():
    """Without the write id in the error an operator cannot repeat the change safely."""

    async def main():
        key_value = FakeKeyValueStore()
        store = _store(key_value)
        await store.apply(TEXT, "ana", 0)
        original = key_value.compare_and_swap

        async def fail_after_head(*, key, value, expected_revision):
            if key != "config/head":
                return await original(
                    key=key, value=value, expected_revision=expected_revision
                )
            await original(key=key, value=value, expected_revision=expected_revision)
            key_value.down = True
            raise UnavailableError("no answer", outcome="unknown")

        key_value.compare_and_swap = fail_after_head
        with pytest.raises(OutcomeUnknownError) as caught:
            await store.apply(LONGER, "ben", 1, write_id="w7")
        assert "--write-id w7" in caught.value.message
        key_value.down = False
        assert (await store.read_head()).write_id == "w7"

    run_virtual(main())


def test_small_change_writes_one_part():
    """Resending the whole configuration for one change exceeds the byte target."""

    async def main():
        store = _store(FakeKeyValueStore())
        first = await store.apply(TEXT, "ana", 0)
        second = await store.apply(LONGER, "ben", 1)
        new = set(second.parts) - set(first.parts)
        assert len(new) == 1

    run_virtual(main())


@pytest.mark.parametrize("text", [TEXT, LONGER])
def test_lost_part_is_repaired_by_the_next_apply(text):
    """A part missing from the service must not make every later change fail."""

    async def main():
        key_value = FakeKeyValueStore()
        store = _store(key_value)
        first = await store.apply(TEXT, "ana", 0)
        for digest in (*first.head.parts, *first.head.text_parts):
            del key_value.items[f"config/part/{digest}"]
        applied = await store.apply(text, "ana", 1)
        head = await store.read_head()
        assert head == applied.head
        await store.read_configuration(head)
        assert await store.read_text(head) == text

    run_virtual(main())
