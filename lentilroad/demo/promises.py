"""Judge the ten promises by what was observed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from lentilroad.demo.const import IN_FORCE_WITHIN_S
from lentilroad.demo.evidence import Evidence
from lentilroad.load.results import ProgramResult


@dataclass(slots=True, kw_only=True)
class Promise:
    """How often a promise was checked and found violated."""

    name: str
    checked: int
    violated: int


def _problems(results: list[ProgramResult], text: str) -> int:
    return sum(text in problem for result in results for problem in result.problems)


def judge(
    *,
    results: list[ProgramResult],
    evidence: Evidence,
    executed: Counter[str],
    held_programs: set[str],
) -> list[Promise]:
    """Return the ten promises with their counts.

    Parameters
    ----------
    results : list of ProgramResult
        What the callers saw.
    evidence : Evidence
        What was observed beside them.
    executed : Counter of str
        Effects at the stand-in services by reference.
    held_programs : set of str
        Ended programs that an engine still holds memory for.
    """
    turns = sum(result.turns for result in results)
    programs = sum(len(result.program_ids) for result in results)
    history_problems = _problems(results, "stored history differs")
    confirmed = [ref for result in results for ref in result.confirmed_references]
    refused = [ref for result in results for ref in result.not_run_references]
    budgeted = [result for result in results if result.budget_tokens]
    effects = [reference for reference in confirmed if reference in executed]
    more_than_once = sum(count > 1 for count in executed.values())
    planned = set(evidence.planned_urls)
    interrupted = sum(
        url in planned for result in results for url in result.lost_connections
    )
    bad_exits = sum(code != 0 for code in evidence.planned_exit_codes)
    return [
        Promise(name="calls in order", checked=turns, violated=history_problems),
        Promise(
            name="history kept and apart", checked=programs, violated=history_problems
        ),
        Promise(
            name="budget never exceeded",
            checked=len(budgeted),
            violated=sum(r.spent_tokens > r.budget_tokens for r in budgeted),
        ),
        Promise(
            name="engine memory released",
            checked=programs,
            violated=len(held_programs),
        ),
        Promise(
            name="complete own answers",
            checked=turns,
            violated=_problems(results, "the answer differs"),
        ),
        Promise(
            name="'not run' did not run",
            checked=sum(result.refusals for result in results),
            violated=sum(reference in executed for reference in refused),
        ),
        Promise(name="at most once", checked=len(effects), violated=more_than_once),
        Promise(
            name="leaving upstream idle",
            checked=int(evidence.drained_executions is not None),
            violated=_late_work(evidence),
        ),
        Promise(
            name="planned stop graceful",
            checked=len(evidence.planned_exit_codes),
            violated=interrupted + bad_exits,
        ),
        Promise(
            name="configuration in force",
            checked=len(evidence.versions),
            violated=_version_violations(evidence),
        ),
    ]


def _late_work(evidence: Evidence) -> int:
    if evidence.drained_executions is None:
        return 0
    after, at_end = evidence.drained_executions
    return at_end - after


def _version_violations(evidence: Evidence) -> int:
    reverted = sum(
        observation.versions != sorted(observation.versions)
        for observation in evidence.versions.values()
    )
    late = evidence.in_force_s is None or evidence.in_force_s > IN_FORCE_WITHIN_S
    return reverted + int(late)
