"""Tests that configurations that cannot work are rejected."""

from __future__ import annotations

import pytest

from lentilroad.version.text import InvalidTextError, check_text, compile_text
from tests.version.texts import example_text

TEXT = example_text("ndende")


def _problem(text):
    problems, configuration = check_text(text, file="ops.yaml")
    assert configuration is None
    assert len(problems) == 1, [str(problem) for problem in problems]
    return problems[0]


@pytest.mark.parametrize("name", ["ndende", "hill_country"])
def test_shipped_examples_are_valid(name):
    """Guard against a shipped example that the check rejects."""
    configuration = compile_text(example_text(name))
    repeatable = {
        (service, operation): value.repeatable
        for service, service_config in configuration.services.items()
        for operation, value in service_config.operations.items()
    }
    # Bookings, holds and charges must never be repeated.
    assert all(flag == (key[1] == "lookup") for key, flag in repeatable.items())


@pytest.mark.parametrize(
    ("name", "engines", "services"), [("ndende", 5, 7), ("hill_country", 5, 5)]
)
def test_examples_place_the_expected_replicas(name, engines, services):
    """The examples must match the two deployments of the design page."""
    configuration = compile_text(example_text(name))
    assert _placed(configuration.models) == engines
    assert _placed(configuration.services) == services


def _placed(upstreams):
    return sum(
        count
        for upstream in upstreams.values()
        for zones in upstream.replicas.values()
        for count in zones.values()
    )


@pytest.mark.parametrize(
    ("old", "new", "path", "expected_text"),
    [
        (
            "depends_on: [membership]",
            "depends_on: [membershp]",
            "services.floor-booking.depends_on.0",
            "did you mean membership?",
        ),
        (
            "services:\n  membership:\n",
            "services:\n  membership:\n    depends_on: [floor-booking]\n",
            "services.membership.depends_on",
            "membership -> floor-booking -> membership",
        ),
        (
            "dakar: {dakar-a: 1, dakar-b: 1}\n      saint-louis: {saint-louis-a: 1}",
            "dakar: {dakar-a: 2, dakar-b: 1}\n      saint-louis: {saint-louis-a: 1}",
            "regions.dakar.availability_zones.dakar-a.engine_workers",
            "1 workers for 2 replicas",
        ),
        (
            "thies: {thies-a: 1, thies-b: 1}",
            "theis: {thies-a: 1, thies-b: 1}",
            "models.partner-coach.replicas.theis",
            "did you mean thies?",
        ),
        (
            "thies: {thies-a: 1, thies-b: 1}",
            "thies: {thies-a: 1, thies-c: 1}",
            "models.partner-coach.replicas.thies.thies-c",
            "unknown availability zone",
        ),
        (
            "concurrent_programs: 500",
            "concurrent_programs: 5000",
            "callers.demo.limits.concurrent_programs",
            "at most 2000",
        ),
        (
            "  concurrent_programs: 2000\n",
            "  concurrent_programs: 2000\n  concurrent_calls: 5000\n",
            "limits.concurrent_calls",
            "at most 272",
        ),
        (
            "    model: partner-coach",
            "    model: other-coach",
            "adapters.practica-planner.model",
            "did you mean partner-coach?",
        ),
        (
            "models: [partner-coach, practica-planner]",
            "models: [partner-coach, planner]",
            "callers.demo.models.1",
            "'planner'",
        ),
        (
            "deployment: ndende",
            "deployment: ndende\ndeployment: other",
            "deployment",
            "a key that line 3 has",
        ),
        (
            "tokens: 400000\n  money_micro: 2000000",
            "tokens: &x 400000\n  money_micro: *x",
            "budget.money_micro",
            "an alias",
        ),
        ("turns: 80", "turns: !!python/name:os.system x", "budget.turns", "plain"),
        ("turns: 80", "turns: 80\n bad", "", "valid YAML"),
    ],
)
def test_problem_has_line_key_path_and_remedy(old, new, path, expected_text):
    """Each kind of problem must be reported with its position and a remedy."""
    assert TEXT.count(old) == 1
    problems, _ = check_text(TEXT.replace(old, new), file="ops.yaml")
    matching = [problem for problem in problems if expected_text in str(problem)]
    assert matching, [str(problem) for problem in problems]
    if path:
        assert matching[0].key_path == path
    assert 1 < matching[0].line <= TEXT.count("\n") + 2
    assert str(matching[0]).startswith("ops.yaml:")


def test_value_above_one_megabyte_is_refused():
    """The key-value service would reject a larger value in the middle of an apply."""
    text = TEXT.replace("deployment: ndende", f"deployment: {'x' * 1_000_001}")
    problem = _problem(text)
    assert (problem.line, problem.key_path) == (3, "deployment")
    assert "1000000 bytes" in problem.expected


def test_key_shared_by_two_callers_is_refused():
    """A key shared by two callers would give each access to the other's programs."""
    digest = compile_text(TEXT).callers["demo"].key_sha256[0]
    text = TEXT + f"  second:\n    key_sha256: ['{digest}']\n"
    assert "the key of caller demo" in _problem(text).found


def test_all_problems_are_reported_in_line_order():
    """Reporting one problem per attempt would make a large change slow to correct."""
    text = TEXT.replace("turns: 80", "turns: x").replace(
        "between_zones_ms: 1", "between_zones_ms: -1"
    )
    with pytest.raises(InvalidTextError) as caught:
        compile_text(text)
    paths = [problem.key_path for problem in caught.value.problems]
    assert paths == ["latency.between_zones_ms", "budget.turns"]


def test_long_dependency_chain_is_checked_without_recursion():
    """A recursive check of thousands of chained services would overflow the stack."""
    services = ["services:"]
    for index in range(3_000):
        services += [f"  s{index}:", '    version: "1"', "    operations: {}"]
        services.append(f"    depends_on: [s{(index + 1) % 3_000}]")
    text = (
        "deployment: t\nregions: {n: {availability_zones: {}}}\n"
        + "\n".join(services)
        + "\n"
    )
    problem = _problem(text)
    assert problem.found.startswith("the cycle s0 -> s1 -> ")


@pytest.mark.parametrize("value", ["99999999999999999999999999", ".inf", ".nan"])
def test_number_that_cannot_be_encoded_is_refused(value):
    """A number that cannot be encoded would fail only after the check."""
    text = TEXT.replace("turns: 80", f"turns: {value}")
    assert _problem(text).key_path == "budget.turns"
    text = TEXT.replace("requests_per_s: 400", f"requests_per_s: {value}")
    assert _problem(text).key_path == "limits.requests_per_s"
