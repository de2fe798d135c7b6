"""Seeded agent programs of the two shipped deployments."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

TOOL_PAUSE_MEDIAN_S = 0.15
TOOL_PAUSE_SIGMA = 0.8
MAX_TOOL_PAUSE_S = 2.0
MAX_TURNS = 110
CHARACTERS_PER_TOKEN = 4


@dataclass(slots=True, kw_only=True)
class Turn:
    """One model call."""

    prompt: str
    max_tokens: int


@dataclass(slots=True, kw_only=True)
class Operation:
    """One service call, made after a pause for the agent's own work or waiting."""

    service: str
    operation: str
    reference: str
    pause_s: float


@dataclass(slots=True, kw_only=True)
class AgentProgram:
    """Steps of one program, in order; the sub-agents of a step run concurrently."""

    name: str
    model: str
    steps: list[Turn | Operation | list[AgentProgram]]
    interactive: bool = True
    budget_tokens: int = 0


@dataclass(slots=True, kw_only=True)
class Deployment:
    """Model, prompts and service operations of one deployment's programs.

    ``lookups`` are idempotent operations, ``effects`` are not.
    """

    name: str
    model: str
    topics: list[str]
    lookups: list[tuple[str, str]]
    effects: list[tuple[str, str]]
    sub_agent_probability: float
    mean_turns: float
    preamble: str = field(default="")


NDENDE = Deployment(
    name="ndende",
    model="partner-coach",
    topics=["find a practice partner", "plan a week of practicas", "book a floor"],
    lookups=[("membership", "lookup")],
    effects=[("floor-booking", "book")],
    sub_agent_probability=0.2,
    mean_turns=4.0,
    preamble="You coach members of a dance co-operative. " * 12,
)
HILL_COUNTRY = Deployment(
    name="hill_country",
    model="booth-coach",
    topics=["coach a lullaby", "draft a lyric sheet", "book a booth"],
    lookups=[("booth-booking", "lookup")],
    effects=[("booth-booking", "hold"), ("payment", "charge")],
    sub_agent_probability=0.1,
    mean_turns=5.0,
    preamble="You help parents record lullabies for their children. " * 12,
)


def _steps(
    random_source: random.Random, deployment: Deployment, name: str, turns: int
) -> list[Turn | Operation | list[AgentProgram]]:
    steps: list[Turn | Operation | list[AgentProgram]] = []
    for number in range(turns):
        topic = random_source.choice(deployment.topics)
        preamble = deployment.preamble if number == 0 else ""
        steps.append(
            Turn(
                prompt=f"{preamble}Step {number} of {name}: {topic}.",
                max_tokens=random_source.choice([8, 16, 32]),
            )
        )
        effect = random_source.random() < 0.4
        calls = deployment.effects if effect else deployment.lookups
        service, operation = random_source.choice(calls)
        pause_s = random_source.lognormvariate(0.0, TOOL_PAUSE_SIGMA)
        steps.append(
            Operation(
                service=service,
                operation=operation,
                reference=f"{name}-{number}",
                pause_s=min(MAX_TOOL_PAUSE_S, TOOL_PAUSE_MEDIAN_S * pause_s),
            )
        )
    return steps


def generate_programs(
    *, deployment: Deployment, count: int, seed: int, max_turns: int = MAX_TURNS
) -> list[AgentProgram]:
    """Return programs whose shape depends only on the seed.

    Parameters
    ----------
    deployment : Deployment
        Model, prompts and operations of the programs.
    count : int
        Number of programs, not counting their sub-agents.
    seed : int
        Seed of the random source.
    max_turns : int
        Largest number of turns in one program.

    Returns
    -------
    list of AgentProgram
        Programs with chains of 1 to `max_turns` turns.
    """
    random_source = random.Random(seed)
    programs = []
    for index in range(count):
        turns = 1 + int(random_source.expovariate(1 / deployment.mean_turns))
        name = f"{deployment.name}-{seed}-{index}"
        steps = _steps(random_source, deployment, name, min(turns, max_turns))
        if random_source.random() < deployment.sub_agent_probability:
            steps.insert(len(steps) // 2, _sub_agents(random_source, deployment, name))
        programs.append(
            AgentProgram(
                name=name,
                model=deployment.model,
                steps=steps,
                interactive=random_source.random() < 0.7,
                budget_tokens=500_000,
            )
        )
    return programs


def _sub_agents(
    random_source: random.Random, deployment: Deployment, name: str
) -> list[AgentProgram]:
    return [
        AgentProgram(
            name=f"{name}-sub{number}",
            model=deployment.model,
            steps=_steps(random_source, deployment, f"{name}-sub{number}", 1),
        )
        for number in range(2)
    ]
