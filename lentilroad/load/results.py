"""Results of a load run."""

from __future__ import annotations

from dataclasses import dataclass, field

LATE_FIRST_TOKEN_S = 1.9


@dataclass(slots=True, kw_only=True)
class ProgramResult:
    """Outcome of one program."""

    name: str
    program_id: str = ""
    state: str = "running"
    latency_s: float = 0.0
    turns: int = 0
    late_turns: int = 0
    tokens: int = 0
    refusals: int = 0
    unknown_outcomes: int = 0
    retries: int = 0
    problems: list[str] = field(default_factory=list)
    # Expected (role, content) pairs of the complete conversation.
    conversation: list[tuple[str, str]] = field(default_factory=list)
    # References of operations that returned a result.
    confirmed_references: list[str] = field(default_factory=list)
    # References of operations that were refused with `not_run` and not retried.
    not_run_references: list[str] = field(default_factory=list)
    first_token_s: list[float] = field(default_factory=list)
    # Base URLs of entries that lost a connection with an accepted request.
    lost_connections: list[str] = field(default_factory=list)
    budget_tokens: int = 0
    spent_tokens: int = 0
    # Prompts of the turns, without the earlier conversation.
    new_prompts: list[str] = field(default_factory=list)
    program_ids: list[str] = field(default_factory=list)


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile by the nearest-rank method, 0 for no values.

    Parameters
    ----------
    values : list of float
        Values in any order.
    fraction : float
        Rank between 0 and 1.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(1, -int(-fraction * len(ordered) // 1))
    return ordered[min(rank, len(ordered)) - 1]


def summarize(results: list[ProgramResult]) -> dict[str, float | int]:
    """Return the counts and percentiles of a run."""
    completed = [result for result in results if result.state == "completed"]
    latencies_s = [result.latency_s for result in completed]
    first_token_s = [value for result in results for value in result.first_token_s]
    return {
        "programs": len(results),
        "completed": len(completed),
        "refused": sum(result.state == "refused" for result in results),
        "failed": sum(result.state == "failed" for result in results),
        "turns": sum(result.turns for result in results),
        "late_turns": sum(result.late_turns for result in results),
        "tokens": sum(result.tokens for result in results),
        "retries": sum(result.retries for result in results),
        "unknown_outcomes": sum(result.unknown_outcomes for result in results),
        "p50_program_latency_s": round(percentile(latencies_s, 0.5), 3),
        "p95_program_latency_s": round(percentile(latencies_s, 0.95), 3),
        "p50_first_token_s": round(percentile(first_token_s, 0.5), 4),
        "p95_first_token_s": round(percentile(first_token_s, 0.95), 4),
    }
