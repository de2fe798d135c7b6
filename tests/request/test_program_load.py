"""Programs in aim under bursts of two kinds and a hot customer, in virtual time."""

from __future__ import annotations

import functools
import statistics

import pytest

from lentilroad.bench.program_load import (
    CUSTOMERS,
    KINDS,
    LONG,
    SHORT,
    SLOTS,
    ProgramLoad,
)
from lentilroad.bench.program_table import (
    BURSTS,
    BURSTS_END_S,
    BURSTS_START_S,
    END_S,
    ORDERS,
    RECOVERY_S,
    share_in_aim,
)


@functools.cache
def _load(order: str, seed: int, bursts: bool = True) -> ProgramLoad:
    load = ProgramLoad(seed=seed, rank=ORDERS[order], factors=BURSTS if bursts else [])
    load.run(END_S)
    return load


@pytest.mark.parametrize("seed", [1, 2])
def test_bursts_end_without_a_backlog(seed: int) -> None:
    """Guard against overload that lasts after its cause, as with the other orders.

    From 3 s after the bursts, programs end in aim as they do without any burst.
    """
    since_s = BURSTS_END_S + RECOVERY_S
    recovered = _load("programs", seed).began_in(since_s, END_S)
    calm = _load("programs", seed, bursts=False).began_in(since_s, END_S)
    assert share_in_aim(recovered) >= 0.95 * share_in_aim(calm)
    assert share_in_aim(calm) >= 0.95
    before = _load("route", seed).began_in(BURSTS_END_S, since_s)
    now = _load("programs", seed).began_in(BURSTS_END_S, since_s)
    assert share_in_aim(now) >= share_in_aim(before)


@pytest.mark.parametrize("seed", [1, 2])
def test_programs_end_in_aim_past_capacity(seed: int) -> None:
    """Guard against work on programs that end late while others are refused.

    Most programs that start end in aim, and urgent ones are served first.
    """
    served = {
        order: share_in_aim(_load(order, seed).began_in(BURSTS_START_S, BURSTS_END_S))
        for order in ORDERS
    }
    assert served["programs"] >= 2 * served["arrival"]
    assert served["programs"] >= 0.95 * served["route"]
    load = _load("programs", seed)
    started = [
        program
        for program in load.began_in(BURSTS_START_S, BURSTS_END_S)
        if program.first_refused_s is None
    ]
    assert share_in_aim(started) >= 0.9
    urgent = load.began_in(BURSTS_START_S, BURSTS_END_S, SHORT)
    assert share_in_aim(urgent) >= 0.9


@pytest.mark.parametrize("seed", [1, 2])
def test_no_kind_and_no_customer_is_starved(seed: int) -> None:
    """Guard against a kind or a customer served below a quarter of the mean."""
    load = _load("programs", seed)
    programs = load.began_in(BURSTS_START_S, BURSTS_END_S)
    mean = share_in_aim(programs)
    for kind in KINDS:
        of_kind = load.began_in(BURSTS_START_S, BURSTS_END_S, kind)
        assert share_in_aim(of_kind) >= mean / 4
    hot = [program for program in programs if program.customer is CUSTOMERS[0]]
    others = [program for program in programs if program.customer is not CUSTOMERS[0]]
    assert mean / 4 <= share_in_aim(hot) <= share_in_aim(others)


def test_refusals_are_early_and_slots_stay_in_use() -> None:
    """Guard against late refusals, and against entries that all refuse one view."""
    load = _load("programs", 1)
    refused = [p for p in load.programs if p.first_refused_s is not None]
    assert refused
    assert statistics.quantiles([p.first_refused_s for p in refused], n=100)[98] <= 0.05
    first_s = min(p.began_s for p in refused if p.kind is LONG)
    for start_s in range(int(first_s) + 1, int(BURSTS_END_S)):
        busy = [b for time_s, b in load.usage if start_s <= time_s < start_s + 1]
        assert statistics.mean(busy) >= 0.8 * SLOTS
