"""Callers must get what the configuration grants them, and no more."""

from __future__ import annotations

from importlib.resources import files
from types import SimpleNamespace

import pytest

from lentilroad.errors import UnavailableError
from lentilroad.process.configuration_views import ConfigurationViews
from lentilroad.version.text import compile_text
from lentilroad.wire import messages as m


def views(edit=lambda text: text):
    """Return views of the shipped example, changed by `edit`."""
    text = files("lentilroad.examples").joinpath("ndende.yaml").read_text("utf-8")
    current = SimpleNamespace(configuration=compile_text(edit(text)))
    distribution = SimpleNamespace(current=current)
    return ConfigurationViews(distribution=distribution, region="dakar")


def test_caller_sees_only_granted_models_and_services():
    """A model that is not granted must look as if it did not exist."""
    granted = views(
        lambda text: text.replace(
            "models: [partner-coach, practica-planner]", "models: [partner-coach]"
        ).replace("services: [membership, floor-booking]", "services: [membership]")
    )
    assert granted.list_models("demo") == ["partner-coach"]
    assert granted.has_operation("demo", "membership", "lookup")
    assert not granted.has_operation("demo", "floor-booking", "book")
    assert not granted.has_operation("demo", "membership", "burn")


def test_budget_is_filled_from_the_configuration():
    """A program without a budget must not be unlimited."""
    filled = views().fill_budget("demo", m.Budget(tokens=5))
    assert filled == m.Budget(tokens=5, money_micro=2_000_000, turns=80)


def test_price_and_repeatability_come_from_the_configuration():
    """A booking must not count as repeatable; an adapter has its model's price."""
    shared = {"caller_id": "demo", "program_id": "p", "idempotency_key": "k"}
    booking = m.RunTurnRequest(
        **shared, kind="service", service="floor-booking", operation="book"
    )
    assert not views().policy_of(booking).idempotent
    assert views().policy_of(booking).price_micro == 20_000
    chat = m.RunTurnRequest(**shared, kind="chat", model="practica-planner")
    assert views().policy_of(chat).completion_token_micro == pytest.approx(0.6)


def test_nothing_is_granted_before_the_first_version():
    """A cold entry must refuse callers instead of accepting any key."""
    distribution = SimpleNamespace(current=None)
    cold = ConfigurationViews(distribution=distribution, region="dakar")
    with pytest.raises(UnavailableError):
        cold.find_caller("00")
    assert cold.regions() == ["dakar"]
