"""One measured run: deployment, policy, load, failure and seed."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache, partial
from random import Random

from lentilroad.bench.baselines import BASELINES, BaselinePolicy
from lentilroad.bench.chains import Program
from lentilroad.bench.engine import (
    PREFILL_PER_TOKEN_S,
    STEP_BASE_S,
    capacity_turns_per_s,
    step_at_load,
)
from lentilroad.bench.failures import FAILURE_AT_S, FAILURE_LASTS_S, FAILURES
from lentilroad.bench.scheduler import SchedulerPolicy
from lentilroad.bench.sidecar_model import Mechanisms
from lentilroad.bench.simulation import LATE_TIME_PER_TOKEN_S, Simulation, Window
from lentilroad.bench.workload import (
    DEPLOYMENTS,
    SHARED_TOKENS_PER_CALLER,
    TURNS_MAX,
    Deployment,
    ProgramSpec,
    WorkloadMeans,
    draw_turns,
    make_program,
    measure_means,
    shortest_chain_s,
)

RECOVERY_STEP_S = 5.0
POPULATION_START_S = 15.0


@dataclass(slots=True, kw_only=True, frozen=True)
class RunSpec:
    """What one run varies."""

    deployment: str
    policy: str
    load: float
    seed: int
    failure: str = "none"
    # Ablation: the mechanism of lentilroad that is off.
    off: str = ""
    memory: float = 1.0
    closed_loop: bool = False
    warm_up_s: float = 120.0
    measured_s: float = 240.0
    stop_s: float = 1000.0


@dataclass(slots=True, kw_only=True)
class RunResult:
    """What one run measured; times in seconds."""

    p50_s: float
    p95_s: float
    # Percentiles of the same programs without waiting and with all prefixes held,
    # on an idle engine and with the batch that the load implies.
    bound_idle_p95_s: float
    bound_at_load_p95_s: float
    late_share: float
    held_token_s: float
    recomputed_tokens: int
    cross_region_bytes: int
    goodput: float
    offered: int
    refused: int
    dropped: int
    unfinished: int
    worst_caller: float
    recovery_s: float | None
    events: int
    settled_s: float | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Sizing:
    """Capacity of a deployment at which load 1 is defined."""

    means: WorkloadMeans
    turns_per_s: float
    memory_tokens: int


@lru_cache(maxsize=8)
def sizing(name: str) -> Sizing:
    """Return the capacity of one engine of a deployment.

    Load 1 is the rate at which a step takes as long as the target between tokens
    with all prefixes held. Memory is what the programs under way hold at load 1.
    """
    means = measure_means(DEPLOYMENTS[name])
    rate = capacity_turns_per_s(
        output_tokens=means.output_tokens,
        new_tokens=means.new_tokens,
        step_s=LATE_TIME_PER_TOKEN_S,
    )
    turn_s = means.output_tokens * LATE_TIME_PER_TOKEN_S + means.pause_s
    shared = DEPLOYMENTS[name].callers * SHARED_TOKENS_PER_CALLER
    return Sizing(
        means=means,
        turns_per_s=rate,
        memory_tokens=int(rate * turn_s * means.history_tokens) + shared,
    )


def run(spec: RunSpec) -> RunResult:
    """Run one simulation to its end."""
    deployment = DEPLOYMENTS[spec.deployment]
    size = sizing(spec.deployment)
    engines = sum(count for _, count in deployment.engines)
    window = Window(
        start_s=spec.warm_up_s,
        end_s=spec.warm_up_s + spec.measured_s,
        stop_s=spec.stop_s,
    )
    simulation = Simulation(
        deployment=deployment,
        capacity_tokens=int(size.memory_tokens * spec.memory),
        window=window,
        seed=spec.seed,
    )
    simulation.policy = _policy(spec, simulation)
    rate = spec.load * engines * size.turns_per_s / size.means.turns
    if spec.closed_loop:
        _start_clients(spec, simulation, deployment, size, rate)
    else:
        _start_arrivals(spec, simulation, deployment, size, rate)
    FAILURES[spec.failure](simulation)
    simulation.clock.run(spec.stop_s)
    simulation.finish_window()
    return _result(spec, simulation, size, engines)


def _policy(spec: RunSpec, simulation: Simulation) -> BaselinePolicy | SchedulerPolicy:
    if spec.policy != "lentilroad":
        return BaselinePolicy(simulation=simulation, pick=BASELINES[spec.policy])
    mechanisms = Mechanisms(**{spec.off: False}) if spec.off else Mechanisms()
    return SchedulerPolicy(simulation=simulation, mechanisms=mechanisms)


def _start_population(
    spec: RunSpec,
    simulation: Simulation,
    deployment: Deployment,
    size: Sizing,
    rate: float,
    random: Random,
) -> int:
    """Start the programs that a steady state has under way; return their number.

    Long programs would otherwise be missing for many minutes. A program is drawn
    with a probability proportional to its turns and starts at one of them.
    """
    count = int(rate * size.means.turns * _turn_s(min(spec.load, 0.95), size))
    for number in range(1, count + 1):
        turns = draw_turns(deployment, random)
        while random.random() * TURNS_MAX > turns:
            turns = draw_turns(deployment, random)
        program = make_program(deployment, random, number, turns=turns)
        position = random.randrange(len(program.chain.turns))
        delay_s = random.uniform(0.0, POPULATION_START_S)
        start = partial(simulation.arrive, program, position=position)
        simulation.clock.after(delay_s, start)
    return count


def _turn_s(load: float, size: Sizing) -> float:
    step_s = step_at_load(
        turns_per_s=load * size.turns_per_s,
        output_tokens=size.means.output_tokens,
        new_tokens=size.means.new_tokens,
    )
    return size.means.output_tokens * step_s + size.means.pause_s


def _start_arrivals(
    spec: RunSpec,
    simulation: Simulation,
    deployment: Deployment,
    size: Sizing,
    rate: float,
) -> None:
    random = Random(1000 + spec.seed)
    number = _start_population(spec, simulation, deployment, size, rate, random)

    def arrive() -> None:
        nonlocal number
        number += 1
        simulation.arrive(make_program(deployment, random, number))
        simulation.clock.after(random.expovariate(rate), arrive)

    first_s = POPULATION_START_S + random.expovariate(rate)
    simulation.clock.after(first_s, arrive)


def _start_clients(
    spec: RunSpec,
    simulation: Simulation,
    deployment: Deployment,
    size: Sizing,
    rate: float,
) -> None:
    random = Random(1000 + spec.seed)
    turn_s = _turn_s(min(spec.load, 0.95), size)
    think_s = 10.0
    clients = int(rate * (size.means.turns * turn_s + think_s))
    number = 0

    def begin() -> None:
        nonlocal number
        number += 1
        program = make_program(deployment, random, number)
        simulation.arrive(program, on_end=think)

    def think() -> None:
        simulation.clock.after(random.expovariate(1.0 / think_s), begin)

    for _ in range(clients):
        simulation.clock.after(random.uniform(0.0, 60.0), begin)


def _result(
    spec: RunSpec, simulation: Simulation, size: Sizing, engines: int
) -> RunResult:
    tally = simulation.tally
    at_load_s = step_at_load(
        turns_per_s=min(spec.load, 1.0) * size.turns_per_s,
        output_tokens=size.means.output_tokens,
        new_tokens=size.means.new_tokens,
    )
    specs = [program.spec for program, _ in tally.latencies_s]
    latencies_s = [latency_s for _, latency_s in tally.latencies_s]
    capacity_turns = engines * size.turns_per_s * spec.measured_s
    return RunResult(
        p50_s=percentile(latencies_s, 0.5),
        p95_s=percentile(latencies_s, 0.95),
        bound_idle_p95_s=percentile([_bound_s(item, STEP_BASE_S) for item in specs]),
        bound_at_load_p95_s=percentile([_bound_s(item, at_load_s) for item in specs]),
        late_share=tally.late_turns / max(1, tally.turns),
        held_token_s=tally.held_token_s,
        recomputed_tokens=tally.recomputed_tokens,
        cross_region_bytes=tally.cross_region_bytes,
        goodput=tally.turns / capacity_turns,
        offered=tally.offered_programs,
        refused=tally.refused_programs,
        dropped=tally.dropped_programs,
        unfinished=tally.unfinished_programs,
        worst_caller=_worst_caller(tally.latencies_s),
        recovery_s=_recovery_s(spec, tally.turn_latencies, settled=False),
        settled_s=_recovery_s(spec, tally.turn_latencies, settled=True),
        events=simulation.clock.events,
    )


def _bound_s(program: ProgramSpec, step_s: float) -> float:
    prefill_s = PREFILL_PER_TOKEN_S
    return shortest_chain_s(program.chain, step_s=step_s, prefill_s=prefill_s)


def _worst_caller(latencies_s: list[tuple[Program, float]]) -> float:
    by_caller: dict[str, list[float]] = {}
    for program, latency_s in latencies_s:
        slowdown = latency_s / _bound_s(program.spec, STEP_BASE_S)
        by_caller.setdefault(program.spec.caller_id, []).append(slowdown)
    means = [sum(values) / len(values) for values in by_caller.values()]
    if not means:
        return float("nan")
    return max(means) / (sum(means) / len(means))


def _recovery_s(
    spec: RunSpec, turn_latencies: list[tuple[float, float]], *, settled: bool
) -> float | None:
    """Return the time until the p95 of turns is back within 10 %.

    It counts from the failure to the end of the last slice whose p95 is above 1.1
    times the p95 before the failure, up to the restart. With `settled` the reference
    is the last third of the outage, that is the level of the engines that are left.
    """
    if spec.failure != "engine-dies":
        return None
    at_s = spec.warm_up_s + FAILURE_AT_S
    end_s = at_s + FAILURE_LASTS_S
    reference = _between(turn_latencies, 0.0, at_s)
    if settled:
        reference = _between(turn_latencies, end_s - FAILURE_LASTS_S / 3.0, end_s)
    bound_s = 1.1 * percentile(reference)
    recovered_s = 0.0
    start_s = at_s
    while start_s < end_s:
        part = _between(turn_latencies, start_s, start_s + RECOVERY_STEP_S)
        start_s += RECOVERY_STEP_S
        if part and percentile(part) > bound_s:
            recovered_s = start_s - at_s
    return recovered_s


def _between(
    turn_latencies: list[tuple[float, float]], start_s: float, end_s: float
) -> list[float]:
    return [value for time_s, value in turn_latencies if start_s <= time_s < end_s]


def percentile(values: list[float], share: float = 0.95) -> float:
    """Return a percentile by the nearest-rank method, NaN without values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
