"""Quotas of customers over all entries, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from lentilroad.errors import RateLimitedError
from lentilroad.membership.quota_bounds import QuotaBounds
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.version.customers import Customer
from tests.fakes.quotas import BOUNDS, QuotaFleet, allowed, most_in_a_window, with_rate

ENTRIES = 22
# Entries are up before traffic starts.
LEAD_S = 10.0
PLAY_S = 20.0
HOT = 4.4
USUAL = 0.625
CUSTOMERS = [
    Customer(name=f"c-{rate:g}", rate_per_s=rate, burst=rate)
    for rate in (1.0, 2.0, 5.0, 20.0, 60.0, 150.0)
]

Script = Callable[[QuotaFleet], Awaitable[None]]


def _play(
    load: Callable[[int], float],
    script: Script | None = None,
    *,
    seed: int = 1,
    entries: int = ENTRIES,
    customers: list[Customer] = CUSTOMERS,
    under_way_share: float = 0.0,
    bounds: QuotaBounds = BOUNDS,
) -> QuotaFleet:
    """Send requests of all customers to entries with uneven shares of them."""

    async def main() -> QuotaFleet:
        fleet = QuotaFleet(
            customers=customers, entries=entries, seed=seed, bounds=bounds
        )
        await fleet.clock.sleep(LEAD_S)
        fleet.calls = 0
        weights = [fleet.random.paretovariate(1.0) for _ in range(entries)]
        jobs: list[Awaitable[None]] = [
            fleet.send(
                customer.name,
                customer.rate_per_s * load(number),
                PLAY_S,
                weights=weights,
                under_way_share=under_way_share,
            )
            for number, customer in enumerate(customers)
        ]
        if script is not None:
            jobs.append(script(fleet))
        await asyncio.gather(*jobs)
        await fleet.finish()
        return fleet

    return run_virtual(main())


def _check_windows(
    fleet: QuotaFleet, customers: list[Customer] = CUSTOMERS, since_s: float = 0.0
) -> None:
    for customer in customers:
        times_s = fleet.admitted_s[customer.name]
        most = most_in_a_window(times_s, BOUNDS.window_s, since_s)
        assert most <= allowed(customer), customer.name


def _refused_share(fleet: QuotaFleet) -> float:
    refused = sum(fleet.refused.values())
    return refused / (refused + sum(map(len, fleet.admitted_s.values())))


async def _cut_coordinator(fleet: QuotaFleet) -> None:
    await fleet.clock.sleep(6.0)
    fleet.cut(fleet.names, ["c-0"])
    await fleet.clock.sleep(6.0)
    fleet.unreachable.clear()


async def _restart_coordinator(fleet: QuotaFleet) -> None:
    for _ in range(3):
        await fleet.clock.sleep(5.0)
        fleet.restart_coordinator("c-0")


async def _cut_entries_from_one(fleet: QuotaFleet) -> None:
    await fleet.clock.sleep(5.0)
    fleet.cut(fleet.names[:8], ["c-0"])
    await fleet.clock.sleep(6.0)
    fleet.unreachable.clear()


async def _cut_entries_from_all(fleet: QuotaFleet) -> None:
    await fleet.clock.sleep(5.0)
    fleet.cut(fleet.names[:8], fleet.addresses)
    await fleet.clock.sleep(6.0)
    fleet.unreachable.clear()


async def _short_cuts(fleet: QuotaFleet) -> None:
    for number in range(4):
        await fleet.clock.sleep(2.5)
        cut = fleet.random.sample(fleet.names, 8)
        fleet.cut(cut, ["c-0"] if number % 2 else fleet.addresses)
        await fleet.clock.sleep(2.2)
        fleet.unreachable.clear()


async def _short_cuts_of_all(fleet: QuotaFleet) -> None:
    for number in range(4):
        await fleet.clock.sleep(2.5)
        fleet.cut(fleet.names, ["c-0"] if number % 2 else fleet.addresses)
        await fleet.clock.sleep(2.2)
        fleet.unreachable.clear()


async def _restart_entries(fleet: QuotaFleet) -> None:
    for name in fleet.names * 2:
        await fleet.clock.sleep(0.4)
        fleet.restart_entry(name)


async def _restart_everything(fleet: QuotaFleet) -> None:
    await fleet.clock.sleep(8.0)
    for address in fleet.addresses:
        fleet.restart_coordinator(address)
    for name in fleet.names:
        fleet.restart_entry(name)


async def _slow_coordinator(fleet: QuotaFleet) -> None:
    for one_way_s in (0.11, 0.2):
        await fleet.clock.sleep(5.0)
        fleet.one_way_s["c-0"] = one_way_s
    await fleet.clock.sleep(5.0)
    fleet.one_way_s.clear()


SCRIPTS: list[Script | None] = [
    None,
    _cut_coordinator,
    _restart_coordinator,
    _cut_entries_from_one,
    _cut_entries_from_all,
    _short_cuts,
    _short_cuts_of_all,
    _restart_entries,
    _restart_everything,
    _slow_coordinator,
]


@pytest.mark.parametrize("script", SCRIPTS)
def test_hot_customers_stay_within_the_rule(script: Script | None) -> None:
    """All customers send seven times their usual while processes and links fail."""
    fleet = _play(lambda number: HOT, script)
    _check_windows(fleet)


def test_sudden_crowd_at_all_entries_stays_within_the_rule() -> None:
    """An idle customer's first requests reach every entry at the same time."""

    async def crowd(fleet: QuotaFleet) -> None:
        await fleet.clock.sleep(7.0)
        for customer in CUSTOMERS:
            for name in fleet.names * 20:
                fleet.start(name, customer.name)

    fleet = _play(lambda number: 0.05, crowd)
    _check_windows(fleet)


@pytest.mark.parametrize(
    "script",
    [
        None,
        _cut_coordinator,
        _restart_coordinator,
        _cut_entries_from_one,
        _restart_entries,
    ],
)
def test_below_the_limit_hardly_anything_is_refused(script: Script | None) -> None:
    """Customers at 0.9 of their limits while a coordinator or entries are lost."""
    fleet = _play(lambda number: 0.9, script)
    assert _refused_share(fleet) <= 1 / 200


def test_hot_customer_costs_no_other_customer() -> None:
    """Every second customer is hot; the others send as usual."""
    fleet = _play(lambda number: HOT if number % 2 else USUAL)
    for number, customer in enumerate(CUSTOMERS):
        if number % 2 == 0:
            assert fleet.refused[customer.name] == 0
        else:
            used = len(fleet.admitted_s[customer.name]) / PLAY_S
            assert used >= 0.95 * customer.rate_per_s


def test_lower_limit_binds_one_window_after() -> None:
    """Entries learn a version with a third of the limits one after the other."""
    lowered_s = LEAD_S + 8.0 + 0.1 * ENTRIES

    async def lower(fleet: QuotaFleet) -> None:
        await fleet.clock.sleep(8.0)
        for name in fleet.names:
            await fleet.clock.sleep(0.1)
            for customer in CUSTOMERS:
                fleet.set_limit(name, with_rate(customer, customer.rate_per_s / 3), 2)

    fleet = _play(lambda number: HOT, lower)
    _check_windows(fleet)
    lower_limits = [
        with_rate(customer, customer.rate_per_s / 3) for customer in CUSTOMERS
    ]
    _check_windows(fleet, lower_limits, since_s=lowered_s + BOUNDS.window_s)


def test_programs_under_way_are_refused_last() -> None:
    """A customer at twice its limit, a third of it by programs under way."""
    fleet = _play(lambda number: 2.0, under_way_share=1 / 3)
    under_way_refused = sum(fleet.by_kind[c.name, True][1] for c in CUSTOMERS)
    under_way = sum(sum(fleet.by_kind[c.name, True]) for c in CUSTOMERS)
    assert under_way_refused <= under_way / 50


def test_refusals_are_quick_and_spread() -> None:
    """A crowd of refused requests is told at once, and not to return together."""
    fleet = _play(lambda number: HOT)
    waited_s = sorted(fleet.waited_s)
    assert waited_s[int(0.99 * len(waited_s))] <= 0.15
    for retries_s in fleet.retry_after_s.values():
        assert all(0.1 <= retry_s <= BOUNDS.window_s + 0.01 for retry_s in retries_s)


def test_reports_do_not_grow_with_requests() -> None:
    """Twenty times the limit brings refusals, but no message for each of them."""
    fleet = _play(lambda number: 20.0)
    assert fleet.calls / PLAY_S <= ENTRIES / 0.05


def test_requests_that_did_not_run_are_given_back() -> None:
    """Instances refuse what a customer sends, which must not use up its quota."""

    async def main() -> None:
        customer = CUSTOMERS[0]
        fleet = QuotaFleet(customers=[customer], entries=4, seed=1)
        await fleet.clock.sleep(LEAD_S)
        for _ in range(200):
            await fleet.clients["e-0"].admit(customer, under_way=False)
            fleet.clients["e-0"].give_back(customer)
            await fleet.clock.sleep(0.1)

    run_virtual(main())


def test_entry_that_never_reached_a_coordinator_admits_little() -> None:
    """An entry starts while all coordinators are unreachable."""
    customer = Customer(name="c", rate_per_s=10.0, burst=10.0)

    async def main() -> int:
        fleet = QuotaFleet(customers=[customer], entries=ENTRIES, seed=1)
        fleet.cut(fleet.names, fleet.addresses)
        await fleet.clock.sleep(1.0)
        await fleet.send("c", 100.0, 10.0)
        await fleet.finish()
        return most_in_a_window(fleet.admitted_s["c"], BOUNDS.window_s)

    assert 0 < run_virtual(main()) <= allowed(customer)


def test_unlimited_customers_and_deployments_without_quotas_are_not_counted() -> None:
    """Nothing may be asked or refused where the configuration has no limit."""

    async def main(customer: Customer, bounds: QuotaBounds | None) -> int:
        fleet = QuotaFleet(customers=[customer], entries=2, seed=1)
        for client in fleet.clients.values():
            client._bounds = bounds
        await fleet.send("c", 500.0, 2.0)
        await fleet.finish()
        assert not fleet.refused["c"]
        return fleet.calls

    assert run_virtual(main(Customer(name="c"), BOUNDS)) == 0
    assert run_virtual(main(Customer(name="c", rate_per_s=1.0), None)) == 0


def test_refusal_names_the_limit_and_the_remedy() -> None:
    """Operators are asked about a 429 by its text."""

    async def main() -> None:
        customer = Customer(name="c", rate_per_s=1.0)
        fleet = QuotaFleet(customers=[customer], entries=1, seed=1)
        await fleet.clock.sleep(LEAD_S)
        with pytest.raises(RateLimitedError, match="c is at its limit of 1 request"):
            for _ in range(100):
                await fleet.clients["e-0"].admit(customer, under_way=False)

    run_virtual(main())
