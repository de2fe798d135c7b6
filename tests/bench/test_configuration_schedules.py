"""Guard against reverts under racing operators, lost answers, outages, restarts."""

from __future__ import annotations

import pytest

from lentilroad.bench.configuration_checker import check_history
from lentilroad.bench.configuration_schedules import run_schedule
from lentilroad.errors import ConflictError, UnavailableError
from lentilroad.version.parts import encode_head
from lentilroad.version.store import ConfigurationStore
from lentilroad.version.wanted import PendingHead


@pytest.mark.parametrize("seed", range(1, 13))
def test_random_schedule_has_no_violation(seed):
    """No accepted change may be lost, doubled or reverted."""
    assert check_history(run_schedule(seed)) == []


def test_schedule_is_reproducible():
    """A violation that its seed does not reproduce cannot be fixed."""
    assert run_schedule(3) == run_schedule(3)


def test_schedules_reveal_a_process_that_steps_back(monkeypatch):
    """The schedules must be able to make faulty distribution code fail."""
    is_old = PendingHead._is_old
    stepped_back = []

    def accept_one_old_head(self, head):
        if self in stepped_back or not is_old(self, head):
            return is_old(self, head)
        stepped_back.append(self)
        return False

    monkeypatch.setattr(PendingHead, "_is_old", accept_one_old_head)
    assert any(check_history(run_schedule(seed)) for seed in range(1, 4))


def test_schedules_reveal_a_store_that_reports_a_lost_answer_as_a_refusal(
    monkeypatch,
):
    """The schedules must be able to make a faulty store fail."""

    async def swap_without_reading_back(self, head, item, configuration):
        try:
            await self._key_value.compare_and_swap(
                key="config/head",
                value=encode_head(head),
                expected_revision=item.revision if item else 0,
            )
        except UnavailableError as error:
            raise ConflictError("taken as a refusal") from error
        return head

    monkeypatch.setattr(ConfigurationStore, "_swap_head", swap_without_reading_back)
    assert any(check_history(run_schedule(seed)) for seed in range(1, 7))
