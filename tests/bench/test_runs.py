"""Guard against measurements that change from run to run or favour a policy."""

from __future__ import annotations

import json
from dataclasses import replace
from random import Random

import pytest

from lentilroad.bench.__main__ import main
from lentilroad.bench.known_red import known_misses
from lentilroad.bench.rows import make_row
from lentilroad.bench.runs import RunSpec, run
from lentilroad.bench.suites import from_plain, run_all, to_plain
from lentilroad.bench.workload import DEPLOYMENTS, TURNS_MAX, make_program

SHORT = RunSpec(
    deployment="ndende",
    policy="lentilroad",
    load=0.6,
    seed=3,
    warm_up_s=5.0,
    measured_s=20.0,
    stop_s=30.0,
)


def test_same_seed_gives_the_same_result():
    """A figure must be reproducible."""
    assert run(SHORT) == run(SHORT)
    assert run(SHORT) != run(replace(SHORT, seed=4))


def test_results_survive_the_file():
    """Kept results must be the measured ones."""
    runs = run_all([replace(SHORT, policy="random")], workers=1)
    assert from_plain(json.loads(json.dumps(to_plain(runs)))) == runs


def test_all_policies_receive_the_same_programs():
    """A policy must not change what it is offered."""
    offered = {
        run(replace(SHORT, policy=policy)).offered
        for policy in ("lentilroad", "random", "session-sticky")
    }
    assert len(offered) == 1


@pytest.mark.parametrize(
    "failure", ["engine-dies", "zone-goes", "link-cut", "reports-freeze"]
)
def test_failure_drops_no_program_under_way(failure):
    """A program under way must survive each failure."""
    spec = replace(SHORT, failure=failure, warm_up_s=0.0, measured_s=80.0, stop_s=90.0)
    assert run(spec).dropped == 0


def test_programs_keep_to_the_bounds_of_the_design():
    """The workload must cover what the requirements name."""
    random = Random(1)
    for deployment in DEPLOYMENTS.values():
        programs = [make_program(deployment, random, n) for n in range(2000)]
        turns = [len(program.chain.turns) for program in programs]
        assert min(turns) >= 1
        assert max(turns) <= TURNS_MAX
        assert any(t.sub_agents for p in programs for t in p.chain.turns)


def test_value_that_is_not_finite_misses_its_target():
    """A figure that could not be measured must not count as met."""
    for value in (float("nan"), float("inf")):
        row = make_row("x", value, "s", target=1.0)
        assert row.met is False
        assert row.value is None


def test_only_listed_misses_are_known(tmp_path):
    """A new miss must fail the check."""
    file = tmp_path / "KNOWN-RED.txt"
    file.write_text("# comment\nbench a.b: command, seen\nother a.c: x\n")
    assert known_misses(file) == {"a.b"}


def test_ci_prints_one_object_per_line_and_succeeds(capsys):
    """The check must run without other machines, files or the clock."""
    assert main(["--ci"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines
    for line in lines:
        assert json.loads(line)["met"] is True
