"""Queries of the configuration in force: access, budgets and prices of callers."""

from __future__ import annotations

from importlib.resources import files
from types import SimpleNamespace

import pytest

from lentilroad.errors import UnavailableError
from lentilroad.process.configuration_views import ConfigurationView
from lentilroad.version.text import compile_text
from lentilroad.wire import messages as m


def example_view(edit=lambda text: text):
    """Return a view of the shipped example configuration, changed by `edit`."""
    text = files("lentilroad.examples").joinpath("ndende.yaml").read_text("utf-8")
    current = SimpleNamespace(configuration=compile_text(edit(text)))
    distribution = SimpleNamespace(current=current)
    return ConfigurationView(distribution=distribution, region="dakar")


def test_caller_sees_only_granted_models_and_services():
    """Guards against a caller that can detect models or services not granted to it."""
    view = example_view(
        lambda text: text.replace(
            "models: [partner-coach, practica-planner]", "models: [partner-coach]"
        ).replace("services: [membership, floor-booking]", "services: [membership]")
    )
    assert view.list_models("demo") == ["partner-coach"]
    assert view.has_operation("demo", "membership", "lookup")
    assert not view.has_operation("demo", "floor-booking", "book")
    assert not view.has_operation("demo", "membership", "burn")


def test_budget_is_filled_from_the_configuration():
    """Guards against a program with unlimited tokens, money or turns."""
    filled = example_view().fill_budget("demo", m.Budget(tokens=5))
    assert filled == m.Budget(tokens=5, money_micro=2_000_000, turns=80)


def test_price_and_idempotency_come_from_the_configuration():
    """Guards against retried bookings and against adapters without a price.

    An adapter has the price of its model.
    """
    shared = {"caller_id": "demo", "program_id": "p", "idempotency_key": "k"}
    booking = m.RunTurnRequest(
        **shared, kind="service", service="floor-booking", operation="book"
    )
    assert not example_view().policy_of(booking).idempotent
    assert example_view().policy_of(booking).price_micro == 20_000
    chat = m.RunTurnRequest(**shared, kind="chat", model="practica-planner")
    assert example_view().policy_of(chat).completion_token_micro == pytest.approx(0.6)


def test_callers_are_refused_before_the_first_version():
    """Guards against an entry that accepts any key while it has no configuration."""
    distribution = SimpleNamespace(current=None)
    view = ConfigurationView(distribution=distribution, region="dakar")
    with pytest.raises(UnavailableError):
        view.find_caller("00")
    assert view.regions() == ["dakar"]
