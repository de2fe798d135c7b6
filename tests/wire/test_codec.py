"""Tests that messages and errors are unchanged by encoding and decoding."""

from __future__ import annotations

from lentilroad.errors import BudgetExhaustedError
from lentilroad.wire.codec import MessagePackCodec
from lentilroad.wire.convert import from_wire_error, to_wire_error
from lentilroad.wire.messages import Committed, TurnEvent, Usage


def test_tagged_event_keeps_its_type():
    """A committed event must not decode as another event of the union."""
    codec = MessagePackCodec()
    event = TurnEvent(
        event=Committed(turn_no=3, usage=Usage(prompt_tokens=7), finish_reason="stop")
    )
    assert codec.decode(codec.encode(event, TurnEvent), TurnEvent) == event


def test_error_keeps_code_and_outcome():
    """A refusal must reach the caller with its original type and outcome."""
    error = BudgetExhaustedError("raise the budget", retry_after_ms=5)
    restored = from_wire_error(to_wire_error(error))
    assert isinstance(restored, BudgetExhaustedError)
    assert restored.outcome == "not_run"
    assert restored.retry_after_ms == 5
