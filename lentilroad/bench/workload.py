"""Seeded programs of unknown shape for both deployments.

A program is a chain of turns. Turn counts are heavy-tailed between 1 and 110.
Pauses between turns depend on the tool and are heavy-tailed. Some turns start
sub-agents, whose chains run at the same time and end the pause. Programs of one
caller share system prompts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

TURNS_MAX = 110
HISTORY_MAX_TOKENS = 180_000
# 6.6 million tokens/s over 27,000 requests/s.
OUTPUT_TOKENS_MEAN = 244
NEW_TOKENS_MEAN = 350
# Two prompts of 2,000 and 3,000 tokens, each for programs and for sub-agents.
SHARED_TOKENS_PER_CALLER = 2 * (2000 + 3000)


@dataclass(slots=True, kw_only=True, frozen=True)
class Tool:
    """A tool with the median and spread (sigma of the logarithm) of its time."""

    name: str
    median_s: float
    sigma: float
    weight: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Deployment:
    """Engines by region and the programs that run on them."""

    name: str
    # Engines of each region; every engine lies in an own zone as far as possible.
    engines: tuple[tuple[str, int], ...]
    tools: tuple[Tool, ...]
    turns_median: float
    turns_sigma: float
    sub_agent_probability: float
    interactive_share: float
    callers: int = 8
    entries_per_region: int = 2


NDENDE = Deployment(
    name="ndende",
    engines=(("dakar", 2), ("saint-louis", 2), ("thies", 1)),
    tools=(
        Tool(name="membership", median_s=0.2, sigma=0.5, weight=4),
        Tool(name="booking", median_s=0.6, sigma=0.8, weight=3),
        Tool(name="partner-reply", median_s=8.0, sigma=1.0, weight=2),
        Tool(name="music-search", median_s=2.0, sigma=1.2, weight=1),
    ),
    turns_median=5.0,
    turns_sigma=1.1,
    sub_agent_probability=0.05,
    interactive_share=0.2,
)
HILL_COUNTRY = Deployment(
    name="hill-country",
    engines=(("gulf", 2), ("plains", 2), ("border", 1)),
    tools=(
        Tool(name="lyric-sheet", median_s=1.0, sigma=1.0, weight=3),
        Tool(name="booth-hold", median_s=0.5, sigma=0.6, weight=3),
        Tool(name="card-charge", median_s=1.5, sigma=0.8, weight=1),
        Tool(name="singer-answer", median_s=10.0, sigma=1.0, weight=3),
    ),
    turns_median=6.0,
    turns_sigma=1.0,
    sub_agent_probability=0.02,
    interactive_share=0.6,
)
FLEET = Deployment(
    name="fleet",
    engines=(("north", 12), ("south", 12)),
    tools=NDENDE.tools,
    turns_median=5.0,
    turns_sigma=1.1,
    sub_agent_probability=0.05,
    interactive_share=0.2,
    callers=20,
    entries_per_region=4,
)
DEPLOYMENTS = {item.name: item for item in (NDENDE, HILL_COUNTRY, FLEET)}


@dataclass(slots=True, kw_only=True)
class TurnSpec:
    """One turn and the pause after it."""

    new_tokens: int
    output_tokens: int
    tool: str
    pause_s: float
    sub_agents: tuple[ChainSpec, ...] = ()


@dataclass(slots=True, kw_only=True)
class ChainSpec:
    """Turns of a program or of one of its sub-agents."""

    shared_key: str
    shared_tokens: int
    turns: list[TurnSpec]


@dataclass(slots=True, kw_only=True)
class ProgramSpec:
    """One program as it will turn out; the policies do not see this."""

    program_id: str
    caller_id: str
    region: str
    interactive: bool
    chain: ChainSpec


def _log_normal(random: Random, mean: float, sigma: float, highest: int) -> int:
    drawn = random.lognormvariate(math.log(mean) - sigma * sigma / 2.0, sigma)
    return max(8, min(highest, int(drawn)))


def _chain(
    deployment: Deployment, random: Random, caller_id: str, turns: int, depth: int
) -> ChainSpec:
    tools = deployment.tools
    weights = [tool.weight for tool in tools]
    prompt = random.randrange(2)
    chain = ChainSpec(
        shared_key=f"shared-{caller_id}-{depth}-{prompt}",
        shared_tokens=2000 + 1000 * prompt,
        turns=[],
    )
    history = chain.shared_tokens
    for _ in range(turns):
        new_tokens = _log_normal(random, NEW_TOKENS_MEAN, 1.0, 8000)
        output_tokens = _log_normal(random, OUTPUT_TOKENS_MEAN, 0.7, 2000)
        history += new_tokens + output_tokens
        if history > HISTORY_MAX_TOKENS:
            break
        tool = random.choices(tools, weights)[0]
        pause_s = random.lognormvariate(math.log(tool.median_s), tool.sigma)
        sub_agents: tuple[ChainSpec, ...] = ()
        if depth == 0 and random.random() < deployment.sub_agent_probability:
            sub_agents = tuple(
                _chain(deployment, random, caller_id, random.randint(1, 6), 1)
                for _ in range(random.randint(1, 3))
            )
        chain.turns.append(
            TurnSpec(
                new_tokens=new_tokens,
                output_tokens=output_tokens,
                tool=tool.name,
                pause_s=min(300.0, pause_s),
                sub_agents=sub_agents,
            )
        )
    return chain


def draw_turns(deployment: Deployment, random: Random) -> int:
    """Draw the number of turns of a program."""
    turns = random.lognormvariate(
        math.log(deployment.turns_median), deployment.turns_sigma
    )
    return max(1, min(TURNS_MAX, int(turns)))


def make_program(
    deployment: Deployment, random: Random, number: int, *, turns: int | None = None
) -> ProgramSpec:
    """Draw one program, with the given number of turns if there is one."""
    regions = [name for name, _ in deployment.engines]
    weights = [count for _, count in deployment.engines]
    # One caller sends two fifths of the programs, the others share the rest.
    is_heavy = random.random() < 0.4
    caller = 0 if is_heavy else random.randrange(1, deployment.callers)
    turns = turns or draw_turns(deployment, random)
    caller_id = f"caller{caller}"
    return ProgramSpec(
        program_id=f"p{number}",
        caller_id=caller_id,
        region=random.choices(regions, weights)[0],
        interactive=random.random() < deployment.interactive_share,
        chain=_chain(deployment, random, caller_id, turns, 0),
    )


@dataclass(slots=True, kw_only=True, frozen=True)
class WorkloadMeans:
    """Means over programs, used to turn a load into an arrival rate."""

    turns: float
    output_tokens: float
    new_tokens: float
    # Mean history held while a turn runs and in the pause after it.
    history_tokens: float
    pause_s: float


def measure_means(deployment: Deployment, programs: int = 4000) -> WorkloadMeans:
    """Measure the means of a deployment's programs with a fixed seed."""
    random = Random(20_000)
    turns = output = new = 0
    history_sum = pause_sum = 0.0
    for number in range(programs):
        program = make_program(deployment, random, number)
        chains = [program.chain]
        while chains:
            chain = chains.pop()
            history = 0
            for turn in chain.turns:
                history += turn.new_tokens + turn.output_tokens
                turns += 1
                output += turn.output_tokens
                new += turn.new_tokens
                history_sum += history
                pause_sum += turn.pause_s
                chains.extend(turn.sub_agents)
    return WorkloadMeans(
        turns=turns / programs,
        output_tokens=output / turns,
        new_tokens=new / turns,
        history_tokens=history_sum / turns,
        pause_s=pause_sum / turns,
    )


def shortest_chain_s(chain: ChainSpec, *, step_s: float, prefill_s: float) -> float:
    """Return a chain's time without waiting and with all prefixes held.

    Parameters
    ----------
    chain : ChainSpec
        The chain.
    step_s : float
        Time between tokens, in seconds.
    prefill_s : float
        Time per uncached prompt token, in seconds.
    """
    total_s = 0.0
    for position, turn in enumerate(chain.turns):
        total_s += turn.new_tokens * prefill_s + turn.output_tokens * step_s
        if position + 1 == len(chain.turns):
            break
        inner_s = [
            shortest_chain_s(sub_agent, step_s=step_s, prefill_s=prefill_s)
            for sub_agent in turn.sub_agents
        ]
        total_s += max(inner_s) if inner_s else turn.pause_s
    return total_s
